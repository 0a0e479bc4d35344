//! Membership view of one router, as a state machine driven by messages and time.
//!
//! Invariants: in its own view, this router is alive or leaving; an entry is only replaced by a
//! newer one; a member is only declared dead after it was suspected.

mod probing;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

use crate::gossip::GossipQueue;
use crate::member::{Health, Member};

/// `Options` are the timing parameters of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, after which indirect probes are requested.
    pub ack_timeout: Duration,
    /// Time from suspicion to the declaration of death.
    pub suspicion_timeout: Duration,
    /// Interval between attempts to contact a member that has been declared dead.
    pub sync_interval: Duration,
    /// Time for which the entries of dead and leaving members are kept.
    pub dead_member_retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_millis(1_500),
            sync_interval: Duration::from_secs(2),
            dead_member_retention: Duration::from_hours(1),
        }
    }
}

/// Number of members that an indirect probe is requested from.
const INDIRECT_PROBES: usize = 2;
/// Number of sync intervals between view exchanges with a live member.
const SYNCS_PER_VIEW_EXCHANGE: u32 = 5;
/// Maximum number of members in one view message; a larger view is exchanged in random parts.
const MAX_VIEW_MEMBERS: usize = 40;

/// `Message` is a message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the receiver.
    Ping {
        /// Sequence number of the probe.
        seq: u64,
        /// Piggybacked membership updates.
        news: Vec<Member>,
    },
    /// Responds to a probe.
    Ack {
        /// Sequence number of the probe.
        seq: u64,
        /// Piggybacked membership updates.
        news: Vec<Member>,
    },
    /// Requests an indirect probe of another router, to be acknowledged when that router responds.
    PingFor {
        /// Sequence number of the requester's probe.
        seq: u64,
        /// The router to probe.
        vm: VmName,
    },
    /// Part of the sender's view.
    View {
        /// The members.
        members: Vec<Member>,
        /// Whether the receiver should respond with its own view.
        wants_reply: bool,
    },
}

/// `Output` is an action for the caller of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a member.
    Send(Member, Message),
    /// The set of usable members has changed, or a member has restarted.
    Changed,
}

#[derive(Clone, Debug)]
struct Probe {
    vm: VmName,
    sent_at: Duration,
    is_indirect: bool,
    /// For an indirect probe, the requester and its sequence number.
    requested_by: Option<(VmName, u64)>,
}

/// `Membership` is the membership view of one router.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    opts: Options,
    members: BTreeMap<VmName, Member>,
    changed_at: BTreeMap<VmName, Duration>,
    gossip: GossipQueue,
    probes: BTreeMap<u64, Probe>,
    next_seq: u64,
    probe_order: Vec<VmName>,
    next_probe: Duration,
    next_sync: Duration,
    sync_count: u32,
    rng: StdRng,
}

impl Membership {
    /// Creates a view in which only this router is alive. The views of the `seeds` are requested at
    /// the first tick.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<Member>, opts: Options, seed: u64) -> Self {
        let mut membership = Self {
            own,
            opts,
            members: BTreeMap::new(),
            changed_at: BTreeMap::new(),
            gossip: GossipQueue::default(),
            probes: BTreeMap::new(),
            next_seq: 0,
            probe_order: Vec::new(),
            next_probe: Duration::ZERO,
            next_sync: Duration::ZERO,
            sync_count: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        membership.add_seeds(seeds);
        membership
    }

    /// Adds routers from a list that may be outdated. Unknown routers are added as dead, so that
    /// they are contacted but not considered alive until they respond.
    pub fn add_seeds(&mut self, seeds: Vec<Member>) {
        for seed in seeds {
            if seed.vm != self.own.vm && !self.members.contains_key(&seed.vm) {
                let member = Member {
                    health: Health::Dead,
                    ..seed
                };
                self.members.insert(member.vm.clone(), member);
            }
        }
    }

