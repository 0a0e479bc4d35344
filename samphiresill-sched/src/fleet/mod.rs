//! Placement and admission on one account of the whole fleet's load.
//!
//! Every router keeps an [`account::Account`]: what runs on each target and for whom. It decides
//! on its own requests with it, and tells the other routers by [`event::Event`]s, a few tens of
//! milliseconds later. Nothing here does I/O or reads a clock: each call is given the time.
//!
//! Load patterns, and the module that answers each:
//! - long prompts queue before one engine while others idle: [`engine`], [`account`];
//! - long answers are begun and not ended in time: [`pace`];
//! - the same prompt parts are read again by every engine: [`prefix`];
//! - one customer sends many times its usual: [`shares`];
//! - more work arrives than can start in time: [`admission`];
//! - requests arrive in clumps: [`holding`];
//! - one router gets more callers than its processor can serve: [`overload`];
//! - a target fails, stalls or turns slow under load: [`health`].

pub mod account;
pub mod admission;
pub mod engine;
pub mod event;
pub mod health;
pub mod holding;
pub mod overload;
pub mod pace;
pub mod plain;
pub mod prefix;
pub mod shares;
pub mod work;

#[cfg(test)]
mod tests;
