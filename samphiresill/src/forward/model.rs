//! A request to a model: attempts, resumption and the delivery of each piece once.

use std::sync::Arc;

use samphiresill_attempt::assembly::{Assembly, AssemblyError};
use samphiresill_attempt::attempt::{Answering, AttemptId, Planned, Sent, Settled};
use samphiresill_attempt::failure::{self, FailureContext, FailurePoint, RequestKind, Verdict};
use samphiresill_core::name::TargetName;
use samphiresill_core::outcome::{Outcome, Refusal};
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::SlotRequest;
use tokio::sync::mpsc;

use super::MAX_ATTEMPTS;
use super::engine::{Engine, Piece};
use super::sink::Sink;
use crate::dispatch::Slot;
use crate::front::openai::ModelCall;
use crate::shared::Shared;

/// Times in a row that a stream is resumed without a new piece.
const MAX_RESUMES: u32 = 3;

/// `Generation` is one request to a model on its way.
pub struct Generation {
    shared: Arc<Shared>,
    call: ModelCall,
    work: SlotRequest,
    sink: Sink,
    assembly: Assembly,
    /// Pieces that the customer was charged for.
    charged: usize,
    attempts: u32,
    /// Whether some attempt may have run, so that the request cannot be told to be not run.
    may_have_run: bool,
    is_prompt_charged: bool,
}

/// How the use of one slot ended.
enum SlotEnd {
    Finished,
    CallerGone,
    Failed(Verdict),
}

/// How the reading of one connection ended.
enum ReadEnd {
    Done,
    CallerGone,
    Failed(FailurePoint),
    Unusable(AssemblyError),
}

/// `Progress` is an attempt between sending and settling.
enum Progress {
    Sent(Sent),
    Answering(Answering),
}

impl Progress {
    fn id(&self) -> &AttemptId {
        match self {
            Self::Sent(sent) => sent.id(),
            Self::Answering(answering) => answering.id(),
        }
    }

    fn silence_limit(&self) -> std::time::Duration {
        match self {
            Self::Sent(sent) => sent.silence_limit(),
            Self::Answering(answering) => answering.silence_limit(),
        }
    }

    fn piece(self, now: std::time::Duration) -> Self {
        match self {
            Self::Sent(sent) => Self::Answering(sent.begin_answer(now)),
            Self::Answering(mut answering) => {
                answering.progress(now);
                Self::Answering(answering)
            }
        }
    }

    fn settle(self, failed: bool) -> Settled {
        match self {
            Self::Sent(sent) => sent.settle(failed),
            Self::Answering(answering) => answering.settle(failed),
        }
    }
}

