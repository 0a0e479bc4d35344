//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod cold_start;
mod decisions;
mod eligibility;
mod fleet_load;
mod learning;
mod patterns;
mod pauses;
mod plain_bursts;
mod quarantine;
mod rate_limit;
mod simulation;
mod whole_request;
