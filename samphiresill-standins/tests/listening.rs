//! A stand-in goes on listening after a failed accept.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use samphiresill_standins::http;

/// Time within which an answer comes.
const PATIENCE: Duration = Duration::from_secs(5);

#[test]
fn a_failed_accept_does_not_end_the_listener() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = http::listen(any).expect("a free port");
    // Accepts fail at once while nobody connects.
    listener.set_nonblocking(true).expect("an option");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        http::serve_listener(&listener, |req| http::respond(req, 200, &"ok".into()))
    });
    thread::sleep(Duration::from_millis(100));
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("an option");
        let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request).expect("a write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
