//! Activation of tenants: of the many tenants of a process, only a bounded number is active, that is, held in memory.
//!
//! [`ActiveTenants`] decides which tenant is activated, which one is evicted for it (the least recently used one without
//! work), and which request has to wait for capacity. It starts and stops nothing itself, reads no clock and takes no
//! lock: its caller carries out the decisions, passes the time in milliseconds, and reports which tenants have no work.
//!
//! Tenants without capacity wait in a queue, each once, in the order of their first request. Each is given a time for
//! its retry, and its position is kept for a bounded time after that.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod active_tenants;
mod recency_list;
mod wait_queue;

pub use active_tenants::{
    Activation, ActivationCounters, ActivationLimits, ActiveTenants, Deferral,
};

/// A point in time or a duration, in milliseconds of a monotonic clock.
pub type Millis = f64;
