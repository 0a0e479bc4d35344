//! Stand-in for the platform's store: rows in tables, reads, feeds and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};
use crate::net;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest number of rows of one read.
const MAX_ROWS: usize = 500;

/// Table, part and key.
type Name = (String, String, String);

#[derive(Debug, Default)]
struct Tables {
    /// Values in base64; `None` for removed rows.
    rows: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind(crate::free_address()).expect("a free port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Writes or removes a row. The write is acknowledged when this returns.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut tables = self.tables.lock().expect("lock");
        tables.version += 1;
        let version = tables.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|v| json::base64(v.as_bytes()));
        tables.rows.insert(name, (value, version));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = net::read_head(&mut reader)? {
            let body = net::read_body(&mut reader, &head)?;
            std::thread::sleep(ANSWER_TIME);
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|p| p.split_once('=')).collect();
            let text = |name: &str| decode_percent(query.get(name).copied().unwrap_or_default());
            let (status, body) = match path {
                "/samphiresill/rows-get" => (
                    "200 OK",
                    self.read(&text("table"), &text("part"), &text("from")),
                ),
                "/samphiresill/rows-feed" => {
                    let after = text("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                    ("200 OK", self.feed(&text("table"), after, wait))
                }
                "/samphiresill/rows-tx" => self.transact(&body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let fields = [("Content-Type", "application/json")];
            net::write_response(&mut stream, status, &fields, body.as_bytes())?;
        }
        Ok(())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn read(&self, table: &str, part: &str, from: &str) -> String {
        let tables = self.tables.lock().expect("lock");
        let listed = tables.rows.iter().filter(|((t, p, k), (value, _))| {
            t == table && p == part && k.as_str() >= from && value.is_some()
        });
        let rows: Vec<String> = listed.map(row).collect();
        let is_truncated = rows.len() > MAX_ROWS;
        let rows = rows[..rows.len().min(MAX_ROWS)].join(",");
        let (ver, now_ms) = (tables.version, self.now_ms());
        format!(r#"{{"rows":[{rows}],"ver":{ver},"truncated":{is_truncated},"now_ms":{now_ms}}}"#)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut tables = self.tables.lock().expect("lock");
        loop {
            let newer = tables.rows.iter();
            let newer = newer.filter(|((t, _, _), (_, ver))| t == table && *ver > after);
            let mut rows: Vec<(u64, String)> = newer.map(|r| (r.1.1, row(r))).collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                rows.sort_by_key(|(ver, _)| *ver);
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                let (rows, ver, now_ms) = (rows.join(","), tables.version, self.now_ms());
                return format!(r#"{{"rows":[{rows}],"ver":{ver},"now_ms":{now_ms}}}"#);
            }
            tables = self.changed.wait_timeout(tables, remaining).expect("lock").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(document) = json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut tables = self.tables.lock().expect("lock");
        for expected in document.list("expected_revision") {
            let known = tables.rows.get(&name(&expected));
            let ver = known.filter(|(value, _)| value.is_some()).map_or(0, |(_, ver)| *ver);
            if expected.number("ver") != Some(ver) {
                return ("412 Precondition Failed", r#"{"rows":[]}"#.to_owned());
            }
        }
        let is_foreign = |entry: &Json| matches!(&*entry.text("table"), "op" | "servers");
        let (put, remove) = (document.list("put"), document.list("remove"));
        if put.iter().chain(&remove).any(is_foreign) {
            return ("403 Forbidden", "{}".to_owned());
        }
        tables.version += 1;
        let version = tables.version;
        for entry in put {
            let value = Some(entry.text("value"));
            tables.rows.insert(name(&entry), (value, version));
        }
        for entry in remove {
            tables.rows.insert(name(&entry), (None, version));
        }
        self.changed.notify_all();
        let now_ms = self.now_ms();
        ("200 OK", format!(r#"{{"ver":{version},"now_ms":{now_ms}}}"#))
    }
}

fn row(((table, part, key), (value, ver)): (&Name, &(Option<String>, u64))) -> String {
    let key = key.replace('\\', "\\\\").replace('"', "\\\"");
    let rest = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{ver},{rest}}}"#)
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        let code = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
