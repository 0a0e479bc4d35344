//! Tests of placement and admission: each replays a load pattern.
