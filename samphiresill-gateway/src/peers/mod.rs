//! What gateways tell each other: their load, and how new their knowledge is.
//!
//! Datagrams carry the events of the account, every few tens of milliseconds; a lost one is
//! repaired by the list of runs that each gateway repeats. Whoever has older knowledge of the
//! configuration or the targets fetches it over TCP, so that a gateway that the store does not
//! serve learns from the others.

pub mod datagram;
pub mod driver;
pub mod snapshot;

use std::sync::Arc;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::gateway::Gateway;

/// `Peers` is the running exchange with other gateways.
#[derive(Debug)]
pub struct Peers {
    leaving: watch::Sender<bool>,
}

impl Peers {
    /// Starts to listen and to tell.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(gateway: Arc<Gateway>) -> anyhow::Result<Self> {
        let address = gateway.settings.load().listen.peers;
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} for peers"))?;
        snapshot::start(address, Arc::clone(&gateway)).await?;
        let (leaving, is_leaving) = watch::channel(false);
        tokio::spawn(driver::Driver::new(gateway, socket, is_leaving).run());
        Ok(Self { leaving })
    }

    /// Tells the others that this gateway stops.
    pub fn announce_leaving(&self) {
        self.leaving.send_replace(true);
    }
}
