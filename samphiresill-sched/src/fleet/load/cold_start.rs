//! Targets that have just started and take few requests.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{DomainName, TargetName};

use super::unavailable::Unavailable;
use super::{FleetLoad, Placement};
use crate::fleet::admission::Reason;
use crate::fleet::cold_start::share::ColdShare;
use crate::fleet::cold_start::{ColdTarget, RepeatedSign};
use crate::fleet::event::{Event, RunResult};
use crate::fleet::request::{PlacementRequest, RunId};

/// Time of a connection attempt, by which the start of an unknown run is estimated.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Interval between repetitions of signs, within which a router that has missed one learns of it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between placement attempts of a request that has run and waits for a cold target.
const MAX_RECHECK: Duration = Duration::from_millis(60);
/// Time in which events of any router reach all schedulers: two intervals between datagrams and the
/// latency between failure domains.
const SETTLING_TIME: Duration = Duration::from_millis(60);
/// Time that a request needs at least once it is placed.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

impl FleetLoad {
    /// Treats the targets of a failure domain as cold from now on.
    pub(super) fn expect_cold(&mut self, domain: &DomainName, now: Duration) {
        self.cold_starts.expect(domain, now);
    }

    /// Sets the part of the rate of cold targets that this router uses. It has to be set again within
    /// half a second.
    pub fn set_cold_share(&mut self, share: ColdShare, now: Duration) {
        self.cold_starts.set_share(share, now);
    }

    /// Returns the cold targets.
    #[must_use]
    pub fn cold_targets(&self, now: Duration) -> BTreeMap<TargetName, ColdTarget> {
        self.cold_starts.cold_targets(now)
    }

    /// Returns the number of requests so far that the limit of a cold target sent elsewhere, delayed or
    /// refused.
    #[must_use]
    pub fn cold_diversions(&self) -> u64 {
        self.cold_diversions
    }

    /// Records that the connection of a run of this router broke.
    pub fn record_broken_connection(&mut self, placement: &Placement, now: Duration) {
        if self.cold_starts.is_break_news(&placement.target, now) {
            let target = placement.target.clone();
            self.publish(Event::ConnectionBroken { target }, now);
        }
    }

    /// Returns the signs of restarts as events, for a router that has just started.
    #[must_use]
    pub fn cold_events(&self, now: Duration) -> Vec<Event> {
        let signs = self.cold_starts.repeated_signs(now);
        signs.into_iter().map(cold_event).collect()
    }

    /// Returns the signs of restarts since the last call as events, for the clients of a scheduler.
    pub fn take_cold_news(&mut self, now: Duration) -> Vec<Event> {
        let signs = self.cold_starts.take_news(now);
        signs.into_iter().map(cold_event).collect()
    }

    /// Repeats signs of restarts at intervals, for schedulers that have missed them.
    pub(super) fn repeat_cold_signs(&mut self, now: Duration) {
        if now.saturating_sub(self.cold_repeated_at) >= REPEAT_INTERVAL {
            self.cold_repeated_at = now;
            let signs = self.cold_starts.signs_to_repeat(now);
            self.outbox.extend(signs.into_iter().map(cold_event));
        }
    }

    /// Returns how long a repeated request waits for the signs of restarts on their way. When many targets
    /// stop at once, schedulers that do not know it yet would place all broken runs on them.
    pub(super) fn settling_time(
        &self,
        req: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let last = req.tried.last()?;
        let is_settled = self.cold_starts.is_settled(last, SETTLING_TIME, now);
        let remaining = SETTLING_TIME.saturating_sub(req.waited);
        let is_in_time = remaining + MIN_RUN_TIME < req.time_left;
        (!is_settled && is_in_time && !remaining.is_zero()).then_some(remaining)
    }

    /// Counts a request for which the limit of a cold target applies.
    pub(super) fn count_cold_diversion(&mut self, req: &PlacementRequest<'_>, now: Duration) {
        if !self.cold_starts.has_marks() || !req.is_first_attempt {
            return;
        }
        let is_candidate = |name: &TargetName| {
            let target = self.targets.get(name);
            target.is_some_and(|t| t.entry.service == *req.service && t.health.is_usable(now))
        };
        let is_limited = self.cold_starts.is_any_limited(is_candidate, now);
        self.cold_diversions += u64::from(is_limited);
    }

    /// Returns when to try again to place a request for which only cold targets are left. A request that
    /// has run waits as long as its caller does.
    pub(super) fn recheck_cold(
        &self,
        req: &PlacementRequest<'_>,
        unavailable: &Unavailable,
        jitter: f64,
    ) -> Option<Duration> {
        if unavailable.reason != Reason::TargetLimit || !self.cold_starts.has_marks() {
            return None;
        }
        let wait = unavailable.available_in;
        if req.has_run {
            let is_in_time = wait + MIN_RUN_TIME < req.time_left;
            return is_in_time.then(|| wait.min(MAX_RECHECK).mul_f64(0.6 + 0.8 * jitter));
        }
        let objective = req.latency_objective;
        self.queue_limit
            .recheck_in(objective, req.waited, wait, jitter)
    }

    /// Learns from the first event of a run that its target has answered.
    pub(super) fn record_cold_answer(&mut self, target: &TargetName, run: RunId, now: Duration) {
        let load = self.targets.get(target).map(|t| &t.load);
        if let Some(began_at) = load.and_then(|load| load.since(run)) {
            self.cold_starts.record_answer(target, began_at, now);
        }
    }

    /// Learns from the end of a run, before it is removed, whether its target may have restarted.
    pub(super) fn record_cold_result(
        &mut self,
        target: &TargetName,
        run: RunId,
        result: RunResult,
        now: Duration,
    ) {
        match result {
            RunResult::Answered { .. } | RunResult::Rejected => {
                self.record_cold_answer(target, run, now);
            }
            RunResult::Unreachable => {
                let load = self.targets.get(target).map(|t| &t.load);
                let began_at = load.and_then(|load| load.since(run));
                let began_at = began_at.unwrap_or(now.saturating_sub(CONNECT_TIME));
                self.cold_starts.record_unreachable(target, began_at, now);
            }
            RunResult::Unknown | RunResult::Failed | RunResult::TimeUp => {}
        }
    }

    pub(super) fn apply_cold_event(&mut self, event: &Event, now: Duration) {
        match event {
            Event::ConnectionBroken { target } => {
                self.cold_starts.record_broken_connection(target, now);
            }
            Event::Cold {
                target,
                started_ms,
                first_ms_ago,
                last_ms_ago,
                warm_in_ms,
            } => {
                let time = |ms: u32| Duration::from_millis(u64::from(ms));
                let sign = RepeatedSign {
                    target: target.clone(),
                    started_ms: *started_ms,
                    first_ago: time(*first_ms_ago),
                    last_ago: time(*last_ms_ago),
                    warm_in: warm_in_ms.map(time),
                };
                self.cold_starts.merge(&sign, now);
            }
            _ => {}
        }
    }
}

fn cold_event(sign: RepeatedSign) -> Event {
    let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    Event::Cold {
        target: sign.target,
        started_ms: sign.started_ms,
        first_ms_ago: ms(sign.first_ago),
        last_ms_ago: ms(sign.last_ago),
        warm_in_ms: sign.warm_in.map(ms),
    }
}
