//! Tests of the harness that runs fleets of processes.

use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use samphiresill_tests::free_address;

const SPAWNING_THREADS: usize = 4;
const ADDRESSES: usize = 400;

/// Guards against a probe socket that a child process inherits between fork and exec: while it
/// listens, it answers connections and makes the program fail that is to bind the address.
#[test]
fn nothing_listens_on_a_free_address_while_processes_are_started() {
    let done = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.expect("failed to run true").success());
                }
            });
        }
        let taken = (0..ADDRESSES).filter(|_| TcpStream::connect(free_address()).is_ok());
        let taken = taken.count();
        done.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}
