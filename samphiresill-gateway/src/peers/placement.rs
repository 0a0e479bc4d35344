//! Placement requests to schedulers and their replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use samphiresill_sched::fleet::admission::{self, Reason, Refusal};
use samphiresill_sched::fleet::load::Placement;
use samphiresill_sched::fleet::request::PlacementRequest;
use samphiresill_sched::fleet::streams::StreamOrigin;
use tokio::sync::oneshot;

use super::Peers;
use super::frame::{Frame, PlacementReplyFrame, PlacementRequestFrame};
use crate::gateway::Gateway;
use crate::metrics::PlacedBy;

/// Timeout of a placement request: several round trips, but short compared with latency objectives.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum number of schedulers that are tried before the gateway decides by itself.
const MAX_SCHEDULERS_TRIED: usize = 2;
/// `Retry-After` before jitter when a scheduler and this gateway differ on the version of a target.
const MISMATCH_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time during which a scheduler that did not reply is skipped.
const SKIP_DURATION: Duration = Duration::from_millis(700);

impl Peers {
    /// Finds a target for a request, by the fleet load of a scheduler or by this gateway's own.
    ///
    /// # Errors
    /// When the request is refused; it was not and will not be sent to a target.
    pub async fn place(
        &self,
        gateway: &Gateway,
        req: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        let is_local = self.schedulers().is_local;
        if let Some(generation) = req.generation {
            let now = gateway.clock.monotonic();
            let remaining = gateway.fleet_load().quarantine_remaining(generation, now);
            if let Some(remaining) = remaining {
                return Err(Refusal::new(Reason::Quarantined, remaining));
            }
        }
        for scheduler in self.schedulers_to_try(gateway.clock.monotonic()) {
            let run = gateway.fleet_load().next_run();
            let frame = PlacementRequestFrame::new(run, req);
            let Some(reply) = self.request_placement(scheduler, frame).await else {
                let now = gateway.clock.monotonic();
                log::debug!(peer:% = scheduler; "placement request timed out");
                let mut schedulers = self.schedulers();
                schedulers
                    .skipped_until
                    .insert(scheduler, now + SKIP_DURATION);
                continue;
            };
            gateway.metrics.record_placement(PlacedBy::Scheduler);
            let now = gateway.clock.monotonic();
            if let Ok(placement) = &reply.decision {
                if let StreamOrigin::At(version) = req.origin
                    && gateway
                        .fleet_load()
                        .software_version(&placement.target)
                        .as_ref()
                        != Some(version)
                {
                    let delay =
                        admission::retry_after(MISMATCH_RETRY_AFTER, req.time_left, rand::random());
                    return Err(Refusal::new(Reason::UnknownVersion, delay));
                }
                gateway.fleet_load().adopt(placement, req, now);
            }
            return reply.decision;
        }
        gateway.metrics.record_placement(if is_local {
            PlacedBy::Own
        } else {
            PlacedBy::Fallback
        });
        let now = gateway.clock.monotonic();
        let mut fleet_load = gateway.fleet_load();
        let run = fleet_load.next_run();
        fleet_load.place(req, run, rand::random(), now)
    }

    /// Passes a reply to the request that waits for it. A late reply is dropped; the scheduler
    /// removes its run because the next list of active runs does not contain it.
    pub(super) fn complete_placement(&self, reply: PlacementReplyFrame) {
        if let Some(sender) = self.pending().remove(&reply.run.number) {
            // The request may have ended in the meantime.
            let _ = sender.send(reply);
        }
    }

    /// Schedulers to request a placement from, in order; none when this gateway decides by itself.
    fn schedulers_to_try(&self, now: Duration) -> Vec<SocketAddr> {
        let schedulers = self.schedulers();
        if schedulers.is_local {
            return Vec::new();
        }
        let is_skipped = |a: &SocketAddr| schedulers.skipped_until.get(a).is_some_and(|u| now < *u);
        let order = schedulers.order.iter().filter(|a| !is_skipped(a));
        order.take(MAX_SCHEDULERS_TRIED).copied().collect()
    }

    async fn request_placement(
        &self,
        scheduler: SocketAddr,
        frame: PlacementRequestFrame,
    ) -> Option<PlacementReplyFrame> {
        let number = frame.run.number;
        let (tx, rx) = oneshot::channel();
        self.pending().insert(number, tx);
        let _guard = PendingGuard(self, number);
        self.send(&Frame::PlacementRequest(frame), std::iter::once(scheduler))
            .await;
        tokio::time::timeout(PLACEMENT_TIMEOUT, rx).await.ok()?.ok()
    }
}

/// `PendingGuard` removes a pending placement request when the request ends or is cancelled.
struct PendingGuard<'a>(&'a Peers, u32);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.pending().remove(&self.1);
    }
}

/// Decides on the placement request of another gateway.
pub(super) fn decide(gateway: &Arc<Gateway>, frame: &PlacementRequestFrame) -> PlacementReplyFrame {
    let now = gateway.clock.monotonic();
    let mut fleet_load = gateway.fleet_load();
    PlacementReplyFrame {
        run: frame.run,
        decision: fleet_load.place(&frame.request(), frame.run, rand::random(), now),
    }
}
