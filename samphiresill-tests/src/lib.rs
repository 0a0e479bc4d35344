//! Test harness that runs a small fleet of real processes on the loopback interface.
//!
//! The programs are taken from the target directory of the running test, so that `cargo build
//! --workspace` has to be run before.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

use samphiresill_core::name::KeyHash;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// API key of the operator.
pub const OPERATOR_KEY: &str = "operator-test-key";
/// Timeout of [`wait_until`] and of reading a response.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// `Process` is a process of the fleet, which is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal `name`, such as `TERM`.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let (option, id) = (format!("-{name}"), self.id().to_string());
        let status = Command::new("kill").args([option, id]).status();
        assert!(
            status.expect("failed to run kill").success(),
            "failed to send signal {name}"
        );
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    /// Panics if the process does not exit within [`WAIT_TIMEOUT`].
    pub fn wait(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the process exits", || {
            status = self
                .child
                .try_wait()
                .expect("failed to wait for the process");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `Router` is a router process with its addresses.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves operators.
    pub operators: SocketAddr,
    /// Address that serves health checks and metrics.
    pub operations: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// `Fleet` is a running fleet: routers, and stand-ins for everything that they connect to.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub routers: Vec<Router>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Address of the plain service.
    pub service: SocketAddr,
    /// Processes of the stand-ins, in this order: platform, engines, service.
    pub standins: Vec<Process>,
    dir: PathBuf,
}

/// `Response` is a router's response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header, empty if there is none.
    pub outcome: String,
    /// Response body.
    pub body: String,
}

impl Response {
    /// Returns the text of a streamed completion.
    #[must_use]
    pub fn text(&self) -> String {
        let events = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = events.filter_map(|d| serde_json::from_str::<Value>(d).ok());
        chunks
            .map(|c| c["choices"][0]["text"].as_str().unwrap_or("").to_owned())
            .collect()
    }

    /// Returns the error code of an error response, or an empty string.
    #[must_use]
    pub fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_str().unwrap_or("").to_owned()
    }
}

