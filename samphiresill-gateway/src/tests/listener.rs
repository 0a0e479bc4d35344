//! Closing of a listener while connections wait to be accepted.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::listener::{Accepted, Listener};

const CONNECTIONS: usize = 12;

/// Guards against a close that resets connections which the kernel has accepted, with requests that
/// the process has not read yet.
#[tokio::test]
async fn connections_that_wait_when_the_listener_closes_are_served() {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address: SocketAddr = probe.local_addr().expect("an address");
    drop(probe);
    let echo = |accepted: Accepted| async move {
        let mut stream = accepted.stream;
        let mut buf = [0; 4];
        stream.read_exact(&mut buf).await.expect("a request");
        stream.write_all(&buf).await.expect("a response");
    };
    let listener = Listener::start(address, "test", CONNECTIONS, echo)
        .await
        .expect("a listener");
    // Nothing is accepted in between, because this thread is the only one of the runtime.
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = std::net::TcpStream::connect(address).expect("a connection");
            client.write_all(b"ping").expect("a write");
            client
        })
        .collect();
    listener.close();
    let answered = tokio::task::spawn_blocking(move || {
        let is_answered = |mut client: std::net::TcpStream| {
            client
                .set_read_timeout(Some(Duration::from_secs(10)))
                .expect("a timeout");
            client.read_exact(&mut [0; 4]).is_ok()
        };
        clients
            .into_iter()
            .filter_map(|c| is_answered(c).then_some(()))
            .count()
    });
    assert_eq!(answered.await.expect("no panic"), CONNECTIONS);
}
