//! Detection of mass lease expiry: many leases that expire together point to a fault of the store or of the network.

use crate::limits::TableLimits;
use crate::time::Millis;

/// Maximum number of lease expiries that are never a mass expiry, however few endpoints there are.
const MAX_ORDINARY_EXPIRIES: usize = 2;

/// Recent lease expiries of endpoints that left the list.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseExpiries {
    ratio: f64,
    window_ms: u64,
    recent: Vec<Millis>,
}

impl LeaseExpiries {
    /// Builds the detection without history.
    pub fn new(limits: &TableLimits) -> Self {
        LeaseExpiries {
            ratio: limits.mass_expiry_ratio,
            window_ms: limits.mass_expiry_window_ms,
            recent: Vec::new(),
        }
    }

    /// Returns true if `new` expiries are part of a mass expiry; `leased` is the number of endpoints with a lease.
    pub fn is_mass_expiry(&mut self, now: Millis, new: usize, leased: usize) -> bool {
        let window_ms = self.window_ms;
        self.recent.retain(|at| now < at + window_ms);
        let all = leased + self.recent.len();
        let expired = new + self.recent.len();
        new > 0 && expired > MAX_ORDINARY_EXPIRIES && expired as f64 > self.ratio * all as f64
    }

    /// Records an expiry that removes its endpoint.
    pub fn record(&mut self, now: Millis) {
        self.recent.push(now);
    }
}
