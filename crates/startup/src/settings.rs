//! Settings of a startup.

/// Time on a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// Action of an instance that does not know the endpoint lists of some tenants when the timeout expires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum UnknownListPolicy {
    /// Accepts requests, but rejects those of tenants whose list is unknown. The missing list of one tenant does not block the others.
    #[default]
    Serve,
    /// Rejects all requests until the last list is known.
    Reject,
}

/// Settings of a startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupSettings {
    /// Timeout of the wait for endpoint lists.
    pub list_timeout: Micros,
    /// Action after that timeout.
    pub unknown_list_policy: UnknownListPolicy,
}
