//! Loads the contents of the engines' caches into a new scheduler, from another scheduler or from
//! the engines.
//!
//! Routers can restart while engines are warm. Without the contents, prompts would be placed on
//! engines that do not cache their prefix and have to prefill it again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future;
use futures::stream::{self, StreamExt};
use hyper::StatusCode;
use samphiresill_core::name::{KeyHash, TargetName};
use samphiresill_sched::fleet::request::PromptPart;

use super::{Peers, snapshot};
use crate::connection::call;
use crate::gateway::Gateway;

/// Interval between attempts to load the contents from other schedulers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the engines are queried because no scheduler has the contents. Membership
/// converges within this time.
const QUERY_ENGINES_AFTER: Duration = Duration::from_millis(700);
/// Time after the query within which other schedulers that have just started publish the contents
/// of the engines that they query.
const CONVERGENCE_TIME: Duration = Duration::from_secs(1);
/// Time after a start in which gateways of a large fleet take themselves for schedulers.
const ROLE_CONVERGENCE_TIME: Duration = Duration::from_millis(500);
/// Time in which the versions at which streams began are loaded from other schedulers: membership has
/// converged by then.
const STREAM_LOADING_TIME: Duration = Duration::from_secs(2);
/// Timeout of a query to an engine.
const CACHE_LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a list: some 40 bytes for each of the parts that an engine caches.
const MAX_CACHE_LIST_BYTES: usize = 1 << 20;
/// Number of engines that are queried at a time, which bounds the memory for their lists.
const CONCURRENT_QUERIES: usize = 8;

/// Contents of the engines' caches, by the name of the engine.
pub(super) type Caches = Vec<(TargetName, Vec<PromptPart>)>;

/// Loads the contents once after this gateway has become a scheduler.
pub(super) async fn run(gateway: Arc<Gateway>, peers: Arc<Peers>) {
    let began = gateway.clock.monotonic();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !peers.schedulers().is_local {
            return;
        }
        let is_known = !gateway.fleet_load().engines().is_empty();
        if is_known && load_from_peer(&gateway, &peers).await {
            break;
        }
        let waited = gateway.clock.monotonic().saturating_sub(began);
        if is_known && waited > QUERY_ENGINES_AFTER {
            query_engines(&gateway, &peers).await;
            tokio::time::sleep(CONVERGENCE_TIME).await;
            break;
        }
    }
    peers.is_warm.store(true, Ordering::Release);
}

/// Loads the versions at which streams began once after this gateway has become a scheduler, from each
/// other scheduler: some of them may have started just now, too.
pub(super) async fn load_streams(gateway: Arc<Gateway>, peers: Arc<Peers>) {
    tokio::time::sleep(ROLE_CONVERGENCE_TIME).await;
    let began = gateway.clock.monotonic();
    let mut loaded = BTreeSet::new();
    let mut streams = 0;
    while gateway.clock.monotonic().saturating_sub(began) < STREAM_LOADING_TIME {
        if !peers.is_scheduler() {
            return;
        }
        let others = peers.other_schedulers().into_iter();
        let missing = others.filter(|peer| !loaded.contains(peer));
        let fetches =
            missing.map(async |peer| (peer, snapshot::fetch_streams(&gateway, peer).await));
        for (peer, fetched) in future::join_all(fetches).await {
            match fetched {
                Ok(records) => {
                    streams += records.len();
                    let now = gateway.clock.monotonic();
                    gateway.fleet_load().streams_mut().load(records, now);
                    loaded.insert(peer);
                }
                Err(e) => {
                    log::debug!(peer:% = peer, error:% = format!("{e:#}"); "failed to load streams from a peer");
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    gateway.fleet_load().streams_mut().set_loaded();
    log::info!(peers = loaded.len(), streams; "beginnings of streams loaded from peers");
}

/// Loads the contents from the first other scheduler that has them.
async fn load_from_peer(gateway: &Gateway, peers: &Peers) -> bool {
    for peer in peers.other_schedulers() {
        match snapshot::fetch_caches(gateway, peer).await {
            Ok(Some(caches)) => {
                let engines = caches.len();
                let mut fleet_load = gateway.fleet_load();
                for (target, parts) in caches {
                    fleet_load.add_cached(&target, &parts);
                }
                drop(fleet_load);
                log::info!(peer:% = peer, engines; "cache contents loaded from a peer");
                return true;
            }
            Ok(None) => {}
            Err(e) => {
                log::debug!(peer:% = peer, error:% = format!("{e:#}"); "failed to load cache contents from a peer");
            }
        }
    }
    false
}

/// Queries the engines assigned to this scheduler and publishes the results to the others.
async fn query_engines(gateway: &Gateway, peers: &Peers) {
    let mut schedulers = peers.other_schedulers();
    schedulers.push(peers.own);
    let mut engines = gateway.fleet_load().engines();
    // Those of an evacuated failure domain get no requests of any kind.
    engines.retain(|(engine, _)| !gateway.fleet_load().is_evacuated(engine));
    let assigned_engines = engines
        .into_iter()
        .filter(|(engine, _)| assigned_scheduler(engine, &schedulers) == Some(peers.own));
    let lists = assigned_engines.map(|(engine, address)| async move {
        let listed = list_cache(gateway, address).await;
        (engine, listed)
    });
    let (mut engines, mut parts) = (0, 0);
    let mut lists = pin!(stream::iter(lists).buffer_unordered(CONCURRENT_QUERIES));
    while let Some((engine, listed)) = lists.next().await {
        match listed {
            Ok(found) => {
                engines += 1;
                parts += found.len();
                let now = gateway.clock.monotonic();
                gateway.fleet_load().publish_cached(&engine, &found, now);
            }
            Err(e) => {
                log::info!(target:% = engine, error:% = format!("{e:#}"); "failed to list the cache contents of an engine");
            }
        }
    }
    log::info!(engines, parts; "cache contents loaded from engines");
}

/// Selects the scheduler that queries an engine, by rendezvous hashing over the schedulers.
fn assigned_scheduler(engine: &TargetName, schedulers: &[SocketAddr]) -> Option<SocketAddr> {
    let weight = |s: &&SocketAddr| KeyHash::of_key(&format!("{engine} {s}"));
    schedulers.iter().max_by_key(weight).copied()
}

async fn list_cache(gateway: &Gateway, engine: SocketAddr) -> anyhow::Result<Vec<PromptPart>> {
    let path = gateway.dialect.cache_list_path();
    let (pool, timeout) = (&gateway.target_pool, CACHE_LIST_TIMEOUT);
    let listed = call::get_limited(pool, engine, path, timeout, MAX_CACHE_LIST_BYTES);
    let response = listed.await?;
    let status = response.status();
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    Ok(gateway.dialect.cache_list(response.body())?)
}
