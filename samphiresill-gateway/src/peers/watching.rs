//! Which gateway watches the store.

use std::time::Duration;

use super::driver::{Driver, ROLE_SIZES};

/// Time without a heartbeat of a watcher after which the next scheduler in rank watches the store.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Additional timeout for each further rank, so that not all start at once; with twelve ranks it
/// stays below the drain timeouts, which begin at two seconds.
const WATCHER_TIMEOUT_PER_RANK: Duration = Duration::from_millis(40);
/// Time without a frame of a parent after which a gateway that is not a scheduler watches the store:
/// three heartbeats, and below the drain timeouts, which begin at two seconds.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Largest jitter that is added to it.
const PARENT_TIMEOUT_JITTER: Duration = Duration::from_millis(400);
/// Time after the start in which membership converges before roles apply.
const STARTUP_CONVERGENCE: Duration = Duration::from_millis(700);
/// Time after the start within which a peer usually supplies the configuration.
const PEER_SNAPSHOT_WAIT: Duration = Duration::from_millis(250);

impl Driver {
    /// Watches the store when this gateway is a watcher, or when no watcher is alive.
    pub(super) fn decide_watching(&mut self, now: Duration) {
        if now.saturating_sub(self.started) < STARTUP_CONVERGENCE {
            self.decide_watching_at_start(now);
            return;
        }
        let rank = self.roles.schedulers.iter().position(|m| m.vm == self.vm);
        let is_wanted = match rank {
            Some(rank) => {
                let rank_delay =
                    WATCHER_TIMEOUT_PER_RANK * rank.saturating_sub(ROLE_SIZES.watchers) as u32;
                let silent_for = now.saturating_sub(self.watcher_seen_at);
                rank < ROLE_SIZES.watchers || silent_for > WATCHER_TIMEOUT + rank_delay
            }
            None => now.saturating_sub(self.parent_seen_at) > self.parent_timeout(),
        };
        self.gateway.routing_state.set_watching(is_wanted);
    }

    /// Time without a frame of a parent after which a gateway counts as partitioned; jittered, so
    /// that not all gateways of a failure domain read the store at once.
    fn parent_timeout(&self) -> Duration {
        let fraction = (self.origin % 1_000) as f64 / 1_000.0;
        PARENT_TIMEOUT + PARENT_TIMEOUT_JITTER.mul_f64(fraction)
    }

    /// The seeds watch the store at once, because all others start from them; these do so only when
    /// no peer has supplied a configuration.
    pub(super) fn decide_watching_at_start(&self, now: Duration) {
        let seeds = &self.gateway.settings.load().seeds;
        let is_seed = seeds.is_empty() || seeds.contains(&self.peers.own);
        let is_known = self.gateway.routing_state.versions().revision > 0;
        let is_late = now.saturating_sub(self.started) > PEER_SNAPSHOT_WAIT;
        if is_seed || (is_late && !is_known) {
            self.gateway.routing_state.set_watching(true);
        }
    }
}
