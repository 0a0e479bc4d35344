//! What a request needs of a target.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

/// Weight of a generated token against a prompt token, as the operators' capacity figure counts them.
const GENERATED_WEIGHT: u64 = 2;

/// `RunId` identifies one run of a request over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{origin:x}-{number}")]
pub struct RunId {
    /// The router that sent it, new with each start of the process.
    pub origin: u64,
    /// Counts the runs of that router.
    pub number: u32,
}

impl RunId {
    /// The range of all runs of one origin.
    #[must_use]
    pub fn all_of(origin: u64) -> std::ops::RangeInclusive<Self> {
        let run = |number| Self { origin, number };
        run(0)..=run(u32::MAX)
    }
}

/// `PromptPart` is a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// `Generation` is what a request needs of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Parts of the prompt in order; the last one is the request's or its session's own.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that are expected to be generated.
    pub output_tokens: u32,
}

impl Generation {
    /// Service that the request takes, in weighted tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        u64::from(self.prompt_tokens) + GENERATED_WEIGHT * u64::from(self.output_tokens)
    }

    /// Memory that the request occupies at its end, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// `PlacementRequest` is one request that needs a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The customer; nothing on routes that need no key.
    pub customer: Option<&'a CustomerName>,
    /// The service that serves it.
    pub service: &'a ServiceName,
    /// Present for requests to model engines.
    pub generation: Option<&'a Generation>,
    /// Time to the first byte within which the answer is on time.
    pub latency_objective: Duration,
    /// Time that is left until the answer must have ended.
    pub time_left: Duration,
    /// Failure domain of the router.
    pub domain: &'a DomainName,
    /// Targets that were tried already.
    pub tried: &'a [TargetName],
    /// How long the request has been queued in its router.
    pub waited: Duration,
    /// Whether the request has run, or part of it: it is then not refused for load.
    pub has_run: bool,
}
