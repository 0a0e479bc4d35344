//! Placement requests to schedulers, and their replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::work::PlacementRequest;
use tokio::sync::oneshot;

use super::Peers;
use super::frame::{Frame, PlacementReplyFrame, PlacementRequestFrame};
use crate::gateway::Gateway;
use crate::metrics::PlacedBy;

/// Timeout of a placement request: several round trips, small against latency objectives.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(40);
/// Schedulers that are tried before the gateway decides by itself.
const MAX_SCHEDULERS_TRIED: usize = 2;
/// Time for which a scheduler that did not reply is skipped.
const SKIP_DURATION: Duration = Duration::from_millis(700);

impl Peers {
    /// Finds a target for a request, by this gateway's own account or by a scheduler's.
    ///
    /// # Errors
    /// The refusal; the request was not and will not be sent.
    pub async fn place(
        &self,
        gateway: &Gateway,
        req: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        let is_local = self.schedulers().is_local;
        for scheduler in self.schedulers_to_try(gateway.clock.monotonic()) {
            let run = gateway.account().next_run();
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
                gateway.account().adopt(placement, req, now);
            }
            return reply.decision;
        }
        gateway.metrics.record_placement(if is_local {
            PlacedBy::Own
        } else {
            PlacedBy::Fallback
        });
        let now = gateway.clock.monotonic();
        let mut account = gateway.account();
        let run = account.next_run();
        account.place(req, run, rand::random(), now)
    }

    /// Takes in a reply; a late one is dropped, and the list of runs shows the scheduler that its
    /// run does not exist.
    pub(super) fn complete_placement(&self, reply: PlacementReplyFrame) {
        if let Some(sender) = self.pending().remove(&reply.run.number) {
            // The request may have ended meanwhile.
            let _ = sender.send(reply);
        }
    }

    /// Schedulers to request from, none when this gateway decides itself.
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

/// `PendingGuard` removes a pending placement request, also when the request is dropped.
struct PendingGuard<'a>(&'a Peers, u32);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.pending().remove(&self.1);
    }
}

/// Decides on another gateway's request.
pub(super) fn decide(gateway: &Arc<Gateway>, frame: &PlacementRequestFrame) -> PlacementReplyFrame {
    let now = gateway.clock.monotonic();
    let mut account = gateway.account();
    PlacementReplyFrame {
        run: frame.run,
        decision: account.place(&frame.request(), frame.run, rand::random(), now),
    }
}
