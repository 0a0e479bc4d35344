//! Decides whether this gateway watches the store.

use std::time::Duration;

use samphiresill_member::store_watch::{PollTurn, Position, Reason};

use super::driver::Driver;
use super::frame::{LoadFrame, StoreAnswers};

/// Time after the start within which membership converges; roles apply only afterwards.
const STARTUP_CONVERGENCE: Duration = Duration::from_millis(700);
/// Time after the start within which a peer usually provides the configuration.
const PEER_SNAPSHOT_WAIT: Duration = Duration::from_millis(250);
/// Age of the last heartbeat from which on an answer of the store is announced at once.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);

impl Driver {
    /// Watches the store when this gateway is a watcher, or steps in for those that it no longer
    /// answers.
    pub(super) fn decide_watching(&mut self, now: Duration) {
        if now.saturating_sub(self.started) < STARTUP_CONVERGENCE {
            self.decide_watching_at_start(now);
            return;
        }
        let position = self.roles.position(&self.vm, self.peers.own);
        let turn = PollTurn::new(position, self.roles.watchers.len());
        self.gateway.routing_state.set_poll_turn(turn);
        let reason = self.store_watch.decide(position, now);
        self.set_watching(reason, Some(position), now);
    }

    /// Seeds watch the store from the start, because all other gateways start from them. The others
    /// watch it only when no peer has provided a configuration.
    fn decide_watching_at_start(&mut self, now: Duration) {
        let seeds = &self.gateway.settings.load().seeds;
        let is_seed = seeds.is_empty() || seeds.contains(&self.peers.own);
        let is_known = self.gateway.routing_state.versions().revision > 0;
        let is_late = now.saturating_sub(self.started) > PEER_SNAPSHOT_WAIT;
        if is_seed || (is_late && !is_known) {
            self.set_watching(Some(Reason::Role), None, now);
        }
    }

    fn set_watching(&mut self, reason: Option<Reason>, position: Option<Position>, now: Duration) {
        self.gateway.routing_state.set_watching(reason.is_some());
        if self.watch_reason == reason {
            return;
        }
        self.watch_reason = reason;
        log::info!(
            is_wanted = reason.is_some(), reason = reason.map(|r| r.to_string()), position:?,
            answer_age_ms = self.store_watch.answer_age(now).as_millis() as u64;
            "watching the store"
        );
    }

    /// Learns from a peer when the store has last answered it. A gateway that is no scheduler also
    /// believes what its parents know of others: answers are passed on once, so that they do not
    /// appear newer with each step.
    pub(super) fn receive_answers(&mut self, frame: &LoadFrame, is_parent: bool, now: Duration) {
        let StoreAnswers { own_ms, known_ms } = frame.answers;
        // A gateway that knows no ages tells only that the store answers it.
        let own_ms = own_ms.or(frame.is_watching.then_some(0));
        let is_scheduler = self.roles.is_scheduler(&self.vm);
        let known_ms = known_ms.filter(|_| is_parent && !is_scheduler);
        let Some(age_ms) = own_ms.into_iter().chain(known_ms).min() else {
            return;
        };
        let answered_at = now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        self.store_watch.record_answer(answered_at);
        self.gateway.routing_state.record_peer_answer(answered_at);
    }

    /// Ages of the answers of which this gateway tells others.
    pub(super) fn answers(&self) -> StoreAnswers {
        let now = self.gateway.clock.monotonic();
        let own = self.gateway.routing_state.answer_age(now);
        let known = self.gateway.routing_state.peer_answer_age(now);
        let known = own.into_iter().chain(known).min();
        let in_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        StoreAnswers {
            own_ms: own.map(in_ms),
            known_ms: known.map(in_ms),
        }
    }

    /// Tells others of an answer of the store, unless a heartbeat has just been sent.
    pub(super) async fn announce_answer(&mut self) {
        let now = self.gateway.clock.monotonic();
        if now.saturating_sub(self.heartbeat_sent_at) >= MIN_ANNOUNCEMENT_INTERVAL {
            self.send_load(true, now).await;
        }
    }
}
