//! The load report that an answer may carry: a server's word on what it had in hand some time ago.

use balancer::LoadReport;
use hyper::HeaderMap;
use serde::Deserialize;

/// Its header.
const NAME: &str = "x-server-load";

/// Either of the two names that the protocol's pages have for each.
#[derive(Deserialize)]
struct Told {
    #[serde(alias = "busy_reqs")]
    inflight: Option<f64>,
    #[serde(alias = "pending")]
    queue: Option<f64>,
}

/// What an answer's head tells; none where there is no report, or one that can't be read.
pub fn told(headers: &HeaderMap) -> Option<LoadReport> {
    let told: Told = serde_json::from_slice(headers.get(NAME)?.as_bytes()).ok()?;
    let count = |n: Option<f64>| n.filter(|n| n.is_finite() && *n >= 0.0);
    let load = LoadReport {
        in_flight: count(told.inflight),
        queued: count(told.queue),
    };
    (load != LoadReport::default()).then_some(load)
}