    /// Returns this router's own entry.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all known members except this router.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<VmName, Member> {
        &self.members
    }

    /// Returns the routers that pools may be assigned to.
    #[must_use]
    pub fn usable(&self) -> BTreeMap<VmName, DomainName> {
        let all = self.members.values().chain(std::iter::once(&self.own));
        all.filter(|m| m.is_usable())
            .map(|m| (m.vm.clone(), m.domain.clone()))
            .collect()
    }

    /// Announces that this router is about to stop.
    pub fn leave(&mut self) -> Vec<Output> {
        self.own.health = Health::Leaving;
        self.gossip.add(self.own.clone(), self.members.len());
        let to: Vec<Member> = self
            .members
            .values()
            .filter(|m| m.is_usable())
            .cloned()
            .collect();
        let view = Message::View {
            members: vec![self.own.clone()],
            wants_reply: false,
        };
        let sends = to.into_iter().map(|m| Output::Send(m, view.clone()));
        std::iter::once(Output::Changed).chain(sends).collect()
    }

    /// Processes a message.
    pub fn receive(&mut self, now: Duration, from: &VmName, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            Message::Ping { seq, news } => {
                self.apply_updates(now, news, &mut out);
                let news = self.take_updates();
                self.send(from, Message::Ack { seq, news }, &mut out);
            }
            Message::Ack { seq, news } => {
                self.apply_updates(now, news, &mut out);
                self.receive_ack(now, seq, &mut out);
            }
            Message::PingFor { seq, vm } => {
                self.probe(now, &vm, Some((from.clone(), seq)), &mut out);
            }
            Message::View {
                members,
                wants_reply,
            } => {
                let is_join = members.len() == 1;
                self.apply_updates(now, members, &mut out);
                if wants_reply {
                    // A view that holds only the sender means that it has just started and needs
                    // the complete view.
                    let members = if is_join {
                        self.view()
                    } else {
                        self.partial_view()
                    };
                    self.send(
                        from,
                        Message::View {
                            members,
                            wants_reply: false,
                        },
                        &mut out,
                    );
                }
            }
        }
        out
    }

    /// Sends due probes and view exchanges, and processes timeouts.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut out = Vec::new();
        self.check_probes(now, &mut out);
        self.expire_members(now, &mut out);
        if now >= self.next_probe {
            self.next_probe = now + self.opts.probe_interval;
            if let Some(vm) = self.next_to_probe() {
                self.probe(now, &vm, None, &mut out);
            }
        }
        if now >= self.next_sync {
            let is_first = self.next_sync.is_zero();
            self.next_sync = now + self.opts.sync_interval;
            if is_first {
                self.request_views(&mut out);
            } else {
                self.sync(&mut out);
            }
        }
        out
    }

    fn send(&self, to: &VmName, message: Message, out: &mut Vec<Output>) {
        if let Some(member) = self.members.get(to) {
            out.push(Output::Send(member.clone(), message));
        }
    }

    fn take_updates(&mut self) -> Vec<Member> {
        let mut news = self.gossip.take();
        if !news.iter().any(|m| m.vm == self.own.vm) {
            news.push(self.own.clone());
        }
        news
    }

    fn apply_updates(&mut self, now: Duration, members: Vec<Member>, out: &mut Vec<Output>) {
        for member in members {
            self.apply_update(now, member, out);
        }
    }

    fn apply_update(&mut self, now: Duration, member: Member, out: &mut Vec<Output>) {
        if member.vm == self.own.vm {
            return self.refute(&member);
        }
        let known = self.members.get(&member.vm);
        if known.is_some_and(|k| !member.overrides(k)) {
            return;
        }
        let was_usable = known.is_some_and(Member::is_usable);
        let has_restarted =
            known.is_some_and(|k| k.incarnation.start_ms != member.incarnation.start_ms);
        if was_usable != member.is_usable() || has_restarted {
            out.push(Output::Changed);
        }
        self.changed_at.insert(member.vm.clone(), now);
        self.gossip.add(member.clone(), self.members.len());
        self.members.insert(member.vm.clone(), member);
    }

    /// Refutes a wrong update about this router by raising its own incarnation.
    fn refute(&mut self, claimed: &Member) {
        let is_wrong =
            claimed.incarnation >= self.own.incarnation && claimed.health > self.own.health;
        if is_wrong || claimed.incarnation > self.own.incarnation {
            let refutations = claimed
                .incarnation
                .refutations
                .max(self.own.incarnation.refutations);
            self.own.incarnation.refutations = refutations + 1;
            self.own.incarnation.start_ms = self
                .own
                .incarnation
                .start_ms
                .max(claimed.incarnation.start_ms);
            self.gossip.add(self.own.clone(), self.members.len());
        }
    }

    /// Requests the views of the routers that are known at startup.
    fn request_views(&mut self, out: &mut Vec<Output>) {
        let message = Message::View {
            members: vec![self.own.clone()],
            wants_reply: true,
        };
        let all = self.members.values().take(MAX_VIEW_MEMBERS);
        out.extend(all.map(|m| Output::Send(m.clone(), message.clone())));
    }

    /// Contacts one dead member, which may have recovered, and periodically exchanges views with a
    /// live one.
    fn sync(&mut self, out: &mut Vec<Output>) {
        self.sync_count = self.sync_count.wrapping_add(1);
        let (usable, unusable): (Vec<&Member>, Vec<&Member>) =
            self.members.values().partition(|m| m.is_usable());
        let dead: Vec<&Member> = unusable
            .into_iter()
            .filter(|m| m.health == Health::Dead)
            .collect();
        let mut chosen = Vec::new();
        if !dead.is_empty() {
            let member = dead[self.rng.random_range(0..dead.len())].clone();
            chosen.push((member, vec![self.own.clone()]));
        }
        if !usable.is_empty() && self.sync_count.is_multiple_of(SYNCS_PER_VIEW_EXCHANGE) {
            let member = usable[self.rng.random_range(0..usable.len())].clone();
            chosen.push((member, self.partial_view()));
        }
        for (member, members) in chosen {
            out.push(Output::Send(
                member,
                Message::View {
                    members,
                    wants_reply: true,
                },
            ));
        }
    }

    /// Returns every member whose incarnation is known, with this router last.
    fn view(&self) -> Vec<Member> {
        let known = self.members.values().filter(|m| m.incarnation.start_ms > 0);
        known.chain(std::iter::once(&self.own)).cloned().collect()
    }

    fn partial_view(&mut self) -> Vec<Member> {
        let mut all = self.view();
        all.pop();
        all.shuffle(&mut self.rng);
        all.truncate(MAX_VIEW_MEMBERS - 1);
        all.push(self.own.clone());
        all
    }
}
