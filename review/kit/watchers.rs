//! Cases 4 and 5: the store turns some machines away, while a key is taken away.

use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Channel, Outcome};
use crate::gateway::{Addresses, Fleet, GRACE_S, Machine};
use crate::record::Record;
use crate::server::{self, Server};
use crate::store::Store;

/// Memory limit of a machine, as on the site sheet of amren-atelier.
const MEMORY_MB: u64 = 110;
/// The seeds of a fleet are its first machines.
const SEEDS: usize = 3;
/// `for_s` of the site's `platform_down` for some machines.
const AWAY_TIME: Duration = Duration::from_secs(9);
/// Time from its beginning to the manifest without the key.
const REVOKED_AFTER: Duration = Duration::from_millis(500);
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
const PLAY_TIME: Duration = Duration::from_secs(16);
const PAUSE: Duration = Duration::from_millis(50);
const BUDGET: Duration = Duration::from_millis(1_500);
/// Keys that stay, and that is taken away.
const KEYS: [&str; 2] = ["asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"];

/// How the store turns machines away.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// It does not answer three of nine machines, the seeds.
    Silent,
    /// It refuses six of eighteen machines, the schedulers, with 503.
    Refused,
}

impl Away {
    /// Numbers of machines in all, and of those that are turned away: the first ones, a third of all.
    fn machines(self) -> (usize, Vec<usize>) {
        match self {
            Self::Silent => (9, (0..3).collect()),
            Self::Refused => (18, (0..6).collect()),
        }
    }

    fn begin(self, store: &Store, machines: &[usize]) {
        match self {
            Self::Silent => store.turn_away(machines),
            Self::Refused => store.refuse(machines),
        }
    }
}

fn configuration(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let routes = r#"[{"name":"r-order","hostname":"atelier.example","prefix":"/order/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"carnet","max_attempts":1,"anonymous":false}]"#;
    let services = r#"[{"name":"carnet","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}]"#;
    let limits = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000}"#;
    format!(
        "{{\"version\":{version},\"routes\":{routes},\"services\":{services},\"limits\":{limits},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

/// Sends orders with the key that is taken away. Counts those that are served although they were sent
/// later than `config_deadline_ms` after the ack.
fn send(
    machine: &Machine,
    record: &Record,
    acked: &Mutex<Option<Instant>>,
    late: &AtomicU32,
    until: Instant,
) {
    let mut channel = Channel::new(machine.addresses.callers);
    while Instant::now() < until {
        let id = client::new_id();
        let request = format!(
            "POST /order/{id} HTTP/1.1\r\nHost: atelier.example\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Deadline-Ms: 1500\r\nApi-Key: {}\r\nContent-Length: 5\r\n\r\norder",
            KEYS[1]
        );
        let age = acked.lock().expect("no panic").map(|at| at.elapsed());
        let outcome = channel.call(&request, BUDGET);
        let is_served = matches!(&outcome, Outcome::Answered(answer) if answer.status() == 200);
        let is_late = is_served && age.is_some_and(|age| age > CONFIG_DEADLINE);
        late.fetch_add(u32::from(is_late), Ordering::Relaxed);
        let age = age.map_or("before the ack".to_owned(), |a| {
            format!("{} ms after the ack", a.as_millis())
        });
        let mark = if is_late { ", TOO LATE" } else { "" };
        record.line(&format!(
            "{}: order {id}, {age}: {outcome:?}{mark}",
            machine.name
        ));
        thread::sleep(PAUSE);
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool, away: Away) -> bool {
    let (count, turned_away) = away.machines();
    let record = Arc::new(Record::create(dir));
    let scratch = std::env::temp_dir().join(format!("samphiresill-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (store, _) = Store::start();
    let work = Duration::from_millis(30);
    let desks = ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"]
        .map(|name| Server::start(name, "carnet", &record, server::sound_service(work)));
    store.write("op", "config", Some(&configuration(7, &KEYS)));
    for server in &desks {
        store.write("servers", &server.name, Some(&server.entry(6, "ready", 1)));
    }
    let addresses: Vec<Addresses> = (0..count).map(|_| Addresses::free()).collect();
    let seeds: Vec<_> = addresses[..SEEDS].iter().map(|a| a.peers).collect();
    let start = |number: usize| {
        let fleet = Fleet {
            seeds: seeds.clone(),
            store: store.open_for(number),
            memory_mb: MEMORY_MB,
            dir: scratch.clone(),
        };
        let name = format!("front-{}", number + 1);
        Machine::start(&name, addresses[number], &fleet, GRACE_S, &record)
    };
    let machines: Vec<Arc<Machine>> = (0..count).map(start).collect();
    for machine in &machines {
        machine.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(4));
    let acked = Mutex::new(None);
    let late = AtomicU32::new(0);
    let until = Instant::now() + PLAY_TIME;
    thread::scope(|scope| {
        // Only at machines that the store answers all the while.
        for machine in machines
            .iter()
            .enumerate()
            .filter(|(n, _)| !turned_away.contains(n))
        {
            let (record, acked, late) = (&record, &acked, &late);
            scope.spawn(move || send(machine.1, record, acked, late, until));
        }
        thread::sleep(Duration::from_secs(2));
        if has_trouble {
            record.line(&format!(
                "the store turns away the first {} machines",
                turned_away.len()
            ));
            away.begin(&store, &turned_away);
        }
        thread::sleep(REVOKED_AFTER);
        store.write("op", "config", Some(&configuration(8, &KEYS[..1])));
        *acked.lock().expect("no panic") = Some(Instant::now());
        record.line(&format!(
            "manifest 8, without the key {}, is acked",
            KEYS[1]
        ));
        thread::sleep(AWAY_TIME - REVOKED_AFTER);
        away.begin(&store, &[]);
        record.line("the store answers all machines");
    });
    for machine in &machines {
        machine.close();
    }
    let late = late.load(Ordering::Relaxed);
    let summary = format!(
        "orders with a key that was taken away, sent later than config_deadline_ms after the ack and run by \
         machines in touch: {late} (the rule allows none)"
    );
    record.line(&summary);
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&scratch);
    late > 0
}
