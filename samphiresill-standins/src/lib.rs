//! Stand-ins for model engines, plain services and the platform, for use in tests.
//!
//! They are not part of the product, and keep all state in memory.

pub mod engine;
pub mod fault;
pub mod http;
pub mod options;
pub mod platform;
pub mod service;
pub mod text;
