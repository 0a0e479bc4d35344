//! Failure domains whose targets get no requests.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::name::{DomainName, ServiceName, TargetName};

use super::FleetLoad;
use crate::fleet::admission::{self, Reason, Refusal};
use crate::fleet::request::PlacementRequest;

/// `Retry-After` before jitter when only evacuated targets serve a service. An evacuation ends when
/// an operator ends it; this is longer than callers honour, so that each returns as late as it can.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_mins(1);

impl FleetLoad {
    /// Replaces the set of evacuated failure domains. The targets of a domain that is back in service
    /// are expected to be cold.
    pub fn set_evacuated(&mut self, domains: BTreeSet<DomainName>, now: Duration) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let returned: Vec<DomainName> = before.difference(&self.evacuated).cloned().collect();
        for domain in returned {
            self.expect_cold(&domain, now);
        }
    }

    /// Whether a target is in an evacuated failure domain.
    #[must_use]
    pub fn is_evacuated(&self, target: &TargetName) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|t| self.evacuated.contains(&t.entry.domain))
    }

    /// Adapts a refusal where the service has targets, all of them in evacuated failure domains: a
    /// retry within the usual time would be refused again.
    pub(super) fn refusal_while_evacuated(
        &self,
        refusal: Refusal,
        req: &PlacementRequest<'_>,
        jitter: f64,
    ) -> Refusal {
        if refusal.reason != Reason::NoTarget || !self.is_service_evacuated(req.service) {
            return refusal;
        }
        Refusal {
            retry_after: admission::retry_after(EVACUATED_RETRY_AFTER, req.time_left, jitter),
            ..refusal
        }
    }

    fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        let mut targets = self
            .targets
            .values()
            .filter(|t| t.entry.service == *service)
            .peekable();
        targets.peek().is_some() && targets.all(|t| self.evacuated.contains(&t.entry.domain))
    }
}
