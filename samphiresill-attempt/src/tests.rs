//! Tests of the attempt decisions.
