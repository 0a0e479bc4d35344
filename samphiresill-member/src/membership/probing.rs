//! Failure detection: probes, indirect probes, suspicion and declaration of death.

use std::time::Duration;

use rand::seq::SliceRandom;
use samphiresill_core::name::VmName;

use super::{INDIRECT_PROBES, Membership, Message, Output, Probe};
use crate::member::{Health, Member};

impl Membership {
    pub(super) fn note_ack(&mut self, now: Duration, seq: u64, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.remove(&seq) else {
            return;
        };
        if let Some((asker, seq)) = probe.on_behalf_of {
            let news = self.members.get(&probe.vm).cloned().into_iter().collect();
            return self.send(&asker, Message::Ack { seq, news }, out);
        }
        // The ack proves that this incarnation is alive, whatever other routers suspect.
        if let Some(member) = self.members.get_mut(&probe.vm)
            && member.health == Health::Suspect
        {
            member.health = Health::Alive;
            self.since.insert(probe.vm, now);
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Duration,
        vm: &VmName,
        on_behalf_of: Option<(VmName, u64)>,
        out: &mut Vec<Output>,
    ) {
        self.next_seq += 1;
        let seq = self.next_seq;
        let probe = Probe {
            vm: vm.clone(),
            sent_at: now,
            is_indirect: false,
            on_behalf_of,
        };
        self.probes.insert(seq, probe);
        let news = self.take_news();
        self.send(vm, Message::Ping { seq, news }, out);
    }

    /// Requests indirect probes for probes that timed out, and suspects members that do not respond
    /// to those either.
    pub(super) fn check_probes(&mut self, now: Duration, out: &mut Vec<Output>) {
        let timeout = self.opts.ack_timeout;
        let late: Vec<(u64, Probe)> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.sent_at + if p.is_indirect { timeout * 3 } else { timeout })
            .map(|(seq, probe)| (*seq, probe.clone()))
            .collect();
        for (seq, probe) in late {
            if probe.on_behalf_of.is_some() {
                self.probes.remove(&seq);
            } else if probe.is_indirect {
                self.probes.remove(&seq);
                self.suspect(now, &probe.vm, out);
            } else {
                self.ask_others(seq, &probe.vm, out);
            }
        }
    }

    pub(super) fn ask_others(&mut self, seq: u64, vm: &VmName, out: &mut Vec<Output>) {
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
        self.learn(now, suspect, out);
    }

    pub(super) fn remove_suspects(&mut self, now: Duration, out: &mut Vec<Output>) {
        let is_over = |m: &Member, since: Duration| match m.health {
            Health::Suspect => now >= since + self.opts.suspicion,
            _ => false,
        };
        let since = |vm: &VmName| self.since.get(vm).copied().unwrap_or_default();
        let over = self.members.values().filter(|m| is_over(m, since(&m.vm)));
        let dead: Vec<Member> = over
            .map(|m| Member {
                health: Health::Dead,
                ..m.clone()
            })
            .collect();
        for member in dead {
            self.learn(now, member, out);
        }
        let memory = self.opts.memory;
        let forgotten: Vec<VmName> = self
            .members
            .values()
            .filter(|m| !m.is_usable() && self.since.get(&m.vm).is_some_and(|s| now >= *s + memory))
            .map(|m| m.vm.clone())
            .collect();
        for vm in forgotten {
            self.members.remove(&vm);
            self.since.remove(&vm);
        }
    }

    /// Returns the next member in a random permutation of the usable members, so that each is
    /// probed once per round.
    pub(super) fn next_to_probe(&mut self) -> Option<VmName> {
        for _ in 0..2 {
            while let Some(vm) = self.order.pop() {
                if self.members.get(&vm).is_some_and(Member::is_usable) {
                    return Some(vm);
                }
            }
            let usable = self.members.values().filter(|m| m.is_usable());
            self.order = usable.map(|m| m.vm.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }
}
