//! Clock for leases.

use cluster::rules::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the boot of the machine. It is monotonic and includes time in which the machine was suspended or the process
/// was stopped.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
