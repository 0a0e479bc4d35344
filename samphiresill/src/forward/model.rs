//! Forwarding of requests to model engines, with retries and resumption of streams. Each piece is
//! delivered to the caller once.

use std::sync::Arc;

use samphiresill_attempt::assembly::{Assembly, AssemblyError};
use samphiresill_attempt::attempt::{AttemptId, Planned, Responding, Sent, Settled};
use samphiresill_attempt::failure::{self, FailureContext, FailurePoint, RetryClass, Verdict};
use samphiresill_core::name::TargetName;
use samphiresill_core::outcome::{Outcome, Refusal};
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::SlotRequest;
use tokio::sync::mpsc;

use super::MAX_ATTEMPTS;
use super::engine::{Engine, StreamEvent};
use super::sink::ResponseSink;
use crate::dispatch::Slot;
use crate::front::openai::ModelCall;
use crate::shared::Shared;

/// Maximum number of consecutive resumptions of a stream without a new piece.
const MAX_RESUMES: u32 = 3;

/// `Generation` is a request to a model in progress.
pub struct Generation {
    shared: Arc<Shared>,
    call: ModelCall,
    slot_request: SlotRequest,
    sink: ResponseSink,
    assembly: Assembly,
    /// Number of pieces that the customer has been charged for.
    charged: usize,
    attempts: u32,
    /// Whether an attempt may have been executed, which rules out the outcome `NotRun`.
    may_have_run: bool,
    is_prompt_charged: bool,
}

/// Result of running the request on one slot.
enum SlotEnd {
    Finished,
    CallerGone,
    Failed(Verdict),
}

/// Result of reading a response from one connection.
enum ReadEnd {
    Done,
    CallerGone,
    Failed(FailurePoint),
    Unusable(AssemblyError),
}

/// `ActiveAttempt` is an attempt that has been sent and is not settled yet.
enum ActiveAttempt {
    Sent(Sent),
    Responding(Responding),
}

impl ActiveAttempt {
    fn id(&self) -> &AttemptId {
        match self {
            Self::Sent(sent) => sent.id(),
            Self::Responding(responding) => responding.id(),
        }
    }

    fn silence_timeout(&self) -> std::time::Duration {
        match self {
            Self::Sent(sent) => sent.silence_timeout(),
            Self::Responding(responding) => responding.silence_timeout(),
        }
    }

    fn record_piece(self, now: std::time::Duration) -> Self {
        match self {
            Self::Sent(sent) => Self::Responding(sent.begin_response(now)),
            Self::Responding(mut responding) => {
                responding.progress(now);
                Self::Responding(responding)
            }
        }
    }

    fn settle(self, failed: bool) -> Settled {
        match self {
            Self::Sent(sent) => sent.settle(failed),
            Self::Responding(responding) => responding.settle(failed),
        }
    }
}

/// Cancels an attempt at its engine when dropped, unless the attempt has completed there.
struct CancelGuard {
    engine: Engine,
    attempt: AttemptId,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.engine.cancel(&self.attempt);
        }
    }
}

