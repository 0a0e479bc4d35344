//! Decides whether this gateway watches the store.

use std::time::Duration;

use super::driver::{Driver, ROLE_COUNTS};

/// Time without a heartbeat from a watcher after which the scheduler next in rank watches the
/// store.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Additional timeout per further rank, so that not all schedulers start at once. With twelve ranks
/// the sum stays below the drain timeouts, which start at two seconds.
const WATCHER_TIMEOUT_PER_RANK: Duration = Duration::from_millis(40);
/// Time without a frame from a parent after which a gateway that is not a scheduler watches the
/// store: three heartbeats, and less than the drain timeouts, which start at two seconds.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum jitter added to [`PARENT_TIMEOUT`].
const PARENT_TIMEOUT_JITTER: Duration = Duration::from_millis(400);
/// Time after the start within which membership converges; roles apply only afterwards.
const STARTUP_CONVERGENCE: Duration = Duration::from_millis(700);
/// Time after the start within which a peer usually provides the configuration.
const PEER_SNAPSHOT_WAIT: Duration = Duration::from_millis(250);

impl Driver {
    /// Watches the store when this gateway is a watcher, or when it no longer receives heartbeats
    /// from the watchers, or frames from its parents.
    pub(super) fn decide_watching(&mut self, now: Duration) {
        if now.saturating_sub(self.started) < STARTUP_CONVERGENCE {
            self.decide_watching_at_start(now);
            return;
        }
        let rank = self.roles.schedulers.iter().position(|m| m.vm == self.vm);
        let is_wanted = match rank {
            Some(rank) => {
                let rank_delay =
                    WATCHER_TIMEOUT_PER_RANK * rank.saturating_sub(ROLE_COUNTS.watchers) as u32;
                let silent_for = now.saturating_sub(self.watcher_seen_at);
                rank < ROLE_COUNTS.watchers || silent_for > WATCHER_TIMEOUT + rank_delay
            }
            None => now.saturating_sub(self.parent_seen_at) > self.parent_timeout(),
        };
        self.gateway.routing_state.set_watching(is_wanted);
    }

    /// Time without a frame from a parent after which this gateway counts as partitioned. It is
    /// jittered so that not all gateways of a failure domain read the store at once.
    fn parent_timeout(&self) -> Duration {
        let fraction = (self.instance_id % 1_000) as f64 / 1_000.0;
        PARENT_TIMEOUT + PARENT_TIMEOUT_JITTER.mul_f64(fraction)
    }

    /// Seeds watch the store from the start, because all other gateways start from them. The others
    /// watch it only when no peer has provided a configuration.
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
