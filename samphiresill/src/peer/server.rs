//! Receiving side of the connections between routers. Frames that fail verification are logged and
//! dropped.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use futures::StreamExt;
use samphiresill_core::name::VmName;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::{Semaphore, mpsc};

use super::frame::{Frame, FrameKey, Payload};
use super::{MAX_FRAME_BYTES, Peering};

/// Maximum number of concurrent connections of peers.
const MAX_CONNECTIONS: usize = 1_024;

#[derive(Clone)]
struct Server {
    vm: VmName,
    key: FrameKey,
    tx: mpsc::Sender<Payload>,
}

impl Peering for Server {
    async fn deliver(self, _: context::Context, frame: Frame) -> bool {
        let Some(payload) = self.key.verify(&frame).filter(|p| p.to == self.vm) else {
            log::warn!("frame dropped: wrong authentication code or receiver");
            return false;
        };
        // The receiver is dropped only when the process ends.
        let _ = self.tx.send(payload).await;
        true
    }
}

/// Starts listening for peers. The payloads of verified frames are sent to `tx`.
///
/// # Errors
/// If the address cannot be bound.
pub async fn start(
    address: SocketAddr,
    vm: VmName,
    key: FrameKey,
    tx: mpsc::Sender<Payload>,
) -> anyhow::Result<()> {
    let mut listener = tcp::listen(address, Bincode::default)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let server = Server { vm, key, tx };
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    tokio::spawn(async move {
        while let Some(transport) = listener.next().await {
            let Ok(transport) = transport else { continue };
            let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
                return;
            };
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(server.clone().serve());
            tokio::spawn(async move {
                requests.for_each(|response| response).await;
                drop(permit);
            });
        }
    });
    Ok(())
}
