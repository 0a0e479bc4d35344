//! Stand-in for the platform's store: tables of versioned rows, in parts, with long polling.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json;

/// Most rows and bytes of rows in one answer.
const MAX_ROWS: usize = 500;
const MAX_BYTES: usize = 1_000_000;
/// Status of a refused call: nothing was done.
const REFUSAL: &str = "503 Service Unavailable";
/// Latency of a call.
const CALL_LATENCY: Duration = Duration::from_millis(4);

struct Row {
    /// Value in base64; `None` after its removal.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
    /// Machines, by number, that get no answers.
    unanswered: BTreeSet<usize>,
    /// Machines that get 503.
    refused: BTreeSet<usize>,
}

pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let address = store.open_for(usize::MAX);
        (store, address)
    }

    /// Writes a row, or removes it. The write is acknowledged when this returns.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        self.write_bytes(table, "", key, value.map(str::as_bytes));
    }

    /// Like `write`, with any bytes, in any part of the table.
    pub fn write_bytes(&self, table: &str, part: &str, key: &str, value: Option<&[u8]>) {
        let mut tables = self.tables.lock().expect("no panic");
        tables.version += 1;
        let row = Row {
            value: value.map(base64),
            version: tables.version,
        };
        tables
            .rows
            .insert((table.to_owned(), part.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Opens another address of the store, for one machine only.
    pub fn open_for(self: &Arc<Self>, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(machine, Connection::new(stream)));
            }
        });
        address
    }

    /// Answers these machines no more, and all others.
    pub fn turn_away(&self, machines: &[usize]) {
        self.tables.lock().expect("no panic").unanswered = machines.iter().copied().collect();
    }

    /// Refuses the calls of these machines with 503, and answers all others.
    pub fn refuse(&self, machines: &[usize]) {
        self.tables.lock().expect("no panic").refused = machines.iter().copied().collect();
    }

    fn is_refused(&self, machine: usize) -> bool {
        self.tables
            .lock()
            .expect("no panic")
            .refused
            .contains(&machine)
    }

    /// Waits as long as a machine gets no answers.
    fn wait_until_answered(&self, machine: usize) {
        while self
            .tables
            .lock()
            .expect("no panic")
            .unanswered
            .contains(&machine)
        {
            thread::sleep(CALL_LATENCY);
        }
    }

    fn serve(&self, machine: usize, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            thread::sleep(CALL_LATENCY);
            self.wait_until_answered(machine);
            let mut answer = (REFUSAL, "{}".to_owned());
            if !self.is_refused(machine) {
                answer = self.respond(&request);
                self.wait_until_answered(machine);
            }
            // A transaction that was performed is not refused.
            if self.is_refused(machine) && !request.path().ends_with("rows-tx") {
                answer = (REFUSAL, "{}".to_owned());
            }
            let (status, body) = answer;
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            fields.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
        };
        let table = field("table");
        match path {
            "/samphiresill/rows-get" => {
                let limit = field("limit").parse().unwrap_or(MAX_ROWS);
                (
                    "200 OK",
                    self.range(table, field("part"), &decode(field("from")), limit),
                )
            }
            "/samphiresill/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                (
                    "200 OK",
                    self.changes(table, field("after").parse().unwrap_or(0), wait),
                )
            }
            "/samphiresill/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Rows of one part whose keys are not below `from`, in ascending order of their bytes.
    fn range(&self, table: &str, part: &str, from: &str, limit: usize) -> String {
        let tables = self.tables.lock().expect("no panic");
        let all = tables.rows.iter().filter(|((t, p, key), r)| {
            t == table && p == part && key.as_str() >= from && r.value.is_some()
        });
        let (mut rows, mut bytes, mut is_truncated) = (Vec::new(), 0, false);
        for (name, found) in all {
            let row = row(name, found);
            bytes += row.len();
            if rows.len() == limit.min(MAX_ROWS) || bytes > MAX_BYTES {
                is_truncated = true;
                break;
            }
            rows.push(row);
        }
        let (rows, version, now_ms) = (rows.join(","), tables.version, self.now_ms());
        format!(
            "{{\"rows\":[{rows}],\"truncated\":{is_truncated},\"ver\":{version},\"now_ms\":{now_ms}}}"
        )
    }

    fn changes(&self, table: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut tables = self.tables.lock().expect("no panic");
        loop {
            let newer = tables
                .rows
                .iter()
                .filter(|((t, ..), r)| t == table && r.version > after);
            let mut rows: Vec<(u64, String)> =
                newer.map(|(name, r)| (r.version, row(name, r))).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                let (rows, version, now_ms) = (rows.join(","), tables.version, self.now_ms());
                return format!("{{\"rows\":[{rows}],\"ver\":{version},\"now_ms\":{now_ms}}}");
            }
            tables = self.changed.wait_timeout(tables, left).expect("no panic").0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(document) = json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |v: &json::Value| {
            let field = |name| v.text(name).to_owned();
            (field("table"), field("part"), field("key"))
        };
        let mut tables = self.tables.lock().expect("no panic");
        for expected in document.list("expected_revision") {
            let row = tables
                .rows
                .get(&name(expected))
                .filter(|r| r.value.is_some());
            if row.map_or(0, |r| r.version) as f64 != expected.number("ver") {
                return ("412 Precondition Failed", "{\"rows\":[]}".to_owned());
            }
        }
        tables.version += 1;
        let version = tables.version;
        for (field, is_put) in [("put", true), ("remove", false)] {
            for entry in document.list(field) {
                let value = is_put.then(|| entry.text("value").to_owned());
                tables.rows.insert(name(entry), Row { value, version });
            }
        }
        self.changed.notify_all();
        (
            "200 OK",
            format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()),
        )
    }
}

fn row((table, part, key): &(String, String, String), row: &Row) -> String {
    let version = row.version;
    match &row.value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"deleted\":true,\"ver\":{version}}}"
        ),
    }
}

/// Decodes the percent signs of a field of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let digits = after.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let code = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, b| group << 8 | u32::from(*b));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
