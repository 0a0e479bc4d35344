//! Placement and admission, based on a replica of the load of the entire fleet.
//!
//! Each scheduler keeps a [`load::FleetLoad`], which records what runs on each target and for
//! which customer. The scheduler places requests with it and sends each change to the other
//! schedulers as an [`event::Event`] within a few tens of milliseconds. This module performs no I/O
//! and reads no clock: callers pass the current time.
//!
//! Load patterns, and the module that handles each:
//! - long prompts queue on one engine while others are idle: [`engine`], [`load`];
//! - long streams are started but do not finish in time: [`token_interval`];
//! - long prompts stall the streams beside them: [`pause`];
//! - every engine prefills the same prompt prefixes: [`prefix`];
//! - one customer sends many times its usual load: [`shares`];
//! - more requests arrive than can start in time: [`admission`];
//! - requests arrive in bursts: [`queueing`];
//! - one router receives more callers than its processor can serve: [`overload`];
//! - a target fails, stalls or slows down under load: [`health`];
//! - requests with one part of a prompt crash each engine that answers them: [`quarantine`];
//! - targets restart and take few requests at first: [`cold_start`];
//! - a target tells that it accepts less load than usual: [`directive`];
//! - targets of several software versions serve side by side, and streams break: [`streams`];
//! - many gateways decide at once, based on old views: [`balance`].

pub mod admission;
pub mod balance;
pub mod cold_start;
pub mod directive;
pub mod engine;
pub mod event;
pub mod health;
pub mod interval_correction;
pub mod load;
#[cfg(any(test, feature = "model"))]
pub mod model;
pub mod overload;
pub mod pause;
pub mod plain;
pub mod prefill;
pub mod prefix;
pub mod quarantine;
pub mod queueing;
pub mod request;
pub mod shares;
pub mod shortest_objective;
pub mod streams;
pub mod token_interval;

#[cfg(test)]
mod tests;
