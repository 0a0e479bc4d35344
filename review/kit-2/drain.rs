//! Case 6: most gateways are killed and started again while a server leaves. The survivors must not
//! send it requests later than the drain timeout.

#[allow(dead_code)]
mod base;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base::{Addresses, Gateway, Record, Store, TempDir};

/// `drain_timeout_ms` of the sheet, in seconds.
const DRAIN_TIMEOUT: f64 = 2.0;
/// Gateways as in brandvold-ops; half of them are killed, among them those that watch the store.
const GATEWAYS: usize = 6;
const KILLED: usize = 3;
/// Time from the kill until the processes are started again.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Servers at the start.
const SERVERS: usize = 3;
/// In each round, the server that leaves without reporting that it drains, and the one that is added.
const ROUNDS: [(usize, usize); 3] = [(0, 3), (1, 4), (3, 6)];

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r1","hostname":"desk.example","prefix":"/order/","route_type":"unsafe","timeout_ms":600,
 "target_latency_ms":100,"service":"order-desk","max_attempts":1}],
"services":[{"name":"order-desk","health_path":"/health","max_connections":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1"]}]}"#;

/// Time, server and id of each request that has arrived.
type Arrivals = Arc<Mutex<Vec<(f64, usize, String)>>>;

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
    let arrivals = Arrivals::default();
    let mut servers = Vec::new();
    for number in 0..=6 {
        servers.push(start_server(number, record, &arrivals).ok()?);
    }
    let put_server = |number: usize| {
        let (key, zone) = (format!("i-{number}"), format!("zone-{}", number % 3));
        let started = 1_700_000_000_000 + number as u64;
        let entry = base::entry("order-desk", servers[number], &zone, 6, "ready", started, 1);
        store.put("servers", &key, Some(&entry));
    };
    (0..SERVERS).for_each(put_server);
    store.put("op", "config", Some(CONFIG));

    let dir = TempDir::create("review-6").ok()?;
    // The gateways with the lowest addresses of their zones watch the store.
    let mut addresses = Addresses::free(GATEWAYS)
        .ok()
        .filter(|a| a.len() == GATEWAYS)?;
    addresses.sort_by_key(|a| a.peers);
    let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| a.peers).collect();
    let start = |i: usize| {
        // The survivors are in the zone of the server that leaves, and in the next one.
        let zone = format!("zone-{}", (i + 2) % 3);
        Gateway::start(
            &format!("front-{i}"),
            &dir.0,
            store.address,
            &addresses[i],
            &seeds,
            &zone,
        )
        .ok()
    };
    let mut gateways = Vec::new();
    for i in 0..GATEWAYS {
        gateways.push((i, start(i)?));
    }
    if !gateways.iter().all(|(_, gateway)| gateway.wait_ready()) {
        record.add("a gateway is not ready");
        return None;
    }
    thread::sleep(Duration::from_secs(5));

    let is_sending = Arc::new(AtomicBool::new(true));
    let is_over = Arc::new(AtomicBool::new(false));
    for survivor in KILLED..GATEWAYS {
        for client in 0..4 {
            let name = format!("g{survivor}c{client}");
            let (front, record) = (addresses[survivor].front, record.clone());
            let (is_sending, is_over) = (Arc::clone(&is_sending), Arc::clone(&is_over));
            thread::spawn(move || send_orders(&name, front, &record, &is_sending, &is_over));
        }
    }
    let (mut all, mut late) = (0, 0);
    for (leaving, added) in ROUNDS {
        thread::sleep(Duration::from_secs(2));
        is_sending.store(false, Ordering::Relaxed);
        // The gateways know by then that the store has just answered.
        store.wait_answer();
        thread::sleep(Duration::from_millis(430));
        if has_trouble {
            gateways.retain(|(i, _)| *i >= KILLED);
            record.add(format!("gateways 0 to {} are killed", KILLED - 1));
        }
        thread::sleep(DOWN_TIME / 4);
        store.put("servers", &format!("i-{leaving}"), None);
        let left_at = record.now();
        record.add(format!(
            "server {leaving} leaves: the store has acknowledged that its entry is removed"
        ));
        thread::sleep(DOWN_TIME / 4);
        put_server(added);
        record.add(format!(
            "server {added} has started: its entry is in the store"
        ));
        thread::sleep(DOWN_TIME / 2);
        if has_trouble {
            for i in 0..KILLED {
                gateways.push((i, start(i)?));
            }
            record.add(format!("gateways 0 to {} are started again", KILLED - 1));
        }
        thread::sleep(Duration::from_millis(1_200));
        is_sending.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(4));
        let arrivals = arrivals.lock().unwrap();
        let counted = arrivals
            .iter()
            .filter(|(at, ..)| *at > left_at + DRAIN_TIMEOUT);
        all += counted.clone().count();
        late += counted.filter(|(_, server, _)| *server == leaving).count();
        record.add(format!("requests later than 2 s after an acknowledgement: {all}, of them at the server that left: {late}"));
        if late > 0 {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    (all > 0).then_some(late > 0)
}

/// Starts a server. It serves on to the end, also after its entry is removed.
fn start_server(
    number: usize,
    record: &Record,
    arrivals: &Arrivals,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (record, arrivals) = (record.clone(), Arc::clone(arrivals));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else {
                    return;
                };
                let mut input = BufReader::new(stream);
                while let Ok(Some(head)) = base::read_head(&mut input) {
                    let _ = base::read_body(&mut input, &head);
                    let id = head.get("x-samphiresill-attempt-id").to_owned();
                    arrivals
                        .lock()
                        .unwrap()
                        .push((record.now(), number, id.clone()));
                    record.add(format!("server {number}: order {id} arrives and runs"));
                    thread::sleep(Duration::from_millis(15));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Server-Seal: s\r\nContent-Length: 2\r\n\r\n{{}}"
                    );
                    if output.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Sends orders to a gateway, one after another on a kept connection.
fn send_orders(
    name: &str,
    front: SocketAddr,
    record: &Record,
    is_sending: &AtomicBool,
    is_over: &AtomicBool,
) {
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(60));
        if !is_sending.load(Ordering::Relaxed) {
            continue;
        }
        number += 1;
        let id = format!("{name}n{number:03}");
        connection = connection.or_else(|| connect(front).ok());
        record.add(format!("client: order {id} is sent"));
        let answered = connection.as_mut().and_then(|(output, input)| {
            let request = base::request("/order/a", &id, 600, "", "{}");
            output.write_all(request.as_bytes()).ok()?;
            let head = base::read_head(input).ok()??;
            base::read_body(input, &head).1.then(|| head.status())
        });
        record.add(format!("client: order {id} is answered {answered:?}"));
        connection = connection.filter(|_| answered.is_some());
    }
}

fn connect(front: SocketAddr) -> std::io::Result<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let input = BufReader::new(stream.try_clone()?);
    Ok((stream, input))
}
