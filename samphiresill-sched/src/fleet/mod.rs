//! Placement and admission on one account of the whole fleet's load.
//!
//! Each scheduler keeps an [`account::Account`]: what runs on each target and for whom. It places
//! requests with it and sends the changes to the other schedulers as [`event::Event`]s, a few tens
//! of milliseconds later. Nothing here does I/O or reads a clock: each call is given the time.
//!
//! Load patterns, and the module that answers each:
//! - long prompts queue before one engine while others idle: [`engine`], [`account`];
//! - long answers are started and not finished in time: [`token_interval`];
//! - every engine prefills the same prompt prefixes: [`prefix`];
//! - one customer sends many times its usual: [`shares`];
//! - more work arrives than can start in time: [`admission`];
//! - requests arrive in bursts: [`queueing`];
//! - one router gets more callers than its processor can serve: [`overload`];
//! - a target fails, stalls or turns slow under load: [`health`].

pub mod account;
pub mod admission;
pub mod engine;
pub mod event;
pub mod health;
pub mod overload;
pub mod plain;
pub mod prefix;
pub mod queueing;
pub mod shares;
pub mod token_interval;
pub mod work;

#[cfg(test)]
mod tests;
