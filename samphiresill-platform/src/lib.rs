//! Client of the platform's table service, object store and list of VMs.
//!
//! Every call may fail or time out, and a write may be applied although its response is lost.
//! Callers then read the affected rows to find out whether it was applied.

pub mod http;
pub mod table;
pub mod vms;
