//! When a run has failed or is silent, and how the stream goes on with another one.

use std::time::Duration;

use samphiresill_attempt::failure::FailurePoint;

use super::pace::Pace;
use super::{EventStream, State, Step, is_event_stream};
use crate::metrics::{ContinuedBy, VersionMatch};
use crate::relay::attempt::{Failure, RunGuard, TargetResponse};
use crate::relay::events::{EventBoundary, EventSplitter};
use crate::relay::forward::{self, Attempts};
use crate::relay::framing::Framing;

/// Time without data after which a stream is resumed on another target, in multiples of the pause
/// objective: callers abandon the stream after eight.
const SILENCE_TIMEOUT_PAUSES: u32 = 4;
/// Pause objective of routes that specify none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

impl EventStream {
    /// Records that the target is not read until the caller has taken what is delivered.
    pub(super) fn hold_run(&mut self) {
        if let State::Relaying { run, .. } = &self.state
            && !std::mem::replace(&mut self.is_held, true)
        {
            self.gateway.fleet_load().hold_run(&run.placement);
        }
    }

    /// Records that the stream waits for its target.
    pub(super) fn resume_run(&mut self) {
        if let State::Relaying { run, .. } = &self.state
            && std::mem::replace(&mut self.is_held, false)
        {
            let now = self.gateway.clock.monotonic();
            // The target could not write meanwhile, so that its silence begins now.
            self.progress_at = now;
            self.gateway.fleet_load().resume_run(&run.placement, now);
        }
    }

    /// Ends a run that sends bytes but no new event, as if it were silent. The timer alone would not
    /// do: it is polled only while no bytes are there.
    pub(super) fn handle_lack_of_events(&mut self) -> Step {
        let now = self.gateway.clock.monotonic();
        if self.ctx.time_left(now).is_zero() {
            return Step::Abort(self.abort("time is up"));
        }
        if self.is_resumable && now >= self.silent_at() {
            return self.fail(no_event_failure());
        }
        Step::Continue
    }

    /// Time at which the run counts as silent.
    pub(super) fn silent_at(&self) -> Duration {
        self.progress_at + self.pause() * SILENCE_TIMEOUT_PAUSES
    }

    /// Longest pause between events that meets the objective.
    pub(super) fn pause(&self) -> Duration {
        let objective = self.ctx.route.event_interval_objective;
        objective.unwrap_or(DEFAULT_PAUSE)
    }

    /// Ends the current run, and starts another attempt where that is allowed.
    pub(super) fn fail(&mut self, failure: Failure) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let State::Relaying {
            mut attempts,
            mut run,
            response,
        } = state
        else {
            unreachable!("invariant: only a relayed run fails");
        };
        let cause = failure.cause.clone();
        let is_over = attempts.handle_failure(&mut run, failure).is_err();
        // The failed run must be uncounted before the next one is placed.
        drop(response);
        drop(run);
        if is_over {
            return Step::Abort(self.abort(&cause));
        }
        let resume_after = self.last_id.clone();
        let resume_after = resume_after.or(self.ctx.last_event.as_deref().map(str::to_owned));
        self.state = State::Resuming(Box::pin(async move {
            let result = attempts.next_response(resume_after.as_deref()).await;
            (attempts, result)
        }));
        Step::Continue
    }

    pub(super) fn resume_with(
        &mut self,
        attempts: Box<Attempts>,
        result: Result<(RunGuard, TargetResponse), forward::ForwardError>,
    ) -> Result<(), String> {
        let (run, response) = result.map_err(|end| format!("not resumed: {end:?}"))?;
        let status = response.head.status;
        if !status.is_success() {
            return Err(format!("not resumed: status {status}"));
        }
        if !is_event_stream(&response.head.headers) {
            return Err("not resumed: the response is no stream of events".to_owned());
        }
        self.runs += 1;
        if self.first_at.is_some() {
            let version_match = VersionMatch::of(self.version.as_ref(), run.version.as_ref());
            let metrics = &self.gateway.metrics;
            metrics.record_continuation(ContinuedBy::Router, version_match);
        }
        self.framing = Framing::of(&response.head);
        self.boundary = EventBoundary::default();
        self.splitter = EventSplitter::default();
        self.pace = Pace::default();
        self.is_held = false;
        self.placement = run.placement.clone();
        self.progress_at = self.gateway.clock.monotonic();
        self.state = State::Relaying {
            attempts,
            run: Box::new(run),
            response: Box::new(response),
        };
        Ok(())
    }
}

pub(super) fn no_event_failure() -> Failure {
    Failure::new(FailurePoint::Silence, "no event for too long")
}
