//! Test programs that take the place of model engines, plain services and the platform.
//!
//! Nothing here belongs to the product; the programs are small and keep everything in memory.

pub mod engine;
pub mod fault;
pub mod http;
pub mod options;
pub mod platform;
pub mod service;
pub mod text;
