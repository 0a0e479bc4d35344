//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod cold_marks;
mod cold_start;
mod decisions;
mod fleet_load;
mod learning;
mod patterns;
mod quarantine;
mod rate_limit;
mod simulation;
mod whole_request;
