//! Servers crash one after the other, each while it runs a long stream of one tenant. No request crashes
//! them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::World;
use crate::machine::{self, Machine};
use crate::manifest::{self, DOSSIER};
use crate::net::{self, Answer};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;

const MACHINES: usize = 4;
const SERVERS: usize = 9;
const CRASHES: u32 = 4;
/// How long a server that has crashed is down (`for_s` of `srv_crash` in the site file).
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// `stable_window_ms` of the site, and a margin.
const CALM_AFTER: Duration = Duration::from_millis(5_000);
/// Seconds of the rule.
const WINDOW_S: usize = 6;
const LOUD_SENDERS: u32 = 8;
const QUIET_TOKENS: u64 = 5_600 + 2 * 385;
const LOUD_TOKENS: u64 = 1_800 + 2 * 40;

/// A request of the calm seconds: when it was sent, its tokens, and whether a run began.
type Asked = (Duration, u64, bool);

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let services = [manifest::model_service("atelier-llm")];
    let short = manifest::Route { prefix: "check", timeout_ms: 3_000, aim_ms: 600, ..DOSSIER };
    let document = manifest::document(3, &[DOSSIER, short], &services, &["loud", "quiet"]);
    world.write_manifest(&document, "version 3");
    let zones = machine::AMREN.zones;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let address = crate::free_address();
        let id = format!("i-model-{number}");
        let server = Server::start(record, &id, "atelier-llm", zones[number % 4], address, &work());
        server.register(&world.store);
        servers.push(server);
    }
    let servers = Arc::new(Mutex::new(servers));
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    let is_over = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<(&'static str, Asked)>>> = Arc::default();
    let mut senders = Vec::new();
    for number in 0..LOUD_SENDERS {
        let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
        let (is_over, asked) = (Arc::clone(&is_over), Arc::clone(&asked));
        senders.push(std::thread::spawn(move || {
            let mut turn = 0;
            while !is_over.load(Ordering::SeqCst) {
                turn += 1;
                let id = crate::request_id(100 + number, turn);
                let parts = format!("c{:x}:341,d{number:x}{turn:x}:1459", turn % 5);
                let machine = (number + turn) as usize % MACHINES;
                let text = manifest::stream_request("check", "loud", &id, &parts, "1800,40", 3_000);
                let answer = ask(&record, &machines, machine, &id, &text);
                let request = (answer.sent_at, LOUD_TOKENS, answer.status == 200);
                asked.lock().expect("lock").push(("loud", request));
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    for turn in 0..CRASHES {
        let sender = {
            let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
            std::thread::spawn(move || quiet_request(&record, &machines, 10 + turn))
        };
        std::thread::sleep(Duration::from_millis(1_200));
        if world.has_trouble {
            crash_server_of("quiet", &servers, record, &world.store);
        }
        if sender.join().expect("a sender").status == 0 {
            crate::record::give_up("a machine did not answer");
        }
    }
    std::thread::sleep(DOWN_TIME + CALM_AFTER);
    record.line("calm seconds begin");
    let calm_at = record.now();
    let mut quiet_senders = Vec::new();
    for turn in 0..(WINDOW_S as u32 * 3 + 3) {
        let (record, machines, asked) = (Arc::clone(record), Arc::clone(&machines), Arc::clone(&asked));
        quiet_senders.push(std::thread::spawn(move || {
            let answer = quiet_request(&record, &machines, 100 + turn);
            let request = (answer.sent_at, QUIET_TOKENS, answer.status == 200);
            asked.lock().expect("lock").push(("quiet", request));
        }));
        std::thread::sleep(Duration::from_millis(333));
    }
    for sender in quiet_senders {
        sender.join().expect("a sender");
    }
    is_over.store(true, Ordering::SeqCst);
    for sender in senders {
        sender.join().expect("a sender");
    }
    if machines.iter().any(Machine::has_ended) {
        crate::record::give_up("a machine has ended");
    }
    let convicted = machines.iter().filter(|m| m.log().contains("prompt part quarantined")).count();
    record.line(&format!("{convicted} machines logged a conviction of a prompt part"));
    judge(&asked.lock().expect("lock"), calm_at)
}

fn work() -> Vec<(&'static str, Work)> {
    let stream = |events, gap_ms| Work {
        events,
        first: Duration::from_millis(60),
        gap: Duration::from_millis(gap_ms),
    };
    vec![("dossier", stream(55, 60)), ("check", stream(4, 20))]
}

fn ask(record: &Record, machines: &[Machine], machine: usize, id: &str, text: &str) -> Answer {
    let answer = net::request(record.clock, machines[machine].front, text, b"", Duration::from_secs(5));
    record.answer(id, machine, &answer);
    answer
}

/// A request of the quiet tenant: all of its prompts begin with the same part.
fn quiet_request(record: &Record, machines: &[Machine], turn: u32) -> Answer {
    let id = crate::request_id(1, turn);
    let parts = format!("ca5e:5382,e{turn:x}:218");
    let text = manifest::stream_request("dossier", "quiet", &id, &parts, "5600,385", 12_000);
    ask(record, machines, turn as usize % MACHINES, &id, &text)
}

/// Crashes the server at which a request of the tenant is at work. It starts again under a new id.
fn crash_server_of(
    tenant: &str,
    servers: &Arc<Mutex<Vec<Arc<Server>>>>,
    record: &Arc<Record>,
    store: &Arc<Store>,
) {
    let is_at_work = |s: &Arc<Server>| s.at_work.lock().expect("lock").get(tenant).is_some_and(|n| *n > 0);
    let found = servers.lock().expect("lock").iter().position(is_at_work);
    let Some(index) = found else {
        crate::record::give_up("no server runs the tenant's request");
    };
    let crashed = Arc::clone(&servers.lock().expect("lock")[index]);
    crashed.crash();
    let (servers, record, store) = (Arc::clone(servers), Arc::clone(record), Arc::clone(store));
    std::thread::spawn(move || {
        std::thread::sleep(DOWN_TIME);
        let id = format!("{}-again", crashed.id);
        let (zone, address) = (&crashed.zone, crashed.address);
        let server = Server::start(&record, &id, "atelier-llm", zone, address, &work());
        server.register(&store);
        servers.lock().expect("lock")[index] = server;
        // The entry of the server that crashed goes after three report intervals of silence.
        std::thread::sleep(Duration::from_millis(1_600));
        store.write("servers", &crashed.id, None);
    });
}

/// FAIR: in six calm seconds the tenant gets, second by second, less than half of what it asked or
/// of what the best served tenant got, whichever is less, less three of the largest requests.
fn judge(asked: &[(&'static str, Asked)], calm_at: Duration) -> Result<String, String> {
    let sum = |tenant: &str, second: usize, only_begun: bool| -> u64 {
        let from = calm_at + Duration::from_secs(second as u64);
        let is_counted = |(name, (at, _, has_begun)): &&(&str, Asked)| {
            *name == tenant && *at >= from && *at < from + Duration::from_secs(1) && (*has_begun || !only_begun)
        };
        asked.iter().filter(is_counted).map(|(_, (_, tokens, _))| tokens).sum()
    };
    let (mut owed, mut got, mut wanted) = (0, 0, 0);
    let mut refused_seconds = 0;
    for second in 0..WINDOW_S {
        let asked_now = sum("quiet", second, false);
        let got_now = sum("quiet", second, true);
        let best = sum("loud", second, true).max(got_now);
        refused_seconds += usize::from(got_now < asked_now);
        owed += asked_now.min(best) / 2;
        got += got_now;
        wanted += asked_now;
    }
    let owed = owed.saturating_sub(3 * QUIET_TOKENS);
    let text = format!(
        "in six calm seconds the tenant asked {wanted} tokens and got {got}, owed were {owed}; it was refused in {refused_seconds} of the seconds"
    );
    if refused_seconds == WINDOW_S && got < owed { Err(text) } else { Ok(text) }
}
