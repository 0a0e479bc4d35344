//! A manifest adds a model service whose servers have registered before.

use std::sync::Arc;
use std::time::Duration;

use crate::World;
use crate::machine;
use crate::manifest::{self, DOSSIER, Route};
use crate::net::{self, Answer};
use crate::server::{Server, Work};

/// `config_deadline_ms` of the site, and a margin.
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(1_500);
/// Requests to each of the two routes at each machine.
const REQUESTS: u32 = 12;
const MACHINES: usize = 6;

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let later = Route { prefix: "second", service: "atelier-second", ..DOSSIER };
    let first_service = manifest::model_service("atelier-llm");
    let both_services = [first_service.clone(), manifest::model_service("atelier-second")];
    let before = manifest::document(3, &[DOSSIER], &[first_service], &["workshop"]);
    let after = manifest::document(8, &[DOSSIER, later], &both_services, &["workshop"]);
    if world.has_trouble {
        world.write_manifest(&before, "version 3, the service atelier-llm with its route");
    } else {
        world.write_manifest(&after, "version 8, both services with their routes");
    }
    let work = |prefix| {
        let work = Work {
            events: 5,
            first: Duration::from_millis(60),
            gap: Duration::from_millis(40),
        };
        vec![(prefix, work)]
    };
    let zones = machine::AMREN.zones;
    let mut servers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let id = format!("i-first-{number}");
        servers.push(Server::start(record, &id, "atelier-llm", zone, crate::free_address(), &work("dossier")));
    }
    for server in &servers {
        server.register(&world.store);
    }
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    for (number, zone) in zones.iter().enumerate() {
        let id = format!("i-second-{number}");
        let server = Server::start(record, &id, "atelier-second", zone, crate::free_address(), &work("second"));
        server.register(&world.store);
        servers.push(server);
    }
    std::thread::sleep(Duration::from_secs(5));
    if world.has_trouble {
        world.write_manifest(&after, "version 8 adds the service atelier-second and its route");
    }
    std::thread::sleep(CONFIG_DEADLINE + MARGIN);
    let mut senders = Vec::new();
    for number in 0..machines.len() {
        let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
        senders.push(std::thread::spawn(move || {
            let (mut first, mut second): (Vec<Answer>, Vec<Answer>) = Default::default();
            for turn in 0..REQUESTS * 2 {
                let prefix = if turn % 2 == 0 { "dossier" } else { "second" };
                let id = crate::request_id(number as u32 + 1, turn);
                let parts = format!("a{turn:x}:400,b{number:x}{turn:x}:600");
                let text = manifest::stream_request(prefix, "workshop", &id, &parts, "1000,80", 12_000);
                let answer = net::request(record.clock, machines[number].front, &text, b"", Duration::from_secs(5));
                record.answer(&id, number, &answer);
                if turn % 2 == 0 { first.push(answer) } else { second.push(answer) }
                std::thread::sleep(Duration::from_millis(300));
            }
            (first, second)
        }));
    }
    let (mut first, mut second): (Vec<Answer>, Vec<Answer>) = Default::default();
    for sender in senders {
        let (a, b) = sender.join().expect("a sender");
        first.extend(a);
        second.extend(b);
    }
    let served = |answers: &[Answer]| answers.iter().filter(|a| a.is_served()).count();
    let share = |answers: &[Answer]| served(answers) as f64 / answers.len() as f64;
    let text = format!(
        "{} of {} requests to the route that was added are served, {} of {} to the first route",
        served(&second), second.len(), served(&first), first.len()
    );
    if machines.iter().any(machine::Machine::has_ended) {
        crate::record::give_up("a machine has ended");
    }
    if second.len() >= 20 && share(&second) < share(&first) / 4.0 { Err(text) } else { Ok(text) }
}
