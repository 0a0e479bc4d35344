//! A server leaves while the machines that watch the store are killed and start again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::World;
use crate::machine::{self, Machine};
use crate::manifest::{self, Route};
use crate::net;
use crate::record::Record;
use crate::server::{Server, Work};

const MACHINES: usize = 6;
const SERVERS: usize = 4;
/// `drain_timeout_ms` of the site.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a server serves on after the store has accepted that it is gone: the drain timeout and
/// some seconds.
const SERVES_ON: Duration = Duration::from_millis(6_000);
/// From the kill to the removal of the entry, and from there to the new start of the processes.
const REMOVED_AFTER: Duration = Duration::from_millis(100);
const STARTED_AFTER: Duration = Duration::from_millis(200);
/// Time without trouble between two rounds; `stable_window_ms` of the site is 3,000.
const CALM: Duration = Duration::from_millis(4_000);
/// Servers that are replaced, one after the other, each while the machines are killed.
const ROUNDS: usize = 4;
/// Between the requests to one machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(700);

/// A route like `job-status`.
const STATUS: Route = Route {
    prefix: "status",
    kind: "safe",
    service: "carnet-commandes",
    timeout_ms: 800,
    aim_ms: 300,
    gap_ms: 0,
    attempts: 2,
    can_resume: false,
};

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let zones = machine::AMREN.zones;
    let service = r#"{"name":"carnet-commandes","health_path":"/health","max_connections":110}"#;
    let document = manifest::document(3, &[STATUS], &[service.to_owned()], &["workshop"]);
    world.write_manifest(&document, "version 3");
    let start_server = |number: usize| {
        let id = format!("i-plain-{number}");
        let any = ([127, 0, 0, 1], 0).into();
        let work = [("status", Work::Plain { time: Duration::from_millis(60) })];
        let server = Server::start(record, &id, STATUS.service, zones[number % zones.len()], any, &work);
        server.register(&world.store);
        server
    };
    let mut servers: Vec<Arc<Server>> = (0..SERVERS).map(start_server).collect();
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    // The machines that watch the store: the first one by address of each of the first three zones. They
    // are the seeds, too.
    let first_of = |zone: &&str| {
        let in_zone = machines.iter().filter(|m| m.zone == *zone);
        in_zone.min_by_key(|m| m.control()).map(|m| m.number).expect("a machine in each zone")
    };
    let killed: Vec<usize> = zones.iter().take(3).map(first_of).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..MACHINES)
        .filter(|number| !killed.contains(number))
        .map(|number| {
            let (record, machines, is_over) = (Arc::clone(record), Arc::clone(&machines), Arc::clone(&is_over));
            std::thread::spawn(move || send(&record, &machines[number], &is_over))
        })
        .collect();
    std::thread::sleep(CALM);
    let mut result = Ok(format!("no request reaches any of {ROUNDS} servers after the drain timeout"));
    for round in 0..ROUNDS {
        let leaving = servers.remove(0);
        servers.push(start_server(SERVERS + round));
        std::thread::sleep(Duration::from_secs(2));
        if world.has_trouble {
            record.line(&format!("the processes of machines {killed:?} are killed"));
            killed.iter().for_each(|number| machines[*number].kill());
        }
        std::thread::sleep(REMOVED_AFTER);
        leaving.leave(&world.store);
        let gone_at = record.now();
        record.line(&format!("the store acknowledges that server {} is gone; it serves on", leaving.id));
        std::thread::sleep(STARTED_AFTER);
        if world.has_trouble {
            killed.iter().for_each(|number| machines[*number].start());
            record.line("the killed processes start again");
        }
        std::thread::sleep(SERVES_ON - STARTED_AFTER);
        leaving.crash();
        let late = record.all_arrivals().into_values().flatten();
        let late = late.filter(|a| a.server == leaving.id && a.at > gone_at + DRAIN_TIMEOUT);
        let late: Vec<Duration> = late.map(|a| a.at - gone_at).collect();
        if let Some(last) = late.iter().max() {
            result = Err(format!(
                "in round {}, {} requests reach the server later than {} ms after the ack, the last one after {} ms, \
                 all of them by machines without any impairment",
                round + 1, late.len(), DRAIN_TIMEOUT.as_millis(), last.as_millis()
            ));
            break;
        }
        std::thread::sleep(CALM);
    }
    is_over.store(true, Ordering::SeqCst);
    for sender in senders {
        sender.join().expect("a sender");
    }
    if machines.iter().any(Machine::has_ended) {
        crate::record::give_up("a machine has ended");
    }
    result
}

fn send(record: &Record, machine: &Machine, is_over: &AtomicBool) {
    let mut turn = 0;
    while !is_over.load(Ordering::SeqCst) {
        turn += 1;
        let id = crate::request_id(machine.number as u32 + 1, turn);
        let text = format!(
            "GET /status/2f HTTP/1.1\r\nHost: {}\r\nX-Samphiresill-Attempt-Id: {id}\r\n\
             X-Samphiresill-Deadline-Ms: 1500\r\nApi-Key: {}\r\n\r\n",
            manifest::HOST, manifest::key("workshop")
        );
        let answer = net::request(record.clock, machine.front, &text, b"", Duration::from_secs(2));
        record.answer(&id, machine.number, &answer);
        std::thread::sleep(REQUEST_INTERVAL);
    }
}
