//! Tests of placement and admission: each replays a load pattern.

mod accounts;
mod decisions;
mod patterns;
mod world;
