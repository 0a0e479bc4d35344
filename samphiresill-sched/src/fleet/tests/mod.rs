//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod decisions;
mod fleet_load;
mod patterns;
mod simulation;
