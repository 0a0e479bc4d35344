//! State of one router in a membership view, and the order of updates about it.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

/// `Incarnation` orders the updates that a router sends about itself; it increases with each
/// restart and each refutation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{start_ms}.{refutations}")]
pub struct Incarnation {
    /// Wall-clock time of the process start, in milliseconds since 1970.
    pub start_ms: u64,
    /// Number of times that the process has refuted a suspicion or its death.
    pub refutations: u32,
}

impl Incarnation {
    /// Creates the incarnation of a process that starts at this wall-clock time. Where that is not after
    /// the last start, because the clock was set back, the process refutes what others know of the last
    /// one.
    #[must_use]
    pub fn starting_at(wall: SystemTime) -> Self {
        let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self {
            // 0 stands for a router of which only the address is known.
            start_ms: ms.max(1),
            refutations: 0,
        }
    }
}

/// `Health` is the state of a member. Within one incarnation, later variants override earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// The member responds to probes.
    Alive,
    /// The member has failed to respond and may still refute the suspicion.
    Suspect,
    /// The member has announced that it is about to stop.
    Leaving,
    /// The member has failed or stopped.
    Dead,
}

/// `Member` is the entry of one router in a membership view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM that the router runs on.
    pub vm: VmName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// Address at which the router receives messages from other routers.
    pub address: SocketAddr,
    /// Processing power of the VM, in thousandths of a core; 0 if unknown.
    pub strength: u32,
    /// The incarnation that this entry describes.
    pub incarnation: Incarnation,
    /// State of the router.
    pub health: Health,
}

impl Member {
    /// Returns whether this entry supersedes `other` about the same VM.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Returns whether requests and pools may be assigned to this member.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }
}
