//! Case 5: machines that start while the store is down, and proper requests with long heads on channels
//! that were opened meanwhile.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Channel, Outcome};
use crate::gateway::{Addresses, Fleet, GRACE_S, Machine};
use crate::record::Record;
use crate::server::{self, Server};
use crate::store::Store;

/// Memory limit of a machine, as on the site sheet of amren-atelier.
const MEMORY_MB: u64 = 110;
/// When the store goes down and the processes are killed, counted from the first request.
const TROUBLE_AT: Duration = Duration::from_secs(4);
/// How long the store is down: the site's `platform_down` has 4.5 s.
const DOWN_TIME: Duration = Duration::from_millis(4_500);
/// When the requests with long heads are sent that count: `recovery_s` of 12 s after the trouble.
const JUDGED_AT: Duration = Duration::from_secs(21);
const PLAY_TIME: Duration = Duration::from_secs(26);
/// Requesters, each with a channel that it keeps as long as the channel lasts.
const REQUESTERS: usize = 24;
/// Pause of a requester between two requests.
const PAUSE: Duration = Duration::from_millis(250);
/// Length of the header that makes a head long. The manifest allows heads of 16,384 bytes.
const LONG_HEADER_BYTES: usize = 9_000;
const BUDGET: Duration = Duration::from_millis(1_500);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-status","hostname":"atelier.example","prefix":"/status/","route_type":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"carnet","max_attempts":2,"anonymous":false}],
"services":[{"name":"carnet","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000},
"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// What the requesters saw.
#[derive(Default)]
struct Tally {
    sent: AtomicU32,
    long_served: AtomicU32,
    denied: AtomicU32,
}

/// Sends requests on a kept channel: one with a long head before the trouble and one at `JUDGED_AT`, the
/// others with short heads.
fn send(address: std::net::SocketAddr, record: &Record, tally: &Tally, began: Instant) {
    let mut channel = Channel::new(address);
    let mut long_due = [Duration::from_secs(1), JUDGED_AT].into_iter().peekable();
    while began.elapsed() < PLAY_TIME {
        let is_long = long_due.next_if(|due| began.elapsed() >= *due).is_some();
        let long = if is_long {
            format!("X-Case-History: {}\r\n", "h".repeat(LONG_HEADER_BYTES))
        } else {
            String::new()
        };
        let id = client::new_id();
        let request = format!(
            "GET /status/{id} HTTP/1.1\r\nHost: atelier.example\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Deadline-Ms: 1500\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\n{long}\r\n"
        );
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let outcome = channel.call(&request, BUDGET);
        let mut pause = PAUSE;
        if let Outcome::Answered(answer) = &outcome {
            match answer.status() {
                200 if is_long => drop(tally.long_served.fetch_add(1, Ordering::Relaxed)),
                400..=407 | 409..=420 | 422..=428 | 430..=499 => {
                    tally.denied.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            // As requesters do: up to a third of the time that they have.
            let retry_after = answer.header("retry-after").parse().unwrap_or(0.0_f64);
            pause = pause.max(Duration::from_secs_f64(retry_after).min(BUDGET / 3));
        }
        let length = if is_long { "long" } else { "short" };
        record.line(&format!("{id} ({length} head): {outcome:?}"));
        thread::sleep(pause);
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::create(dir));
    let scratch = std::env::temp_dir().join(format!("samphiresill-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (store, store_address) = Store::start();
    let work = Duration::from_millis(30);
    let desks = ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"]
        .map(|name| Server::start(name, "carnet", &record, server::sound_service(work)));
    store.write("op", "config", Some(CONFIGURATION));
    for server in &desks {
        store.write("servers", &server.name, Some(&server.entry(6, "ready", 1)));
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
    thread::sleep(Duration::from_secs(2));
    let tally = Tally::default();
    let began = Instant::now();
    thread::scope(|scope| {
        for number in 0..REQUESTERS {
            let address = machines[number % machines.len()].addresses.callers;
            let (record, tally) = (&record, &tally);
            scope.spawn(move || send(address, record, tally, began));
        }
        thread::sleep(TROUBLE_AT);
        if has_trouble {
            record.line("the store is down");
            store.set_down(true);
            machines.iter().for_each(|m| m.kill());
            thread::sleep(DOWN_TIME);
            record.line("the store is up");
            store.set_down(false);
        }
    });
    for machine in &machines {
        machine.close();
    }
    let [sent, long_served, denied] =
        [&tally.sent, &tally.long_served, &tally.denied].map(|n| n.load(Ordering::Relaxed));
    let allowed = 5 + sent / 500;
    let summary = format!(
        "requests sent: {sent}; served of the {} with long heads: {long_served}; proper requests denied \
         with a 4xx: {denied} (the rule allows {allowed})",
        2 * REQUESTERS
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&scratch);
    denied > allowed
}
