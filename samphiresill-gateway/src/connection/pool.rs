//! A pool of idle connections, by address.
//!
//! Invariant: a connection is in the pool only while it carries no request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};
use samphiresill_core::clock::Clock;
use samphiresill_core::routing::{RoutingTable, TargetEntry};

use super::{Connection, Error};

/// Idle timeout when the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest idle timeout that is kept to, whatever the server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Margin by which an idle connection is closed before the server closes it: the server's idle
/// timer starts earlier than the one of this pool.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per address without a limit of its own.
const DEFAULT_MAX_IDLE: usize = 64;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Duration,
}

/// `Pool` keeps connections open for reuse by later requests.
pub struct Pool {
    clock: Arc<dyn Clock>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    /// Maximum number of idle connections per address.
    max_idle: ArcSwap<BTreeMap<SocketAddr, usize>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            max_idle: ArcSwap::default(),
        }
    }

    /// Sets the maximum number of idle connections per address. Idle connections to other addresses
    /// are closed.
    pub fn set_max_idle(&self, max_idle: BTreeMap<SocketAddr, usize>) {
        self.retain(|address| max_idle.contains_key(address));
        self.max_idle.store(Arc::new(max_idle));
    }

    /// Returns an idle connection to an address, or establishes a new one.
    ///
    /// # Errors
    /// `Connect`, also when connecting takes longer than `timeout`.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, timeout).await,
        }
    }

    /// Returns a connection to the pool after its response has ended, unless the response headers
    /// forbid reuse.
    pub fn release(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        // The rest of a body that the server does not read would stay in memory.
        if connection.is_closed() || connection.has_unsent_body() || requests_close(headers) {
            return;
        }
        let idle_timeout = keep_alive_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
        let Some(idle_timeout) = idle_timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let expires_at = self.clock.monotonic() + idle_timeout;
        let max_idle = self.max_idle.load().get(&address).copied();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(address).or_default();
        if idle.len() < max_idle.unwrap_or(DEFAULT_MAX_IDLE) {
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes idle connections to addresses for which `is_kept` returns false, and those whose idle
    /// timeout has expired.
    pub fn retain(&self, is_kept: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.monotonic();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|i| i.expires_at > now && !i.connection.is_closed());
        }
        idle.retain(|address, connections| is_kept(address) && !connections.is_empty());
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.monotonic();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|i| i.expires_at > now && !i.connection.is_closed());
        // The most recently used connection is the least likely to be closed by the server.
        let position = connections.iter().rposition(|i| i.connection.is_ready())?;
        Some(connections.remove(position).connection)
    }
}

fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).into_iter();
    let mut tokens = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case("close"))
}

/// Idle timeout that the server states in the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers
        .get(HeaderName::from_static("keep-alive"))?
        .to_str()
        .ok()?;
    let mut fields = value.split(',').filter_map(|f| f.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// This router's share of the idle connections that each target allows: the connections that the
/// target accepts, less those that its slots use.
#[must_use]
pub fn idle_limits(
    targets: &[TargetEntry],
    table: &RoutingTable,
    routers: usize,
) -> BTreeMap<SocketAddr, usize> {
    let limit = |t: &TargetEntry| {
        let service = table.services.get(&t.service);
        let accepted = service.map_or(0, |s| s.max_connections);
        let spare = accepted.saturating_sub(t.slots) as usize;
        (t.address, (spare / routers).max(1))
    };
    targets.iter().map(limit).collect()
}
