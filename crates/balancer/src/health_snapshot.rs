//! Endpoint health that is transferred between instances of the decision module: ejections and slow start budgets.
//! Latency estimates are not part of it; a new instance learns them again. `health_transfer` creates and restores
//! snapshots.

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
    /// Start of the endpoint's process; the other fields don't apply to a later process.
    pub started_at: Option<Millis>,
    /// Ejection for all classes.
    pub overall: Option<Ejection>,
    /// Ejections for single classes.
    pub by_class: Vec<(ClassId, Ejection)>,
    /// Slow start budget while the endpoint is warming up.
    pub slow_start: Option<SlowStartBudget>,
}

/// Ejection of an endpoint and its recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// Moving average of the fraction of failed attempts.
    pub failure_mean: f64,
    /// End of the ejection, on the module's clock.
    pub ejected_until: Millis,
    /// Base duration of the next ejection, before it is extended and jitter is applied.
    pub backoff: Millis,
    /// True from the ejection until enough attempts have succeeded. Once the ejection is over, the endpoint gets one
    /// request at a time while this is true.
    pub on_probation: bool,
}

/// Budget of requests for an endpoint that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBudget {
    /// Tokens, in requests of mean work, as of `updated_at`.
    pub tokens: f64,
    /// Time of the last update.
    pub updated_at: Millis,
    /// Maximum cost, in requests of mean work, that one token covers.
    pub max_cost: f64,
}
