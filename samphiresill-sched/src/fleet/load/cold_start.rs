//! Targets that have just started and take few requests.

use std::time::Duration;

use samphiresill_core::name::DomainName;

use super::FleetLoad;

impl FleetLoad {
    /// Treats the targets of a failure domain as cold from now on.
    pub(super) fn expect_cold(&mut self, domain: &DomainName, now: Duration) {
        let _ = (&self.targets, domain, now);
    }
}
