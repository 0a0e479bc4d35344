//! Traffic between routers: proven frames over tarpc, one connection to each peer.

pub mod driver;
pub mod frame;
pub mod links;
pub mod server;

use frame::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The service that each router offers to the others.
#[tarpc::service]
pub trait Peering {
    /// Takes a frame in; says whether its proof was accepted.
    async fn deliver(frame: Frame) -> bool;
}
