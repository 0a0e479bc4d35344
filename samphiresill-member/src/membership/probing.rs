//! Failure detection: probes, indirect probes, suspicion and declaration of death.

use std::time::Duration;

use rand::seq::SliceRandom;
use samphiresill_core::name::VmName;

use super::{INDIRECT_PROBES, Membership, Message, Output, Probe};
use crate::member::{Health, Member};

impl Membership {
    pub(super) fn receive_ack(&mut self, now: Duration, seq: u64, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.remove(&seq) else {
            return;
        };
        if let Some((requester, seq)) = probe.requested_by {
            let news = self.members.get(&probe.vm).cloned().into_iter().collect();
            return self.send(&requester, Message::Ack { seq, news }, out);
        }
        // The ack proves that this incarnation is alive, whatever other routers suspect.
        if let Some(member) = self.members.get_mut(&probe.vm)
            && member.health == Health::Suspect
        {
            member.health = Health::Alive;
            self.changed_at.insert(probe.vm, now);
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Duration,
        vm: &VmName,
        requested_by: Option<(VmName, u64)>,
        out: &mut Vec<Output>,
    ) {
        self.next_seq += 1;
        let seq = self.next_seq;
        let probe = Probe {
            vm: vm.clone(),
            sent_at: now,
            is_indirect: false,
            requested_by,
        };
        self.probes.insert(seq, probe);
        let news = self.take_updates();
        self.send(vm, Message::Ping { seq, news }, out);
    }

    /// Requests indirect probes for probes that timed out, and suspects members that do not respond
    /// to those either.
    pub(super) fn check_probes(&mut self, now: Duration, out: &mut Vec<Output>) {
        let timeout = self.opts.ack_timeout;
        let timed_out: Vec<(u64, Probe)> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.sent_at + if p.is_indirect { timeout * 3 } else { timeout })
            .map(|(seq, probe)| (*seq, probe.clone()))
            .collect();
        for (seq, probe) in timed_out {
            if probe.requested_by.is_some() {
                self.probes.remove(&seq);
            } else if probe.is_indirect {
                self.probes.remove(&seq);
                self.suspect(now, &probe.vm, out);
            } else {
                self.request_indirect_probes(seq, &probe.vm, out);
            }
        }
    }

    pub(super) fn request_indirect_probes(&mut self, seq: u64, vm: &VmName, out: &mut Vec<Output>) {
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.is_indirect = true;
        }
        let usable = self
            .members
            .values()
            .filter(|m| m.is_usable() && m.vm != *vm);
        let mut others: Vec<VmName> = usable.map(|m| m.vm.clone()).collect();
        others.shuffle(&mut self.rng);
        for other in others.into_iter().take(INDIRECT_PROBES) {
            self.send(
                &other,
                Message::PingFor {
                    seq,
                    vm: vm.clone(),
                },
                out,
            );
        }
    }

    pub(super) fn suspect(&mut self, now: Duration, vm: &VmName, out: &mut Vec<Output>) {
        let Some(member) = self.members.get(vm).filter(|m| m.health == Health::Alive) else {
            return;
        };
        let suspect = Member {
            health: Health::Suspect,
            ..member.clone()
        };
        self.apply_update(now, suspect, out);
    }

    pub(super) fn expire_members(&mut self, now: Duration, out: &mut Vec<Output>) {
        let is_expired = |m: &Member, changed_at: Duration| match m.health {
            Health::Suspect => now >= changed_at + self.opts.suspicion_timeout,
            _ => false,
        };
        let changed_at = |vm: &VmName| self.changed_at.get(vm).copied().unwrap_or_default();
        let expired = self
            .members
            .values()
            .filter(|m| is_expired(m, changed_at(&m.vm)));
        let dead: Vec<Member> = expired
            .map(|m| Member {
                health: Health::Dead,
                ..m.clone()
            })
            .collect();
        for member in dead {
            self.apply_update(now, member, out);
        }
        let retention = self.opts.dead_member_retention;
        let removable: Vec<VmName> = self
            .members
            .values()
            .filter(|m| {
                !m.is_usable()
                    && self
                        .changed_at
                        .get(&m.vm)
                        .is_some_and(|at| now >= *at + retention)
            })
            .map(|m| m.vm.clone())
            .collect();
        for vm in removable {
            self.members.remove(&vm);
            self.changed_at.remove(&vm);
        }
    }

    /// Returns the next member in a random permutation of the usable members, so that each is
    /// probed once per round.
    pub(super) fn next_to_probe(&mut self) -> Option<VmName> {
        for _ in 0..2 {
            while let Some(vm) = self.probe_order.pop() {
                if self.members.get(&vm).is_some_and(Member::is_usable) {
                    return Some(vm);
                }
            }
            let usable = self.members.values().filter(|m| m.is_usable());
            self.probe_order = usable.map(|m| m.vm.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }
}
