//! Failure domains whose targets get no requests.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::name::DomainName;

use super::FleetLoad;

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
}
