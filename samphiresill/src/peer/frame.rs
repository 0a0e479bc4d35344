//! Frames: the items that one router sends to another, with a proof of the shared key.

use samphiresill_core::name::VmName;
use samphiresill_member::membership;
use samphiresill_sched::message;
use serde::{Deserialize, Serialize};

/// Context of the key derivation.
const KEY_CONTEXT: &str = "samphiresill 2026 peer frames";

/// `Item` is one message of any part of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// About capacity.
    Capacity(message::Message),
    /// About membership.
    Membership(membership::Message),
    /// Asks for the configuration when it is newer than a revision.
    WantConfig {
        /// The revision that the sender has.
        have: u64,
    },
    /// Asks which revision the receiver has in force.
    AskRevision,
    /// An answer whose frame says which revision its sender has in force.
    TellRevision,
    /// A whole configuration, as the text of a snapshot.
    Config {
        /// The snapshot in JSON.
        snapshot: String,
    },
}

/// `Content` is what a frame holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The sender.
    pub from: VmName,
    /// The receiver.
    pub to: VmName,
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// The messages.
    pub items: Vec<Item>,
}

/// `Frame` is a content in bytes, with a proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    content: Vec<u8>,
    proof: [u8; 32],
}

/// `FrameKey` makes and checks proofs.
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

impl FrameKey {
    /// Derives the key from the secret of the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Makes a frame.
    ///
    /// # Panics
    /// Never: every content is serializable.
    #[must_use]
    pub fn seal(&self, content: &Content) -> Frame {
        let content = postcard::to_stdvec(content).expect("every content is serializable");
        let proof = *blake3::keyed_hash(&self.0, &content).as_bytes();
        Frame { content, proof }
    }

    /// The content of a frame whose proof is right.
    #[must_use]
    pub fn open(&self, frame: &Frame) -> Option<Content> {
        let expected = blake3::keyed_hash(&self.0, &frame.content);
        // The comparison of hashes takes the same time whatever differs.
        if expected != blake3::Hash::from_bytes(frame.proof) {
            return None;
        }
        postcard::from_bytes(&frame.content).ok()
    }
}

impl Frame {
    /// Bytes that the frame takes on the wire, without the transport's own.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len() + self.proof.len()
    }

    /// Whether the frame has no content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }
}
