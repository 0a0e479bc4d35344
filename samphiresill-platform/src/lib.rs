//! Client of the platform's table service, object store and list of VMs.
//!
//! Every call may fail, block until its timeout, or lose its response after taking effect. Callers
//! resolve a lost response by reading the affected rows.

pub mod http;
pub mod table;
pub mod vms;
