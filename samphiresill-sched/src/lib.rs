//! Capacity scheduling: request queues of a router, pool schedulers and the protocol between them.
//!
//! This crate performs no I/O and reads no clock: [`node::Node`] receives the time and an event and
//! returns actions. A *pool* is the set of slots in one failure domain that serve one model or
//! service. Each pool is scheduled by one VM of its domain, selected by rendezvous hashing. Every
//! router keeps its own queues, reports its demand, and starts a request when it is granted a slot.

pub mod estimate;
pub mod fleet;
pub mod ledger;
pub mod limit;
pub mod message;
pub mod node;
pub mod options;
pub mod pool_client;
pub mod queue;
pub mod rendezvous;
pub mod scheduler;
pub mod topology;

#[cfg(test)]
mod tests;
