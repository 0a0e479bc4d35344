//! One router's view of the members, as a function of messages and time.
//!
//! Invariants: this router is alive or leaving in its own view; knowledge of a member is only
//! replaced by newer knowledge; a member is removed only after it was suspected.

mod probing;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

use crate::member::{Health, Member};
use crate::news::News;

/// `Options` are the times of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time between probes.
    pub probe_interval: Duration,
    /// Time for a probe to be answered before others are asked to probe.
    pub ack_timeout: Duration,
    /// Time from suspicion to removal.
    pub suspicion: Duration,
    /// Time between looks at members that are gone.
    pub sync_interval: Duration,
    /// How long a removed member is remembered.
    pub memory: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(300),
            suspicion: Duration::from_millis(1_500),
            sync_interval: Duration::from_secs(2),
            memory: Duration::from_hours(1),
        }
    }
}

/// Others that are asked to probe in this router's place.
const INDIRECT_PROBES: usize = 2;
/// Of so many looks at members that are gone one comes with an exchange of views.
const VIEW_EVERY: u32 = 5;
/// Members in one exchange of the view; a larger view goes in parts.
const SYNC_MEMBERS: usize = 40;

/// `Message` is what routers send each other about membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an answer.
    Ping {
        /// Names the probe.
        seq: u64,
        /// Pieces of knowledge.
        news: Vec<Member>,
    },
    /// Answers a probe.
    Ack {
        /// The probe.
        seq: u64,
        /// Pieces of knowledge.
        news: Vec<Member>,
    },
    /// Asks to probe another router and to tell when it answers.
    PingFor {
        /// Names the probe of the asking router.
        seq: u64,
        /// The router to probe.
        vm: VmName,
    },
    /// Part of the sender's view; `wants_reply` asks for one in turn.
    View {
        /// The members.
        members: Vec<Member>,
        /// Whether the receiver should send its own.
        wants_reply: bool,
    },
}

/// `Output` is what the caller of a membership has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a member.
    Send(Member, Message),
    /// The view has changed.
    Changed,
}

#[derive(Clone, Debug)]
struct Probe {
    vm: VmName,
    sent_at: Duration,
    is_indirect: bool,
    /// The router that asked for the probe, with the name that it gave it.
    on_behalf_of: Option<(VmName, u64)>,
}

/// `Membership` is one router's view.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    opts: Options,
    members: BTreeMap<VmName, Member>,
    since: BTreeMap<VmName, Duration>,
    news: News,
    probes: BTreeMap<u64, Probe>,
    next_seq: u64,
    order: Vec<VmName>,
    next_probe: Duration,
    next_sync: Duration,
    syncs: u32,
    rng: StdRng,
}

impl Membership {
    /// A view in which only this router lives; `seeds` are asked for theirs.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<Member>, opts: Options, seed: u64) -> Self {
        let mut membership = Self {
            own,
            opts,
            members: BTreeMap::new(),
            since: BTreeMap::new(),
            news: News::default(),
            probes: BTreeMap::new(),
            next_seq: 0,
            order: Vec::new(),
            next_probe: Duration::ZERO,
            next_sync: Duration::ZERO,
            syncs: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        membership.add_seeds(seeds);
        membership
    }

    /// Takes routers from a list that lags: ones that are not known yet are asked, none is
    /// believed to live for it.
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

