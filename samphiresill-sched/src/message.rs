//! The messages between routers and schedulers of pools.
//!
//! Any of them may be lost, late, doubled or reordered. What must arrive (starts, releases,
//! refused grants) is repeated in every report until the scheduler acknowledges one that held it.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Tokens;
use serde::{Deserialize, Serialize};

/// `PoolKey` names a pool: the slots of one failure domain for one work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{domain}/{work}")]
pub struct PoolKey {
    /// The failure domain of the targets.
    pub domain: DomainName,
    /// The model or service that they serve.
    pub work: ServiceName,
}

/// `RunId` identifies one life of a scheduler; a restarted or moved one has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

/// `GrantId` identifies one grant for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{run}:{seq}")]
pub struct GrantId {
    /// The life of the scheduler that granted.
    pub run: RunId,
    /// Counts the grants of that life.
    pub seq: u64,
}

/// `Demand` is what waits for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerName,
    /// Requests that wait.
    pub waiting: u32,
    /// Estimated cost of the next request.
    pub estimate: Tokens,
    /// How long the next request has waited, in milliseconds.
    pub waited_ms: u32,
}

/// `Started` says that a grant was used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The grant.
    pub grant: GrantId,
    /// The target that runs the request.
    pub target: TargetName,
    /// The customer that the request belongs to.
    pub customer: CustomerName,
    /// Estimated cost.
    pub estimate: Tokens,
}

/// `Progress` says how far a running request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The grant that it runs on.
    pub grant: GrantId,
    /// Service received so far.
    pub served: Tokens,
}

/// `Released` says that a slot is free again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The grant that is over.
    pub grant: GrantId,
    /// Service received in all.
    pub served: Tokens,
    /// What the request showed of the target.
    pub observed: Observed,
}

/// `Observed` is what one request showed of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Time to the first token, in milliseconds; 0 when none came.
    pub first_token_ms: u32,
    /// Mean time between tokens, in microseconds; 0 when unknown.
    pub between_tokens_us: u32,
    /// Whether the target failed.
    pub failed: bool,
}

/// `Report` tells the scheduler of a pool what waits at a router and what runs on the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The pool concerned.
    pub pool: PoolKey,
    /// The life of the sending router; a restarted one has a higher number.
    pub incarnation: u64,
    /// Monotonic time of the sender; grants refer to it.
    pub sent_at: Duration,
    /// Whether `demand` and `progress` are complete or hold only what changed.
    pub full: bool,
    /// What waits at the sender; only told to the pool of the sender's own domain.
    pub demand: Vec<Demand>,
    /// Grants used, until acknowledged.
    pub started: Vec<Started>,
    /// Requests that run.
    pub progress: Vec<Progress>,
    /// Requests that are over, until acknowledged.
    pub released: Vec<Released>,
    /// Grants that found no request, until acknowledged.
    pub declined: Vec<GrantId>,
    /// The order number of the last grant received from this scheduler's life.
    pub seen: Option<(RunId, u64)>,
}

/// `Grant` lets a router start one request of a customer on one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// The pool that the slot belongs to.
    pub pool: PoolKey,
    /// The VM whose scheduler granted the slot.
    pub scheduler: VmName,
    /// The target that has the free slot.
    pub target: TargetName,
    /// Whose turn it is.
    pub customer: CustomerName,
    /// What the grant was charged with.
    pub estimate: Tokens,
}

/// `Delivery` is a grant on its way to a router, or to the scheduler of another domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivery {
    /// The grant.
    pub grant: Grant,
    /// The receiver's own time on its latest message that the sender had; the grant's life
    /// counts from there.
    pub basis: Duration,
    /// The life of the sending scheduler.
    pub run: RunId,
    /// Counts what this sender sent to this receiver.
    pub order: u64,
}

/// `Acknowledge` says that a report was taken in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledge {
    /// The pool concerned.
    pub pool: PoolKey,
    /// The life of the scheduler.
    pub run: RunId,
    /// The report's time.
    pub sent_at: Duration,
    /// Running grants that the scheduler does not know and has to be told about.
    pub unknown: Vec<GrantId>,
}

/// `Account` is one customer's line of a summary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The customer.
    pub customer: CustomerName,
    /// Service that this pool has given since its scheduler's life began.
    pub served: Tokens,
    /// Service that is charged in advance to requests that run.
    pub outstanding: Tokens,
    /// Requests of the domain's routers that wait and have no grant.
    pub unmet: u32,
    /// Estimated cost of the next of them.
    pub estimate: Tokens,
    /// The customer's service in proportion to its share, as the sender reckons it.
    pub virtual_time: f64,
}

/// `Summary` tells the scheduler of another domain what this pool has given and cannot meet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The sender's pool.
    pub pool: PoolKey,
    /// The life of the sending scheduler.
    pub run: RunId,
    /// Monotonic time of the sender; offers refer to it.
    pub sent_at: Duration,
    /// Whether the sender still listens and wants the receiver's accounts.
    pub listening: bool,
    /// The customers that are active.
    pub accounts: Vec<Account>,
    /// The order number of the last offer received from the receiver's life.
    pub seen: Option<(RunId, u64)>,
}

/// `Message` is anything that one router sends to another about capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a router to a scheduler.
    Report(Report),
    /// From a scheduler to a router.
    Grant(Delivery),
    /// From a scheduler to the scheduler of another domain, for one of its routers.
    Offer {
        /// The receiver's pool.
        to: PoolKey,
        /// The grant on offer.
        delivery: Delivery,
    },
    /// From a scheduler that has no use for an offer, back to where it came from.
    Return {
        /// The pool that granted.
        pool: PoolKey,
        /// The grant.
        grant: GrantId,
    },
    /// From a scheduler to a router.
    Acknowledge(Acknowledge),
    /// From a scheduler to the scheduler of the same work in another domain.
    Summary {
        /// The receiver's pool.
        to: PoolKey,
        /// The summary.
        summary: Summary,
    },
}
