//! Settings of a startup.

/// Moment of a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// Action of an instance that still lacks endpoint lists of some tenants after the timeout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum UnknownListPolicy {
    /// Takes requests; those of tenants whose list is unknown are rejected. One tenant's lost list does not block the others.
    #[default]
    Serve,
    /// Rejects all requests until the last list is known.
    Reject,
}

/// Settings of a startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupSettings {
    /// Time to wait for endpoint lists.
    pub list_timeout: Micros,
    /// Action after that time.
    pub unknown_list_policy: UnknownListPolicy,
}
