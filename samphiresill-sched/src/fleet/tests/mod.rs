//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod decisions;
mod even_load;
mod fleet_load;
mod learning;
mod patterns;
mod quarantine;
mod rate_limit;
mod simulation;
mod whole_request;
