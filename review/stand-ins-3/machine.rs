//! A machine of the system: one gateway process, started as the deploy file says.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::net;
use crate::record;

#[derive(Debug)]
pub struct Machine {
    pub number: usize,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ids of the processes that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let ids: Vec<String> = RUNNING.lock().expect("lock").iter().map(u32::to_string).collect();
    if !ids.is_empty() {
        let command = format!("kill -KILL {}", ids.join(" "));
        let _ = Command::new("bash").args(["-c", &command]).status();
    }
}

/// `Site` is what the settings of the machines take from a site file.
#[derive(Debug)]
pub struct Site {
    pub zones: &'static [&'static str],
    pub memory_mb: u32,
    pub budget_slack: u32,
}

pub const AMREN: Site = Site {
    zones: &["tanger-a", "tanger-b", "tetouan-a", "tetouan-b"],
    memory_mb: 110,
    budget_slack: 58,
};

/// Prepares machines over the zones of a site, with its settings.
pub fn prepare(count: usize, site: &Site, store: SocketAddr, dir: &Path) -> Vec<Machine> {
    let Site { zones, memory_mb, budget_slack } = site;
    let mut addresses: Vec<[SocketAddr; 4]> =
        (0..count).map(|_| std::array::from_fn(|_| crate::free_address())).collect();
    // The seeds are the first machines of three zones, as in the example of DEPLOY.md.
    addresses.sort_by_key(|a| a[2]);
    let seeds: Vec<String> = addresses.iter().take(3).map(|a| format!("\"{}\"", a[2])).collect();
    let seeds = seeds.join(",");
    let machine = |(number, [front, ready, control, metrics]): (usize, &[SocketAddr; 4])| {
        let zone = zones[number % zones.len()];
        let settings = format!(
            r#"{{"vm":"front-{zone}-{number}","domain":"{zone}",
"listen":{{"callers":"{front}","readiness":"{ready}","peers":"{control}","metrics":"{metrics}"}},
"seeds":[{seeds}],"store":"{store}","balances_load":false,
"limits":{{"memory_mb":{memory_mb},"descriptors":4100,"cores":0.25}},
"bounds":{{"stop_grace_s":8,"retry_ratio":0.2,"retry_slack":{budget_slack}}}}}"#
        );
        let path = dir.join(format!("machine-{number}.json"));
        fs::write(&path, settings).unwrap_or_else(|e| record::give_up(&format!("no settings: {e}")));
        Machine {
            number,
            zone: zone.to_owned(),
            front: *front,
            ready: *ready,
            settings: path,
            log: dir.join(format!("machine-{number}.log")),
            child: Mutex::default(),
        }
    };
    addresses.iter().enumerate().map(machine).collect()
}

impl Machine {
    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| record::give_up(&format!("no log: {e}")));
        let errors = log.try_clone().expect("a copy of the handle");
        let child = Command::new("target/release/samphiresill-router")
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|e| record::give_up(&format!("the program does not start: {e}")));
        RUNNING.lock().expect("lock").insert(child.id());
        *self.child.lock().expect("lock") = Some(child);
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("lock").take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().expect("lock").remove(&child.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("lock");
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /samphiresill/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = net::request(Instant::now(), self.ready, text, b"", Duration::from_millis(500));
        answer.status == 200
    }

    pub fn log(&self) -> String {
        let text = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Waits until all machines are ready.
pub fn wait_until_ready(machines: &[Machine]) {
    let until = Instant::now() + Duration::from_secs(15);
    while !machines.iter().all(Machine::is_ready) {
        if Instant::now() > until {
            record::give_up("the machines are not ready after 15 s");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
