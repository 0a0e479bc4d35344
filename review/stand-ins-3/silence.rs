//! A sound model server pauses within a stream around a SIGHUP.

use std::sync::Arc;
use std::time::Duration;

use crate::World;
use crate::machine;
use crate::manifest::{self, QUERY};
use crate::net;
use crate::server::{Server, Work};

/// Pause of a run that is preempted and read again: less than the 4.8 s (eight times the route's
/// pause) after which requesters abandon a stream.
const PAUSE: Duration = Duration::from_millis(3_200);
const PATIENCE: Duration = Duration::from_millis(4_800);
const EVENTS: usize = 12;
const MACHINES: usize = 3;
/// Seven tenths of the requester's time budget: a request that has used more does not count.
const MOST_OF_BUDGET: Duration = Duration::from_millis(7_000);

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let services = [manifest::model_service("atelier-llm")];
    let document = manifest::document(3, &[QUERY], &services, &["workshop"]);
    world.write_manifest(&document, "version 3");
    let zones = machine::AMREN.zones;
    let work = Work::Stream {
        events: EVENTS,
        first: Duration::from_millis(60),
        gap: Duration::from_millis(50),
        pause_after: 3,
        pause: if world.has_trouble { PAUSE } else { Duration::ZERO },
    };
    let mut servers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let id = format!("i-model-{number}");
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(record, &id, "atelier-llm", zone, any, &[("query", work.clone())]);
        server.register(&world.store);
        servers.push(server);
    }
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    std::thread::sleep(Duration::from_secs(3));
    record.line("machine 0 gets SIGHUP");
    machines[0].signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    let senders: Vec<_> = (0..2_u32)
        .map(|number| {
            let (record, machines) = (Arc::clone(record), Arc::clone(&machines));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(400) * number);
                let id = crate::request_id(1, number);
                let parts = format!("a{number:x}:120,b{number:x}:500");
                let text = manifest::stream_request("query", "workshop", &id, &parts, "620,300", 10_000);
                let answer = net::request(record.clock, machines[0].front, &text, b"", PATIENCE);
                record.answer(&id, 0, &answer);
                (id, answer)
            })
        })
        .collect();
    let mut cut = Vec::new();
    let mut whole = 0;
    for sender in senders {
        let (id, answer) = sender.join().expect("a sender");
        let runs = record.arrivals(&id).iter().filter(|a| a.how == "runs").count();
        let took = answer.ended_at - answer.sent_at;
        if answer.is_served() && answer.events() == EVENTS {
            whole += 1;
        } else if runs > 0 && !answer.is_complete && took < MOST_OF_BUDGET {
            cut.push(format!(
                "{id} ended after {:.1} s of its 10 s with {} of {EVENTS} events, {runs} sound servers were at work on it",
                took.as_secs_f64(), answer.events()
            ));
        }
    }
    if cut.is_empty() {
        Ok(format!("{whole} streams are whole"))
    } else {
        Err(cut.join("; "))
    }
}
