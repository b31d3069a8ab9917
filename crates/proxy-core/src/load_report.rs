//! The load report that an answer may carry: a server's word on what it had in hand some time ago.

use balancer::LoadReport;
use hyper::HeaderMap;
use serde::Deserialize;

/// Its header.
const HEADER: &str = "x-server-load";

/// Either of the two names that the protocol's pages have for each.
#[derive(Deserialize)]
struct RawReport {
    #[serde(alias = "busy_reqs")]
    inflight: Option<f64>,
    #[serde(alias = "pending")]
    queue: Option<f64>,
}

/// What an answer's head tells; none where there is no report, or one that can't be read.
pub fn parse(headers: &HeaderMap) -> Option<LoadReport> {
    let raw: RawReport = serde_json::from_slice(headers.get(HEADER)?.as_bytes()).ok()?;
    let count = |n: Option<f64>| n.filter(|n| n.is_finite() && *n >= 0.0);
    let report = LoadReport {
        in_flight: count(raw.inflight),
        queued: count(raw.queue),
    };
    (report != LoadReport::default()).then_some(report)
}
