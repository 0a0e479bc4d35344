//! Lifecycle of grants after they are issued: start, progress, end and lease expiry.

use std::time::Duration;

use samphiresill_core::name::VmName;
use samphiresill_core::units::Tokens;

use super::{ActiveGrant, MAX_EXPIRED_GRANTS, Scheduler};
use crate::message::{GrantId, Observed, Started};

impl Scheduler {
    pub(super) fn record_started(&mut self, now: Duration, from: &VmName, started: &Started) {
        let lease_until = now + self.opts.slot_lease;
        if let Some(active) = self.active_grants.get_mut(&started.grant) {
            active.router = Some(from.clone());
            active.lease_until = lease_until;
            return;
        }
        // The request was granted by an earlier scheduler instance, or its lease has expired.
        let Some(slots) = self.targets.get_mut(&started.target) else {
            return;
        };
        slots.restore(started.grant);
        let expired = self.expired_grants.remove(&started.grant);
        let active = expired.map(|active| ActiveGrant {
            router: Some(from.clone()),
            lease_until,
            ..active
        });
        let active = active.unwrap_or_else(|| ActiveGrant {
            customer: started.customer.clone(),
            target: started.target.clone(),
            estimate: started.estimate,
            served: Tokens(0),
            router: Some(from.clone()),
            lease_until,
            offered_to: None,
            is_counted_by_predecessor: started.grant.run != self.instance,
        });
        self.ledger.reserve(&active.customer, active.outstanding());
        self.active_grants.insert(started.grant, active);
    }

    /// Records progress. For a request taken over from an earlier scheduler, the first progress
    /// report only sets the baseline, since that scheduler has already counted this service.
    pub(super) fn record_progress(&mut self, now: Duration, grant: GrantId, served: Tokens) {
        if let Some(expired) = self.expired_grants.get_mut(&grant) {
            let added = served.saturating_sub(expired.served);
            expired.served = expired.served.max(served);
            let customer = expired.customer.clone();
            return self.ledger.record_service(&customer, added);
        }
        let Some(active) = self.active_grants.get_mut(&grant) else {
            return;
        };
        let before = active.outstanding();
        let added = served.saturating_sub(active.served);
        active.served = active.served.max(served);
        active.lease_until = now + self.opts.slot_lease;
        let freed = before.saturating_sub(active.outstanding());
        let customer = active.customer.clone();
        let was_counted = std::mem::take(&mut active.is_counted_by_predecessor);
        if freed.0 > 0 {
            self.ledger.unreserve(&customer, freed);
        }
        if !was_counted {
            self.ledger.record_service(&customer, added);
        }
    }

    /// Ends a grant: frees its slot and releases its reservation permanently.
    pub(super) fn end_grant(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) {
        self.expired_grants.remove(&grant);
        self.release_slot(now, grant, observed);
    }

    /// Frees the slot of a grant and releases its reservation.
    pub(super) fn release_slot(
        &mut self,
        now: Duration,
        grant: GrantId,
        observed: Option<&Observed>,
    ) -> Option<ActiveGrant> {
        let active = self.active_grants.remove(&grant)?;
        let outstanding = active.outstanding();
        if outstanding.0 > 0 {
            self.ledger.unreserve(&active.customer, outstanding);
        }
        if let Some(slots) = self.targets.get_mut(&active.target) {
            slots.release(now, grant, observed);
        }
        Some(active)
    }

    pub(super) fn end_grants_of(&mut self, now: Duration, router: &VmName) {
        let of_router = self
            .active_grants
            .iter()
            .filter(|(_, active)| active.router.as_ref() == Some(router));
        let grants: Vec<GrantId> = of_router.map(|(id, _)| *id).collect();
        for grant in grants {
            self.end_grant(now, grant, None);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        let expired = self
            .active_grants
            .iter()
            .filter(|(_, active)| active.lease_until <= now);
        let expired: Vec<GrantId> = expired.map(|(id, _)| *id).collect();
        for grant in expired {
            let active = self
                .release_slot(now, grant, None)
                .filter(|active| active.router.is_some());
            if let Some(active) = active {
                self.expired_grants.insert(grant, active);
            }
        }
        while self.expired_grants.len() > MAX_EXPIRED_GRANTS {
            self.expired_grants.pop_first();
        }
        let lifetime = self.opts.grant_lifetime * 2;
        let report_timeout = self.opts.report_interval * 4;
        for router in self.routers.values_mut() {
            router.receiver.expire_in_flight(now, lifetime);
            if now > router.received_at + report_timeout {
                router.receiver.clear_demand();
            }
        }
        let lease = self.opts.slot_lease;
        self.routers.retain(|_, r| now <= r.received_at + lease * 4);
        for peer in self.peers.values_mut() {
            peer.receiver.expire_in_flight(now, lifetime);
            if now > peer.received_at + self.opts.rejoin_threshold {
                peer.receiver.clear_demand();
            }
        }
        let timeout = self.opts.rejoin_threshold;
        let expired_instances = self
            .peer_instances
            .iter()
            .filter(|(_, (_, received_at))| now > *received_at + timeout);
        for (domain, instance) in expired_instances
            .map(|(key, _)| key.clone())
            .collect::<Vec<_>>()
        {
            self.ledger.clear_outstanding(&domain, instance);
            self.peer_instances.remove(&(domain, instance));
        }
    }
}