/// Cancels an attempt at its engine unless it has ended there.
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
    /// Prepares a request; `sink` leads to its caller.
    #[must_use]
    pub fn new(shared: Arc<Shared>, call: ModelCall, work: SlotRequest, sink: Sink) -> Self {
        Self {
            shared,
            call,
            work,
            sink,
            assembly: Assembly::default(),
            charged: 0,
            attempts: 0,
            may_have_run: false,
            is_prompt_charged: false,
        }
    }

    /// Runs the request to its end, and tells the caller.
    pub async fn run(mut self) -> Outcome {
        self.shared.earn_retries(&self.work.customer);
        loop {
            let ticket = self.shared.dispatcher.submit(self.work.clone());
            let slot = tokio::select! {
                slot = ticket => slot,
                () = self.sink.closed() => return Outcome::NotRun,
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(refusal) => return self.refuse(refusal).await,
            };
            match self.run_on_slot(slot).await {
                SlotEnd::Finished => return Outcome::Answered,
                SlotEnd::CallerGone => return Outcome::Unknown,
                SlotEnd::Failed(Verdict::Retry) => self.assembly.restart(),
                SlotEnd::Failed(Verdict::Replay) => self.assembly.begin_replay(),
                SlotEnd::Failed(Verdict::Tell(refusal)) => return self.refuse(refusal).await,
                SlotEnd::Failed(Verdict::Resume | Verdict::PassOn) => {
                    return self.refuse(Refusal::TargetFailed).await;
                }
            }
            self.work.is_retry = true;
        }
    }

    /// Refuses for good; a request of which an attempt may have run is not told to be not run.
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
        let request = self.work.request.clone();
        let planned = Planned::new(request, self.attempts, target.clone());
        self.shared
            .record_attempt(planned.id(), &self.work, &target);
        if !std::mem::replace(&mut self.is_prompt_charged, true) {
            slot.add_served(self.call.prompt_cost());
        }
        let mut guard = CancelGuard {
            engine: engine.clone(),
            attempt: planned.id().clone(),
            is_armed: true,
        };
        let sent = Progress::Sent(planned.send(self.shared.clock.monotonic()));
        let pieces = engine.open(self.call.path(), sent.id(), self.call.body());
        let (end, progress) = self.read_with_resumes(&slot, &engine, sent, pieces).await;
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

    /// Reads an answer to its end, resuming it over new connections as long as that helps.
    async fn read_with_resumes(
        &mut self,
        slot: &Slot,
        engine: &Engine,
        mut progress: Progress,
        mut pieces: mpsc::Receiver<Piece>,
    ) -> (SlotEnd, Progress) {
        let mut resumes = 0;
        loop {
            let before = self.assembly.next_index();
            let (end, after) = self.read(slot, progress, &mut pieces).await;
            progress = after;
            let point = match end {
                ReadEnd::Done => return (SlotEnd::Finished, progress),
                ReadEnd::CallerGone => return (SlotEnd::CallerGone, progress),
                ReadEnd::Failed(point) => point,
                ReadEnd::Unusable(fault) => {
                    log::warn!(request:% = self.work.request, fault:%; "answer not usable");
                    let tell = Verdict::Tell(Refusal::TargetFailed);
                    return (SlotEnd::Failed(tell), progress);
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
                request:% = self.work.request, attempt:% = progress.id(),
                target:% = slot.target(), point:%, verdict:%;
                "attempt failed"
            );
            if verdict != Verdict::Resume {
                return (SlotEnd::Failed(verdict), progress);
            }
            self.shared
                .record_resume(progress.id(), &self.work, slot.target(), point);
            let last = self.assembly.next_index().checked_sub(1);
            pieces = engine.resume(progress.id(), last);
        }
    }

    async fn read(
        &mut self,
        slot: &Slot,
        mut progress: Progress,
        pieces: &mut mpsc::Receiver<Piece>,
    ) -> (ReadEnd, Progress) {
        loop {
            let next = tokio::time::timeout(progress.silence_limit(), pieces.recv());
            let piece = tokio::select! {
                piece = next => piece,
                () = self.sink.closed() => return (ReadEnd::CallerGone, progress),
            };
            let (index, text) = match piece {
                Err(_) => return (ReadEnd::Failed(FailurePoint::Silence), progress),
                Ok(Some(Piece::Text { index, text })) => (index, text),
                Ok(Some(Piece::Done)) if self.assembly.is_caught_up() => {
                    return (ReadEnd::Done, progress);
                }
                Ok(Some(Piece::Done)) => {
                    return (ReadEnd::Unusable(AssemblyError::Differs), progress);
                }
                Ok(Some(Piece::Failed(point))) => return (ReadEnd::Failed(point), progress),
                Ok(None) => return (ReadEnd::Failed(FailurePoint::DuringAnswer), progress),
            };
            progress = progress.piece(self.shared.clock.monotonic());
            let is_new = match self.assembly.accept(index, &text) {
                Ok(fresh) => fresh.is_some(),
                Err(AssemblyError::Gap) => {
                    return (ReadEnd::Failed(FailurePoint::DuringAnswer), progress);
                }
                Err(fault) => return (ReadEnd::Unusable(fault), progress),
            };
            if is_new {
                self.charge(slot);
                if self.sink.piece(&text).await.is_err() {
                    return (ReadEnd::CallerGone, progress);
                }
            }
        }
    }

    /// Charges a piece, unless an earlier attempt was charged for it.
    fn charge(&mut self, slot: &Slot) {
        if self.assembly.next_index() > self.charged {
            self.charged = self.assembly.next_index();
            slot.add_served(Tokens(1));
        }
    }

    fn verdict(&self, point: FailurePoint, target: &TargetName) -> Verdict {
        let is_in_time = self.shared.clock.monotonic() < self.work.deadline;
        let is_resume_only = !matches!(
            point,
            FailurePoint::Connect | FailurePoint::RefusedByTarget | FailurePoint::StreamLost
        );
        let may_try_again = is_in_time
            && (is_resume_only
                || (self.attempts < MAX_ATTEMPTS
                    && self.shared.spend_retry(&self.work.customer, target)));
        let situation = FailureContext {
            kind: RequestKind::Generation,
            has_delivered: self.sink.is_stream() && self.assembly.has_delivered(),
            is_deterministic: self.call.is_deterministic,
            may_try_again,
        };
        failure::verdict(point, situation)
    }
}
