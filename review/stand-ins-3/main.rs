//! Stand-ins and cases of the third review. `stand-ins CASE DIR` plays a case and writes DIR/record.txt.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With `TROUBLE=0` the case
//! is played without the disruption.

mod json;
mod machine;
mod manifest;
mod net;
mod new_service;
mod no_tenants;
mod quarantine;
mod record;
mod recover;
mod server;
mod store;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use machine::{Machine, Site};
use record::Record;
use store::Store;

/// Longest time of a case, and a margin to the 120 s that it may take.
const LONGEST: Duration = Duration::from_secs(112);

/// Addresses that `free_address` has given out.
static GIVEN_OUT: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// `World` is what every case needs.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub dir: PathBuf,
    pub has_trouble: bool,
}

impl World {
    /// Starts machines and waits until they are ready and know each other.
    pub fn start_machines(&self, count: usize, site: &Site) -> Arc<Vec<Machine>> {
        let machines = machine::prepare(count, site, self.store.address, &self.dir);
        for machine in &machines {
            machine.start();
        }
        machine::wait_until_ready(&machines);
        std::thread::sleep(Duration::from_secs(2));
        self.record.line(&format!("{count} machines are ready"));
        Arc::new(machines)
    }

    pub fn write_manifest(&self, text: &str, what: &str) {
        self.store.write("op", "config", Some(text));
        self.record.line(&format!("the store acknowledges a manifest: {what}"));
    }
}

/// A free port of a loopback address that no other run uses.
pub fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let ip = [127, 1 + (pid / 62_500 % 250) as u8, (pid / 250 % 250) as u8, 1 + (pid % 250) as u8];
    loop {
        let listener = TcpListener::bind((Ipv4Addr::from(ip), 0));
        let address = listener.and_then(|l| l.local_addr());
        let address = address.unwrap_or_else(|e| record::give_up(&format!("no free port: {e}")));
        // The system may name a port again that was let go of above.
        if GIVEN_OUT.lock().unwrap().insert(address) {
            return address;
        }
    }
}

/// Id of a request; `series` distinguishes those of a case.
pub fn request_id(series: u32, number: u32) -> String {
    format!("{series:08x}{number:08x}")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = &args[..] else {
        record::give_up("usage: stand-ins CASE DIR");
    };
    let scratch = std::env::temp_dir().join(format!("samphiresill-review-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&scratch) {
        record::give_up(&format!("no temporary folder: {e}"));
    }
    let world = World {
        record: Arc::new(Record::create(&PathBuf::from(dir).join("record.txt"))),
        store: Store::start(),
        dir: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let play: fn(&World) -> Result<String, String> = match &**case {
        "new-service" => new_service::play,
        "no-tenants" => no_tenants::play,
        "quarantine" => quarantine::play,
        "recover" => recover::play,
        _ => record::give_up("no such case"),
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        record::give_up("it takes too long");
    });
    let result = play(&world);
    let (code, text) = match &result {
        Ok(text) => (0, format!("the rule held: {text}")),
        Err(text) => (1, format!("the rule was broken: {text}")),
    };
    world.record.line(&text);
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    std::process::exit(code);
}
