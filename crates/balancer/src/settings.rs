//! Settings of the decision module: request classes, tenants, costs and limits.

use crate::types::{Idempotency, Millis, ZoneId};

/// Class of requests with a common latency objective and priority.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency within which a response earns its full priority weight.
    pub latency_objective: Millis,
    /// Time for which a client waits at most.
    pub deadline: Millis,
    /// Multiple of a request's expected work that is added to the latency objective, up to the deadline.
    pub objective_work_multiple: f64,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response past the latency objective still earns.
    pub late_weight_fraction: f64,
    /// Rule for repeating a request.
    pub idempotency: Idempotency,
}

/// Tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all proxies, that keep their full priority weight.
    pub quota_per_second: f64,
}

/// Delivery of endpoint list updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive unrequested.
    Pushed,
    /// Updates arrive only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// No meaning.
    Unspecified,
    /// Capacity, at least approximately.
    Capacity,
    /// Capacity less the load of some time ago.
    AvailableCapacity,
}

/// Costs of an attempt, as fractions of the priority weight of a mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Cost of an attempt that crosses zones.
    pub cross_zone: f64,
}

/// Limits that every proxy observes. Two more hold without a setting: an endpoint that is draining or removed gets
/// no new attempts, and a request has at most one attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Fraction of its capacity that a just started endpoint has at least.
    pub initial_capacity_fraction: f64,
    /// Span after which a started endpoint has its full capacity at the latest.
    pub warm_up: Millis,
    /// Multiple of its current capacity: a warming endpoint that gets more for the overload window is overloaded.
    pub overload_multiple: f64,
    /// Span for which load above that multiple overloads a warming endpoint.
    pub overload_window: Millis,
    /// Attempts allowed for one request.
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
    /// Fraction of its class's priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight_fraction: f64,
    /// Counts priority weights per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Delivery of endpoint list updates.
    pub discovery: Discovery,
    /// Meaning of the weights in the endpoint list.
    pub weight_meaning: WeightMeaning,
    /// Sends requests with the same key to the same endpoint, which does less work for a key that it knows.
    pub key_affinity: bool,
    /// Allows messages between proxies.
    pub gossip_enabled: bool,
    /// Longest Retry-After that a rejection may name; `None` if rejections can't name one.
    pub max_retry_after: Option<Millis>,
    /// Costs of attempts.
    pub costs: Costs,
    /// Limits that every proxy observes.
    pub limits: Limits,
}
