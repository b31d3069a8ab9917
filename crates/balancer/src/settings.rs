//! Settings of the decision module: request classes, tenants, costs and limits.

use crate::types::{Idempotency, Millis, ZoneId};

/// Request class with a latency objective and a priority.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency up to which a response earns the full priority weight.
    pub latency_objective: Millis,
    /// Maximum time for which a client waits.
    pub deadline: Millis,
    /// Multiple of a request's expected work that is added to the latency objective, up to the deadline.
    pub objective_work_multiple: f64,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response earns after the latency objective.
    pub late_weight_fraction: f64,
    /// Constraint on repeating a request.
    pub idempotency: Idempotency,
}

/// Tenant with its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, summed over all proxies, that keep their full priority weight.
    pub quota_per_second: f64,
}

/// Delivery of endpoint list updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive without a request.
    Pushed,
    /// Updates arrive only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The weights have no defined meaning.
    Unspecified,
    /// Capacity, at least approximately.
    Capacity,
    /// Capacity minus a recent but delayed value of the load.
    AvailableCapacity,
}

/// Costs of an attempt, as fractions of the priority weight of a mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Cost of an attempt that crosses zones.
    pub cross_zone: f64,
}

/// Limits that every proxy observes. Two further limits are not configurable: an endpoint that is draining or removed
/// gets no new attempts, and a request has at most one attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Minimum fraction of its capacity that an endpoint has right after its start.
    pub initial_capacity_fraction: f64,
    /// Maximum time from its start until an endpoint has its full capacity.
    pub warm_up: Millis,
    /// Multiple of its current capacity above which load overloads a warming endpoint, if sustained for the overload
    /// window.
    pub overload_multiple: f64,
    /// Overload window: minimum duration of load above the overload multiple that overloads a warming endpoint.
    pub overload_window: Millis,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
}

/// Settings of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this proxy among all proxies, from 0.
    pub proxy_index: u32,
    /// Number of proxies that share the endpoints.
    pub proxy_count: u32,
    /// Zone of this proxy, if known.
    pub zone: Option<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Fraction of the class's priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight_fraction: f64,
    /// Applies priority weights per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Delivery of endpoint list updates.
    pub discovery: Discovery,
    /// Meaning of the weights in the endpoint list.
    pub weight_meaning: WeightMeaning,
    /// Sends requests with the same key to the same endpoint, which needs less work for keys that it has processed
    /// before.
    pub key_affinity: bool,
    /// Allows messages between proxies.
    pub gossip_enabled: bool,
    /// Maximum Retry-After of a rejection; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<Millis>,
    /// Costs of attempts.
    pub costs: Costs,
    /// Limits that every proxy observes.
    pub limits: Limits,
}
