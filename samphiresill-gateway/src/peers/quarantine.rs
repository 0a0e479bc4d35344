//! Exchanges notices about quarantined prompt parts with other gateways.
//!
//! Each gateway repeats all notices that it knows along the dissemination tree, in both directions,
//! so that lost datagrams, partitions and restarts are made up for within an interval.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_sched::fleet::quarantine::Notice;

use super::driver::Driver;
use super::frame::Frame;

/// Interval at which the notices are repeated. A gateway that has just started or was partitioned
/// has to know them within the operators' stability window, which is three seconds or more.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a scheduler observes the fleet before it judges crashes.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// `NoticesSent` records what the other gateways have been told.
#[derive(Debug, Default)]
pub(super) struct NoticesSent {
    changes: u64,
    at: Duration,
}

impl Driver {
    /// Lists the prompt parts that the crashes of targets convict. Only schedulers see enough answers
    /// to clear sound parts, after a while.
    pub(super) fn judge_crashes(&mut self, now: Duration) {
        let is_informed = self
            .scheduler_since
            .is_some_and(|since| now.saturating_sub(since) > OBSERVATION_TIME);
        if !is_informed {
            return;
        }
        let mut fleet_load = self.gateway.fleet_load();
        let convictions = fleet_load.judge_crashes(now);
        drop(fleet_load);
        for conviction in convictions {
            let part = format!("{:x}", conviction.part);
            let since_ms = now.saturating_sub(conviction.crashed_at).as_millis() as u64;
            log::warn!(part, crashes = conviction.crashes, since_ms; "prompt part quarantined");
        }
    }

    pub(super) fn receive_notices(&self, notices: Vec<Notice>, from: SocketAddr, now: Duration) {
        for notice in notices {
            self.gateway.apply_notice(notice, &from.to_string(), now);
        }
    }

    /// Sends all notices when there is a new one, and at intervals.
    pub(super) async fn send_notices(&mut self, now: Duration) {
        let (changes, notices) = {
            let fleet_load = self.gateway.fleet_load();
            let quarantine = fleet_load.quarantine();
            (quarantine.changes(), quarantine.notices(now))
        };
        let is_new = changes != self.notices_sent.changes;
        let is_due = now.saturating_sub(self.notices_sent.at) >= REPEAT_INTERVAL;
        if notices.is_empty() || !(is_new || is_due) {
            return;
        }
        self.notices_sent = NoticesSent { changes, at: now };
        if is_new {
            self.gateway.quarantine_changed.send_replace(changes);
        }
        let receivers = self.notice_receivers(now);
        let frame = Frame::Notices(notices);
        self.peers.send(&frame, receivers.into_iter()).await;
    }

    /// Sends all notices to a gateway that has just started.
    pub(super) async fn send_all_notices(&self, to: SocketAddr, now: Duration) {
        let notices = self.gateway.fleet_load().quarantine().notices(now);
        if !notices.is_empty() {
            let frame = Frame::Notices(notices);
            self.peers.send(&frame, std::iter::once(to)).await;
        }
    }

    /// The neighbours in the dissemination tree.
    fn notice_receivers(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut receivers = self.live_clients(now);
        if self.roles.is_scheduler(&self.vm) {
            receivers.extend(self.roles.other_schedulers(&self.vm));
        } else {
            receivers.extend(self.peers.parents());
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }
}
