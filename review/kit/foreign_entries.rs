//! Cases 2 and 3: entries of another writer in the table of servers, and a restart of all processes.

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
/// Large entries that another writer puts among the servers, each of the `row_bytes` that a row may hold.
const LARGE_ROWS: u32 = 20;
const ROW_BYTES: usize = 65_536;
/// Part of the table in which another writer puts its small entries; those of servers have none.
const OTHER_PART: &str = "archive";
/// When all processes are killed, counted from the first request.
const KILLED_AT: Duration = Duration::from_secs(7);
/// When the requests are sent that count: more than `recovery_s` of 12 s after the machines are back.
const JUDGED_AT: Duration = Duration::from_secs(21);
const PLAY_TIME: Duration = Duration::from_secs(27);
const REQUESTERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(100);
const BUDGET: Duration = Duration::from_millis(1_500);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-status","hostname":"atelier.example","prefix":"/status/","route_type":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"carnet","max_attempts":2,"anonymous":false}],
"services":[{"name":"carnet","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000},
"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// What the other writer does.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Writer {
    /// It puts large entries, before the processes are killed.
    LargeRows,
    /// It puts a small entry in another part for each server, under the same key, after the processes
    /// are back.
    OtherPart,
}

impl Writer {
    /// When it writes, counted from the first request.
    fn writes_at(self) -> Duration {
        match self {
            Self::LargeRows => Duration::from_secs(3),
            Self::OtherPart => Duration::from_secs(12),
        }
    }

    /// Writes entries of bytes that can't be read.
    fn write(self, store: &Store, servers: &[Arc<Server>], record: &Record) {
        let put = |part: &str, key: &str, length: usize| {
            store.write_bytes("servers", part, key, Some(&vec![0xff; length]));
            record.line(&format!(
                "another writer puts {length} bytes: servers, part {part:?}, key {key:?}"
            ));
        };
        match self {
            Self::LargeRows => {
                for number in 1..=LARGE_ROWS {
                    put("", &format!("copy of servers {number:02}"), ROW_BYTES);
                }
            }
            Self::OtherPart => servers.iter().for_each(|s| put(OTHER_PART, &s.name, 100)),
        }
    }
}

/// Requests before the kill, and of those that count after it: all, and the served ones.
#[derive(Default)]
struct Tally {
    before: [AtomicU32; 2],
    after: [AtomicU32; 2],
}

fn send(address: std::net::SocketAddr, record: &Record, tally: &Tally, began: Instant) {
    let mut channel = Channel::new(address);
    while began.elapsed() < PLAY_TIME {
        let sent_at = began.elapsed();
        let id = client::new_id();
        let request = format!(
            "GET /status/{id} HTTP/1.1\r\nHost: atelier.example\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Deadline-Ms: 1500\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\n\r\n"
        );
        let outcome = channel.call(&request, BUDGET);
        let is_served = matches!(&outcome, Outcome::Answered(answer) if answer.status() == 200);
        let counted = if sent_at < KILLED_AT {
            Some(&tally.before)
        } else if sent_at >= JUDGED_AT {
            Some(&tally.after)
        } else {
            None
        };
        if let Some([all, served]) = counted {
            all.fetch_add(1, Ordering::Relaxed);
            served.fetch_add(u32::from(is_served), Ordering::Relaxed);
        }
        record.line(&format!("{id}: {outcome:?}"));
        let mut pause = PAUSE;
        if let Outcome::Answered(answer) = &outcome {
            let retry_after = answer.header("retry-after").parse().unwrap_or(0.0_f64);
            pause = pause.max(Duration::from_secs_f64(retry_after).min(BUDGET / 3));
        }
        thread::sleep(pause);
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool, writer: Writer) -> bool {
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
        let until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
        let write_at = |at: Duration| {
            if has_trouble && writer.writes_at() == at {
                until(at);
                writer.write(&store, &desks, &record);
            }
        };
        write_at(Writer::LargeRows.writes_at());
        until(KILLED_AT);
        machines.iter().for_each(|m| m.kill());
        write_at(Writer::OtherPart.writes_at());
    });
    for machine in &machines {
        machine.close();
    }
    let [before, after] = [&tally.before, &tally.after]
        .map(|[all, served]| (all.load(Ordering::Relaxed), served.load(Ordering::Relaxed)));
    let summary = format!(
        "served before the kill: {} of {}; later than recovery_s after it: {} of {} (the rule asks for a quarter)",
        before.1, before.0, after.1, after.0
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&scratch);
    before.1 * 4 >= before.0 && after.1 * 4 < after.0
}