impl Fleet {
    /// Starts a fleet and waits until all routers are configured and ready.
    ///
    /// It has `routers` routers in two failure domains, one engine in each domain, and one service
    /// in the first domain.
    ///
    /// # Panics
    /// Panics if a process does not start or does not become ready.
    #[must_use]
    pub fn start(name: &str, routers: usize, step_us: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("samphiresill-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("failed to create the fleet's directory");
        let [platform, first, second, service] = [0; 4].map(|_| free_address());
        let step = step_us.to_string();
        let mut fleet = Self {
            routers: Vec::new(),
            platform,
            engines: vec![first, second],
            service,
            standins: Vec::new(),
            dir,
        };
        fleet.start_standin("platform", platform, &[]);
        fleet.start_standin("engine", first, &["--step-us", &step]);
        fleet.start_standin("engine", second, &["--step-us", &step]);
        fleet.start_standin("service", service, &[]);
        fleet.start_routers(routers);
        let applied = fleet.run_ctl(&[
            "apply",
            fleet.write_config_document().to_str().unwrap_or(""),
        ]);
        assert!(applied.0 == 0, "{}", applied.1);
        for router in &fleet.routers {
            wait_until("a router becomes ready", || {
                get_status(router.operations, "/readyz") == 200
            });
        }
        // A new scheduler grants no slots during its listen time, in which it learns from its peers
        // which slots are in use: twice the report interval plus 100 ms, by default 600 ms.
        thread::sleep(Duration::from_secs(1));
        fleet
    }

    /// Sends a request to a router as the customer `counter`.
    ///
    /// # Panics
    /// Panics if no response arrives.
    #[must_use]
    pub fn request(&self, router: usize, method: &str, path: &str, body: &str) -> Response {
        self.request_with(router, "counter-key", method, path, body, None)
            .expect("no response")
    }

    /// Sends a request with an API key and optionally an idempotency key; returns `None` if the
    /// connection fails.
    ///
    /// # Panics
    /// Panics if `method` is not a valid HTTP method.
    #[must_use]
    pub fn request_with(
        &self,
        router: usize,
        key: &str,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Option<Response> {
        let url = format!("http://{}{path}", self.routers[router].callers);
        let method = attohttpc::Method::from_bytes(method.as_bytes()).expect("invalid HTTP method");
        let mut req = attohttpc::RequestBuilder::new(method, url)
            .header("authorization", format!("Bearer {key}"))
            .connect_timeout(Duration::from_secs(2))
            .read_timeout(WAIT_TIMEOUT);
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
        Some(Response {
            status,
            outcome,
            body: response.text().ok()?,
        })
    }

    /// Requests a streamed completion of `prompt`.
    #[must_use]
    pub fn complete(&self, router: usize, prompt: &str) -> Response {
        let body = json!({"model": "letters", "stream": true, "prompt": prompt}).to_string();
        self.request(router, "POST", "/v1/completions", &body)
    }

    /// Replaces the faults of a stand-in by `faults`.
    pub fn inject_faults(&self, standin: SocketAddr, faults: &Value) {
        post_json(standin, "/control", faults);
    }

    /// Returns how many times the service has executed the order `body`.
    #[must_use]
    pub fn order_runs(&self, body: &str) -> u64 {
        get_json(self.service, "/runs")[body].as_u64().unwrap_or(0)
    }

    /// Runs `samphiresillctl` against the first router and returns its exit code and output.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    #[must_use]
    pub fn run_ctl(&self, args: &[&str]) -> (i32, String) {
        let out = Command::new(program("samphiresillctl"))
            .args(["--address", &self.routers[0].operators.to_string()])
            .args(args)
            .env("SAMPHIRESILL_KEY", OPERATOR_KEY)
            .output()
            .expect("failed to run samphiresillctl");
        let text = [out.stdout, out.stderr].concat();
        (
            out.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Kills a router with `SIGKILL` and waits for it to exit.
    ///
    /// # Panics
    /// Panics if the router cannot be killed.
    pub fn kill(&mut self, router: usize) {
        self.routers[router].process.signal("KILL");
        self.routers[router].process.wait();
    }

    /// Starts a router again with its previous settings and no other state.
    pub fn restart(&mut self, router: usize) {
        let (settings, log) = {
            let router = &self.routers[router];
            (router.settings.clone(), router.log.clone())
        };
        self.routers[router].process = spawn_router(&settings, &log);
    }

    fn start_standin(&mut self, kind: &str, address: SocketAddr, args: &[&str]) {
        let mut command = Command::new(program(&format!("samphiresill-standin-{kind}")));
        command.args(["--listen", &address.to_string()]).args(args);
        let log = self.dir.join(format!("{kind}-{}.log", address.port()));
        let log = File::create(log).expect("failed to create a log file");
        let mut standin = spawn(&mut command, log.into());
        wait_until("a stand-in accepts connections", || {
            let exited = standin.child.try_wait().expect("failed to wait");
            assert_eq!(exited, None, "the {kind} stand-in on {address} exited");
            std::net::TcpStream::connect(address).is_ok()
        });
        self.standins.push(standin);
    }

    fn start_routers(&mut self, count: usize) {
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        for index in 0..count {
            let [callers, operations, operators] = [0; 3].map(|_| free_address());
            let peer_settings = (0..count).filter(|other| *other != index);
            let peer_settings: Vec<Value> = peer_settings
                .map(|o| json!({"vm": vm_name(o), "domain": domain_name(o), "address": peers[o]}))
                .collect();
            let settings = json!({
                "vm": vm_name(index), "domain": domain_name(index),
                "listen": {
                    "callers": callers, "operations": operations, "peers": peers[index],
                    "operators": operators,
                },
                "platform": {"address": self.platform, "timeout_ms": 500, "poll_ms": 200},
                "peers": peer_settings, "peer_key": "a-secret-of-the-test",
                "operator_key_hashes": [KeyHash::of_key(OPERATOR_KEY)],
                "limits": {"body_bytes": 20_000},
            });
            let path = self.dir.join(format!("{}.jsonc", vm_name(index)));
            fs::write(&path, settings.to_string()).expect("failed to write the router settings");
            let log = self.dir.join(format!("{}.log", vm_name(index)));
            let process = spawn_router(&path, &log);
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
            wait_until("a router responds to health checks", || {
                get_status(router.operations, "/healthz") == 200
            });
        }
    }

    fn write_config_document(&self) -> PathBuf {
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
        let path = self.dir.join("fleet.jsonc");
        fs::write(&path, document.to_string()).expect("failed to write the configuration document");
        path
    }
}

/// Waits until `condition` holds; `what` describes it in the panic message.
///
/// # Panics
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let pause = Duration::from_millis(20);
    for _ in 0..WAIT_TIMEOUT.as_millis() / pause.as_millis() {
        if condition() {
            return;
        }
        thread::sleep(pause);
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting until {what}");
}

/// Returns the status of a GET request, or 0 if no response arrives.
#[must_use]
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let response = attohttpc::get(format!("http://{address}{path}")).send();
    response.map_or(0, |r| r.status().as_u16())
}

/// Returns the JSON response of a stand-in to a GET request.
///
/// # Panics
/// Panics if there is no response or it is not JSON.
#[must_use]
pub fn get_json(address: SocketAddr, path: &str) -> Value {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .send()
        .expect("no response");
    serde_json::from_str(&response.text().expect("failed to read the response"))
        .expect("invalid JSON")
}

/// Sends a POST request with a JSON body to a stand-in.
///
/// # Panics
/// Panics if there is no response or its status is not a success.
pub fn post_json(address: SocketAddr, path: &str, body: &Value) {
    let url = format!("http://{address}{path}");
    let response = attohttpc::post(url)
        .text(body.to_string())
        .send()
        .expect("no response");
    assert!(response.is_success(), "{path}: {}", response.status());
}

/// Returns the path of a program of the workspace.
///
/// # Panics
/// Panics if the program is not in the target directory of the running test.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("failed to get the path of the test program");
    let dir = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("test program is not in a target directory");
    let path = dir.join(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo build --workspace` first"
    );
    path
}

fn vm_name(index: usize) -> String {
    format!("r{index}")
}

fn domain_name(index: usize) -> String {
    format!("d{}", index % 2)
}

fn spawn_router(settings: &PathBuf, log: &PathBuf) -> Process {
    let mut command = Command::new(program("samphiresill-router"));
    command.arg("--config").arg(settings);
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("failed to open a log file");
    spawn(&mut command, log.into())
}

fn spawn(command: &mut Command, stderr: Stdio) -> Process {
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(stderr)
        .spawn();
    Process {
        child: child.expect("failed to start the program"),
    }
}

/// Returns an unused loopback address that no other fleet of this test program has been given.
///
/// The port is below the ephemeral range, so that no outgoing connection can take it before a
/// program binds it.
///
/// # Panics
/// Panics if a socket cannot be created.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 10_000 + (std::process::id() % 150) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed) % 7_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let probe = Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to get a socket");
        probe
            .set_reuse_address(true)
            .expect("failed to set SO_REUSEADDR");
        // The probe must not listen: a process that another thread starts inherits it until exec,
        // and a listening copy would keep the address in use after the probe is closed here.
        if probe.bind(&address.into()).is_ok() {
            return address;
        }
    }
}

/// Prints the last lines of each log in `dir`, for a failed test.
fn print_logs(dir: &Path) {
    let entries = fs::read_dir(dir).into_iter().flatten().flatten();
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
                eprintln!("stand-in exit status: {:?}", standin.child.try_wait());
            }
            print_logs(&self.dir);
        }
        // The directory may already have been removed.
        let _ = fs::remove_dir_all(&self.dir);
    }
}
