//! The router of the fleet as a library: the daemon starts it and waits for a signal.

pub mod config;
pub mod dispatch;
pub mod follow;
pub mod forward;
pub mod front;
pub mod metrics;
pub mod operations;
pub mod operators;
pub mod peer;
pub mod router;
pub mod settings;
pub mod shared;
