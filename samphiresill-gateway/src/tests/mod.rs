//! Tests of the gateway's parts that need no connection.

mod events;
mod frames;
mod settings;