    /// This router's own entry.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Every member that is known, this router not included.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<VmName, Member> {
        &self.members
    }

    /// The routers that pools may be given to.
    #[must_use]
    pub fn usable(&self) -> BTreeMap<VmName, DomainName> {
        let all = self.members.values().chain(std::iter::once(&self.own));
        all.filter(|m| m.is_usable())
            .map(|m| (m.vm.clone(), m.domain.clone()))
            .collect()
    }

    /// Says that this router is about to stop.
    pub fn leave(&mut self) -> Vec<Output> {
        self.own.health = Health::Leaving;
        self.news.add(self.own.clone(), self.members.len());
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

    /// Takes in a message.
    pub fn receive(&mut self, now: Duration, from: &VmName, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            Message::Ping { seq, news } => {
                self.learn_all(now, news, &mut out);
                let news = self.take_news();
                self.send(from, Message::Ack { seq, news }, &mut out);
            }
            Message::Ack { seq, news } => {
                self.learn_all(now, news, &mut out);
                self.note_ack(now, seq, &mut out);
            }
            Message::PingFor { seq, vm } => {
                self.probe(now, &vm, Some((from.clone(), seq)), &mut out);
            }
            Message::View {
                members,
                wants_reply,
            } => {
                let is_greeting = members.len() == 1;
                self.learn_all(now, members, &mut out);
                if wants_reply {
                    // A router that sends itself alone has just started and knows no one.
                    let members = if is_greeting {
                        self.view()
                    } else {
                        self.view_part()
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

    /// Does what time brings about.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut out = Vec::new();
        self.check_probes(now, &mut out);
        self.remove_suspects(now, &mut out);
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
                self.greet_all(&mut out);
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

    fn take_news(&mut self) -> Vec<Member> {
        let mut news = self.news.take();
        if !news.iter().any(|m| m.vm == self.own.vm) {
            news.push(self.own.clone());
        }
        news
    }

    fn learn_all(&mut self, now: Duration, members: Vec<Member>, out: &mut Vec<Output>) {
        for member in members {
            self.learn(now, member, out);
        }
    }

    fn learn(&mut self, now: Duration, member: Member, out: &mut Vec<Output>) {
        if member.vm == self.own.vm {
            return self.refute(&member);
        }
        let known = self.members.get(&member.vm);
        if known.is_some_and(|k| !member.overrides(k)) {
            return;
        }
        let was_usable = known.is_some_and(Member::is_usable);
        let has_moved =
            known.is_some_and(|k| k.incarnation.start_ms != member.incarnation.start_ms);
        if was_usable != member.is_usable() || has_moved {
            out.push(Output::Changed);
        }
        self.since.insert(member.vm.clone(), now);
        self.news.add(member.clone(), self.members.len());
        self.members.insert(member.vm.clone(), member);
    }

    /// Answers a false belief about this router with a higher incarnation.
    fn refute(&mut self, said: &Member) {
        let is_false = said.incarnation >= self.own.incarnation && said.health > self.own.health;
        if is_false || said.incarnation > self.own.incarnation {
            let refutations = said
                .incarnation
                .refutations
                .max(self.own.incarnation.refutations);
            self.own.incarnation.refutations = refutations + 1;
            self.own.incarnation.start_ms =
                self.own.incarnation.start_ms.max(said.incarnation.start_ms);
            self.news.add(self.own.clone(), self.members.len());
        }
    }

    /// Asks every router that is known at the start for its view.
    fn greet_all(&mut self, out: &mut Vec<Output>) {
        let message = Message::View {
            members: vec![self.own.clone()],
            wants_reply: true,
        };
        let all = self.members.values().take(SYNC_MEMBERS);
        out.extend(all.map(|m| Output::Send(m.clone(), message.clone())));
    }

    /// Exchanges views with one member, and looks whether one that is gone is back.
    fn sync(&mut self, out: &mut Vec<Output>) {
        self.syncs = self.syncs.wrapping_add(1);
        let (alive, gone): (Vec<&Member>, Vec<&Member>) =
            self.members.values().partition(|m| m.is_usable());
        let gone: Vec<&Member> = gone
            .into_iter()
            .filter(|m| m.health == Health::Dead)
            .collect();
        let mut chosen = Vec::new();
        if !gone.is_empty() {
            let member = gone[self.rng.random_range(0..gone.len())].clone();
            chosen.push((member, vec![self.own.clone()]));
        }
        if !alive.is_empty() && self.syncs.is_multiple_of(VIEW_EVERY) {
            let member = alive[self.rng.random_range(0..alive.len())].clone();
            chosen.push((member, self.view_part()));
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

    /// Every member that has been heard of, this router last.
    fn view(&self) -> Vec<Member> {
        let heard = self.members.values().filter(|m| m.incarnation.start_ms > 0);
        heard.chain(std::iter::once(&self.own)).cloned().collect()
    }

    fn view_part(&mut self) -> Vec<Member> {
        let mut all = self.view();
        all.pop();
        all.shuffle(&mut self.rng);
        all.truncate(SYNC_MEMBERS - 1);
        all.push(self.own.clone());
        all
    }
}
