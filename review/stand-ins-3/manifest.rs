//! Manifests as the operator writes them.

/// `Route` is a route; unset fields are as on the routes of `amren-atelier`.
#[derive(Clone, Debug)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub aim_ms: u32,
    pub gap_ms: u32,
    pub attempts: u32,
    pub can_resume: bool,
}

/// A route like `fault-dossier`.
pub const DOSSIER: Route = Route {
    prefix: "dossier",
    kind: "streaming",
    service: "atelier-llm",
    timeout_ms: 12_000,
    aim_ms: 1_200,
    gap_ms: 600,
    attempts: 1,
    can_resume: false,
};

pub const HOST: &str = "atelier.example";

fn route(route: &Route) -> String {
    let Route { prefix, kind, service, timeout_ms, aim_ms, gap_ms, attempts, can_resume } = route;
    let is_stream = *kind == "streaming";
    let gap = if is_stream { format!(r#","gap_target_ms":{gap_ms}"#) } else { String::new() };
    format!(
        r#"{{"name":"r-{prefix}","hostname":"{HOST}","prefix":"/{prefix}/","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{aim_ms},"service":"{service}","max_attempts":{attempts},"priority":1,"sticky":{is_stream},"can_resume":{can_resume},"anonymous":false{gap}}}"#
    )
}

/// A service of model servers as in `amren-atelier`.
pub fn model_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":370,"engine":{{"slots":64,"kv_capacity_tokens":380443,"stride":7,"kv_token_bytes":18432,"link_mbps":740000,"models":[{{"name":"m"}}]}}}}"#
    )
}

/// Key of a tenant.
pub fn key(tenant: &str) -> String {
    let letters: String = tenant.chars().filter(char::is_ascii_alphanumeric).collect();
    format!("key-{letters}")
}

pub fn document(version: u64, routes: &[Route], services: &[String], tenants: &[&str]) -> String {
    let routes: Vec<String> = routes.iter().map(route).collect();
    let tenant = |name: &&str| {
        let key = key(name);
        format!(r#"{{"name":"{name}","api_keys":["{key}"]}}"#)
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"tenants":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000,"tokens_per_s":600000}}}}"#,
        routes.join(","), services.join(","), tenants.join(",")
    )
}

/// A request of a tenant to a streaming route.
pub fn stream_request(prefix: &str, tenant: &str, id: &str, parts: &str, tokens: &str, deadline_ms: u32) -> String {
    format!(
        "POST /{prefix}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
         X-Samphiresill-Model: m\r\nX-Samphiresill-Token-Counts: {tokens}\r\n\
         X-Samphiresill-Prompt-Prefix: {parts}\r\nX-Samphiresill-Deadline-Ms: {deadline_ms}\r\n\
         Api-Key: {}\r\nContent-Length: 6\r\n\r\nprompt",
        key(tenant)
    )
}
