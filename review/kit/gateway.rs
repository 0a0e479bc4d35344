//! The gateways of a case as processes, under the limits that the platform sets.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Command of the deploy file, without its arguments.
const PROGRAM: &str = "target/release/samphiresill-router";
/// `grace_s` of the site sheets.
pub const GRACE_S: u32 = 8;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the platform checks the memory of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const BYTES_PER_MB: u64 = 1 << 20;

/// Processes that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn forget(process: u32) {
    RUNNING
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&process);
}

/// Sends a signal to a process.
fn signal(name: &str, process: u32) {
    // The command of the shell: a program of that name need not be there.
    let command = format!("kill -s {name} {process}");
    let sent = Command::new("bash").args(["-c", &command]).status();
    // The process may have ended in the meantime.
    drop(sent);
}

/// Kills all processes that were started here and run.
pub fn kill_all() {
    for process in RUNNING
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
    {
        signal("KILL", *process);
    }
}

/// Addresses of one machine.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    pub fn free() -> Self {
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_address());
        Self {
            callers,
            readiness,
            peers,
            metrics,
        }
    }
}

/// Returns a free port below the range of ephemeral ports, so that no outgoing connection takes it while
/// a process is down. No port is returned twice.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What all machines of a case share.
#[derive(Clone)]
pub struct Fleet {
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub memory_mb: u64,
    /// Temporary folder for settings and logs.
    pub dir: PathBuf,
}

/// Settings of a process, with the fields of `deploy/settings.jsonc`.
fn settings(name: &str, addresses: Addresses, fleet: &Fleet, grace_s: u32) -> String {
    let seeds: Vec<String> = fleet.seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let Addresses {
        callers,
        readiness,
        peers,
        metrics,
    } = addresses;
    format!(
        "{{\"vm\": \"{name}\", \"domain\": \"tanger-a\",
          \"listen\": {{\"callers\": \"{callers}\", \"readiness\": \"{readiness}\",
            \"peers\": \"{peers}\", \"metrics\": \"{metrics}\"}},
          \"seeds\": [{}], \"store\": \"{}\",
          \"limits\": {{\"memory_mb\": {}, \"descriptors\": 4100, \"cores\": 0.25}},
          \"bounds\": {{\"stop_grace_s\": {grace_s}, \"retry_ratio\": 0.2, \"retry_slack\": 58}}}}",
        seeds.join(", "),
        fleet.store,
        fleet.memory_mb
    )
}

/// A machine with its one process, which the platform starts again whenever it ends.
pub struct Machine {
    pub name: String,
    pub addresses: Addresses,
    memory_mb: u64,
    settings: PathBuf,
    log: PathBuf,
    record: Arc<Record>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    child: Option<Child>,
    is_closed: bool,
    ends: u32,
    peak_bytes: u64,
}

impl Machine {
    /// Starts a machine, with settings like those of `deploy/settings.jsonc`.
    pub fn start(
        name: &str,
        addresses: Addresses,
        fleet: &Fleet,
        grace_s: u32,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let path = fleet.dir.join(format!("{name}.json"));
        fs::write(&path, settings(name, addresses, fleet, grace_s))
            .expect("the settings can be written");
        let machine = Arc::new(Self {
            name: name.to_owned(),
            addresses,
            memory_mb: fleet.memory_mb,
            settings: path,
            log: fleet.dir.join(format!("{name}.log")),
            record: Arc::clone(record),
            state: Mutex::default(),
        });
        machine.state.lock().expect("no panic").child = Some(machine.spawn());
        let watched = Arc::clone(&machine);
        thread::spawn(move || watched.watch());
        machine
    }

    fn spawn(&self) -> Child {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(PROGRAM)
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| crate::cannot_run(&format!("{PROGRAM}: {e}")));
        self.record
            .line(&format!("{}: process {} started", self.name, child.id()));
        RUNNING
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(child.id());
        child
    }

    /// Ends the process when it exceeds its memory, and starts it again whenever it has ended.
    fn watch(&self) {
        loop {
            thread::sleep(CHECK_INTERVAL);
            let mut state = self.state.lock().expect("no panic");
            let state = &mut *state;
            if state.is_closed {
                return;
            }
            let Some(child) = &mut state.child else {
                continue;
            };
            let bytes = resident_bytes(child.id());
            let is_over = bytes > self.memory_mb * BYTES_PER_MB;
            if is_over {
                self.record.line(&format!(
                    "{}: process {} holds {} MB, over its limit of {} MB: killed",
                    self.name,
                    child.id(),
                    bytes / BYTES_PER_MB,
                    self.memory_mb
                ));
                let _ = child.kill();
                let _ = child.wait();
            }
            let has_ended = is_over || !matches!(child.try_wait(), Ok(None));
            state.peak_bytes = state.peak_bytes.max(bytes);
            if has_ended {
                forget(child.id());
                state.ends += 1;
                if !is_over {
                    self.record
                        .line(&format!("{}: the process has ended", self.name));
                }
                thread::sleep(RESTART_DELAY);
                state.child = Some(self.spawn());
            }
        }
    }

    /// Kills the process, which the platform then starts again.
    pub fn kill(&self) {
        self.record.line(&format!("{}: SIGKILL", self.name));
        if let Some(child) = &mut self.state.lock().expect("no panic").child {
            let _ = child.kill();
        }
    }

    /// Number of times that the process has ended.
    pub fn ends(&self) -> u32 {
        self.state.lock().expect("no panic").ends
    }

    pub fn peak_mb(&self) -> u64 {
        self.state.lock().expect("no panic").peak_bytes / BYTES_PER_MB
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if crate::client::status_of(self.addresses.readiness, "/samphiresill/ready") == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run(&format!("{} is not ready after 20 s", self.name));
    }

    /// Ends the process for good.
    pub fn close(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.is_closed = true;
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

/// Memory that a process holds; 0 if it has ended.
fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
