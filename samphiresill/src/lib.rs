//! The fleet's router as a library, used by the `samphiresill-router` daemon.

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
