//! Lifecycle of grants after they are issued: start, progress, end and lease expiry.

use std::time::Duration;

use samphiresill_core::name::VmName;
use samphiresill_core::units::Tokens;

use super::{Held, MAX_LAPSED, Scheduler};
use crate::message::{GrantId, Observed, Started};

impl Scheduler {
    pub(super) fn note_started(&mut self, now: Duration, from: &VmName, started: &Started) {
        let lease_until = now + self.opts.slot_lease;
        if let Some(held) = self.held.get_mut(&started.grant) {
            held.router = Some(from.clone());
            held.lease_until = lease_until;
            return;
        }
        // The request was granted by an earlier scheduler instance, or its lease has expired.
        let Some(slots) = self.targets.get_mut(&started.target) else {
            return;
        };
        slots.adopt(started.grant);
        let lapsed = self.lapsed.remove(&started.grant);
        let held = lapsed.map(|held| Held {
            router: Some(from.clone()),
            lease_until,
            ..held
        });
        let held = held.unwrap_or_else(|| Held {
            customer: started.customer.clone(),
            target: started.target.clone(),
            estimate: started.estimate,
            served: Tokens(0),
            router: Some(from.clone()),
            lease_until,
            offered_to: None,
            is_counted_elsewhere: started.grant.run != self.run,
        });
        self.ledger.reserve(&held.customer, held.outstanding());
        self.held.insert(started.grant, held);
    }

    /// Records progress. For a request taken over from an earlier scheduler, the first progress
    /// report only sets the baseline, since that scheduler has already counted this service.
    pub(super) fn note_progress(&mut self, now: Duration, grant: GrantId, served: Tokens) {
        if let Some(lapsed) = self.lapsed.get_mut(&grant) {
            let added = served.saturating_sub(lapsed.served);
            lapsed.served = lapsed.served.max(served);
            let customer = lapsed.customer.clone();
            return self.ledger.serve(&customer, added);
        }
        let Some(held) = self.held.get_mut(&grant) else {
            return;
        };
        let before = held.outstanding();
        let added = served.saturating_sub(held.served);
        held.served = held.served.max(served);
        held.lease_until = now + self.opts.slot_lease;
        let freed = before.saturating_sub(held.outstanding());
        let customer = held.customer.clone();
        let was_counted = std::mem::take(&mut held.is_counted_elsewhere);
        if freed.0 > 0 {
            self.ledger.unreserve(&customer, freed);
        }
        if !was_counted {
            self.ledger.serve(&customer, added);
        }
    }

    /// Ends a grant: frees its slot and releases its reservation for good.
    pub(super) fn settle(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) {
        self.lapsed.remove(&grant);
        self.free(now, grant, observed);
    }

    /// Frees the slot of a grant and releases its reservation.
    pub(super) fn free(
        &mut self,
        now: Duration,
        grant: GrantId,
        observed: Option<&Observed>,
    ) -> Option<Held> {
        let held = self.held.remove(&grant)?;
        let outstanding = held.outstanding();
        if outstanding.0 > 0 {
            self.ledger.unreserve(&held.customer, outstanding);
        }
        if let Some(slots) = self.targets.get_mut(&held.target) {
            slots.release(now, grant, observed);
        }
        Some(held)
    }

    pub(super) fn settle_all_of(&mut self, now: Duration, router: &VmName) {
        let of_router = self
            .held
            .iter()
            .filter(|(_, h)| h.router.as_ref() == Some(router));
        let grants: Vec<GrantId> = of_router.map(|(id, _)| *id).collect();
        for grant in grants {
            self.settle(now, grant, None);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        let lapsed = self.held.iter().filter(|(_, h)| h.lease_until <= now);
        let lapsed: Vec<GrantId> = lapsed.map(|(id, _)| *id).collect();
        for grant in lapsed {
            let held = self.free(now, grant, None).filter(|h| h.router.is_some());
            if let Some(held) = held {
                self.lapsed.insert(grant, held);
            }
        }
        while self.lapsed.len() > MAX_LAPSED {
            self.lapsed.pop_first();
        }
        let life = self.opts.grant_life * 2;
        let report_silence = self.opts.report_interval * 4;
        for router in self.routers.values_mut() {
            router.receiver.forget_lost(now, life);
            if now > router.heard_at + report_silence {
                router.receiver.forget_wishes();
            }
        }
        let lease = self.opts.slot_lease;
        self.routers.retain(|_, r| now <= r.heard_at + lease * 4);
        for peer in self.peers.values_mut() {
            peer.receiver.forget_lost(now, life);
            if now > peer.heard_at + self.opts.rejoin_silence {
                peer.receiver.forget_wishes();
            }
        }
        let silence = self.opts.rejoin_silence;
        let silent = self
            .heard_runs
            .iter()
            .filter(|(_, (_, heard_at))| now > *heard_at + silence);
        for (domain, run) in silent.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.ledger.drop_outstanding(&domain, run);
            self.heard_runs.remove(&(domain, run));
        }
    }
}
