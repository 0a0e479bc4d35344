//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod cold_marks;
mod cold_start;
mod decisions;
mod eligibility;
mod even_load;
mod fair_share;
mod fleet_load;
mod learning;
mod overload;
mod patterns;
mod pauses;
mod plain_bursts;
mod plain_rejections;
mod quarantine;
mod rate_limit;
mod simulation;
mod stated_shares;
mod streams;
mod whole_request;
