//! Stand-ins for servers: plain services and model servers, sound unless a case says otherwise.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::record::Record;

/// How a server answers a request that is meant for it. Returns whether the channel is kept.
pub type Answer = dyn Fn(&Server, &Message, &mut Connection) -> bool + Send + Sync;

pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    /// Ids of the requests that ran, in order.
    pub runs: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(
        name: &str,
        service: &'static str,
        record: &Arc<Record>,
        answer: Arc<Answer>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            service,
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, answer) = (Arc::clone(&accepting), Arc::clone(&answer));
                thread::spawn(move || server.serve(Connection::new(stream), &*answer));
            }
        });
        server
    }

    fn serve(&self, mut connection: Connection, answer: &Answer) {
        while let Ok(Some(request)) = connection.read() {
            let is_kept = if request.path() == "/samphiresill/kv-list" {
                let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
                connection
                    .write(response("200 OK", "", list).as_bytes())
                    .is_ok()
            } else if request.header("x-samphiresill-expect-instance") != self.name {
                let head = format!("X-Samphiresill-Instance-Id: {}\r\n", self.name);
                let response = response("421 Misdirected Request", &head, "");
                connection.write(response.as_bytes()).is_ok()
            } else {
                answer(self, &request, &mut connection)
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Records that a request runs here.
    pub fn record_run(&self, id: &str) {
        self.runs.lock().expect("no panic").push(id.to_owned());
        self.record.line(&format!("{}: runs {id}", self.name));
    }

    /// Its entry in the directory of servers. Reports that change nothing but `sequence` leave the entry as
    /// it is, so they are not played.
    pub fn entry(&self, slots: u32, state: &str, sequence: u32) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"tanger-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"born\":1790000000000}}",
            self.service, self.address
        )
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Headers of every answer to a request: its id, and the receipt.
pub fn receipt(id: &str) -> String {
    format!("X-Samphiresill-Attempt-Id: {id}\r\nX-Samphiresill-Server-Seal: s.{id}\r\n")
}

/// A plain service that runs each request for `work`, and answers with its id.
pub fn sound_service(work: Duration) -> Arc<Answer> {
    Arc::new(
        move |server: &Server, request: &Message, connection: &mut Connection| {
            let id = request.header("x-samphiresill-attempt-id");
            server.record_run(id);
            thread::sleep(work);
            let answer = response("200 OK", &receipt(id), &format!("answer to {id}"));
            connection.write(answer.as_bytes()).is_ok()
        },
    )
}

/// Writes a stream of `events` events, `pause` apart, with a last chunk at its end.
pub fn write_stream(id: &str, events: u32, pause: Duration, connection: &mut Connection) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        receipt(id)
    );
    let mut is_written = connection.write(head.as_bytes()).is_ok();
    for number in 1..=events {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_written = is_written && connection.write(chunk.as_bytes()).is_ok();
        thread::sleep(pause);
    }
    is_written && connection.write(b"0\r\n\r\n").is_ok()
}
