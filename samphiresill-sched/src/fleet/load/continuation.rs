//! Streams that go on: only at the version that began them.

use std::time::Duration;

use samphiresill_core::name::{SoftwareVersion, TargetName};
use samphiresill_core::routing::TargetEntry;

use super::FleetLoad;
use crate::fleet::admission::{self, Reason, Refusal};
use crate::fleet::event::Event;
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::{StreamId, StreamOrigin, StreamRecords};

/// Pause before a router looks again for the version of a stream: events of other routers arrive within
/// it.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the version of a stream is looked for. A caller may take a stream up before the
/// record of its beginning has arrived.
const MAX_LOOKUP: Duration = Duration::from_millis(100);
/// The same while the records of other processes are loaded, after a start.
const MAX_LOADING_LOOKUP: Duration = Duration::from_secs(1);
/// `Retry-After` before jitter for a stream that can't go on.
const RETRY_AFTER: Duration = Duration::from_millis(300);

impl FleetLoad {
    /// Records that a stream of this router has delivered its first event, of a run on a target.
    pub fn record_stream(
        &mut self,
        stream: StreamId,
        target: &TargetName,
        version: &SoftwareVersion,
        now: Duration,
    ) {
        let event = Event::StreamBegan {
            stream,
            target: target.clone(),
            version: version.clone(),
        };
        self.publish(event, now);
    }

    /// Returns what is known of the beginnings of streams.
    #[must_use]
    pub fn streams(&self) -> &StreamRecords {
        &self.streams
    }

    /// Returns what is known of the beginnings of streams, to load and save it.
    pub fn streams_mut(&mut self) -> &mut StreamRecords {
        &mut self.streams
    }

    /// Returns where the stream of a request may go on, as far as this router knows.
    #[must_use]
    pub fn resolve(&self, origin: &StreamOrigin) -> StreamOrigin {
        match origin {
            StreamOrigin::Of(stream) => self
                .streams
                .version(*stream)
                .map_or_else(|| origin.clone(), |v| StreamOrigin::At(v.clone())),
            _ => origin.clone(),
        }
    }

    /// Returns the refusal of a request whose stream began at a version that is not known.
    pub(super) fn refusal_of_unknown_version(
        &self,
        req: &PlacementRequest<'_>,
        jitter: f64,
    ) -> Refusal {
        let max_lookup = if self.streams.is_loaded() {
            MAX_LOOKUP
        } else {
            MAX_LOADING_LOOKUP
        };
        let may_become_known = matches!(req.origin, StreamOrigin::Of(_)) && req.waited < max_lookup;
        let retry_after = admission::retry_after(RETRY_AFTER, req.time_left, jitter);
        Refusal {
            recheck_in: may_become_known.then_some(LOOKUP_INTERVAL),
            ..Refusal::new(Reason::UnknownVersion, retry_after)
        }
    }
}

/// Returns whether the stream of a request may go on at a target.
pub(super) fn allows(origin: &StreamOrigin, entry: &TargetEntry) -> bool {
    match origin {
        StreamOrigin::New => true,
        StreamOrigin::At(version) => entry.version.as_ref() == Some(version),
        StreamOrigin::Of(_) | StreamOrigin::Unknown => false,
    }
}
