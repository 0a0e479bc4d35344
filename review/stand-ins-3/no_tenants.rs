//! A manifest that contains no tenants, under which requests carry no key.

use std::time::Duration;

use crate::World;
use crate::machine::{self, Machine};
use crate::manifest::{self, DOSSIER};
use crate::net;
use crate::server::{Server, Work};

const MACHINES: usize = 3;
const REQUESTS: u32 = 60;
/// `config_deadline_ms` of the site, and a margin.
const IN_FORCE: Duration = Duration::from_millis(3_500);

pub fn play(world: &World) -> Result<String, String> {
    let record = &world.record;
    let services = [manifest::model_service("atelier-llm")];
    let with_tenants = |version| manifest::document(version, &[DOSSIER], &services, &["workshop"]);
    let without_tenants = |version| {
        let document = manifest::document(version, &[DOSSIER], &services, &[]);
        document.replace(r#""tenants":[],"#, "")
    };
    world.write_manifest(&with_tenants(3), "version 3, with one tenant");
    let work = Work {
        events: 5,
        first: Duration::from_millis(60),
        gap: Duration::from_millis(20),
    };
    for (number, zone) in machine::AMREN.zones.iter().enumerate() {
        let id = format!("i-model-{number}");
        let address = crate::free_address();
        let server = Server::start(record, &id, "atelier-llm", zone, address, &[("dossier", work)]);
        server.register(&world.store);
    }
    let machines = world.start_machines(MACHINES, &machine::AMREN);
    if world.has_trouble {
        world.write_manifest(&without_tenants(7), "version 7, the same without `tenants`");
    } else {
        world.write_manifest(&with_tenants(7), "version 7, the same");
    }
    std::thread::sleep(IN_FORCE);
    let (mut denied, mut served) = (0, 0);
    for turn in 0..REQUESTS {
        let id = crate::request_id(1, turn);
        let parts = format!("a{:x}:341,b{turn:x}:659", turn % 5);
        let text = manifest::stream_request("dossier", "workshop", &id, &parts, "1000,35", 12_000);
        let key = format!("Api-Key: {}\r\n", manifest::key("workshop"));
        let text = if world.has_trouble { text.replace(&key, "") } else { text };
        let machine = turn as usize % MACHINES;
        let answer = net::request(record.clock, machines[machine].front, &text, b"", Duration::from_secs(5));
        record.answer(&id, machine, &answer);
        denied += usize::from((300..500).contains(&answer.status) && !matches!(answer.status, 408 | 421 | 429));
        served += usize::from(answer.is_served());
    }
    if machines.iter().any(Machine::has_ended) {
        crate::record::give_up("a machine has ended");
    }
    let text = format!("{denied} of {REQUESTS} proper requests are denied, {served} are served");
    if denied > 5 + REQUESTS as usize / 500 { Err(text) } else { Ok(text) }
}
