//! The platform's list of VMs. It is updated with a delay and must not be the only source of
//! membership.

use std::net::SocketAddr;

use samphiresill_core::name::{DomainName, VmName};
use serde::{Deserialize, Serialize};

/// `Vm` is an entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address on which its router accepts connections of other routers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}
