//! Which gateway watches the store.

use std::time::Duration;

use super::driver::{Driver, SIZES};

/// Time without a heartbeat of a watcher after which the next scheduler in rank watches the store.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for each further rank, so that not all start at once.
const WATCHER_TIMEOUT_PER_RANK: Duration = Duration::from_millis(200);
/// Time after the start in which membership converges before roles apply.
const SETTLE: Duration = Duration::from_millis(700);
/// Time after the start within which a peer usually supplies the configuration.
const PEER_SNAPSHOT_WAIT: Duration = Duration::from_millis(250);

impl Driver {
    /// Watches the store when this gateway is a watcher, or when no watcher is alive.
    pub(super) fn decide_watching(&mut self, now: Duration) {
        if now.saturating_sub(self.started) < SETTLE {
            self.decide_watching_at_start(now);
            return;
        }
        // A gateway that is partitioned from all schedulers is one in its own view.
        let rank = self.roles.schedulers.iter().position(|m| m.vm == self.vm);
        let is_wanted = rank.is_some_and(|rank| {
            let extra = WATCHER_TIMEOUT_PER_RANK * rank.saturating_sub(SIZES.watchers) as u32;
            let silent_for = now.saturating_sub(self.watcher_seen_at);
            rank < SIZES.watchers || silent_for > WATCHER_TIMEOUT + extra
        });
        self.gateway.knowledge.set_watching(is_wanted);
    }

    /// The seeds watch the store at once, because all others start from them; these do so only when
    /// no peer has supplied a configuration.
    pub(super) fn decide_watching_at_start(&self, now: Duration) {
        let seeds = &self.gateway.settings.load().seeds;
        let is_seed = seeds.is_empty() || seeds.contains(&self.peers.own);
        let is_known = self.gateway.knowledge.versions().revision > 0;
        let is_late = now.saturating_sub(self.started) > PEER_SNAPSHOT_WAIT;
        if is_seed || (is_late && !is_known) {
            self.gateway.knowledge.set_watching(true);
        }
    }
}
