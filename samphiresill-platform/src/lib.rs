//! Clients of the platform's table service, object store and list of VMs.
//!
//! Every call may fail, stall until its timeout, or lose its reply after it took effect; callers
//! settle a lost reply by reading back.

pub mod http;
pub mod table;
pub mod vms;
