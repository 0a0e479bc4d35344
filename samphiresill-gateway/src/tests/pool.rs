//! Limits on idle connections per target.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use rstest::rstest;
use samphiresill_core::clock::{Clock, SystemClock};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::connection::Connection;
use crate::connection::pool::Pool;

/// Timeout for a new connection, and time until the close of one is noticed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

#[tokio::test]
async fn idle_connections_beyond_the_limit_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let closed = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&closed);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                // End of stream and reset both count as closed.
                let _ = stream.read(&mut [0; 1]).await;
                counted.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    let pool = Pool::new(Arc::new(SystemClock::new()));
    pool.set_max_idle(BTreeMap::from([(address, 2)]));
    let mut connections = Vec::new();
    for _ in 0..5 {
        connections.push(
            Connection::open(address, CLOSE_TIMEOUT)
                .await
                .expect("a connection"),
        );
    }
    for connection in connections {
        pool.release(address, connection, &HeaderMap::new());
    }
    tokio::time::sleep(CLOSE_TIMEOUT).await;
    assert_eq!(closed.load(Ordering::SeqCst), 3);
    // A target that was removed from the directory keeps no idle connection.
    pool.set_max_idle(BTreeMap::new());
    tokio::time::sleep(CLOSE_TIMEOUT).await;
    assert_eq!(closed.load(Ordering::SeqCst), 5);
}

/// `LateClock` is the clock of a process that has run for a day.
struct LateClock(SystemClock);

impl Clock for LateClock {
    fn monotonic(&self) -> Duration {
        Duration::from_hours(24) + self.0.monotonic()
    }

    fn wall(&self) -> SystemTime {
        self.0.wall()
    }
}

/// Guards against idle timeouts that no time can hold: one ended the task of the caller's connection.
#[rstest]
#[case::largest("timeout=18446744073709551615", true)]
#[case::too_large("timeout=18446744073709551616", true)]
#[case::long("max=5, timeout=99999999999", true)]
#[case::none("timeout=0", false)]
#[tokio::test]
async fn idle_timeouts_of_any_size_are_accepted(
    #[case] keep_alive: &'static str,
    #[case] is_kept: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pool = Pool::new(Arc::new(LateClock(SystemClock::new())));
    let connection = Connection::open(address, CLOSE_TIMEOUT).await;
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(keep_alive));
    pool.release(address, connection.expect("a connection"), &headers);
    drop(listener);
    // Without an idle connection, a new one would have to be opened.
    let reused = pool.acquire(address, CLOSE_TIMEOUT).await;
    assert_eq!(reused.is_ok(), is_kept);
}
