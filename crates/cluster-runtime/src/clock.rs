//! The clock that leases are measured by.

use cluster::rules::Micros;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started, with what it slept: it is never set, and goes on while a process is stopped.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
