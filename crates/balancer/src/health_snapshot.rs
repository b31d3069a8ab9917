//! Endpoint health that outlives an instance of the decision module: ejections and slow start budgets. Latency
//! estimates are not part of it; they are learned anew. Snapshots are taken and restored by `health_transfer`.

use crate::types::{ClassId, EndpointId, Millis};

/// Endpoint health of one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthSnapshot {
    /// Number of proxies that shared the endpoints when the snapshot was taken.
    pub proxy_count: u32,
    /// Endpoints with ejections or slow start budgets.
    pub endpoints: Vec<EndpointHealth>,
}

/// Health of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointHealth {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Start of its process; the rest is void for a later process.
    pub started_at: Option<Millis>,
    /// Ejection for all classes.
    pub overall: Option<Ejection>,
    /// Ejections for single classes.
    pub by_class: Vec<(ClassId, Ejection)>,
    /// Slow start budget while it is warming up.
    pub slow_start: Option<SlowStartBudget>,
}

/// Ejection of an endpoint and its recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// Running mean of failed attempts, as a fraction.
    pub failure_mean: f64,
    /// End of the ejection, on the module's clock.
    pub ejected_until: Millis,
    /// Base for the length of the next ejection, before it is extended and varied.
    pub backoff: Millis,
    /// True from the ejection until the endpoint has responded well for a while. Once the ejection is over, it gets one
    /// request at a time.
    pub on_probation: bool,
}

/// Budget of requests for an endpoint that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBudget {
    /// Requests that may be sent at `updated_at`.
    pub tokens: f64,
    /// Time of the last update.
    pub updated_at: Millis,
    /// Largest cost, in requests of mean work, that is allowed for one token.
    pub max_cost: f64,
}
