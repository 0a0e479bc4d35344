//! Case 5: a planned stop after the settings file has given the process a longer grace.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{self, Channel, Outcome};
use crate::gateway::{Addresses, Fleet, GRACE_S, Machine};
use crate::http::{Connection, Message};
use crate::server::{self, Server};
use crate::store::Store;

/// Memory limit of a machine, as on the site sheet of amren-atelier.
const MEMORY_MB: u64 = 110;
/// Grace after the change of the settings.
const LONGER_GRACE_S: u32 = 14;
/// Time from the change of the settings to the stop.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Streams that are in progress when the stop begins.
const STREAMS: u32 = 4;
/// Events of a stream, and the pause between them: 10 s in all. The route allows 12 s; the server ends
/// before the last sixth of the longer grace, which begins 11.7 s after SIGTERM.
const EVENTS: u32 = 50;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_secs(12);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-dossier","hostname":"atelier.example","prefix":"/dossier/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,"sticky":true,"can_resume":false,"gap_target_ms":600}],
"services":[
 {"name":"llm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":380443,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":7,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000},
"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// Plays the case. Returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(crate::record::Record::create(dir));
    let scratch = std::env::temp_dir().join(format!("samphiresill-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (store, store_address) = Store::start();
    let finished = Arc::new(AtomicU32::new(0));
    let engines = ["i-llm-1", "i-llm-2"].map(|name| {
        let finished = Arc::clone(&finished);
        let answer = move |server: &Server, request: &Message, connection: &mut Connection| {
            let id = request.header("x-samphiresill-attempt-id");
            server.record_run(id);
            let is_whole = server::write_stream(id, EVENTS, EVENT_INTERVAL, connection);
            let end = if is_whole { "wrote the whole answer to" } else { "lost the channel of" };
            server.record.line(&format!("{}: {end} {id}", server.name));
            finished.fetch_add(u32::from(is_whole), Ordering::Relaxed);
            is_whole
        };
        Server::start(name, "llm", &record, Arc::new(answer))
    });
    store.write("op", "config", Some(CONFIGURATION));
    for server in &engines {
        store.write("servers", &server.name, Some(&server.entry(64, "ready", 1)));
    }
    let addresses = [(); 3].map(|()| Addresses::free());
    let fleet = Fleet {
        seeds: addresses.iter().map(|a| a.peers).collect(),
        store: store_address,
        memory_mb: MEMORY_MB,
        dir: scratch.clone(),
    };
    // Without the disruption, the processes have the longer grace from their start.
    let grace_s = if has_trouble { GRACE_S } else { LONGER_GRACE_S };
    let machines: Vec<Arc<Machine>> = addresses
        .iter()
        .zip(["front-1", "front-2", "front-3"])
        .map(|(a, name)| Machine::start(name, *a, &fleet, grace_s, &record))
        .collect();
    for machine in &machines {
        machine.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        machines[0].change_grace(LONGER_GRACE_S);
    }
    thread::sleep(SETTLING_TIME);
    let cut = AtomicU32::new(0);
    thread::scope(|scope| {
        for _ in 0..STREAMS {
            scope.spawn(|| {
                let id = client::new_id();
                let request = format!(
                    "POST /dossier/{id} HTTP/1.1\r\nHost: atelier.example\r\n\
                     X-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Model: m\r\n\
                     X-Samphiresill-Token-Counts: 1460,400\r\n\
                     X-Samphiresill-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\n\
                     X-Samphiresill-Deadline-Ms: 12000\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\n\
                     Content-Length: 6\r\n\r\nprompt"
                );
                record.line(&format!("stream {id}: sent"));
                let outcome = Channel::new(machines[0].addresses.callers).call(&request, BUDGET);
                record.line(&format!("stream {id}: {outcome:?}"));
                cut.fetch_add(u32::from(!matches!(outcome, Outcome::Answered(_))), Ordering::Relaxed);
            });
        }
        thread::sleep(Duration::from_millis(500));
        machines[0].stop(LONGER_GRACE_S);
    });
    for machine in &machines {
        machine.close();
    }
    let (finished, cut) = (finished.load(Ordering::Relaxed), cut.load(Ordering::Relaxed));
    let summary = format!(
        "streams in progress at SIGTERM: {STREAMS}; finished by their servers: {finished}; that ended without a \
         complete answer: {cut} (the rule allows none)"
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&scratch);
    cut > 0
}
