//! Tests of placement and admission: replayed load patterns, event exchange between routers, and
//! single decisions.

mod accounts;
mod decisions;
mod patterns;
mod simulation;
