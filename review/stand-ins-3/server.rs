//! Stand-in for model servers, which answer with streams of events.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::net::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// Interval between the reports of a server to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `Work` is a stream of events: the first one after `first`, the others each `gap`.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub events: usize,
    pub first: Duration,
    pub gap: Duration,
}

#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    work: Mutex<BTreeMap<String, Work>>,
    record: Arc<Record>,
    is_down: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    /// Requests at work, by their `X-Samphiresill-Tenant`.
    pub at_work: Mutex<BTreeMap<String, usize>>,
}

impl Server {
    /// Starts a server at `address`. `work` is by the first segment of the path.
    pub fn start(
        record: &Arc<Record>,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: &[(&str, Work)],
    ) -> Arc<Self> {
        let listener = bind(address);
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: record.unix_ms(),
            slots: 64,
            work: Mutex::new(work.iter().map(|(p, w)| ((*p).to_owned(), *w)).collect()),
            record: Arc::clone(record),
            is_down: AtomicBool::new(false),
            channels: Mutex::default(),
            sequence: AtomicU64::new(0),
            at_work: Mutex::default(),
        });
        listener.set_nonblocking(true).expect("a listener that does not block");
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || {
            while !accepting.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accepting.accept(stream),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        server
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(channel) = stream.try_clone() {
            self.channels.lock().expect("lock").push(channel);
        }
        let server = Arc::clone(self);
        std::thread::spawn(move || drop(server.serve(stream)));
    }

    /// Registers the server in the store and reports until it is down.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        self.record.line(&format!("server {} ({}) registers as ready", self.id, self.service));
        self.report(store);
        let (server, store) = (Arc::clone(self), Arc::clone(store));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if server.is_down.load(Ordering::SeqCst) {
                    return;
                }
                server.report(&store);
            }
        });
    }

    fn report(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { service, address, zone, slots, born, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        store.write("servers", &self.id, Some(&entry));
    }

    /// Ends all channels and the listener, as when the process crashes.
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.id));
        self.is_down.store(true, Ordering::SeqCst);
        // The listener is gone before the channels break.
        std::thread::sleep(Duration::from_millis(5));
        for channel in self.channels.lock().expect("lock").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = net::read_head(&mut reader)? {
            net::read_body(&mut reader, &head)?;
            self.answer(&mut stream, &head)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let path = head.word(1);
        if path.starts_with("/samphiresill/kv-list") {
            let body = br#"{"epoch":1,"next":1,"held":[]}"#;
            return net::write_response(stream, "200 OK", &[], body);
        }
        if path == "/health" {
            let fields = [("X-Samphiresill-Instance-Id", &*self.id)];
            return net::write_response(stream, "200 OK", &fields, b"");
        }
        let request = head.get("x-samphiresill-attempt-id").unwrap_or_default();
        let echo = ("X-Samphiresill-Attempt-Id", request);
        let unexecuted = [("X-Samphiresill-Not-Executed", "1"), echo];
        let expected = head.get("x-samphiresill-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return net::write_response(stream, "421 Misdirected Request", &unexecuted, b"");
        }
        let first = path.split('/').nth(1).unwrap_or_default();
        let work = self.work.lock().expect("lock").get(first).copied();
        match work {
            None => net::write_response(stream, "404 Not Found", &[echo], b""),
            Some(work) => {
                self.record.line(&format!("request {request} runs at server {}", self.id));
                let tenant = head.get("x-samphiresill-tenant").unwrap_or_default().to_owned();
                *self.at_work.lock().expect("lock").entry(tenant.clone()).or_default() += 1;
                let ended = self.run(stream, request, work);
                *self.at_work.lock().expect("lock").entry(tenant).or_default() -= 1;
                let end = match &ended {
                    Ok(()) => "its run ends whole".to_owned(),
                    Err(e) => format!("its run is broken off: {e}"),
                };
                self.record.line(&format!("request {request} at {}: {end}", self.id));
                ended
            }
        }
    }

    fn run(&self, stream: &mut TcpStream, request: &str, work: Work) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Samphiresill-Attempt-Id: {request}\r\n\
             X-Samphiresill-Server-Seal: seal.{request}.{}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        self.wait(stream, work.first)?;
        for number in 1..=work.events {
            let event = format!("id: {number}\ndata: {request} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            self.wait(stream, work.gap)?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Waits, and fails when the channel is closed meanwhile: the server then drops the request.
    fn wait(&self, stream: &mut TcpStream, time: Duration) -> io::Result<()> {
        if time.is_zero() {
            return Ok(());
        }
        stream.set_read_timeout(Some(time))?;
        let read = stream.read(&mut [0]);
        stream.set_read_timeout(None)?;
        match read {
            Ok(0) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the channel was closed")),
            Ok(_) => Err(io::Error::other("bytes within a request")),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Binds an address, which channels of an earlier server may still hold for a moment.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    crate::record::give_up(&format!("no server can listen on {address}"))
}
