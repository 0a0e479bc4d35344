//! Tracks the activity on a caller's connection: active requests, a pending head, idle time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use derive_more::Debug;
use samphiresill_core::clock::Clock;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::{Gateway, InFlightGuard};

/// `ConnectionActivity` tracks the activity on one connection.
#[derive(Debug)]
pub struct ConnectionActivity {
    #[debug(skip)]
    clock: Arc<dyn Clock>,
    requests: AtomicUsize,
    /// Monotonic time in milliseconds since which the connection has been idle or a head pending.
    since_ms: AtomicU64,
    is_head_pending: AtomicBool,
    /// Whether a response is being written whose end only the close of the connection marks.
    has_unframed_response: AtomicBool,
    /// Monotonic time in milliseconds since which the caller has taken no byte of a response that
    /// waits for it; `NOT_BLOCKED` when none waits.
    blocked_since_ms: AtomicU64,
    /// Whether the connection is being cut off.
    is_cut_off: AtomicBool,
}

/// Value of `blocked_since_ms` while no response waits for the caller.
const NOT_BLOCKED: u64 = u64::MAX;

impl ConnectionActivity {
    /// Starts tracking a connection that was just accepted.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let now = clock.monotonic().as_millis() as u64;
        Self {
            clock,
            requests: AtomicUsize::new(0),
            since_ms: AtomicU64::new(now),
            is_head_pending: AtomicBool::new(false),
            has_unframed_response: AtomicBool::new(false),
            blocked_since_ms: AtomicU64::new(NOT_BLOCKED),
            is_cut_off: AtomicBool::new(false),
        }
    }

    /// How long no request has been active.
    #[must_use]
    pub fn idle_for(&self) -> Duration {
        if self.requests.load(Ordering::Relaxed) > 0 {
            Duration::ZERO
        } else {
            self.elapsed()
        }
    }

    /// How long an incomplete request head has been pending.
    #[must_use]
    pub fn head_pending_for(&self) -> Duration {
        if self.is_head_pending.load(Ordering::Relaxed) {
            self.elapsed()
        } else {
            Duration::ZERO
        }
    }

    /// How long the caller has taken no byte of a response that waits for it.
    #[must_use]
    pub fn blocked_for(&self) -> Duration {
        match self.blocked_since_ms.load(Ordering::Relaxed) {
            NOT_BLOCKED => Duration::ZERO,
            since => self
                .clock
                .monotonic()
                .saturating_sub(Duration::from_millis(since)),
        }
    }

    /// Lets the connection be reset when it is dropped, so that the kernel does not keep what the
    /// caller has not taken.
    pub fn cut_off(&self) {
        self.is_cut_off.store(true, Ordering::Relaxed);
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        let was_blocked = self.blocked_since_ms.load(Ordering::Relaxed) != NOT_BLOCKED;
        if polled.is_pending() && !was_blocked {
            let now = self.clock.monotonic().as_millis() as u64;
            self.blocked_since_ms.store(now, Ordering::Relaxed);
        } else if polled.is_ready() && was_blocked {
            self.blocked_since_ms.store(NOT_BLOCKED, Ordering::Relaxed);
        }
    }

    fn elapsed(&self) -> Duration {
        let since = Duration::from_millis(self.since_ms.load(Ordering::Relaxed));
        self.clock.monotonic().saturating_sub(since)
    }

    fn restart_timer(&self) {
        let now = self.clock.monotonic().as_millis() as u64;
        self.since_ms.store(now, Ordering::Relaxed);
    }

    /// Records bytes from the caller. Bytes that arrive during a request belong to that request;
    /// others start the head of the next one.
    fn record_received(&self) {
        let is_idle = self.requests.load(Ordering::Relaxed) == 0;
        if is_idle && !self.is_head_pending.swap(true, Ordering::Relaxed) {
            self.restart_timer();
        }
    }
}

/// `ActiveRequest` counts a request as active on its connection and as in flight in the gateway
/// until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    activity: Arc<ConnectionActivity>,
    _in_flight: InFlightGuard,
}

impl ActiveRequest {
    /// Starts to count a request whose head has arrived.
    #[must_use]
    pub fn new(activity: &Arc<ConnectionActivity>, gateway: &Gateway) -> Self {
        activity.requests.fetch_add(1, Ordering::Relaxed);
        activity.is_head_pending.store(false, Ordering::Relaxed);
        Self {
            activity: Arc::clone(activity),
            _in_flight: gateway.begin_request(),
        }
    }

    /// Records that only the close of the connection marks the end of the response. Unless
    /// [`Self::complete_response`] is called, the connection is reset.
    pub fn begin_unframed_response(&self) {
        self.set_unframed_response(true);
    }

    /// Records that the response is complete.
    pub fn complete_response(&self) {
        self.set_unframed_response(false);
    }

    fn set_unframed_response(&self, has_unframed_response: bool) {
        let flag = &self.activity.has_unframed_response;
        flag.store(has_unframed_response, Ordering::Relaxed);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.activity.restart_timer();
        self.activity.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// `TrackedStream` is a caller's connection that records received bytes in its activity. It is reset
/// when it is dropped, or its process is killed, within an unframed response.
#[derive(Debug)]
pub struct TrackedStream {
    /// The connection.
    pub stream: TcpStream,
    /// Its activity.
    pub activity: Arc<ConnectionActivity>,
    resets_on_close: bool,
}

impl TrackedStream {
    /// Tracks a connection.
    #[must_use]
    pub fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self {
            stream,
            activity,
            resets_on_close: false,
        }
    }

    /// Chooses between a reset and an orderly close, whoever closes the connection.
    fn update_close(&mut self) {
        let has_unframed_response = self.activity.has_unframed_response.load(Ordering::Relaxed);
        if self.resets_on_close == has_unframed_response {
            return;
        }
        self.resets_on_close = has_unframed_response;
        let linger = has_unframed_response.then_some(Duration::ZERO);
        if let Err(e) = SockRef::from(&self.stream).set_linger(linger) {
            log::warn!(error:% = e; "failed to set SO_LINGER");
        }
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.activity.is_cut_off.load(Ordering::Relaxed)
            && let Err(e) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            log::warn!(error:% = e; "failed to set SO_LINGER");
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_received();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close();
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close();
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_close();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
