//! How many streams the gateway relays at a time.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use samphiresill_sched::fleet::overload::StreamLimiter;

use super::{Gateway, InFlightGuard};

/// Interval at which the lag of timers is measured.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the streams in flight, as its inverse, that do not count for a stream that goes on.
const CONTINUATION_RESERVE: usize = 4;

impl Gateway {
    /// Counts a stream as in flight until the value is dropped. Returns `None` when the stream
    /// limit is reached; one that has begun elsewhere may exceed it by a part.
    #[must_use]
    pub fn begin_stream(&self, is_continuation: bool) -> Option<InFlightGuard> {
        let streams = self.streams.load(Ordering::Acquire);
        let counted = if is_continuation {
            streams - streams / CONTINUATION_RESERVE
        } else {
            streams
        };
        let now = self.clock.monotonic();
        if !self.stream_limiter().admits(counted, now) {
            return None;
        }
        self.streams.fetch_add(1, Ordering::AcqRel);
        Some(InFlightGuard(Arc::clone(&self.streams)))
    }

    pub(super) fn stream_limiter(&self) -> MutexGuard<'_, StreamLimiter> {
        self.stream_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adapts the stream limit to the processor: timers that fire late indicate overload.
    pub(super) async fn adapt_stream_limit(self: Arc<Self>) {
        let mut was_out_of_rotation = false;
        loop {
            let due = self.clock.monotonic() + LAG_CHECK_INTERVAL;
            tokio::time::sleep(LAG_CHECK_INTERVAL).await;
            let lag = self.clock.monotonic().saturating_sub(due);
            let streams = self.streams.load(Ordering::Acquire);
            let mut stream_limiter = self.stream_limiter();
            stream_limiter.observe(lag, streams);
            self.metrics.record_streams(streams, stream_limiter.limit());
            let is_out_of_rotation = stream_limiter.is_out_of_rotation(self.clock.monotonic());
            if is_out_of_rotation != was_out_of_rotation {
                log::warn!(
                    is_out_of_rotation, streams, limit = stream_limiter.limit(), lag_ms = lag.as_millis() as u64;
                    "processor overloaded, out of the balancer's rotation"
                );
            }
            was_out_of_rotation = is_out_of_rotation;
        }
    }
}
