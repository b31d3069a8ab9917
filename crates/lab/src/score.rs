//! Computes the quality of service: the priority weight served in time relative to the weight requested, in total, by
//! class, by tenant and over time. Latencies are measured from the intended time of the first client attempt.

use balancer::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::{Ledger, ResponseKind};
use crate::load::ClientRequest;
use crate::scenario::Scenario;

/// Highest latency recorded, in µs; longer ones count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Served weight and latency of a group of client requests.
#[derive(Clone, Debug, Serialize)]
pub struct GroupScore {
    /// Name of the group.
    pub name: String,
    /// Number of client requests.
    pub asked: u64,
    /// Number of requests served within the deadline.
    pub served: u64,
    /// Number of requests served within the latency objective.
    pub in_time: u64,
    /// Weight served relative to the weight requested.
    pub share: f64,
    /// Latency of served requests in ms: median, 90th, 99th and 99.9th percentile.
    pub latency_ms: [f64; 4],
    #[serde(skip)]
    asked_worth: f64,
    #[serde(skip)]
    earned: f64,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

impl GroupScore {
    fn new(name: &str) -> Self {
        let histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are sound");
        let (asked, served, in_time, share) = (0, 0, 0, 0.0);
        let (latency_ms, asked_worth, earned) = ([0.0; 4], 0.0, 0.0);
        GroupScore {
            name: name.into(),
            asked,
            served,
            in_time,
            share,
            latency_ms,
            asked_worth,
            earned,
            histogram,
        }
    }

    fn record(
        &mut self,
        weight: f64,
        objective: Millis,
        late_fraction: f64,
        latency: Option<Millis>,
    ) {
        self.asked += 1;
        self.asked_worth += weight;
        let Some(latency) = latency else { return };
        self.served += 1;
        self.in_time += u64::from(latency <= objective);
        self.earned += weight
            * if latency <= objective {
                1.0
            } else {
                late_fraction
            };
        self.histogram
            .saturating_record(((latency * 1000.0) as u64).max(1));
    }

    fn finish(mut self) -> Self {
        self.share = if self.asked_worth > 0.0 {
            self.earned / self.asked_worth
        } else {
            1.0
        };
        self.latency_ms =
            [0.5, 0.9, 0.99, 0.999].map(|q| self.histogram.value_at_quantile(q) as f64 / 1000.0);
        self
    }

    /// Returns the latencies of served requests, in µs.
    pub fn histogram(&self) -> &Histogram<u64> {
        &self.histogram
    }
}

/// Counts of a time window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Start of the window.
    pub from_ms: f64,
    /// Client requests whose first attempt is in the window.
    pub asked: u64,
    /// Number of these requests that were served.
    pub served: u64,
    /// Client attempts rejected in the window.
    pub refused: u64,
    /// Client attempts that failed in the window.
    pub failed: u64,
    /// Proxy attempts sent in the window.
    pub attempts: u64,
    /// Weight served relative to the weight requested, for requests of the window.
    pub share: f64,
}

/// Quality of service of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Score {
    /// All client requests.
    pub whole: GroupScore,
    /// By class, in the scenario's order.
    pub classes: Vec<GroupScore>,
    /// By tenant, in the scenario's order.
    pub tenants: Vec<GroupScore>,
    /// By time window.
    pub windows: Vec<Window>,
    /// Client attempts per client request.
    pub tries: f64,
    /// Proxy attempts per client request.
    pub attempts: f64,
    /// Fraction of the client attempts that were rejected.
    pub refused: f64,
}

/// Maximum number of windows of a run, and their minimum length.
const MAX_WINDOWS: f64 = 40.0;
const MIN_WINDOW_MS: Millis = 250.0;

/// Computes the score of a run; `served` holds the time at which each client request was served, if it was.
pub fn score(
    s: &Scenario,
    requests: &[ClientRequest],
    served: &[Option<Millis>],
    ledger: &Ledger,
) -> Score {
    let mut whole = GroupScore::new("all");
    let mut classes: Vec<GroupScore> = s.classes.iter().map(|c| GroupScore::new(&c.name)).collect();
    let mut tenants: Vec<GroupScore> = s.tenants.iter().map(|t| GroupScore::new(&t.name)).collect();
    let window_length = (s.length.0 / MAX_WINDOWS).max(MIN_WINDOW_MS);
    let window_count = (s.length.0 / window_length).ceil() as usize;
    let mut windows: Vec<(Window, f64, f64)> = (0..window_count)
        .map(|w| {
            (
                Window {
                    from_ms: w as f64 * window_length,
                    ..Window::default()
                },
                0.0,
                0.0,
            )
        })
        .collect();
    let window = |at: Millis| ((at / window_length) as usize).min(window_count - 1);
    for (request, at) in requests.iter().zip(served) {
        let c = &s.classes[request.class];
        let latency = at.map(|at| at - request.at).filter(|l| *l <= c.deadline.0);
        let groups = [
            Some(&mut whole),
            classes.get_mut(request.class),
            request.tenant.and_then(|t| tenants.get_mut(t)),
        ];
        for group in groups.into_iter().flatten() {
            group.record(c.worth, c.aim.0, c.late_worth.0, latency);
        }
        let (w, asked, earned) = &mut windows[window(request.at)];
        w.asked += 1;
        w.served += u64::from(latency.is_some());
        *asked += c.worth;
        *earned += latency.map_or(0.0, |l| {
            c.worth * if l <= c.aim.0 { 1.0 } else { c.late_worth.0 }
        });
    }
    let (mut refused, mut attempts) = (0u64, 0u64);
    for t in &ledger.client_attempts {
        for a in &t.attempts {
            attempts += 1;
            windows[window(a.sent)].0.attempts += 1;
        }
        match t.responses.first() {
            Some((at, ResponseKind::Refused { .. })) => {
                refused += 1;
                windows[window(*at)].0.refused += 1;
            }
            Some((at, ResponseKind::Failed | ResponseKind::Broken)) => {
                windows[window(*at)].0.failed += 1
            }
            Some((_, ResponseKind::Served { .. })) | None => {}
        }
    }
    let each = |n: f64, of: usize| if of == 0 { 0.0 } else { n / of as f64 };
    Score {
        whole: whole.finish(),
        classes: classes.into_iter().map(GroupScore::finish).collect(),
        tenants: tenants.into_iter().map(GroupScore::finish).collect(),
        windows: windows
            .into_iter()
            .map(|(w, asked, earned)| Window {
                share: if asked > 0.0 { earned / asked } else { 1.0 },
                ..w
            })
            .collect(),
        tries: each(ledger.client_attempts.len() as f64, requests.len()),
        attempts: each(attempts as f64, requests.len()),
        refused: each(refused as f64, ledger.client_attempts.len()),
    }
}
