//! Case 1: a model server in trouble refuses a request, and the body of the refusal has no end.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Channel, Outcome};
use crate::gateway::{Addresses, Fleet, GRACE_S, Machine};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::server::{self, Answer, Server};
use crate::store::Store;

/// Memory limit of a machine, as on the site sheet of amren-atelier.
const MEMORY_MB: u64 = 110;
/// Time for which requests are sent.
const PLAY_TIME: Duration = Duration::from_secs(20);
/// When the model server's trouble begins.
const TROUBLE_AT: Duration = Duration::from_secs(6);
/// Channels on which orders are sent, one after the other.
const ORDER_CHANNELS: usize = 10;
/// Work of an order: within the site's `work_ms` of 450 ms at most.
const ORDER_WORK: Duration = Duration::from_millis(250);
/// Time budgets of an order and of a stream.
const ORDER_BUDGET: Duration = Duration::from_millis(1_500);
const STREAM_BUDGET: Duration = Duration::from_secs(12);
/// The model server is full for one in so many of its requests.
const REFUSAL_INTERVAL: u32 = 10;
/// Bytes of the endless body, written at half of the machine's link of 1,000 Mbit/s.
const PIECE_BYTES: usize = 62_500;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
/// LOST: requests that were passed on from a kept channel and got no answer, above which the rule is
/// broken.
const MAX_LOST: usize = 3;

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-dossier","hostname":"atelier.example","prefix":"/dossier/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,"sticky":true,"can_resume":false,"gap_target_ms":600},
 {"name":"r-order","hostname":"atelier.example","prefix":"/order/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"carnet","max_attempts":1,"anonymous":false}],
"services":[
 {"name":"llm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":380443,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":7,"models":[{"name":"m"}]}},
 {"name":"carnet","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000},
"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// A model server that is full now and then. While `is_in_trouble`, the body of one refusal is bytes
/// without end.
fn model_server(is_in_trouble: Arc<AtomicBool>) -> Arc<Answer> {
    let arrivals = AtomicU32::new(0);
    Arc::new(
        move |server: &Server, request: &Message, connection: &mut Connection| {
            let id = request.header("x-samphiresill-attempt-id");
            if arrivals.fetch_add(1, Ordering::Relaxed) % REFUSAL_INTERVAL != REFUSAL_INTERVAL - 1 {
                server.record_run(id);
                return server::write_stream(id, 10, Duration::from_millis(20), connection);
            }
            let refusal =
                format!("X-Samphiresill-Not-Executed: 1\r\nX-Samphiresill-Attempt-Id: {id}\r\n");
            if !is_in_trouble.swap(false, Ordering::Relaxed) {
                server
                    .record
                    .line(&format!("{}: is full, refuses {id}", server.name));
                let response = server::response("503 Service Unavailable", &refusal, "full\n");
                return connection.write(response.as_bytes()).is_ok();
            }
            server.record.line(&format!(
                "{}: refuses {id}, in bytes without end",
                server.name
            ));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{refusal}Transfer-Encoding: chunked\r\n\r\n"
            );
            let piece = [
                format!("{PIECE_BYTES:x}\r\n").into_bytes(),
                vec![b'.'; PIECE_BYTES],
                b"\r\n".to_vec(),
            ];
            let piece = piece.concat();
            let mut written = 0;
            let mut is_open = connection.write(head.as_bytes()).is_ok();
            while is_open {
                let next = Instant::now() + PIECE_INTERVAL;
                is_open = connection.write(&piece).is_ok();
                written += PIECE_BYTES;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            let megabytes = written >> 20;
            server.record.line(&format!(
                "{}: the channel ended after {megabytes} MB",
                server.name
            ));
            false
        },
    )
}

/// Sends orders on a kept channel. Returns the ids of those whose channel ended without an answer.
fn send_orders(machine: &Machine, record: &Record, lost: &Mutex<Vec<String>>, until: Instant) {
    let mut channel = Channel::new(machine.addresses.callers);
    while Instant::now() < until {
        let is_kept = channel.answered > 0;
        let id = client::new_id();
        let request = format!(
            "POST /order/{id} HTTP/1.1\r\nHost: atelier.example\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Deadline-Ms: 1500\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\n\
             Content-Length: 5\r\n\r\norder"
        );
        match channel.call(&request, ORDER_BUDGET) {
            Outcome::Answered(answer) => record.line(&format!("order {id}: {answer:?}")),
            Outcome::NotSent => thread::sleep(Duration::from_millis(50)),
            Outcome::NoAnswer(cause) => {
                record.line(&format!(
                    "order {id}: no answer, {cause}; kept channel: {is_kept}"
                ));
                if is_kept {
                    lost.lock().expect("no panic").push(id);
                }
            }
        }
    }
}

/// Sends streams, each on a new channel.
fn send_streams(machine: &Machine, record: &Record, until: Instant) {
    while Instant::now() < until {
        let id = client::new_id();
        let request = format!(
            "POST /dossier/{id} HTTP/1.1\r\nHost: atelier.example\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Model: m\r\nX-Samphiresill-Token-Counts: 1460,80\r\n\
             X-Samphiresill-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\n\
             X-Samphiresill-Deadline-Ms: 12000\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\n\
             Content-Length: 6\r\n\r\nprompt"
        );
        let outcome = Channel::new(machine.addresses.callers).call(&request, STREAM_BUDGET);
        record.line(&format!("stream {id}: {outcome:?}"));
        thread::sleep(Duration::from_millis(30));
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::create(dir));
    let scratch = std::env::temp_dir().join(format!("samphiresill-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (store, store_address) = Store::start();
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    let desks = ["i-desk-1", "i-desk-2"]
        .map(|name| Server::start(name, "carnet", &record, server::sound_service(ORDER_WORK)));
    let engines = [
        Server::start(
            "i-llm-1",
            "llm",
            &record,
            model_server(Arc::clone(&is_in_trouble)),
        ),
        Server::start("i-llm-2", "llm", &record, model_server(Arc::default())),
    ];
    store.write("op", "config", Some(CONFIGURATION));
    for (servers, slots) in [(&desks, 6), (&engines, 64)] {
        for server in servers {
            store.write(
                "servers",
                &server.name,
                Some(&server.entry(slots, "ready", 1)),
            );
        }
    }
    let addresses = [(); 3].map(|()| Addresses::free());
    let fleet = Fleet {
        seeds: addresses.iter().map(|a| a.peers).collect(),
        store: store_address,
        memory_mb: MEMORY_MB,
        dir: scratch.clone(),
    };
    let machines: Vec<Arc<Machine>> = addresses
        .iter()
        .zip(["front-1", "front-2", "front-3"])
        .map(|(a, name)| Machine::start(name, *a, &fleet, GRACE_S, &record))
        .collect();
    for machine in &machines {
        machine.wait_until_ready();
    }
    // Roles and the lists of caches settle.
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let until = began + PLAY_TIME;
    let lost = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..ORDER_CHANNELS {
            scope.spawn(|| send_orders(&machines[0], &record, &lost, until));
        }
        scope.spawn(|| send_streams(&machines[0], &record, until));
        thread::sleep(TROUBLE_AT);
        is_in_trouble.store(has_trouble, Ordering::Relaxed);
    });
    let runs: Vec<String> = desks
        .iter()
        .flat_map(|s| s.runs.lock().expect("no panic").clone())
        .collect();
    let lost = lost.into_inner().expect("no panic");
    let passed_on = lost.iter().filter(|id| runs.contains(id)).count();
    let (ends, peak): (Vec<u32>, Vec<u64>) =
        machines.iter().map(|m| (m.ends(), m.peak_mb())).unzip();
    for machine in &machines {
        machine.close();
    }
    let summary = format!(
        "orders that ran: {}; passed on from a kept channel to a sound server and closed without an \
         answer: {passed_on} (the rule allows {MAX_LOST}); processes that ended: {ends:?}; peak memory \
         in MB: {peak:?}",
        runs.len()
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&scratch);
    passed_on > MAX_LOST
}
