//! Requirements of a request on a target.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName};
use samphiresill_core::routing::EngineSpec;
use serde::{Deserialize, Serialize};

use super::streams::StreamOrigin;

/// Weight of a generated token relative to a prompt token, as in the operators' capacity figure.
const OUTPUT_TOKEN_WEIGHT: u64 = 2;

/// `RunId` identifies one run of a request in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{origin:x}-{number}")]
pub struct RunId {
    /// Identifies the router process that sent the request; changes with each start.
    pub origin: u64,
    /// Sequence number of the run in that process.
    pub number: u32,
}

impl RunId {
    /// Returns the range of all run IDs of one origin.
    #[must_use]
    pub fn all_of(origin: u64) -> std::ops::RangeInclusive<Self> {
        let run = |number| Self { origin, number };
        run(0)..=run(u32::MAX)
    }
}

/// `PromptPart` is a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// `Generation` describes a request to a model engine: its prompt and the expected length of its
/// output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Parts of the prompt in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the full prompt in tokens.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
}

impl Generation {
    /// Returns the ids of the parts that several requests may share: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.id)
    }

    /// Returns a fingerprint of the whole prompt, which is the same for all repeats of the request;
    /// `None` when its parts are not known.
    #[must_use]
    pub fn fingerprint(&self) -> Option<u64> {
        if self.parts.is_empty() {
            return None;
        }
        let mut hasher = blake3::Hasher::new();
        for part in &self.parts {
            hasher.update(&part.id.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Some(u64::from_le_bytes(first))
    }

    /// Returns what the quarantine may list of the request: its shared parts, and itself.
    pub fn listed_as(&self) -> impl Iterator<Item = u64> {
        let whole = std::iter::once_with(|| self.fingerprint()).flatten();
        self.shared_parts().chain(whole)
    }

    /// Returns the cost of the request in weighted tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        u64::from(self.prompt_tokens) + OUTPUT_TOKEN_WEIGHT * u64::from(self.output_tokens)
    }

    /// Returns the KV cache memory that the request occupies when it ends, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Returns whether the whole KV cache memory of an engine holds the request.
    #[must_use]
    pub fn fits(&self, spec: &EngineSpec) -> bool {
        self.memory_tokens() <= u64::from(spec.kv_cache_tokens)
    }
}

/// `PlacementRequest` is a request that is to be placed on a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The customer; `None` on routes that require no key.
    pub customer: Option<&'a CustomerName>,
    /// The requested service.
    pub service: &'a ServiceName,
    /// Describes the generation; present for requests to model engines.
    pub generation: Option<&'a Generation>,
    /// Objective for the time to the first byte.
    pub latency_objective: Duration,
    /// Remaining time until the response must be complete.
    pub time_left: Duration,
    /// Failure domain of the router.
    pub domain: &'a DomainName,
    /// Targets that have already been tried.
    pub tried: &'a [TargetName],
    /// Targets that may get no requests of the router.
    pub avoided: &'a [TargetName],
    /// Whether this is the first attempt to place the request: it was neither queued nor sent to a
    /// target before.
    pub is_first_attempt: bool,
    /// How long the request has been queued in its router.
    pub waited: Duration,
    /// Whether the request has run at least in part; such a request is not refused for load.
    pub has_run: bool,
    /// Where the stream of the request began.
    pub origin: &'a StreamOrigin,
}
