//! Five servers crash, one now and then, between requests that are served whole; then all processes are
//! killed at once. All prompts begin with the same part.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::World;
use crate::machine::{self, Machine};
use crate::manifest::{self, DOSSIER};
use crate::net::{self, Answer};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;

const MACHINES: usize = 6;
const SERVERS: usize = 9;
const CRASHES: usize = 5;
/// How long a server that has crashed is down (`for_s` of `srv_crash` in the site file).
const DOWN_TIME: Duration = Duration::from_millis(2_000);
const BETWEEN_CRASHES: Duration = Duration::from_millis(4_500);
/// From one request to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2_500);
/// How long the processes are down (`down_s` of the site's closing faults: 0.54 to 1.6).
const ALL_DOWN: Duration = Duration::from_millis(1_000);
/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests that are sent after it, one a second.
const REQUESTS_AFTER: u32 = 15;
const WORK: Work = Work {
    events: 55,
    first: Duration::from_millis(60),
    gap: Duration::from_millis(80),
};

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let services = [manifest::model_service("atelier-llm")];
    let document = manifest::document(3, &[DOSSIER], &services, &["workshop"]);
    world.write_manifest(&document, "version 3");
    let zones = machine::AMREN.zones;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let address = crate::free_address();
        let id = format!("i-model-{number}");
        let server = Server::start(record, &id, "atelier-llm", zones[number % 4], address, &[("dossier", WORK)]);
        server.register(&world.store);
        servers.push(server);
    }
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    let (is_over, whole) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let sender = {
        let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
        let (is_over, whole) = (Arc::clone(&is_over), Arc::clone(&whole));
        std::thread::spawn(move || send(&record, &machines, &is_over, &whole))
    };
    wait_for_answers(&whole, 2);
    for _ in 0..CRASHES {
        wait_for_answers(&whole, 1);
        std::thread::sleep(Duration::from_millis(300));
        if world.has_trouble {
            crash_one(&mut servers, record, &world.store);
        }
        std::thread::sleep(BETWEEN_CRASHES);
    }
    // Every crash is followed by whole answers.
    wait_for_answers(&whole, 1);
    let asked = sender_result(&is_over, sender);
    let (sent, served) = (asked.len(), asked.iter().filter(|a| a.is_served()).count());
    if world.has_trouble {
        record.line("all processes are killed");
        machines.iter().for_each(Machine::kill);
        std::thread::sleep(ALL_DOWN);
        machines.iter().for_each(Machine::start);
        record.line("all processes start again");
    }
    std::thread::sleep(RECOVERY);
    let after: Vec<_> = (0..REQUESTS_AFTER)
        .map(|turn| {
            let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
            std::thread::sleep(Duration::from_secs(1));
            std::thread::spawn(move || ask(&record, &machines, 1_000 + turn))
        })
        .collect();
    let after: Vec<Answer> = after.into_iter().map(|a| a.join().expect("a request")).collect();
    let served_after = after.iter().filter(|a| a.is_served()).count();
    if machines.iter().any(Machine::has_ended) {
        crate::record::give_up("a machine has ended");
    }
    if served * 4 < sent {
        crate::record::give_up("less than a quarter was served before the final fault");
    }
    let text = format!(
        "served before the final fault: {served} of {sent}; sent later than {} s after the machines are back: \
         {served_after} of {} served",
        RECOVERY.as_secs(), after.len()
    );
    if served_after * 4 < after.len() { Err(text) } else { Ok(text) }
}

/// Sends a request at each interval, and returns the answers.
fn send(record: &Arc<Record>, machines: &Arc<Vec<Machine>>, is_over: &AtomicBool, whole: &Arc<AtomicUsize>) -> Vec<Answer> {
    let mut requests = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let turn = requests.len() as u32;
        let (record, machines, whole) = (Arc::clone(record), Arc::clone(machines), Arc::clone(whole));
        requests.push(std::thread::spawn(move || {
            let answer = ask(&record, &machines, turn);
            whole.fetch_add(usize::from(answer.is_served()), Ordering::SeqCst);
            answer
        }));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    requests.into_iter().map(|r| r.join().expect("a request")).collect()
}

fn sender_result(is_over: &AtomicBool, sender: std::thread::JoinHandle<Vec<Answer>>) -> Vec<Answer> {
    is_over.store(true, Ordering::SeqCst);
    sender.join().expect("the sender")
}

fn ask(record: &Record, machines: &[Machine], turn: u32) -> Answer {
    let id = crate::request_id(1, turn);
    let parts = format!("ca5e:5382,e{turn:x}:218");
    let text = manifest::stream_request("dossier", "workshop", &id, &parts, "5600,385", 12_000);
    let machine = turn as usize % MACHINES;
    let answer = net::request(record.clock, machines[machine].front, &text, b"", Duration::from_secs(5));
    record.answer(&id, machine, &answer);
    answer
}

/// Waits until so many more requests have been served whole.
fn wait_for_answers(whole: &AtomicUsize, more: usize) {
    let enough = whole.load(Ordering::SeqCst) + more;
    for _ in 0..2_000 {
        if whole.load(Ordering::SeqCst) >= enough {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    crate::record::give_up("no request is served");
}

/// Crashes one server that is at work. It starts again under a new id.
fn crash_one(servers: &mut Vec<Arc<Server>>, record: &Arc<Record>, store: &Arc<Store>) {
    let is_at_work = |s: &Arc<Server>| s.at_work.lock().expect("lock").values().any(|n| *n > 0);
    let Some(index) = servers.iter().position(is_at_work) else {
        crate::record::give_up("no server is at work");
    };
    let crashed = servers.remove(index);
    crashed.crash();
    std::thread::sleep(DOWN_TIME);
    let id = format!("{}-again", crashed.id);
    let (zone, address) = (&crashed.zone, crashed.address);
    let server = Server::start(record, &id, "atelier-llm", zone, address, &[("dossier", WORK)]);
    server.register(store);
    servers.push(server);
    // The entry of the server that crashed goes after three report intervals of silence.
    let store = Arc::clone(store);
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1_600));
        store.write("servers", &crashed.id, None);
    });
}
