//! What a new scheduler learns of the engines' caches: from another scheduler, or from the engines.
//!
//! Answers the load pattern in which routers are started again while engines are warm: without this,
//! prompts go where their prefix is not cached, and after a loss of all routers each engine prefills
//! again what another one still holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use samphiresill_core::name::{KeyHash, TargetName};
use samphiresill_sched::fleet::work::PromptPart;

use super::{Peers, snapshot};
use crate::connection::call;
use crate::gateway::Gateway;

/// Pause between looks for a scheduler that knows the caches.
const POLL: Duration = Duration::from_millis(100);
/// Time after which the engines are asked, because no scheduler knows the caches; as long as
/// membership takes to converge.
const ASK_ENGINES_AFTER: Duration = Duration::from_millis(700);
/// Time after asking engines in which the other schedulers that have just started ask theirs: until
/// then this one knows only a part.
const OTHERS_ASK: Duration = Duration::from_secs(1);
/// Time for an engine to list its cache.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// Caches of engines, by name.
pub(super) type Caches = Vec<(TargetName, Vec<PromptPart>)>;

/// Learns the caches once, as this gateway becomes a scheduler.
pub(super) async fn run(gateway: Arc<Gateway>, peers: Arc<Peers>) {
    let began = gateway.clock.monotonic();
    loop {
        tokio::time::sleep(POLL).await;
        if !peers.schedulers().is_own {
            return;
        }
        let is_known = !gateway.account().engines().is_empty();
        if is_known && learn_from_peer(&gateway, &peers).await {
            break;
        }
        let waited = gateway.clock.monotonic().saturating_sub(began);
        if is_known && waited > ASK_ENGINES_AFTER {
            ask_engines(&gateway, &peers).await;
            tokio::time::sleep(OTHERS_ASK).await;
            break;
        }
    }
    peers.is_warm.store(true, Ordering::Release);
}

/// Takes the caches from the first other scheduler that knows them.
async fn learn_from_peer(gateway: &Gateway, peers: &Peers) -> bool {
    for peer in peers.other_schedulers() {
        match snapshot::caches(gateway, peer).await {
            Ok(Some(caches)) => {
                let engines = caches.len();
                let mut account = gateway.account();
                for (target, parts) in caches {
                    account.add_found(&target, &parts);
                }
                drop(account);
                log::info!(peer:% = peer, engines; "caches learnt from a peer");
                return true;
            }
            Ok(None) => {}
            Err(e) => log::debug!(peer:% = peer, error:% = format!("{e:#}"); "caches not fetched"),
        }
    }
    false
}

/// Asks this scheduler's part of the engines, and tells the other schedulers.
async fn ask_engines(gateway: &Gateway, peers: &Peers) {
    let mut schedulers = peers.other_schedulers();
    schedulers.push(peers.own);
    let engines = gateway.account().engines();
    let asked = engines
        .into_iter()
        .filter(|(engine, _)| assigned(engine, &schedulers) == Some(peers.own));
    let lists = asked.map(|(engine, address)| async move {
        let listed = list(gateway, address).await;
        (engine, listed)
    });
    let (mut engines, mut parts) = (0, 0);
    for (engine, listed) in futures::future::join_all(lists).await {
        match listed {
            Ok(found) => {
                engines += 1;
                parts += found.len();
                let now = gateway.clock.monotonic();
                gateway.account().publish_found(&engine, &found, now);
            }
            Err(e) => log::info!(target:% = engine, error:% = format!("{e:#}"); "cache not listed"),
        }
    }
    log::info!(engines, parts; "caches listed by engines");
}

/// The scheduler that asks an engine: all that see the same schedulers agree.
fn assigned(engine: &TargetName, schedulers: &[SocketAddr]) -> Option<SocketAddr> {
    let weight = |s: &&SocketAddr| KeyHash::of_key(&format!("{engine} {s}"));
    schedulers.iter().max_by_key(weight).copied()
}

async fn list(gateway: &Gateway, engine: SocketAddr) -> anyhow::Result<Vec<PromptPart>> {
    let path = gateway.dialect.cache_list_path();
    let (status, bytes) = call::get(&gateway.targets, engine, path, LIST_TIMEOUT).await?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    Ok(gateway.dialect.cache_list(&bytes)?)
}
