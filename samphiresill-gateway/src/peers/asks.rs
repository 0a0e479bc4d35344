//! Asking a scheduler for a target, and answering.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::work::Ask;
use tokio::sync::oneshot;

use super::Peers;
use super::frame::{AnswerFrame, AskFrame, Frame};
use crate::gateway::Gateway;

/// Time for a scheduler to answer: several times the way there and back, so that a slow one is
/// passed over before the caller notices.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// Schedulers that are asked before the gateway decides by itself.
const MAX_ASKED: usize = 2;
/// Time for which a scheduler that did not answer is passed over.
const LATE_PAUSE: Duration = Duration::from_millis(700);

impl Peers {
    /// Finds a target for a request, by this gateway's own account or by a scheduler's.
    ///
    /// # Errors
    /// The refusal; the request was not and will not be sent.
    pub async fn place(&self, gateway: &Gateway, ask: &Ask<'_>) -> Result<Placement, Refusal> {
        for scheduler in self.to_ask(gateway.clock.monotonic()) {
            let run = gateway.account().next_run();
            let frame = AskFrame::new(run, ask);
            let Some(answer) = self.ask(scheduler, frame).await else {
                let now = gateway.clock.monotonic();
                log::debug!(peer:% = scheduler; "scheduler did not answer in time");
                let mut schedulers = self.schedulers();
                schedulers.late_until.insert(scheduler, now + LATE_PAUSE);
                continue;
            };
            let now = gateway.clock.monotonic();
            if let Ok(placement) = &answer.decision {
                gateway.account().adopt(placement, ask, now);
            }
            return answer.decision;
        }
        let now = gateway.clock.monotonic();
        let mut account = gateway.account();
        let run = account.next_run();
        account.place(ask, run, rand::random(), now)
    }

    /// Takes in an answer; one that comes too late is dropped, and the list of runs tells the
    /// scheduler that its run does not exist.
    pub(super) fn answered(&self, answer: AnswerFrame) {
        if let Some(waiting) = self.pending().remove(&answer.run.number) {
            // The request may have ended meanwhile.
            let _ = waiting.send(answer);
        }
    }

    /// Schedulers to ask, none when this gateway decides itself.
    fn to_ask(&self, now: Duration) -> Vec<SocketAddr> {
        let schedulers = self.schedulers();
        if schedulers.is_own {
            return Vec::new();
        }
        let is_late = |a: &SocketAddr| schedulers.late_until.get(a).is_some_and(|u| now < *u);
        let order = schedulers.order.iter().filter(|a| !is_late(a));
        order.take(MAX_ASKED).copied().collect()
    }

    async fn ask(&self, scheduler: SocketAddr, frame: AskFrame) -> Option<AnswerFrame> {
        let number = frame.run.number;
        let (tx, rx) = oneshot::channel();
        self.pending().insert(number, tx);
        let _forget = Forget(self, number);
        self.send(&Frame::Ask(frame), std::iter::once(scheduler))
            .await;
        tokio::time::timeout(ASK_TIMEOUT, rx).await.ok()?.ok()
    }
}

/// `Forget` removes a pending ask, also when the request is dropped.
struct Forget<'a>(&'a Peers, u32);

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.0.pending().remove(&self.1);
    }
}

/// Decides on another gateway's request.
pub(super) fn decide(gateway: &Arc<Gateway>, frame: &AskFrame) -> AnswerFrame {
    let now = gateway.clock.monotonic();
    let mut account = gateway.account();
    AnswerFrame {
        run: frame.run,
        decision: account.place(&frame.ask(), frame.run, rand::random(), now),
    }
}
