//! Random misbehaviour of servers, to look for broken promises.
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::gateway::{Addresses, Machine};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

pub struct Rng(u64);
impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
}

#[derive(Default, Debug, Clone)]
struct Info {
    runs: Vec<String>,
    statuses: Vec<u16>,
    outcome: String,
    status: u16,
    kind: String,
}
type Book = Arc<Mutex<BTreeMap<String, Info>>>;

fn events_of(id: &str, from: u32, to: u32) -> String {
    (from..=to).map(|n| format!("id: {n}\ndata: {id} {n}\n\n")).collect()
}
const N: u32 = 8;

fn serve(name: String, stream: TcpStream, book: Book, seed: u64, chaos: bool) {
    let mut rng = Rng(seed | 1);
    for _ in 0..8 { rng.next(); }
    let mut c = Connection::new(stream);
    let mut last: Vec<u8> = Vec::new(); // last complete response bytes
    while let Ok(Some(req)) = c.read() {
        if req.path() == "/samphiresill/kv-list" {
            let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
            let r = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if c.write(r.as_bytes()).is_err() { return; }
            continue;
        }
        let id = req.header("x-samphiresill-attempt-id").to_owned();
        if req.header("x-samphiresill-expect-instance") != name {
            let r = format!("HTTP/1.1 421 Misdirected Request\r\nX-Samphiresill-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
            if c.write(r.as_bytes()).is_err() { return; }
            continue;
        }
        let is_stream = !req.path().starts_with("/order") && !req.path().starts_with("/read");
        let mut early = Vec::new();
        // a late second copy of an earlier answer
        if chaos && !last.is_empty() && rng.below(12) == 0 {
            early = last.clone();
        }
        let roll = if chaos { rng.below(40) } else { 39 };
        let refuse = roll < 6;
        if refuse {
            let mut with = match rng.below(4) {
                0 => format!("HTTP/1.1 503 Service Unavailable\r\nX-Samphiresill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                1 => format!("HTTP/1.1 503 Service Unavailable\r\nX-Samphiresill-Not-Executed: 1\r\nX-Samphiresill-Attempt-Id: {id}\r\nContent-Length: 4\r\n\r\nfull"),
                2 => format!("HTTP/1.1 429 Too Many\r\nX-Samphiresill-Not-Executed: 1\r\nX-Samphiresill-Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"),
                _ => format!("HTTP/1.1 503 Service Unavailable\r\nX-Samphiresill-Not-Executed: 1\r\nX-Samphiresill-Attempt-Id: {id}\r\nConnection: close\r\n\r\nfull"),
            }.into_bytes();
            let closes = with.windows(17).any(|w| w == b"Connection: close");
            last = with.clone();
            let mut out = early; out.append(&mut with);
            if rng.below(5) == 0 { let n = rng.below(out.len() as u64) as usize; let _ = c.write(&out[..n]); return; }
            if c.write(&out).is_err() || closes { return; }
            continue;
        }
        // runs
        {
            let mut b = book.lock().unwrap();
            let i = b.entry(id.clone()).or_default();
            i.runs.push(name.clone());
        }
        let from = req.header("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        let status: u16 = if !is_stream && rng.below(10) == 0 { 500 } else { 200 };
        book.lock().unwrap().get_mut(&id).unwrap().statuses.push(status);
        thread::sleep(Duration::from_millis(3 + rng.below(25)));
        let rcpt = format!("X-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Server-Seal: s.{id}.{status}\r\n");
        let body = if is_stream { events_of(&id, from, N) } else { format!("answer to {id} {status}") };
        let ct = if is_stream { "Content-Type: text/event-stream\r\n" } else { "" };
        let mut closes = false;
        let mut head = format!("HTTP/1.1 {status} X\r\n{rcpt}{ct}");
        let mut payload = Vec::new();
        match rng.below(3) {
            0 => { head += &format!("Content-Length: {}\r\n\r\n", body.len()); payload.extend(body.as_bytes()); }
            1 if chaos => { closes = true; head += "\r\n"; payload.extend(body.as_bytes()); }
            _ => {
                head += "Transfer-Encoding: chunked\r\n\r\n";
                let mut rest = body.as_bytes();
                while !rest.is_empty() {
                    let n = (1 + rng.below(40)) as usize; let n = n.min(rest.len());
                    payload.extend(format!("{n:x}\r\n").bytes()); payload.extend(&rest[..n]); payload.extend(b"\r\n");
                    rest = &rest[n..];
                }
                payload.extend(b"0\r\n\r\n");
            }
        }
        let mut full = head.clone().into_bytes();
        full.extend(&payload);
        let prefix: &[u8] = if chaos { match rng.below(14) { 0 => b"HTTP/1.1 100 Continue\r\n\r\n", 1 => b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", _ => b"" } } else { b"" };
        let mut out = early; out.extend(prefix); out.extend(&full);
        last = full.clone();
        match roll {
            6 | 7 => { // truncated
                let n = rng.below(out.len() as u64) as usize;
                if closes { // unframed: only a reset shows it
                    let _ = c.write(&out[..n]);
                    linger0(&c.stream);
                    return;
                }
                let _ = c.write(&out[..n]);
                if rng.below(2) == 0 { linger0(&c.stream); }
                return;
            }
            8 => return,
            9 => { linger0(&c.stream); return; }
            10 => { let _ = c.write(b"\x16\x03\x01 what\r\n\r\n"); return; }
            11 => { thread::sleep(Duration::from_millis(2500)); return; }
            12 => { // wrong id
                let t = String::from_utf8_lossy(&full).replace(&id, "ffffffffffffffff");
                if c.write(t.as_bytes()).is_err() || closes { return; }
                continue;
            }
            13 if !closes => { // extra copy at once
                out.extend(&full);
            }
            14 => { // unsigned
                let t = String::from_utf8_lossy(&full).replace("X-Samphiresill-Server-Seal", "X-Other");
                if c.write(t.as_bytes()).is_err() || closes { return; }
                continue;
            }
            _ => {}
        }
        if rng.below(4) == 0 {
            let mut ok = true;
            for piece in out.chunks(1 + rng.below(60) as usize) { ok = ok && c.write(piece).is_ok(); thread::sleep(Duration::from_millis(1)); }
            if !ok { return; }
        } else if c.write(&out).is_err() { return; }
        if closes { let _ = c.stream.shutdown(Shutdown::Write); let mut b=[0;64]; let _ = c.stream.read(&mut b); return; }
    }
}

fn linger0(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" { fn setsockopt(s: i32, l: i32, n: i32, v: *const core::ffi::c_void, len: u32) -> i32; }
    let v: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, v.as_ptr().cast(), 8); }
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r1","hostname":"h.example","prefix":"/once/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":1200,"priority":1,"service":"llm","max_attempts":1,"anonymous":true,"sticky":true,"can_resume":false,"gap_target_ms":600},
 {"name":"r2","hostname":"h.example","prefix":"/resume/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2,"anonymous":true,"sticky":true,"can_resume":true,"gap_target_ms":600},
 {"name":"r3","hostname":"h.example","prefix":"/order/","route_type":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"anonymous":true},
 {"name":"r4","hostname":"h.example","prefix":"/read/","route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"anonymous":true}],
"services":[
 {"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_capacity_tokens":380443,"stride":7}},
 {"name":"desk","health_path":"/health","max_connections":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// reads raw response to end; returns (status, seal, body, complete)
fn read_answer(c: &mut Connection) -> Result<Message, (String, Vec<u8>)> {
    match c.read_partial() { Ok(m) => Ok(m), Err(e) => Err(e) }
}

pub fn play(dir: &Path, chaos: bool) -> bool {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let secs: u64 = std::env::var("SECS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    let record = Arc::new(Record::create(dir));
    let scratch = dir.to_path_buf();
    let (store, sa) = Store::start();
    store.write("op", "config", Some(CONFIG));
    let book: Book = Arc::default();
    for (svc, n) in [("desk", 4), ("llm", 4)] {
        for k in 0..n {
            let l = TcpListener::bind("127.0.0.1:0").unwrap();
            let name = format!("i-{svc}-{k}");
            let a = l.local_addr().unwrap();
            store.write("servers", &name, Some(&format!("{{\"service\":\"{svc}\",\"address\":\"{a}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"sequence\":1,\"born\":1790000000000}}")));
            let book = Arc::clone(&book);
            let mut rng = Rng(seed.wrapping_mul(7919) + k + 100 * n);
            for _ in 0..8 { rng.next(); }
            thread::spawn(move || for s in l.incoming().flatten() {
                let (name, book, sd) = (name.clone(), Arc::clone(&book), rng.next());
                thread::spawn(move || serve(name, s, book, sd, chaos));
            });
        }
    }
    let addr = [(); 2].map(|()| Addresses::free());
    let seeds = addr.map(|a| a.peers);
    let machines: Vec<_> = addr.iter().zip(["f1", "f2"]).map(|(a, n)| Machine::start(n, *a, &seeds, sa, 110, &scratch, &record)).collect();
    for m in &machines { m.wait_until_ready(); }
    thread::sleep(Duration::from_secs(1));
    let until = Instant::now() + Duration::from_secs(secs);
    let bad = Mutex::new(Vec::new());
    thread::scope(|sc| {
        for k in 0..24_u64 {
            let (machines, book, bad) = (&machines, &book, &bad);
            sc.spawn(move || {
                let mut rng = Rng(seed.wrapping_mul(104729) + k * 31 + 7);
                for _ in 0..8 { rng.next(); }
                let mut conn: Option<Connection> = None;
                while Instant::now() < until {
                    if conn.is_none() {
                        let a = machines[rng.below(2) as usize].addresses.callers;
                        conn = TcpStream::connect_timeout(&a, Duration::from_secs(1)).ok().map(Connection::new);
                        if conn.is_none() { thread::sleep(Duration::from_millis(50)); continue; }
                    }
                    let c = conn.as_mut().unwrap();
                    let kind = ["once", "resume", "order", "read"][rng.below(4) as usize];
                    let id = client::new_id();
                    let big = rng.below(6) == 0;
                    let (m, body) = if kind == "read" { ("GET", String::new()) } else { ("POST", if big { "x".repeat(200_000) } else { "hello".to_owned() }) };
                    let gen_ = if kind == "once" || kind == "resume" { format!("X-Samphiresill-Model: m\r\nX-Samphiresill-Token-Counts: 100,50\r\nX-Samphiresill-Prompt-Prefix: abc:50,{id}:50\r\n") } else { String::new() };
                    let cl = if m == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
                    let req = format!("{m} /{kind}/{id} HTTP/1.1\r\nHost: h.example\r\nX-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Deadline-Ms: {}\r\n{gen_}{cl}\r\n{body}", if kind == "order" || kind == "read" { 1500 } else { 4000 });
                    let leaves = rng.below(30) == 0;
                    let _ = c.stream.set_read_timeout(Some(Duration::from_millis(if leaves { 40 } else { 6000 })));
                    if c.write(req.as_bytes()).is_err() { conn = None; continue; }
                    let r = read_answer(c);
                    let mut complain = |what: String| { bad.lock().unwrap().push(format!("{kind} {id}: {what}")); };
                    let mut b = book.lock().unwrap();
                    let info = b.entry(id.clone()).or_default();
                    info.kind = kind.to_owned();
                    match r {
                        Ok(msg) => {
                            let st = msg.status(); info.status = st; info.outcome = format!("{st}");
                            let seal = msg.header("x-samphiresill-server-seal").to_owned();
                            let body = String::from_utf8_lossy(&msg.body).to_string();
                            if !seal.is_empty() && seal != format!("s.{id}.{st}") { complain(format!("seal {seal} status {st}")); }
                            if st == 200 {
                                if seal != format!("s.{id}.200") { complain(format!("200 without seal {seal}")); }
                                let want = if kind == "order" || kind == "read" { format!("answer to {id} 200") } else { events_of(&id, 1, N) };
                                if body != want { complain(format!("body {body:?}")); }
                            }
                            if msg.header("connection").eq_ignore_ascii_case("close") { drop(b); conn = None; }
                        }
                        Err((e, partial)) => {
                            info.outcome = format!("cut {e}");
                            let p = String::from_utf8_lossy(&partial).to_string();
                            if kind == "once" || kind == "resume" { if !events_of(&id, 1, N).starts_with(&p) { complain(format!("cut body {p:?}")); } }
                            drop(b); conn = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(rng.below(30)));
                }
            });
        }
    });
    thread::sleep(Duration::from_secs(3));
    let b = book.lock().unwrap();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut bad = bad.into_inner().unwrap();
    for (id, i) in b.iter() {
        *counts.entry(i.outcome.clone()).or_default() += 1;
        let _ = id;
        if [429, 503, 408, 421].contains(&i.status) && !i.runs.is_empty() { bad.push(format!("REFUSED {id} {i:?}")); }
    }
    // runs twice: need the kind, which only the log of clients has; ids are unique, so look it up
    println!("{} requests, {counts:?}", b.len());
    let multi: Vec<_> = b.iter().filter(|(_, i)| i.runs.len() > 1).collect();
    println!("ran more than once: {}", multi.len());
    for (id, i) in &multi { if i.kind == "order" || i.kind == "once" || i.runs.len() > 2 { bad.push(format!("TWICE {id} {i:?}")); } record.line(&format!("multi {id} {i:?}")); }
    for m in &machines { println!("{} ends {} peak {}", m.name, m.ends(), m.peak_mb()); m.close(); }
    for line in &bad { println!("BAD {line}"); }
    !bad.is_empty()
}
