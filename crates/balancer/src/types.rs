//! Identifiers and descriptions that settings, events and actions share.
//!
//! Points in time are milliseconds on one clock that never runs backwards; spans are milliseconds too.

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// Identifies a request; numbered by the caller and never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an endpoint. All proxies use the same number for the same endpoint, for instance a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Identifies a network zone; numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Identifies a machine type; numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineTypeId(pub u32);

/// Identifies a cell: a few endpoints that deduplicate requests by idempotency key among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// Affinity key: requests with the same key concern the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Rule for repeating a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeating it has no further effect.
    Idempotent,
    /// It carries an idempotency key, by which endpoints drop repeats for a limited time.
    IdempotencyKey {
        /// Endpoints that know of each other's attempts.
        scope: DeduplicationScope,
        /// Time for which repeats are dropped, from the send of the first attempt that may have run; for a streamed body, from the
        /// send of its last byte.
        deduplication_window: Millis,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// Endpoints among which a request with an idempotency key may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Endpoints in the zone of the first attempt's endpoint.
    Zone,
    /// Endpoints in the cell of the first attempt's endpoint.
    Cell,
}

/// Lifecycle state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Up,
    /// Finishes requests in flight and accepts no new ones.
    Draining,
    /// Not listed any more.
    Removed,
}

/// Entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Zone, if known.
    pub zone: Option<ZoneId>,
    /// Machine type, if known.
    pub machine_type: Option<MachineTypeId>,
    /// Deduplication cell, if any.
    pub cell: Option<CellId>,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Advertised weight; see [`WeightMeaning`](crate::WeightMeaning).
    pub weight: f64,
    /// Last start of its process; `None` if it has been up for long.
    pub started_at: Option<Millis>,
}

/// Extent of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changed entries only.
    Delta,
    /// Complete list: endpoints that it lacks are removed.
    Full,
    /// Complete list as stored before a restart, possibly stale. Handled like [`UpdateScope::Delta`]: it removes
    /// nothing.
    Cached,
    /// The update failed; the previous list stays in force.
    Failed,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint rejected the request unprocessed, as it is overloaded.
    Overloaded,
    /// No response within the timeout.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// The proxy cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns true if the attempt may have had its effect.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// Load of an endpoint as reported with a response; delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests accepted and not yet answered.
    pub in_flight: Option<f64>,
    /// Requests queued there.
    pub queued: Option<f64>,
}

impl LoadReport {
    /// Returns requests per core for an endpoint with `cores` cores; `None` if nothing was reported. Where only
    /// the queue is reported, each core is assumed to process one request.
    pub fn per_core(self, cores: f64) -> Option<f64> {
        let queued_per_core = |queued: f64| {
            if queued > 0.0 {
                1.0 + queued / cores
            } else {
                0.0
            }
        };
        self.in_flight
            .map(|in_flight| in_flight / cores)
            .or(self.queued.map(queued_per_core))
    }
}
