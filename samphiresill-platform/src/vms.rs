//! The platform's list of VMs: it lags, and is never the only word.

use std::net::SocketAddr;

use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

/// `Vm` is one line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub vm: VmName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where its router hears other routers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}
