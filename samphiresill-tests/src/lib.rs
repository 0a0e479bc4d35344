//! A small fleet of real processes on the loopback interface, for tests.
//!
//! The programs are those that `cargo build --workspace` has put beside the test's own folder.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

use samphiresill_core::name::KeyHash;
use serde_json::{Value, json};

/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator-test-key";
/// Longest time that a test waits for something to become so.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// `Process` is one process of the fleet; it ends with the test.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// The process's number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    ///
    /// # Panics
    /// When the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let (option, id) = (format!("-{name}"), self.id().to_string());
        let status = Command::new("kill").args([option, id]).status();
        assert!(status.expect("kill starts").success(), "signal {name}");
    }

    /// Waits for the process to end, and gives its exit code.
    ///
    /// # Panics
    /// When it does not end in time.
    pub fn wait(&mut self) -> Option<i32> {
        let mut status = None;
        eventually("the process ends", || {
            status = self
                .child
                .try_wait()
                .expect("the process can be waited for");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended cannot be killed again.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `Router` is one router process with its addresses.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for checks and metrics.
    pub operations: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// `Fleet` is a whole fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub routers: Vec<Router>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The engines' addresses.
    pub engines: Vec<SocketAddr>,
    /// The plain service's address.
    pub service: SocketAddr,
    /// The stand-ins: the platform, the engines, the service.
    pub standins: Vec<Process>,
    folder: PathBuf,
}

/// `Answer` is an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The body.
    pub body: String,
}

impl Answer {
    /// The text of a streamed or whole answer of a model.
    #[must_use]
    pub fn text(&self) -> String {
        let events = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let pieces = events.filter_map(|d| serde_json::from_str::<Value>(d).ok());
        pieces
            .map(|p| p["choices"][0]["text"].as_str().unwrap_or("").to_owned())
            .collect()
    }

    /// The code of an error body.
    #[must_use]
    pub fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_str().unwrap_or("").to_owned()
    }
}

