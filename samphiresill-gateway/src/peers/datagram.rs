//! The form of the datagrams between gateways.

use std::net::SocketAddr;

use samphiresill_sched::fleet::event::Event;
use serde::{Deserialize, Serialize};

use crate::knowledge::Versions;

/// Bytes of a datagram at most; larger ones would be fragmented on most links.
pub const MAX_BYTES: usize = 1_400;

/// `Datagram` is what one gateway tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The gateway, new with each start of its process.
    pub origin: u64,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// How new its knowledge is.
    pub versions: Versions,
    /// Whether it stops.
    pub is_leaving: bool,
    /// Changes of the load that it causes.
    pub events: Vec<Event>,
    /// All its runs, now and then; those that are not listed have ended.
    pub runs: Option<Vec<u32>>,
    /// Other gateways that it hears, now and then.
    pub peers: Vec<SocketAddr>,
}

impl Datagram {
    /// The datagram as bytes.
    ///
    /// # Errors
    /// Never for the types it holds; the encoder's error otherwise.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// When the bytes are not a datagram of this form.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
