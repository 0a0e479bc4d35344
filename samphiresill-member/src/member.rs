//! What is known of one router, and which of two pieces of knowledge is newer.

use std::net::SocketAddr;

use derive_more::Display;
use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

/// `Incarnation` orders what a router says of itself: a restart or a refutation raises it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{start_ms}.{refutations}")]
pub struct Incarnation {
    /// Wall time of the process's start, in milliseconds since 1970.
    pub start_ms: u64,
    /// Times that the process has refuted its own death.
    pub refutations: u32,
}

/// `Health` is what is believed of a router; later ones override earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// It answers.
    Alive,
    /// It has not answered; it has some time to refute that.
    Suspect,
    /// It says that it is about to stop.
    Leaving,
    /// It is gone.
    Dead,
}

/// `Member` is one router as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: VmName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// Where it hears other routers.
    pub address: SocketAddr,
    /// Processing power of its VM, in thousandths of a core; 0 while unknown.
    pub strength: u32,
    /// The incarnation that the knowledge is about.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub health: Health,
}

impl Member {
    /// Whether this knowledge replaces `other` about the same VM.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Whether requests and pools may be given to it.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }
}
