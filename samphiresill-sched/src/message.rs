//! Messages between routers and pool schedulers.
//!
//! Messages may be lost, delayed, duplicated or reordered. Starts, releases and declined grants are
//! repeated in every report until the scheduler acknowledges a report that contained them.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Tokens;
use serde::{Deserialize, Serialize};

/// `PoolKey` identifies a pool: the slots of one failure domain that serve one model or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{domain}/{work}")]
pub struct PoolKey {
    /// The failure domain of the targets.
    pub domain: DomainName,
    /// The model or service that the targets serve.
    pub work: ServiceName,
}

/// `SchedulerInstanceId` identifies an instance of a scheduler. A restart or a move to another VM
/// starts a new instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SchedulerInstanceId(pub u64);

/// `GrantId` is the globally unique ID of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{run}:{seq}")]
pub struct GrantId {
    /// The scheduler instance that issued the grant.
    pub run: SchedulerInstanceId,
    /// Sequence number among the grants of that instance.
    pub seq: u64,
}

/// `Demand` describes the waiting requests of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerName,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Estimated cost of the next request.
    pub estimate: Tokens,
    /// Time that the next request has been waiting, in milliseconds.
    pub waited_ms: u32,
}

/// `Started` reports that a grant was used to start a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The grant.
    pub grant: GrantId,
    /// The target that runs the request.
    pub target: TargetName,
    /// The customer of the request.
    pub customer: CustomerName,
    /// Estimated cost of the request.
    pub estimate: Tokens,
}

/// `Progress` reports the service that a running request has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The grant that the request runs on.
    pub grant: GrantId,
    /// Service received so far.
    pub served: Tokens,
}

/// `Released` reports the end of a request and the release of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The grant that has ended.
    pub grant: GrantId,
    /// Total service received.
    pub served: Tokens,
    /// What the request measured about its target.
    pub observed: Observed,
}

/// `Observed` holds what one request measured about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Time to the first token, in milliseconds; 0 if there was none.
    pub first_token_ms: u32,
    /// Mean time between tokens, in microseconds; 0 if unknown.
    pub between_tokens_us: u32,
    /// Whether the target failed.
    pub failed: bool,
}

/// `Report` informs a pool's scheduler of the demand at a router and of the requests it runs on the
/// pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The pool that the report is about.
    pub pool: PoolKey,
    /// Incarnation of the sending router; increases with each restart.
    pub incarnation: u64,
    /// Sender's monotonic clock; echoed as the `basis` of grants.
    pub sent_at: Duration,
    /// Whether `demand` and `progress` are complete, as opposed to changes only.
    pub full: bool,
    /// Waiting requests of the sender; only reported to the pool of the sender's own domain.
    pub demand: Vec<Demand>,
    /// Grants used and not yet acknowledged as such.
    pub started: Vec<Started>,
    /// Progress of the running requests.
    pub progress: Vec<Progress>,
    /// Ended requests that are not yet acknowledged.
    pub released: Vec<Released>,
    /// Unused grants returned and not yet acknowledged.
    pub declined: Vec<GrantId>,
    /// Highest sequence number of the grants received from this scheduler instance.
    pub seen: Option<(SchedulerInstanceId, u64)>,
}

/// `Grant` permits a router to start one request of a customer on one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// The pool that owns the slot.
    pub pool: PoolKey,
    /// The VM whose scheduler issued the grant.
    pub scheduler: VmName,
    /// The target with the free slot.
    pub target: TargetName,
    /// The customer that the slot is granted to.
    pub customer: CustomerName,
    /// Amount that was reserved for the grant.
    pub estimate: Tokens,
}

/// `Delivery` carries a grant to a router or to the scheduler of another domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivery {
    /// The grant.
    pub grant: Grant,
    /// Receiver's clock, as of the latest message that the sender has received from it. The
    /// lifetime of the grant counts from this time, so that only one clock is involved.
    pub basis: Duration,
    /// The sending scheduler instance.
    pub run: SchedulerInstanceId,
    /// Sequence number among the deliveries from this sender to this receiver.
    pub order: u64,
}

/// `Acknowledge` confirms that a report was processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledge {
    /// The pool that the report was about.
    pub pool: PoolKey,
    /// The scheduler instance that processed it.
    pub run: SchedulerInstanceId,
    /// The `sent_at` of the report.
    pub sent_at: Duration,
    /// Running grants that the scheduler has no record of; the router must report their start
    /// again.
    pub unknown: Vec<GrantId>,
}

/// `Account` is the entry of one customer in a summary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The customer.
    pub customer: CustomerName,
    /// Service delivered by this pool since its scheduler instance started.
    pub served: Tokens,
    /// Amount reserved for running requests.
    pub outstanding: Tokens,
    /// Waiting requests at the domain's routers that have no grant.
    pub unmet: u32,
    /// Estimated cost of the next of these requests.
    pub estimate: Tokens,
    /// The customer's virtual time as computed by the sender.
    pub virtual_time: f64,
}

/// `Summary` informs the scheduler of another domain of service delivered by this pool and of
/// demand that it cannot meet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The sender's pool.
    pub pool: PoolKey,
    /// The sending scheduler instance.
    pub run: SchedulerInstanceId,
    /// Sender's monotonic clock; echoed as the `basis` of offers.
    pub sent_at: Duration,
    /// Whether the sender is still in its listening phase and needs the receiver's accounts.
    pub listening: bool,
    /// Accounts of the customers that changed or have unmet demand; periodically of all customers.
    pub accounts: Vec<Account>,
    /// Highest sequence number of the offers received from the receiver's instance.
    pub seen: Option<(SchedulerInstanceId, u64)>,
}

/// `Message` is a message of the capacity protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a router to a scheduler.
    Report(Report),
    /// From a scheduler to a router.
    Grant(Delivery),
    /// From a scheduler to the scheduler of another domain, to be passed to one of its routers.
    Offer {
        /// The receiver's pool.
        to: PoolKey,
        /// The offered grant.
        delivery: Delivery,
    },
    /// From a scheduler that cannot use an offer, back to the scheduler that issued the grant.
    Return {
        /// The pool that issued the grant.
        pool: PoolKey,
        /// The grant.
        grant: GrantId,
    },
    /// From a scheduler to a router.
    Acknowledge(Acknowledge),
    /// From a scheduler to the scheduler of the same model or service in another domain.
    Summary {
        /// The receiver's pool.
        to: PoolKey,
        /// The summary.
        summary: Summary,
    },
}
