//! What targets have told routers about the load that they accept.

use std::time::Duration;

use samphiresill_core::name::{ServiceName, SoftwareVersion, TargetName};
use samphiresill_core::units::RequestRate;

use super::{FleetLoad, Placement};
use crate::fleet::directive::Directives;
use crate::fleet::directive::rate_limit::{LimitShare, RateLimit};
use crate::fleet::event::Event;

impl FleetLoad {
    /// Records the limit that a response names, or that it names none, and publishes what is new.
    /// The request was sent at `sent_at`.
    pub fn observe_limit(
        &mut self,
        placement: &Placement,
        rate: Option<RequestRate>,
        sent_at: Duration,
        now: Duration,
    ) {
        let target = &placement.target;
        let is_new = match rate {
            Some(rate) => self.directives.is_limit_news(target, rate, now),
            None => self.directives.is_limit_over(target, sent_at),
        };
        if is_new {
            let age_ms = now.saturating_sub(sent_at).as_millis();
            let event = Event::RateLimit {
                target: target.clone(),
                rate,
                // Rounded down, so that the request does not seem older than the limit.
                sent_ms_ago: u32::try_from(age_ms).unwrap_or(u32::MAX),
            };
            self.publish(event, now);
        }
    }

    pub(super) fn apply_limit(
        &mut self,
        target: &TargetName,
        rate: Option<RequestRate>,
        sent_ms_ago: u32,
        now: Duration,
    ) {
        if let Some(rate) = rate {
            let tokens = self.first_limit_tokens(target);
            let listed = self.targets.get(target).map(|t| &t.entry);
            self.directives
                .record_limit(target, listed, (rate, tokens), now);
        } else {
            let age = Duration::from_millis(u64::from(sent_ms_ago));
            self.directives.end_limit(target, now.saturating_sub(age));
        }
    }

    /// Returns when the listed instance of a target started, in Unix milliseconds; `None` when it is
    /// not listed.
    #[must_use]
    pub fn started_ms(&self, target: &TargetName) -> Option<u64> {
        self.targets.get(target).map(|t| t.entry.started_ms)
    }

    /// Returns the version of the software of a target, as listed.
    #[must_use]
    pub fn software_version(&self, target: &TargetName) -> Option<SoftwareVersion> {
        self.targets.get(target)?.entry.version.clone()
    }

    /// Records that an instance of a target has said that it leaves, and tells the other routers.
    /// Returns whether that is new.
    pub fn record_leaving(&mut self, target: &TargetName, started_ms: u64, now: Duration) -> bool {
        let is_new = self.directives.record_leaving(target, started_ms, now);
        // Later responses of the same target repeat the event, in case it was lost.
        let target = target.clone();
        self.outbox.push(Event::Leaving { target, started_ms });
        is_new
    }

    /// Records that an instance of a target has turned a request of this router away, and wants no more
    /// for `time`.
    pub fn record_pause(
        &mut self,
        target: &TargetName,
        started_ms: u64,
        time: Duration,
        now: Duration,
    ) {
        self.directives.record_pause(target, started_ms, time, now);
    }

    /// Returns the targets of a service that may get no requests of this router: those that leave,
    /// and those that have turned it away.
    #[must_use]
    pub fn avoided_targets(&self, service: &ServiceName, now: Duration) -> Vec<TargetName> {
        let leaving = self.directives.leaving();
        let pauses = self.directives.pauses();
        let leaving_names = leaving.instances().map(|(name, _)| name);
        // Pauses first: no other router knows them.
        let entries = pauses
            .targets()
            .chain(leaving_names)
            .filter_map(|name| self.targets.get(name).map(|t| &t.entry));
        let avoided = entries.filter(|e| {
            e.service == *service && (leaving.contains(e) || pauses.remaining(e, now).is_some())
        });
        avoided.map(|e| e.name.clone()).collect()
    }

    /// Sets the part of the limits of targets that this router may use.
    pub fn set_limit_share(&mut self, share: LimitShare) {
        self.directives.set_limit_share(share);
    }

    /// Returns events that tell another router what targets have told this one.
    #[must_use]
    pub fn directive_events(&self) -> Vec<Event> {
        let event = |(target, limit): (&TargetName, &RateLimit)| Event::RateLimit {
            target: target.clone(),
            rate: Some(limit.rate()),
            sent_ms_ago: 0,
        };
        let leaving = self.directives.leaving().instances();
        let leaving = leaving.map(|(target, started_ms)| Event::Leaving {
            target: target.clone(),
            started_ms,
        });
        self.directives.limits().map(event).chain(leaving).collect()
    }

    /// Returns the part of a request, 0 to 1, that a new limit of a target has saved. It differs by
    /// router, so that routers without a scheduler do not use their shares at the same moment.
    fn first_limit_tokens(&self, target: &TargetName) -> f64 {
        let hash = blake3::hash(format!("{} {target}", self.origin).as_bytes());
        f64::from(hash.as_bytes()[0]) / 256.0
    }

    /// Returns what targets have told the routers.
    #[must_use]
    pub fn directives(&self) -> &Directives {
        &self.directives
    }
}
