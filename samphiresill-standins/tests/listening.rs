//! `tiny_http` drops its listener after a failed accept, for example when file descriptors run out.
//! The stand-ins must keep accepting connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use samphiresill_standins::http;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_failed_accept_does_not_end_the_listener() {
    let any_port = "127.0.0.1:0".parse().expect("failed to parse the address");
    let listener = http::listen(any_port).expect("failed to listen");
    // On a non-blocking listener, accept fails with `WouldBlock` while no connection is pending.
    listener
        .set_nonblocking(true)
        .expect("failed to set O_NONBLOCK");
    let address = listener.local_addr().expect("failed to get the address");
    thread::spawn(move || {
        http::serve_listener(&listener, |req| http::respond(req, 200, &"ok".into()))
    });
    thread::sleep(Duration::from_millis(100));
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).expect("failed to connect");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("failed to set the read timeout");
        let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream
            .write_all(request)
            .expect("failed to send the request");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("failed to read the response");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
