//! Snapshots of the configuration, the evacuations, the directory of targets and the cache contents,
//! fetched from a peer over TCP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use lz4_flex::block;
use samphiresill_core::name::SoftwareVersion;
use samphiresill_sched::fleet::streams::StreamId;
use serde::Serialize;

use super::warm_up::Caches;
use crate::connection::call;
use crate::gateway::Gateway;
use crate::knowledge::Versions;
use crate::knowledge::directory::{EntryColdTime, EntryVersion, Update};
use crate::responder::{self, FullResponse};

/// Path of the encoded configuration.
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of all rows about evacuations.
const EVACUATIONS_PATH: &str = "/evacuations";
/// Path of the directory of targets; the query is the version that the requester has.
const DIRECTORY_PATH: &str = "/directory";
/// Maximum decompressed size of a snapshot: some kB for each of the planned 1,100 targets.
const MAX_FETCHED_BYTES: usize = 8 * 1024 * 1024;
/// Path of the contents of the engines' caches.
const CACHES_PATH: &str = "/caches";
/// Path of the versions at which streams began.
const STREAMS_PATH: &str = "/streams";
/// Time for which an encoded directory with cold times is used: long enough for gateways that start
/// together, and by which their targets may seem cold for too long.
const COLD_TIMES_VALIDITY: Duration = Duration::from_millis(200);
/// Timeout for a fetch, including the body.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves snapshots of this gateway's state to peers.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<()> {
    let cached = Mutex::default();
    let respond = move |req: &_| respond_to(&gateway, &cached, req);
    responder::start(address, "peers", respond).await
}

/// Fetches in the background the parts of the state in which the `versions` of a peer are newer.
pub fn fetch(
    gateway: &Arc<Gateway>,
    peer: SocketAddr,
    versions: Versions,
    is_fetching: &Arc<AtomicBool>,
) {
    is_fetching.store(true, Ordering::Release);
    let (gateway, is_fetching) = (Arc::clone(gateway), Arc::clone(is_fetching));
    tokio::spawn(async move {
        if let Err(e) = fetch_newer(&gateway, peer, versions).await {
            log::warn!(peer:% = peer, error:% = format!("{e:#}"); "failed to fetch routing state from a peer");
        }
        is_fetching.store(false, Ordering::Release);
    });
}

async fn fetch_newer(
    gateway: &Gateway,
    peer: SocketAddr,
    versions: Versions,
) -> anyhow::Result<()> {
    let own = gateway.routing_state.versions();
    if own.revision == 0 {
        // A gateway with a configuration is ready, so that it has to know the evacuations before.
        fetch_evacuations(gateway, peer).await?;
    }
    if versions.revision > own.revision {
        let document = get(gateway, peer, CONFIGURATION_PATH).await?;
        gateway.routing_state.offer_configuration(&document, "peer");
    }
    if versions.directory > own.directory {
        let path = format!("{DIRECTORY_PATH}?{}", own.directory);
        let bytes = get(gateway, peer, &path).await?;
        let update = decode_update(&decompress(&bytes)?, gateway.clock.monotonic())?;
        log::info!(
            peer:% = peer, from = own.directory, to = update.version,
            changes = update.changes.len(), is_whole = update.base.is_none();
            "directory fetched from a peer"
        );
        gateway.routing_state.apply_update(update);
    }
    Ok(())
}

async fn fetch_evacuations(gateway: &Gateway, peer: SocketAddr) -> anyhow::Result<()> {
    let response = call::get(&gateway.peer_pool, peer, EVACUATIONS_PATH, FETCH_TIMEOUT).await?;
    match response.status() {
        StatusCode::OK => {}
        // A gateway of a version without evacuations.
        StatusCode::NOT_FOUND => return Ok(()),
        status => anyhow::bail!("{EVACUATIONS_PATH}: status {status}"),
    }
    let rows = postcard::from_bytes(&decompress(response.body())?)?;
    let now = gateway.clock.monotonic();
    gateway.routing_state.apply_evacuations(rows, "peer", now);
    Ok(())
}

/// Decodes a directory update, and the cold times and software versions that follow it. Peers of
/// earlier versions do not send them.
fn decode_update(bytes: &[u8], now: Duration) -> Result<Update, postcard::Error> {
    let (mut update, rest): (Update, _) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        let (cold_times, rest): (Vec<EntryColdTime>, _) = postcard::take_from_bytes(rest)?;
        update.set_cold_times(&cold_times, now);
        if !rest.is_empty() {
            let versions: Vec<EntryVersion> = postcard::from_bytes(rest)?;
            update.set_software_versions(&versions);
        }
    }
    Ok(update)
}

async fn get(gateway: &Gateway, peer: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
    let response = call::get(&gateway.peer_pool, peer, path, FETCH_TIMEOUT).await?;
    let status = response.status();
    anyhow::ensure!(status == StatusCode::OK, "{path}: status {status}");
    Ok(response.into_body())
}

