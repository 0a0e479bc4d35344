//! Idle connections, by address.
//!
//! Invariant: a connection is in the pool only while no request uses it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};
use samphiresill_core::clock::Clock;

use super::{Connection, Error};

/// Idle timeout when the other side names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin before the other side closes an idle connection: its clock began earlier than ours.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections for each address without a limit of its own.
const DEFAULT_MAX_IDLE: usize = 64;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Duration,
}

/// `Pool` keeps connections open between requests.
pub struct Pool {
    clock: Arc<dyn Clock>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    /// Idle connections that an address allows.
    max_idle: ArcSwap<BTreeMap<SocketAddr, usize>>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            max_idle: ArcSwap::default(),
        }
    }

    /// Sets the idle connections that each address allows; those of other addresses are closed.
    pub fn set_max_idle(&self, max_idle: BTreeMap<SocketAddr, usize>) {
        self.retain(|address| max_idle.contains_key(address));
        self.max_idle.store(Arc::new(max_idle));
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// `Connect`, also when it takes longer than `timeout`.
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

    /// Keeps a connection whose answer has ended, unless the answer's head forbids it.
    pub fn release(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        if connection.is_closed() || requests_close(headers) {
            return;
        }
        let idle_timeout = keep_alive_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
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

    /// Closes idle connections of other addresses than those for which `is_kept` holds, and those
    /// whose idle timeout has passed.
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
        // The most recently used one is the least likely to be closed by the other side.
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

/// Idle timeout of the other side, when it names one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers
        .get(HeaderName::from_static("keep-alive"))?
        .to_str()
        .ok()?;
    let mut fields = value.split(',').filter_map(|f| f.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
