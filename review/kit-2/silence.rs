//! Case 7: engines preempt runs in the middle of their streams while a gateway is stopped by plan. The
//! gateway must not end the answers before their time budget.

#[allow(dead_code)]
mod base;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base::{Addresses, Gateway, Record, Store, TempDir};

/// Events of a stream, and the time between them.
const EVENTS: u32 = 42;
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
/// Events of a run after which the engine's memory runs out, and the time until the run goes on.
const EVENTS_BEFORE_PREEMPTION: u32 = 8;
const PREEMPTION: Duration = Duration::from_millis(2_600);
/// Time budget of the requests, as on the sheet.
const BUDGET_MS: u64 = 10_000;
const CLIENTS: usize = 5;

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r1","hostname":"desk.example","prefix":"/query/","route_type":"streaming","timeout_ms":10000,
 "target_latency_ms":500,"gap_target_ms":600,"service":"llm","max_attempts":2,"can_resume":true,"sticky":true}],
"services":[{"name":"llm","health_path":"/health","max_connections":370,
 "engine":{"slots":64,"kv_capacity_tokens":380443,"stride":7,"kv_token_bytes":18432,"link_mbps":740000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000,
 "tokens_per_s":400000},
"tenants":[{"name":"t1","api_keys":["k1"]}]}"#;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record_path = PathBuf::from(std::env::args().nth(1).expect("path of the record"));
    let record = Record::new();
    let broken = run(has_trouble, &record);
    record
        .save(&record_path)
        .expect("the record can be written");
    std::process::exit(broken.map_or(2, i32::from));
}

/// Plays the case. Returns whether the rule was broken; `None` when the case could not run.
fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start().ok()?;
    for number in 0..3 {
        let address = start_engine(number, has_trouble, record).ok()?;
        let entry = base::entry("llm", address, "zone-0", 64, "ready", 1_700_000_000_000, 1);
        store.put("servers", &format!("i-{number}"), Some(&entry));
    }
    store.put("op", "config", Some(CONFIG));
    let dir = TempDir::create("review-7").ok()?;
    let addresses = Addresses::free(1).ok()?.pop()?;
    let seeds = [addresses.peers];
    let mut gateway = Gateway::start(
        "front-0",
        &dir.0,
        store.address,
        &addresses,
        &seeds,
        "zone-0",
    )
    .ok()?;
    if !gateway.wait_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(2));

    let ends = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record, ends) = (gateway.front, record.clone(), Arc::clone(&ends));
            thread::spawn(move || {
                let end = read_stream(client, front, &record);
                ends.lock().unwrap().push(end);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    gateway.signal(base::SIGTERM);
    let stopped_at = record.now();
    record.add("SIGTERM to the gateway, grace 8 s");
    for client in clients {
        let _ = client.join();
    }
    gateway.wait(Duration::from_secs(9));
    record.add("the gateway has exited");
    let ends = ends.lock().unwrap();
    // A stream that is cut in the last sixth of the grace, or at its time budget, does not count.
    let is_cut = |end: &&Option<(f64, bool)>| {
        end.is_some_and(|(at, is_complete)| !is_complete && at < stopped_at + 8.0 * 5.0 / 6.0)
    };
    let cut = ends.iter().filter(is_cut).count();
    record.add(format!(
        "streams: {}, cut although their servers were at work: {cut}",
        ends.len()
    ));
    ends.iter().all(Option::is_some).then_some(cut > 0)
}

/// Starts an engine. It preempts each run once if it has trouble, since its memory runs out.
fn start_engine(number: usize, has_trouble: bool, record: &Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let _ = serve_engine(number, has_trouble, &stream, &record);
            });
        }
    });
    Ok(address)
}

fn serve_engine(
    number: usize,
    has_trouble: bool,
    stream: &TcpStream,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = base::read_head(&mut input)? {
        let _ = base::read_body(&mut input, &head);
        if head.path().starts_with("/samphiresill/kv-list") {
            let body = r#"{"epoch":1,"next":1,"held":[]}"#;
            write!(
                output,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            continue;
        }
        let id = head.get("x-samphiresill-attempt-id");
        let after: u32 = head.get("last-event-id").parse().unwrap_or(0);
        record.add(format!(
            "engine {number}: {id} runs, from event {}",
            after + 1
        ));
        write!(
            output,
            "HTTP/1.1 200 OK\r\nX-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Server-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in after + 1..=EVENTS {
            if has_trouble && event == after + 1 + EVENTS_BEFORE_PREEMPTION {
                record.add(format!(
                    "engine {number}: {id} is preempted before event {event}"
                ));
                thread::sleep(PREEMPTION);
                record.add(format!("engine {number}: {id} goes on"));
            }
            thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {event}\ndata: {id}\n\n");
            if let Err(e) = write!(output, "{:x}\r\n{text}\r\n", text.len()) {
                record.add(format!("engine {number}: the channel of {id} is closed"));
                return Err(e);
            }
        }
        output.write_all(b"0\r\n\r\n")?;
        record.add(format!("engine {number}: {id} is complete"));
    }
    Ok(())
}

/// Sends a request and reads its stream. Returns when it ended and whether it was complete.
fn read_stream(client: usize, front: SocketAddr, record: &Record) -> Option<(f64, bool)> {
    let mut output = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    output.set_nodelay(true).ok()?;
    // Clients abandon a stream after eight times the pause of the sheet.
    output
        .set_read_timeout(Some(Duration::from_millis(4_800)))
        .ok()?;
    let mut input = BufReader::new(output.try_clone().ok()?);
    let id = format!("c{client}");
    let headers = format!(
        "X-Samphiresill-Model: m\r\nX-Samphiresill-Token-Counts: 628,294\r\nX-Samphiresill-Prompt-Prefix: a1:119,b{client}:509\r\n"
    );
    record.add(format!("client: {id} is sent"));
    output
        .write_all(base::request("/query/a", &id, BUDGET_MS, &headers, "{}").as_bytes())
        .ok()?;
    let head = base::read_head(&mut input).ok()??;
    let (mut events, mut is_complete) = (0, false);
    loop {
        let mut line = String::new();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Err(e) => {
                record.add(format!("client: {id}: {e}"));
                break;
            }
            Ok(_) if line.starts_with("id: ") => events += 1,
            Ok(_) if line == "0\r\n" => {
                is_complete = true;
                break;
            }
            Ok(_) => {}
        }
    }
    let status = head.status();
    record.add(format!(
        "client: {id} ends, status {status}, {events} events, complete: {is_complete}"
    ));
    Some((record.now(), is_complete && events == EVENTS))
}