impl Generation {
    /// Creates a request whose response is delivered through `sink`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        call: ModelCall,
        slot_request: SlotRequest,
        sink: ResponseSink,
    ) -> Self {
        Self {
            shared,
            call,
            slot_request,
            sink,
            assembly: Assembly::default(),
            charged: 0,
            attempts: 0,
            may_have_run: false,
            is_prompt_charged: false,
        }
    }

    /// Runs the request to completion and delivers its response to the caller.
    pub async fn run(mut self) -> Outcome {
        self.shared.deposit_retries(&self.slot_request.customer);
        loop {
            let pending_slot = self.shared.dispatcher.submit(self.slot_request.clone());
            let slot = tokio::select! {
                slot = pending_slot => slot,
                () = self.sink.closed() => return Outcome::NotRun,
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(refusal) => return self.refuse(refusal).await,
            };
            match self.run_on_slot(slot).await {
                SlotEnd::Finished => return Outcome::Completed,
                SlotEnd::CallerGone => return Outcome::Unknown,
                SlotEnd::Failed(Verdict::Retry) => self.assembly.restart(),
                SlotEnd::Failed(Verdict::Replay) => self.assembly.begin_replay(),
                SlotEnd::Failed(Verdict::Refuse(refusal)) => return self.refuse(refusal).await,
                SlotEnd::Failed(Verdict::Resume | Verdict::PassOn) => {
                    return self.refuse(Refusal::TargetFailed).await;
                }
            }
            self.slot_request.is_retry = true;
        }
    }

    /// Ends the request with a refusal. If an attempt may have been executed, the outcome must not
    /// be `NotRun`, and the refusal is replaced by `TargetFailed`.
    async fn refuse(&mut self, refusal: Refusal) -> Outcome {
        let refusal = if self.may_have_run {
            Refusal::TargetFailed
        } else {
            refusal
        };
        self.sink.fail(refusal).await;
        refusal.outcome()
    }

    async fn run_on_slot(&mut self, slot: Slot) -> SlotEnd {
        self.attempts += 1;
        let target = slot.target().clone();
        let Some(address) = self.shared.address_of(&target) else {
            drop(slot);
            return SlotEnd::Failed(self.verdict(FailurePoint::Connect, &target));
        };
        let engine = Engine::new(address, self.shared.runtime.clone());
        let request = self.slot_request.request.clone();
        let planned = Planned::new(request, self.attempts, target.clone());
        self.shared
            .record_attempt(planned.id(), &self.slot_request, &target);
        if !std::mem::replace(&mut self.is_prompt_charged, true) {
            slot.add_served(self.call.prompt_cost());
        }
        let mut guard = CancelGuard {
            engine: engine.clone(),
            attempt: planned.id().clone(),
            is_armed: true,
        };
        let sent = ActiveAttempt::Sent(planned.send(self.shared.clock.monotonic()));
        let events = engine.open(self.call.path(), sent.id(), self.call.body());
        let (end, progress) = self.read_with_resumes(&slot, &engine, sent, events).await;
        let has_ended = matches!(end, SlotEnd::Finished);
        let has_failed = matches!(end, SlotEnd::Failed(_));
        guard.is_armed = !has_ended;
        slot.finish(super::observed(&progress.settle(has_failed)));
        if has_ended {
            let (text, tokens) = (self.assembly.text(), self.assembly.next_index());
            if self.sink.finish(&text, tokens).await.is_err() {
                return SlotEnd::CallerGone;
            }
        }
        end
    }

    /// Reads a response to its end and resumes it on new connections as long as the verdict allows.
    async fn read_with_resumes(
        &mut self,
        slot: &Slot,
        engine: &Engine,
        mut progress: ActiveAttempt,
        mut events: mpsc::Receiver<StreamEvent>,
    ) -> (SlotEnd, ActiveAttempt) {
        let mut resumes = 0;
        loop {
            let before = self.assembly.next_index();
            let (end, after) = self.read(slot, progress, &mut events).await;
            progress = after;
            let point = match end {
                ReadEnd::Done => return (SlotEnd::Finished, progress),
                ReadEnd::CallerGone => return (SlotEnd::CallerGone, progress),
                ReadEnd::Failed(point) => point,
                ReadEnd::Unusable(fault) => {
                    log::warn!(
                        request:% = self.slot_request.request, fault:%;
                        "unusable target response"
                    );
                    let verdict = Verdict::Refuse(Refusal::TargetFailed);
                    return (SlotEnd::Failed(verdict), progress);
                }
            };
            resumes = if self.assembly.next_index() > before {
                1
            } else {
                resumes + 1
            };
            let point = if resumes > MAX_RESUMES {
                FailurePoint::StreamLost
            } else {
                point
            };
            self.may_have_run |= point.may_have_run();
            let verdict = self.verdict(point, slot.target());
            log::info!(
                request:% = self.slot_request.request, attempt:% = progress.id(),
                target:% = slot.target(), point:%, verdict:%;
                "attempt failed"
            );
            if verdict != Verdict::Resume {
                return (SlotEnd::Failed(verdict), progress);
            }
            self.shared
                .record_resume(progress.id(), &self.slot_request, slot.target(), point);
            let last = self.assembly.next_index().checked_sub(1);
            events = engine.resume(progress.id(), last);
        }
    }

    async fn read(
        &mut self,
        slot: &Slot,
        mut progress: ActiveAttempt,
        events: &mut mpsc::Receiver<StreamEvent>,
    ) -> (ReadEnd, ActiveAttempt) {
        loop {
            let next = tokio::time::timeout(progress.silence_timeout(), events.recv());
            let event = tokio::select! {
                event = next => event,
                () = self.sink.closed() => return (ReadEnd::CallerGone, progress),
            };
            let (index, text) = match event {
                Err(_) => return (ReadEnd::Failed(FailurePoint::Silence), progress),
                Ok(Some(StreamEvent::Text { index, text })) => (index, text),
                Ok(Some(StreamEvent::Done)) if self.assembly.is_caught_up() => {
                    return (ReadEnd::Done, progress);
                }
                Ok(Some(StreamEvent::Done)) => {
                    return (ReadEnd::Unusable(AssemblyError::Differs), progress);
                }
                Ok(Some(StreamEvent::Failed(point))) => return (ReadEnd::Failed(point), progress),
                Ok(None) => return (ReadEnd::Failed(FailurePoint::DuringAnswer), progress),
            };
            progress = progress.record_piece(self.shared.clock.monotonic());
            let is_new = match self.assembly.accept(index, &text) {
                Ok(piece) => piece.is_some(),
                Err(AssemblyError::Gap) => {
                    return (ReadEnd::Failed(FailurePoint::DuringAnswer), progress);
                }
                Err(fault) => return (ReadEnd::Unusable(fault), progress),
            };
            if is_new {
                self.charge(slot);
                if self.sink.send_chunk(&text).await.is_err() {
                    return (ReadEnd::CallerGone, progress);
                }
            }
        }
    }

    /// Charges for a piece, unless it was already charged in an earlier attempt.
    fn charge(&mut self, slot: &Slot) {
        if self.assembly.next_index() > self.charged {
            self.charged = self.assembly.next_index();
            slot.add_served(Tokens(1));
        }
    }

    fn verdict(&self, point: FailurePoint, target: &TargetName) -> Verdict {
        let is_in_time = self.shared.clock.monotonic() < self.slot_request.deadline;
        let is_resume_only = !matches!(
            point,
            FailurePoint::Connect | FailurePoint::RefusedByTarget | FailurePoint::StreamLost
        );
        let may_retry = is_in_time
            && (is_resume_only
                || (self.attempts < MAX_ATTEMPTS
                    && self
                        .shared
                        .try_withdraw_retry(&self.slot_request.customer, target)));
        let context = FailureContext {
            retry_class: RetryClass::Generation,
            has_delivered: self.sink.is_stream() && self.assembly.has_delivered(),
            is_deterministic: self.call.is_deterministic,
            may_retry,
        };
        failure::verdict(point, context)
    }
}
