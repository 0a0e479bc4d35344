//! Decisions on capacity: queues of a router, schedulers of pools and the messages between them.
//!
//! Nothing here does I/O or reads a clock: [`node::Node`] takes the time and an event, and gives
//! back actions. A *pool* is the slots of one failure domain for one kind of work. One VM of the
//! domain, found by rendezvous hashing, schedules each pool; every router keeps its own queues,
//! reports what waits, and starts a request when it is granted a slot.

pub mod estimate;
pub mod fleet;
pub mod ledger;
pub mod limit;
pub mod link;
pub mod message;
pub mod node;
pub mod options;
pub mod queue;
pub mod rendezvous;
pub mod scheduler;
pub mod topology;

#[cfg(test)]
mod tests;
