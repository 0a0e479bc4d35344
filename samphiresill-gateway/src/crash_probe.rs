//! Tells crashes of targets from broken connections: the host of a crashed target refuses new ones,
//! while other targets of its failure domain accept them. Where none does, the network between this
//! router and the failure domain may refuse them, or the whole domain has failed: neither tells
//! anything about what ran there.
//!
//! Invariant: at most one probe per target is in progress.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use samphiresill_core::name::TargetName;
use samphiresill_sched::fleet::load::Placement;
use samphiresill_sched::fleet::quarantine::evidence::Suspect;
use samphiresill_sched::fleet::quarantine::whole;
use samphiresill_sched::fleet::request::Generation;

use crate::connection::{self, Connection};
use crate::gateway::Gateway;

/// Time in which all connections to a crashed target break, so that one probe serves all its runs.
const COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Timeout for the connection of a probe: several round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of other targets of the failure domain that are tried. A few may have crashed as well.
const MAX_CONTROLS: usize = 4;

/// `BrokenRuns` are the runs on one target whose connections broke.
#[derive(Debug, Default)]
struct BrokenRuns {
    count: u32,
    suspects: BTreeSet<Suspect>,
}

/// `CrashProbes` are the probes in progress, by target.
#[derive(Debug, Default)]
pub struct CrashProbes(Mutex<BTreeMap<TargetName, BrokenRuns>>);

impl CrashProbes {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetName, BrokenRuns>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that the connection of a run broke. When the target has crashed, the parts of the prompt
/// that others share, and the request itself, are published as suspects.
pub fn record_broken_run(gateway: &Arc<Gateway>, placement: &Placement, generation: &Generation) {
    let mut probes = gateway.crash_probes.lock();
    let is_first = matches!(probes.entry(placement.target.clone()), Entry::Vacant(_));
    let broken = probes.entry(placement.target.clone()).or_default();
    broken.count += 1;
    broken.suspects.extend(suspects(generation));
    drop(probes);
    if is_first {
        let gateway = Arc::clone(gateway);
        tokio::spawn(probe(gateway, placement.target.clone(), placement.address));
    }
}

fn suspects(generation: &Generation) -> impl Iterator<Item = Suspect> {
    let parts = generation.shared_parts().enumerate();
    let parts = parts.map(|(depth, part)| Suspect {
        part,
        depth: u8::try_from(depth).unwrap_or(u8::MAX).min(whole::DEPTH - 1),
    });
    let whole = generation.fingerprint().map(|part| Suspect {
        part,
        depth: whole::DEPTH,
    });
    parts.chain(whole)
}

async fn probe(gateway: Arc<Gateway>, target: TargetName, address: SocketAddr) {
    tokio::time::sleep(COLLECTION_TIME).await;
    let connected = Connection::open(address, CONNECT_TIMEOUT).await;
    let broken = gateway.crash_probes.lock().remove(&target);
    let Some(broken) = broken else {
        return;
    };
    match connected {
        Err(connection::Error::Connect(e)) if is_refusal(e.kind()) => {
            if !is_domain_reachable(&gateway, &target).await {
                log::info!(target:%, error:% = e, runs = broken.count; "failure domain of the target is unreachable");
                return;
            }
            log::warn!(
                target:%, error:% = e, runs = broken.count, suspects = broken.suspects.len();
                "target crashed"
            );
            gateway.metrics.record_crash();
            let suspects: Vec<Suspect> = broken.suspects.into_iter().collect();
            let now = gateway.clock.monotonic();
            gateway
                .fleet_load()
                .record_crash(&target, broken.count, &suspects, now);
        }
        Err(e) => log::debug!(target:%, error:% = e; "crash probe failed"),
        Ok(_) => log::debug!(target:%, runs = broken.count; "target accepts connections"),
    }
}

/// Whether another target of the failure domain accepts a connection. A target without others there is
/// judged by its own refusal.
async fn is_domain_reachable(gateway: &Gateway, target: &TargetName) -> bool {
    let mut controls = gateway.routing_state.neighbours(target);
    if controls.is_empty() {
        return true;
    }
    let unusable = gateway.fleet_load().unusable(gateway.clock.monotonic());
    controls.sort_by_key(|(name, _)| unusable.contains(name));
    let controls = controls.into_iter().take(MAX_CONTROLS);
    let mut attempts: FuturesUnordered<_> = controls
        .map(|(_, address)| Connection::open(address, CONNECT_TIMEOUT))
        .collect();
    while let Some(connected) = attempts.next().await {
        if connected.is_ok() {
            return true;
        }
    }
    false
}

/// Whether the target's host has refused the connection: nothing listens there. Without an answer
/// the host may be partitioned, which also breaks connections.
fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
