//! Complete sessions of the two deployments, compared with golden files.
//!
//! With `UPDATE_GOLDEN=1` in the environment, the test rewrites the golden files.

use std::fmt::Write;
use std::path::Path;

use rstest::rstest;
use samphiresill_tests::Fleet;
use serde_json::json;

/// A request of a session, with the title under which it appears in the golden file.
struct SessionRequest {
    title: &'static str,
    method: &'static str,
    path: &'static str,
    body: String,
    key: &'static str,
    idempotency_key: Option<&'static str>,
}

impl SessionRequest {
    fn new(title: &'static str, method: &'static str, path: &'static str, body: String) -> Self {
        Self {
            title,
            method,
            path,
            body,
            key: "counter-key",
            idempotency_key: None,
        }
    }
}

fn completion_body(prompt: &str, stream: bool) -> String {
    json!({"model": "letters", "stream": stream, "prompt": prompt, "max_tokens": 4}).to_string()
}

fn chat_body(prompt: &str) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": "letters", "messages": messages, "max_tokens": 3}).to_string()
}

fn common_requests(order: &str) -> Vec<SessionRequest> {
    let unknown = json!({"model": "none", "prompt": "x"}).to_string();
    vec![
        SessionRequest {
            key: "no-such-key",
            ..SessionRequest::new("a bad key", "GET", "/v1/models", String::new())
        },
        SessionRequest::new("bad JSON", "POST", "/v1/completions", "{".into()),
        SessionRequest::new(
            "a missing field",
            "POST",
            "/v1/completions",
            r#"{"model":"letters"}"#.into(),
        ),
        SessionRequest::new("an unknown model", "POST", "/v1/completions", unknown),
        SessionRequest::new("an unknown path", "GET", "/nothing", String::new()),
        SessionRequest::new(
            "too large a body",
            "POST",
            "/v1/completions",
            "x".repeat(30_000),
        ),
        SessionRequest {
            idempotency_key: Some("order-1"),
            ..SessionRequest::new("an order", "POST", "/orders", order.into())
        },
        SessionRequest {
            idempotency_key: Some("order-1"),
            ..SessionRequest::new("the same order again", "POST", "/orders", order.into())
        },
        SessionRequest {
            idempotency_key: Some("order-1"),
            ..SessionRequest::new(
                "its key with another order",
                "POST",
                "/orders",
                "other".into(),
            )
        },
    ]
}

fn brandvold_requests() -> Vec<SessionRequest> {
    let mut requests = vec![
        SessionRequest::new("the models", "GET", "/v1/models", String::new()),
        SessionRequest::new(
            "a restock letter",
            "POST",
            "/v1/completions",
            completion_body("Draft a restock letter for Swift Current", true),
        ),
        SessionRequest::new(
            "a dealer's question",
            "POST",
            "/v1/chat/completions",
            chat_body("Which mantle fits a size 3 lamp?"),
        ),
        SessionRequest::new("a stock lookup", "GET", "/stock/mantles", String::new()),
    ];
    requests.extend(common_requests(r#"{"item":"mantles","crates":1}"#));
    requests.push(SessionRequest::new(
        "the order's status",
        "GET",
        "/orders/1",
        String::new(),
    ));
    requests
}

fn amren_requests() -> Vec<SessionRequest> {
    let mut requests = vec![
        SessionRequest::new(
            "a diagnosis report",
            "POST",
            "/v1/completions",
            completion_body("Fault history: the sign flickers at dusk", false),
        ),
        SessionRequest::new(
            "a quote check",
            "POST",
            "/v1/chat/completions",
            chat_body("Quote for a 9 kV tube?"),
        ),
        SessionRequest::new("a booking's status", "GET", "/orders/9", String::new()),
    ];
    requests.extend(common_requests(r#"{"transformer":"9kV"}"#));
    requests
}

/// Replaces the fields that differ between runs, ids and times, by placeholders.
fn normalize(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines() {
        let (prefix, data) = line
            .strip_prefix("data: ")
            .map_or(("", line), |d| ("data: ", d));
        let line = match serde_json::from_str::<serde_json::Value>(data) {
            Ok(mut value) if value.is_object() => {
                for field in ["id", "created"] {
                    if value.get(field).is_some() {
                        value[field] = json!(format!("<{field}>"));
                    }
                }
                value.to_string()
            }
            _ => data.to_owned(),
        };
        let _ = writeln!(text, "{prefix}{line}");
    }
    text
}

#[rstest]
#[case::brandvold("brandvold", brandvold_requests())]
#[case::amren("amren", amren_requests())]
fn session_equals_its_golden_file(#[case] name: &str, #[case] requests: Vec<SessionRequest>) {
    let fleet = Fleet::start(name, 3, 2_000);
    let mut session = String::new();
    for (index, request) in requests.iter().enumerate() {
        // Consecutive requests go to different routers, since the responses must not depend on the
        // router.
        let response = fleet
            .request_with(
                index % 3,
                request.key,
                request.method,
                request.path,
                &request.body,
                request.idempotency_key,
            )
            .expect("no response");
        let body = normalize(&response.body);
        let _ = writeln!(
            session,
            "## {}\n{} {}\n{} {}\n{body}",
            request.title, request.method, request.path, response.status, response.outcome
        );
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, &session).expect("failed to write the golden file");
    }
    let golden = std::fs::read_to_string(&path).expect("failed to read the golden file");
    assert_eq!(session, golden);
}
