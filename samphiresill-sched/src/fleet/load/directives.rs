//! What targets have told routers about the load that they accept.

use std::time::Duration;

use samphiresill_core::units::RequestRate;

use super::{FleetLoad, Placement};
use crate::fleet::directive::Directives;
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

    /// Returns what targets have told the routers.
    #[must_use]
    pub fn directives(&self) -> &Directives {
        &self.directives
    }
}
