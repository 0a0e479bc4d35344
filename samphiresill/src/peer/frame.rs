//! Frames exchanged between routers, authenticated with a key that all routers share.

use samphiresill_core::name::VmName;
use samphiresill_member::membership;
use samphiresill_sched::message;
use serde::{Deserialize, Serialize};

/// Context string of the key derivation.
const KEY_CONTEXT: &str = "samphiresill 2026 peer frames";

/// `Item` is a message to another router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Message of the capacity protocol.
    Capacity(message::Message),
    /// Message of the membership protocol.
    Membership(membership::Message),
    /// Requests the receiver's configuration if it is newer than the sender's.
    WantConfig {
        /// Revision that the sender has in force.
        have: u64,
    },
    /// Requests a `TellRevision` message.
    AskRevision,
    /// Response to `AskRevision`. The revision itself is part of every frame's payload.
    TellRevision,
    /// Complete configuration, as a serialized snapshot.
    Config {
        /// Snapshot in JSON.
        snapshot: String,
    },
}

/// `Payload` is the decoded content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Payload {
    /// VM of the sender.
    pub from: VmName,
    /// VM of the receiver.
    pub to: VmName,
    /// Configuration revision that the sender has in force.
    pub revision: u64,
    /// Messages, in the order of sending.
    pub items: Vec<Item>,
}

/// `Frame` is a serialized payload with its message authentication code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    content: Vec<u8>,
    proof: [u8; 32],
}

/// `FrameKey` computes and verifies the authentication codes of frames.
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

impl FrameKey {
    /// Derives the key from the shared secret in the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Serializes a payload and adds its authentication code.
    ///
    /// # Panics
    /// Never, because every payload is serializable.
    #[must_use]
    pub fn sign(&self, payload: &Payload) -> Frame {
        let content = postcard::to_stdvec(payload).expect("every payload is serializable");
        let proof = *blake3::keyed_hash(&self.0, &content).as_bytes();
        Frame { content, proof }
    }

    /// Verifies the authentication code of a frame and decodes its payload.
    #[must_use]
    pub fn verify(&self, frame: &Frame) -> Option<Payload> {
        let expected = blake3::keyed_hash(&self.0, &frame.content);
        // `blake3::Hash` compares in constant time.
        if expected != blake3::Hash::from_bytes(frame.proof) {
            return None;
        }
        postcard::from_bytes(&frame.content).ok()
    }
}

impl Frame {
    /// Returns the size of the frame in bytes, without the overhead of the transport.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len() + self.proof.len()
    }

    /// Returns whether the payload is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }
}
