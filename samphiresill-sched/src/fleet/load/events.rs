//! What events change: those of this router, and those that it receives.

use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::target::TargetLoad;
use super::{FleetLoad, place};
use crate::fleet::event::{Event, RunResult};
use crate::fleet::request::RunId;

/// Time for which the retry of a refused request is recognised as such.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of recorded refused requests.
const MAX_REFUSED: usize = 4_096;

impl FleetLoad {
    pub(super) fn apply_event(&mut self, event: &Event, now: Duration) {
        match event {
            Event::Started {
                run,
                target,
                customer,
                generation,
                prefill_tokens,
            } => {
                if let (Some(customer), Some(generation)) = (customer, generation) {
                    self.shares.add_service(customer, generation.cost(), now);
                }
                self.directives.record_start(target, now);
                if let Some(target) = self.targets.get_mut(target) {
                    let generation = generation.as_ref().map(|g| (g, *prefill_tokens));
                    target.load.start(*run, generation, now);
                }
            }
            Event::FirstEvent { run, target } => {
                self.record_cold_answer(target, *run, now);
                if let Some(target) = self.targets.get_mut(target) {
                    target.health.reported_alive(now);
                    if let TargetLoad::Engine(load) = &mut target.load {
                        load.record_first_event(*run, now);
                    }
                }
            }
            Event::Ended {
                run,
                target,
                result,
            } => self.apply_end(*run, target, *result, now),
            Event::Refused { fingerprint, .. } => self.record_refused(*fingerprint, now),
            Event::Cached { target, parts } => self.add_cached(target, parts),
            Event::EventInterval { run, target, us } => {
                if let Some(TargetLoad::Engine(load)) =
                    self.targets.get_mut(target).map(|t| &mut t.load)
                {
                    load.record_event_interval(*run, Duration::from_micros(u64::from(*us)));
                }
            }
            Event::Crashed {
                target,
                runs,
                suspects,
            } => {
                self.cold_starts.record_crash(target, now);
                self.crash_evidence
                    .record_crash(target, *runs, suspects, now);
            }
            Event::Stalled { target } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.health.reported_stalled(now);
                }
            }
            Event::RateLimit {
                target,
                rate,
                sent_ms_ago,
            } => self.apply_limit(target, *rate, *sent_ms_ago, now),
            Event::Leaving { target, started_ms } => {
                self.directives.record_leaving(target, *started_ms, now);
            }
            Event::LongPause { target, .. } => {
                if let Some(target) = self.targets.get(target) {
                    let late = self.late_streams.entry(target.entry.service.clone());
                    late.or_default().observe(true);
                }
            }
            Event::ConnectionBroken { .. } | Event::Cold { .. } => {
                self.apply_cold_event(event, now);
            }
            Event::StreamBegan {
                stream,
                target,
                version,
            } => self.streams.record(*stream, target, version, now),
        }
    }

    pub(super) fn apply_end(
        &mut self,
        run: RunId,
        target: &TargetName,
        result: RunResult,
        now: Duration,
    ) {
        self.record_cold_result(target, run, result, now);
        if let Some(target) = self.targets.get_mut(target) {
            if let TargetLoad::Engine(load) = &target.load {
                self.token_interval.record_result(result);
                if matches!(result, RunResult::Answered { .. }) {
                    let late = self.late_streams.entry(target.entry.service.clone());
                    late.or_default().observe(false);
                }
                if let (RunResult::Answered { .. }, Some((parts, fingerprint))) =
                    (result, load.answered_parts(run))
                {
                    let began_at = load.since(run).unwrap_or(now);
                    self.crash_evidence.record_answer(parts, now);
                    if let Some(fingerprint) = fingerprint {
                        self.crash_evidence.record_whole_answer(fingerprint, now);
                    }
                    for part in parts.iter().chain(&fingerprint) {
                        self.quarantine.acquit(*part, began_at, now);
                    }
                }
            }
            target.record_result(run, result, now);
            target.load.end(run);
        }
    }

    /// Counts the demand of a request that another router has placed or refused. A request whose
    /// refusal is known was counted with it.
    pub(super) fn count_remote_demand(&mut self, event: &Event, now: Duration) {
        let (customer, cost) = match event {
            Event::Started {
                customer: Some(customer),
                generation: Some(generation),
                ..
            } => {
                if self.is_retry(place::fingerprint(Some(customer), generation), now) {
                    return;
                }
                (customer, generation.cost())
            }
            Event::Refused {
                customer: Some(customer),
                cost,
                ..
            } => (customer, *cost),
            _ => return,
        };
        self.shares.add_demand(customer, cost, now);
    }

    pub(super) fn is_retry(&self, fingerprint: u64, now: Duration) -> bool {
        let refused_at = self.refused.get(&fingerprint);
        refused_at.is_some_and(|at| now.saturating_sub(*at) < RETRY_WINDOW)
    }

    pub(super) fn record_refused(&mut self, fingerprint: u64, now: Duration) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused
                .retain(|_, at| now.saturating_sub(*at) < RETRY_WINDOW / 2);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(fingerprint, now);
        }
    }
}
