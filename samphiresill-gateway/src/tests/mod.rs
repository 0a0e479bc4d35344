//! Tests of the gateway's parts that need no connection.

mod body_budget;
mod directory;
mod events;
mod frames;
mod pool;
mod settings;