/// Fetches the contents of the engines' caches from another scheduler. Returns `None` when that
/// scheduler has not loaded them itself.
///
/// # Errors
/// When the peer does not respond, or its response cannot be decoded.
pub(super) async fn fetch_caches(
    gateway: &Gateway,
    peer: SocketAddr,
) -> anyhow::Result<Option<Caches>> {
    let response = call::get(&gateway.peer_pool, peer, CACHES_PATH, FETCH_TIMEOUT).await?;
    let status = response.status();
    if status == StatusCode::NO_CONTENT {
        return Ok(None);
    }
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    Ok(Some(postcard::from_bytes(&decompress(response.body())?)?))
}

/// Fetches the versions at which streams began, as far as another scheduler knows them.
///
/// # Errors
/// When the peer does not respond, or its response cannot be decoded.
pub(super) async fn fetch_streams(
    gateway: &Gateway,
    peer: SocketAddr,
) -> anyhow::Result<Vec<(StreamId, SoftwareVersion)>> {
    let bytes = get(gateway, peer, STREAMS_PATH).await?;
    Ok(postcard::from_bytes(&decompress(&bytes)?)?)
}

/// Encodes and compresses a snapshot. It compresses well because it has many similar entries.
fn compress(value: &impl Serialize) -> Result<Bytes, postcard::Error> {
    let bytes = postcard::to_stdvec(value)?;
    Ok(block::compress_prepend_size(&bytes).into())
}

fn encoded_response(what: &str, encoded: Result<Bytes, postcard::Error>) -> FullResponse {
    match encoded {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(e) => {
            log::error!(what, error:% = e; "failed to encode response to a peer");
            responder::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn decompress(bytes: &[u8]) -> anyhow::Result<Vec<u8>> {
    let (size, compressed) = block::uncompressed_size(bytes)?;
    anyhow::ensure!(
        size <= MAX_FETCHED_BYTES,
        "snapshot of {size} bytes exceeds the limit of {MAX_FETCHED_BYTES} bytes"
    );
    Ok(block::decompress(compressed, size)?)
}

fn respond_to<B>(
    gateway: &Gateway,
    cached: &Mutex<EncodedDirectory>,
    req: &Request<B>,
) -> FullResponse {
    let after = req.uri().query().and_then(|v| v.parse().ok()).unwrap_or(0);
    match req.uri().path() {
        CONFIGURATION_PATH => Response::new(Full::new(gateway.routing_state.document())),
        EVACUATIONS_PATH => encoded_response(
            "evacuations",
            compress(&gateway.routing_state.evacuations()),
        ),
        DIRECTORY_PATH => encoded_response("directory", encoded_directory(gateway, cached, after)),
        CACHES_PATH if gateway.peers.is_warm.load(Ordering::Acquire) => {
            encoded_response("caches", compress(&gateway.fleet_load().cached_parts()))
        }
        CACHES_PATH => responder::empty(StatusCode::NO_CONTENT),
        STREAMS_PATH => {
            let streams = gateway.fleet_load().streams().all();
            encoded_response("streams", compress(&streams))
        }
        _ => responder::empty(StatusCode::NOT_FOUND),
    }
}

/// `EncodedDirectory` caches the encoded full directory of one version, because all peers fetch it
/// at once after a restart of the fleet.
#[derive(Default)]
struct EncodedDirectory {
    version: u64,
    /// Until when the cold times in it are accurate enough.
    valid_until: Duration,
    bytes: Bytes,
}

fn encoded_directory(
    gateway: &Gateway,
    cached: &Mutex<EncodedDirectory>,
    after: u64,
) -> Result<Bytes, postcard::Error> {
    let now = gateway.clock.monotonic();
    let encode = || {
        let update = gateway.routing_state.directory_since(after);
        let cold_times = update.cold_times(now);
        let has_cold_times = !cold_times.is_empty();
        let versions = update.software_versions();
        let encoded = compress(&(update, cold_times, versions))?;
        Ok::<_, postcard::Error>((encoded, has_cold_times))
    };
    if after > 0 {
        return encode().map(|(bytes, _)| bytes);
    }
    let version = gateway.routing_state.versions().directory;
    let mut cached = cached.lock().unwrap_or_else(PoisonError::into_inner);
    let is_outdated = cached.version != version || now >= cached.valid_until;
    if is_outdated || cached.bytes.is_empty() {
        let (bytes, has_cold_times) = encode()?;
        let valid_until = if has_cold_times {
            now + COLD_TIMES_VALIDITY
        } else {
            Duration::MAX
        };
        *cached = EncodedDirectory {
            version,
            valid_until,
            bytes,
        };
    }
    Ok(cached.bytes.clone())
}
