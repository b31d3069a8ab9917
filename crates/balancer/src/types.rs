//! Identifiers and data types shared by settings, events and actions.
//!
//! Points in time are milliseconds on one monotonic clock; durations are milliseconds too.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Identifies a request; assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an endpoint. All proxies use the same number for the same endpoint, for example a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Identifies a network zone; assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Identifies a machine type; assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineTypeId(pub u32);

/// Identifies a cell: a small group of endpoints that deduplicate requests by idempotency key among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// Affinity key: requests with the same key concern the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Constraint on repeating a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeating the request has no further effect.
    Idempotent,
    /// The request carries an idempotency key, by which endpoints drop repeats for a limited time.
    IdempotencyKey {
        /// Endpoints that recognize repeats of each other's requests.
        scope: DeduplicationScope,
        /// Time for which repeats are dropped, counted from the send of the first attempt that may have run; for a
        /// streamed body, from the send of its last byte.
        deduplication_window: Millis,
    },
    /// The request must not run more than once.
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
    /// Completes requests in flight and accepts no new ones.
    Draining,
    /// No longer listed.
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
    /// Time of the last start of the endpoint's process; `None` if it started long ago.
    pub started_at: Option<Millis>,
}

/// Extent of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changed entries only.
    Delta,
    /// Complete list: endpoints missing from it are removed.
    Full,
    /// Complete list as stored before a restart, possibly stale. Handled like [`UpdateScope::Delta`]: no endpoint is
    /// removed.
    Cached,
    /// The update failed; the previous list stays in effect.
    Failed,
}

/// How the front end receives the body of a request that waits for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// All that the client has sent so far is received. It has not sent the last byte.
    Arriving,
    /// The client may have sent what is not received, because there is no memory. A disconnect would not be noticed, so
    /// that no attempt may begin.
    Paused,
    /// The last byte has been received, or nothing is known about it.
    Received,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint rejected the request without processing it, because it is overloaded.
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
    /// Returns true if the request may have taken effect.
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
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
}

impl LoadReport {
    /// Returns the requests per core of an endpoint with `cores` cores; `None` if nothing was reported. If only the
    /// queue length is reported, each core is assumed to process one request.
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
