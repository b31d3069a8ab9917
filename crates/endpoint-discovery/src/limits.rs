//! Limits and durations of the watch and of the endpoint table.

/// Limits of the reconnect backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffLimits {
    /// Longest first delay.
    pub initial_ms: u64,
    /// Longest delay.
    pub max_ms: u64,
    /// Draws each delay from 0 to its limit, so that watchers do not reconnect together.
    pub jitter: bool,
}

impl Default for BackoffLimits {
    fn default() -> Self {
        BackoffLimits {
            initial_ms: 200,
            max_ms: 5000,
            jitter: true,
        }
    }
}

/// Limits of the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchLimits {
    /// Silence on an established watch after which progress is requested.
    pub progress_interval_ms: u64,
    /// Silence after which a connection counts as lost.
    pub silence_timeout_ms: u64,
    /// Time without synchronization after which the list counts as stale.
    pub staleness_ms: u64,
    /// Time for which every member must answer from an older state before the store counts as rolled back to a backup.
    pub rollback_ms: u64,
    /// Limits of the reconnect backoff.
    pub backoff: BackoffLimits,
    /// Limits of the endpoint table.
    pub table: TableLimits,
}

impl Default for WatchLimits {
    fn default() -> Self {
        WatchLimits {
            progress_interval_ms: 1000,
            silence_timeout_ms: 3000,
            staleness_ms: 5000,
            rollback_ms: 15_000,
            backoff: BackoffLimits::default(),
            table: TableLimits::default(),
        }
    }
}

/// Limits of the endpoint table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableLimits {
    /// Maximum number of endpoints.
    pub max_endpoints: usize,
    /// Fraction of the endpoints with a lease above which expiries within `mass_expiry_window_ms` are a mass expiry. Its
    /// endpoints are retained.
    pub mass_expiry_ratio: f64,
    /// Window in which lease expiries are counted together.
    pub mass_expiry_window_ms: u64,
    /// Time for which endpoints are retained after a mass expiry.
    pub retention_ms: u64,
    /// Number of returns within `flap_window_ms` from which an endpoint counts as flapping.
    pub flap_count: usize,
    /// Window in which returns are counted.
    pub flap_window_ms: u64,
    /// Time that a flapping endpoint must stay before it is added back.
    pub flap_delay_ms: u64,
    /// Maximum number of tombstones.
    pub max_tombstones: usize,
    /// Lifetime of a tombstone.
    pub tombstone_ttl_ms: u64,
}

impl Default for TableLimits {
    fn default() -> Self {
        TableLimits {
            max_endpoints: 20_000,
            mass_expiry_ratio: 0.5,
            mass_expiry_window_ms: 2000,
            retention_ms: 60_000,
            flap_count: 4,
            flap_window_ms: 60_000,
            flap_delay_ms: 10_000,
            max_tombstones: 20_000,
            tombstone_ttl_ms: 600_000,
        }
    }
}