impl Fleet {
    /// Starts a fleet: routers in two failure domains, one engine in each and one service, all
    /// configured and ready.
    ///
    /// # Panics
    /// When something does not start.
    #[must_use]
    pub fn start(name: &str, routers: usize, step_us: u64) -> Self {
        let folder =
            std::env::temp_dir().join(format!("samphiresill-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for the fleet");
        let [platform, first, second, service] = [0; 4].map(|_| free_address());
        let step = step_us.to_string();
        let mut fleet = Self {
            routers: Vec::new(),
            platform,
            engines: vec![first, second],
            service,
            standins: Vec::new(),
            folder,
        };
        fleet.start_standin("platform", platform, &[]);
        fleet.start_standin("engine", first, &["--step-us", &step]);
        fleet.start_standin("engine", second, &["--step-us", &step]);
        fleet.start_standin("service", service, &[]);
        fleet.start_routers(routers);
        let configured = fleet.ctl(&["apply", fleet.write_document().to_str().unwrap_or("")]);
        assert!(configured.0 == 0, "{}", configured.1);
        for router in &fleet.routers {
            eventually("a router is ready", || {
                get(router.operations, "/readyz") == 200
            });
        }
        // New schedulers listen before they grant.
        thread::sleep(Duration::from_secs(1));
        fleet
    }

    /// Sends a request to a router as a customer.
    ///
    /// # Panics
    /// When no answer comes at all.
    #[must_use]
    pub fn call(&self, router: usize, method: &str, path: &str, body: &str) -> Answer {
        self.call_with(router, "counter-key", method, path, body, None)
            .expect("an answer")
    }

    /// Sends a request with a key of the caller and perhaps an idempotency key; nothing when the
    /// Sends a request with a caller's key and perhaps an idempotency key; nothing when the
    /// connection fails.
    ///
    /// # Panics
    /// When the method is none.
    #[must_use]
    pub fn call_with(
        &self,
        router: usize,
        key: &str,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Option<Answer> {
        let url = format!("http://{}{path}", self.routers[router].callers);
        let method = attohttpc::Method::from_bytes(method.as_bytes()).expect("a method");
        let mut req = attohttpc::RequestBuilder::new(method, url)
            .header("authorization", format!("Bearer {key}"))
            .connect_timeout(Duration::from_secs(2))
            .read_timeout(PATIENCE);
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        let response = req.text(body).send().ok()?;
        let outcome = response.headers().get("x-samphiresill-outcome");
        let outcome = outcome
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let status = response.status().as_u16();
        Some(Answer {
            status,
            outcome,
            body: response.text().ok()?,
        })
    }

    /// Sends a prompt for a streamed answer.
    #[must_use]
    pub fn prompt(&self, router: usize, prompt: &str) -> Answer {
        let body = json!({"model": "letters", "stream": true, "prompt": prompt}).to_string();
        self.call(router, "POST", "/v1/completions", &body)
    }

    /// Switches faults of a stand-in.
    pub fn control(&self, standin: SocketAddr, faults: &Value) {
        post(standin, "/control", faults);
    }

    /// How often the service ran an order.
    #[must_use]
    pub fn runs(&self, body: &str) -> u64 {
        fetch(self.service, "/runs")[body].as_u64().unwrap_or(0)
    }

    /// Runs the operators' command line at the first router; gives exit code and output.
    ///
    /// # Panics
    /// When it does not start.
    #[must_use]
    pub fn ctl(&self, args: &[&str]) -> (i32, String) {
        let out = Command::new(program("samphiresillctl"))
            .args(["--address", &self.routers[0].operators.to_string()])
            .args(args)
            .env("SAMPHIRESILL_KEY", OPERATOR_KEY)
            .output()
            .expect("the command line starts");
        let text = [out.stdout, out.stderr].concat();
        (
            out.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Kills a router at once.
    ///
    /// # Panics
    /// When it cannot be killed.
    pub fn kill(&mut self, router: usize) {
        self.routers[router].process.signal("KILL");
        self.routers[router].process.wait();
    }

    /// Starts a router again, without state.
    pub fn restart(&mut self, router: usize) {
        let (settings, log) = {
            let router = &self.routers[router];
            (router.settings.clone(), router.log.clone())
        };
        self.routers[router].process = start_router(&settings, &log);
    }

    fn start_standin(&mut self, kind: &str, address: SocketAddr, args: &[&str]) {
        let mut command = Command::new(program(&format!("samphiresill-standin-{kind}")));
        command.args(["--listen", &address.to_string()]).args(args);
        let log = self.folder.join(format!("{kind}-{}.log", address.port()));
        let log = File::create(log).expect("a log can be created");
        self.standins.push(spawn(&mut command, log.into()));
        eventually("a stand-in listens", || {
            std::net::TcpStream::connect(address).is_ok()
        });
    }

    fn start_routers(&mut self, count: usize) {
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        for index in 0..count {
            let [callers, operations, operators] = [0; 3].map(|_| free_address());
            let others = (0..count).filter(|other| *other != index);
            let others: Vec<Value> = others
                .map(|o| json!({"vm": vm(o), "domain": domain(o), "address": peers[o]}))
                .collect();
            let settings = json!({
                "vm": vm(index), "domain": domain(index),
                "listen": {
                    "callers": callers, "operations": operations, "peers": peers[index],
                    "operators": operators,
                },
                "platform": {"address": self.platform, "timeout_ms": 500, "poll_ms": 200},
                "peers": others, "peer_key": "a-secret-of-the-test",
                "operator_key_hashes": [KeyHash::of_key(OPERATOR_KEY)],
                "limits": {"body_bytes": 20_000},
            });
            let path = self.folder.join(format!("{}.jsonc", vm(index)));
            fs::write(&path, settings.to_string()).expect("settings can be written");
            let log = self.folder.join(format!("{}.log", vm(index)));
            let process = start_router(&path, &log);
            let router = Router {
                process,
                callers,
                operators,
                operations,
                settings: path,
                log,
            };
            self.routers.push(router);
        }
        for router in &self.routers {
            eventually("a router listens", || {
                get(router.operations, "/healthz") == 200
            });
        }
    }

    fn write_document(&self) -> PathBuf {
        let customer =
            |key: &str, share: u32| json!({"share": share, "key_hashes": [KeyHash::of_key(key)]});
        let target = |domain: &str, address: SocketAddr, serves: &[&str]| json!({"domain": domain, "address": address, "serves": serves, "slots": 8});
        let document = json!({
            "customers": {
                "counter": customer("counter-key", 4), "warehouse": customer("warehouse-key", 1),
            },
            "models": {"letters": {}},
            "services": {"orders": {"path": "/orders"}, "stock": {"path": "/stock"}},
            "targets": {
                "engine-0": target("d0", self.engines[0], &["letters"]),
                "engine-1": target("d1", self.engines[1], &["letters"]),
                "service-0": target("d0", self.service, &["orders", "stock"]),
            },
        });
        let path = self.folder.join("fleet.jsonc");
        fs::write(&path, document.to_string()).expect("the document can be written");
        path
    }
}

/// Waits until something is so.
///
/// # Panics
/// When it does not become so in time.
pub fn eventually(what: &str, mut is_so: impl FnMut() -> bool) {
    let pause = Duration::from_millis(20);
    for _ in 0..PATIENCE.as_millis() / pause.as_millis() {
        if is_so() {
            return;
        }
        thread::sleep(pause);
    }
    panic!("not in {PATIENCE:?}: {what}");
}

/// The status of a GET request; 0 when no answer comes.
#[must_use]
pub fn get(address: SocketAddr, path: &str) -> u16 {
    let response = attohttpc::get(format!("http://{address}{path}")).send();
    response.map_or(0, |r| r.status().as_u16())
}

/// The JSON answer of a stand-in.
///
/// # Panics
/// When there is none.
#[must_use]
pub fn fetch(address: SocketAddr, path: &str) -> Value {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .send()
        .expect("an answer");
    serde_json::from_str(&response.text().expect("a text")).expect("JSON")
}

/// Posts JSON to a stand-in.
///
/// # Panics
/// When it does not answer.
pub fn post(address: SocketAddr, path: &str, body: &Value) {
    let url = format!("http://{address}{path}");
    let response = attohttpc::post(url)
        .text(body.to_string())
        .send()
        .expect("an answer");
    assert!(response.is_success(), "{path}: {}", response.status());
}

/// The path of one of the workspace's programs.
///
/// # Panics
/// When the test does not run from a target folder.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("a target folder");
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo build --workspace` first"
    );
    path
}

fn vm(index: usize) -> String {
    format!("r{index}")
}

fn domain(index: usize) -> String {
    format!("d{}", index % 2)
}

fn start_router(settings: &PathBuf, log: &PathBuf) -> Process {
    let mut command = Command::new(program("samphiresill-router"));
    command.arg("--config").arg(settings);
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    spawn(&mut command, log.into())
}

fn spawn(command: &mut Command, errors: Stdio) -> Process {
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(errors)
        .spawn();
    Process {
        child: child.expect("the program starts"),
    }
}

/// An address that no other fleet of this test program is given; it lies below the ports that the
/// system gives to outgoing connections.
///
/// # Panics
/// When a bound socket has no address.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 10_000 + (std::process::id() % 150) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed) % 7_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// Prints the end of each log of a fleet whose test has failed.
fn print_logs(folder: &Path) {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    for path in entries.map(|e| e.path()) {
        if path.extension().is_none_or(|e| e != "log") {
            continue;
        }
        match fs::read_to_string(&path) {
            Ok(log) => {
                let tail: Vec<&str> = log.lines().rev().take(10).collect();
                eprintln!("{}:\n{}", path.display(), tail.join("\n"));
            }
            Err(e) => eprintln!("{}: {e}", path.display()),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            for standin in &mut self.standins {
                eprintln!("stand-in: {:?}", standin.child.try_wait());
            }
            print_logs(&self.folder);
        }
        // The folder may be gone already.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
