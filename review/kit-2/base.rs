//! Stand-ins for the platform's store, servers and callers, and control of gateway processes.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.push(String::new());
        fs::write(path, lines.join("\n"))
    }
}

/// Request or response head with lower-case header names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            line.clone_into(&mut head.first);
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body with a length or in chunks. Returns its bytes and whether it is complete.
pub fn read_body(input: &mut impl BufRead, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size + 2];
            if input.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    let complete = input.read_exact(&mut body).is_ok();
    (body, complete)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

/// Stand-in for the store. It keeps all rows and changes, and answers at once.
pub struct Store {
    rows: Mutex<(u64, Vec<Row>)>,
    changed: Condvar,
    start: Instant,
    answered: Mutex<Option<Instant>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            answered: Mutex::default(),
            address: listener.local_addr()?,
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, or removes it, and returns the version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.0 += 1;
        let ver = rows.0;
        rows.1.retain(|r| r.table != table || r.key != key);
        let value = value.map(|v| base64(v.as_bytes()));
        rows.1.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            ver,
        });
        self.changed.notify_all();
        ver
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut input) {
            let _ = read_body(&mut input, &head);
            let (status, body) = self.answer(head.path());
            let answer = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if head.path().contains("table=servers") {
                *self.answered.lock().unwrap() = Some(Instant::now());
            }
        }
    }

    /// Waits until the table of servers has been read after now.
    pub fn wait_answer(&self) {
        let since = Instant::now();
        while self.answered.lock().unwrap().is_none_or(|at| at < since) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let get = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('='));
            pair.into_iter()
                .find(|(n, _)| *n == name)
                .map_or("", |(_, v)| v)
                .to_owned()
        };
        let table = get("table");
        let now_ms = self.start.elapsed().as_millis();
        match call {
            "/samphiresill/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let mut own: Vec<Row> = rows
                    .1
                    .iter()
                    .filter(|r| r.table == table && r.value.is_some())
                    .cloned()
                    .collect();
                own.sort_by(|a, b| a.key.cmp(&b.key));
                (200, page(&own, rows.0, now_ms))
            }
            "/samphiresill/rows-feed" => {
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let mut own: Vec<Row> = rows
                        .1
                        .iter()
                        .filter(|r| r.table == table && r.ver > after)
                        .cloned()
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !own.is_empty() || left.is_zero() {
                        own.sort_by_key(|r| r.ver);
                        return (200, page(&own, rows.0, self.start.elapsed().as_millis()));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => (503, "{}".to_owned()),
        }
    }
}

fn page(rows: &[Row], ver: u64, now_ms: u128) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|r| {
            let value = match &r.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""deleted":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{}","part":"","key":"{}",{value},"ver":{}}}"#,
                r.table, r.key, r.ver
            )
        })
        .collect();
    format!(
        r#"{{"rows":[{}],"ver":{ver},"now_ms":{now_ms},"truncated":false}}"#,
        rows.join(",")
    )
}

/// A temporary folder, which is removed with its content.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Gateway {
    pub fn start(
        name: &str,
        dir: &Path,
        store: SocketAddr,
        addresses: &Addresses,
        seeds: &[SocketAddr],
        zone: &str,
    ) -> io::Result<Self> {
        let settings: PathBuf = dir.join(format!("{name}.jsonc"));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            r#"{{"vm":"{name}","domain":"{zone}","listen":{{"callers":"{}","readiness":"{}","peers":"{}","metrics":"{}"}},"seeds":[{}],"store":"{store}","balances_load":false,"limits":{{"memory_mb":110,"descriptors":4100,"cores":0.25}},"bounds":{{"stop_grace_s":8,"retry_ratio":0.2,"retry_slack":58}}}}"#,
            addresses.front,
            addresses.ready,
            addresses.peers,
            addresses.metrics,
            seeds.join(",")
        );
        fs::write(&settings, text)?;
        let log = fs::File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/samphiresill-router")
            .args(["gateway", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            front: addresses.front,
            ready: addresses.ready,
            child,
        })
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id().cast_signed(), signal) };
    }

    /// Waits until the process exits, at most `time`; returns whether it has exited.
    pub fn wait(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits until the gateway is ready, at most ten seconds.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            if is_ready(self.ready, Duration::from_secs(1)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks for the readiness; false without a 200 within `timeout`.
pub fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(
            b"GET /samphiresill/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
        )?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|h| h.status() == 200))
    };
    ask().unwrap_or(false)
}

/// Addresses of a gateway.
pub struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    /// Finds free ports for `count` gateways, outside of the range that the kernel uses for clients.
    pub fn free(count: usize) -> io::Result<Vec<Self>> {
        let first = 10_000 + (std::process::id() % 2_000) as u16 * 10;
        let mut free = Vec::new();
        for port in first..first + 2_000 {
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                free.push(listener.local_addr()?);
            }
            if free.len() == count * 4 {
                break;
            }
        }
        let of = |a: &[SocketAddr]| Self {
            front: a[0],
            ready: a[1],
            peers: a[2],
            metrics: a[3],
        };
        Ok(free.chunks_exact(4).map(of).collect())
    }
}

/// Returns a request; one without a body is a GET.
pub fn request(route: &str, id: &str, deadline_ms: u64, more: &str, body: &str) -> String {
    let method = if body.is_empty() { "GET" } else { "POST" };
    format!(
        "{method} {route} HTTP/1.1\r\nHost: desk.example\r\nX-Samphiresill-Attempt-Id: {id}\r\nApi-Key: k1\r\nX-Samphiresill-Deadline-Ms: {deadline_ms}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Entry of a server in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
    )
}
