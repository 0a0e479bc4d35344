//! Communication between routers: authenticated frames over tarpc, one connection to each peer.

pub mod driver;
pub mod frame;
pub mod links;
pub mod server;

use frame::Frame;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// RPC service that each router provides to the other routers.
#[tarpc::service]
pub trait Peering {
    /// Delivers a frame. Returns whether its authentication code and receiver were accepted.
    async fn deliver(frame: Frame) -> bool;
}
