//! Clock by which leases are measured.

use cluster::rules::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the boot of the machine, suspension included. It is never set back and goes on while the process is stopped.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
