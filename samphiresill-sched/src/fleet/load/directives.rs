//! What targets have told routers about the load that they accept.

use std::time::Duration;

use samphiresill_core::name::TargetName;
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
            let target = target.clone();
            self.publish(Event::RateLimit { target, rate }, now);
        }
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
        };
        self.directives.limits().map(event).collect()
    }

    /// Returns the part of a request, 0 to 1, that a new limit of a target has saved. It differs by
    /// router, so that routers without a scheduler do not use their shares at the same moment.
    pub(super) fn first_limit_tokens(&self, target: &TargetName) -> f64 {
        let hash = blake3::hash(format!("{} {target}", self.origin).as_bytes());
        f64::from(hash.as_bytes()[0]) / 256.0
    }

    /// Returns what targets have told the routers.
    #[must_use]
    pub fn directives(&self) -> &Directives {
        &self.directives
    }
}
