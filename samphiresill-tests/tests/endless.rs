//! Tests of responses without an end at the project's own clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use samphiresill::forward::engine::{Engine, StreamEvent};
use samphiresill_attempt::attempt::AttemptId;
use samphiresill_core::name::RequestId;
use samphiresill_platform::http::PlatformClient;

/// Bytes that a server writes at most, far more than any bound of a client.
const MAX_WRITTEN_BYTES: usize = 64 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that answers one request with a head, `start`, and `a` again and again until the
/// client closes the connection. The thread returns the number of bytes written.
fn start_endless_server(content_type: &str, start: &str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let first = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n{start}");
    let writing = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).expect("a request");
        stream.write_all(first.as_bytes()).expect("a write");
        let piece = [b'a'; 16 << 10];
        let mut written = 0;
        while written < MAX_WRITTEN_BYTES && stream.write_all(&piece).is_ok() {
            written += piece.len();
        }
        written
    });
    (address, writing)
}

/// Guards against a platform whose response has no end: all of it was kept in memory.
#[test]
fn an_endless_response_of_the_platform_is_cut_off() {
    let (address, writing) = start_endless_server("application/json", "[\"");
    let client = PlatformClient::new(address, CALL_TIMEOUT);
    assert!(client.vms().is_err());
    assert!(writing.join().expect("no panic") < MAX_WRITTEN_BYTES);
}

/// Guards against an engine whose event has no end.
#[tokio::test]
async fn an_endless_event_of_an_engine_is_cut_off() {
    let (address, writing) = start_endless_server("text/event-stream", "id: 0\ndata: ");
    let engine = Engine::new(address, tokio::runtime::Handle::current());
    let attempt = AttemptId {
        request: RequestId::from("r1"),
        number: 1,
    };
    let mut events = engine.open("/v1/completions", &attempt, "{}".to_owned());
    assert!(matches!(events.recv().await, Some(StreamEvent::Failed(_))));
    drop(events);
    let written = tokio::task::spawn_blocking(|| writing.join().expect("no panic"));
    assert!(written.await.expect("no panic") < MAX_WRITTEN_BYTES);
}
