//! Load report that a response may carry: the endpoint's own count of requests in flight and queued, from a short
//! while ago.

use balancer::LoadReport;
use hyper::HeaderMap;
use serde::Deserialize;

const HEADER: &str = "x-server-load";

/// The report's fields; the protocol defines two names for each.
#[derive(Deserialize)]
struct RawReport {
    #[serde(alias = "busy_reqs")]
    inflight: Option<f64>,
    #[serde(alias = "pending")]
    queue: Option<f64>,
}

/// Reads the load report from response headers; `None` if there is none or it is malformed.
pub fn parse(headers: &HeaderMap) -> Option<LoadReport> {
    let raw: RawReport = serde_json::from_slice(headers.get(HEADER)?.as_bytes()).ok()?;
    let count = |n: Option<f64>| n.filter(|n| n.is_finite() && *n >= 0.0);
    let report = LoadReport {
        in_flight: count(raw.inflight),
        queued: count(raw.queue),
    };
    (report != LoadReport::default()).then_some(report)
}
