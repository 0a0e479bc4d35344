//! Requesters: they send requests, on channels that they keep, and record what becomes of each.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message};

/// Time within which a channel is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// No channel could be established, or the request could not be written.
    NotSent,
    /// A whole answer.
    Answered(Message),
    /// The channel ended, or the time budget passed, before a whole answer.
    NoAnswer(String),
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.first_line)
    }
}

/// A channel to a node, which is kept as long as it lasts.
pub struct Channel {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Requests that were answered on the channel.
    pub answered: u64,
}

impl Channel {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            answered: 0,
        }
    }

    /// Sends a request and waits for its answer, for the time budget at most.
    pub fn call(&mut self, request: &str, budget: Duration) -> Outcome {
        if self.connection.is_none() {
            self.answered = 0;
            let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
            self.connection = stream.ok().map(Connection::new);
        }
        let Some(connection) = &mut self.connection else {
            return Outcome::NotSent;
        };
        let timeout = connection.stream.set_read_timeout(Some(budget));
        if timeout.is_err() || connection.write(request.as_bytes()).is_err() {
            self.connection = None;
            return Outcome::NotSent;
        }
        let outcome = match connection.read() {
            Ok(Some(answer)) => {
                self.answered += 1;
                if answer.header("connection").eq_ignore_ascii_case("close") {
                    self.connection = None;
                }
                return Outcome::Answered(answer);
            }
            Ok(None) => Outcome::NoAnswer("the channel was closed".to_owned()),
            Err(e) => Outcome::NoAnswer(e.to_string()),
        };
        self.connection = None;
        outcome
    }
}

/// Returns an id that no other request of this run has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:016x}",
        0x5a00_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Status of the answer to a GET request; 0 without an answer.
pub fn status_of(address: SocketAddr, path: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    match Channel::new(address).call(&request, Duration::from_secs(1)) {
        Outcome::Answered(answer) => answer.status(),
        _ => 0,
    }
}
