//! How good the service was: the worth answered in time over the worth asked for, as a whole, by class, by tenant and
//! over time, with latencies counted from when the first try should have been sent.

use balancer::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::{Ledger, ResponseKind};
use crate::load::ClientRequest;
use crate::scenario::Scenario;

/// Highest latency that is told apart, in µs; longer ones count as this.
const LONGEST: u64 = 600_000_000;

/// Worth and latency of one part of the requests.
#[derive(Clone, Debug, Serialize)]
pub struct GroupScore {
    /// What it is.
    pub name: String,
    /// Asks.
    pub asked: u64,
    /// Of them, served at all.
    pub served: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Worth earned over worth asked for.
    pub share: f64,
    /// Latency of those served, in ms: median, 90th, 99th and 99.9th percentile.
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
        let histogram = Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are sound");
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

    fn count(&mut self, worth: f64, aim: Millis, late: f64, latency: Option<Millis>) {
        self.asked += 1;
        self.asked_worth += worth;
        let Some(latency) = latency else { return };
        self.served += 1;
        self.in_time += u64::from(latency <= aim);
        self.earned += worth * if latency <= aim { 1.0 } else { late };
        self.histogram
            .saturating_record(((latency * 1000.0) as u64).max(1));
    }

    fn close(mut self) -> Self {
        self.share = if self.asked_worth > 0.0 {
            self.earned / self.asked_worth
        } else {
            1.0
        };
        self.latency_ms =
            [0.5, 0.9, 0.99, 0.999].map(|q| self.histogram.value_at_quantile(q) as f64 / 1000.0);
        self
    }

    /// The latencies of those served, in µs.
    pub fn histogram(&self) -> &Histogram<u64> {
        &self.histogram
    }
}

/// A window of time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Its begin.
    pub from_ms: f64,
    /// First tries in it.
    pub asked: u64,
    /// Of them, served.
    pub served: u64,
    /// Tries that were refused in it.
    pub refused: u64,
    /// Tries that failed in it.
    pub failed: u64,
    /// Attempts sent in it.
    pub attempts: u64,
    /// Worth earned over worth asked for in it.
    pub share: f64,
}

/// How good the service was.
#[derive(Clone, Debug, Serialize)]
pub struct Score {
    /// All requests.
    pub whole: GroupScore,
    /// By class, in the scenario's order.
    pub classes: Vec<GroupScore>,
    /// By tenant, in the scenario's order.
    pub tenants: Vec<GroupScore>,
    /// Over time.
    pub windows: Vec<Window>,
    /// Tries for each ask.
    pub tries: f64,
    /// Attempts for each ask.
    pub attempts: f64,
    /// The part of the tries that was refused.
    pub refused: f64,
}

/// Windows that a run is parted into at most, and their least length.
const WINDOWS: f64 = 40.0;
const WINDOW_LEAST: Millis = 250.0;

/// Counts a run; `served` tells when each ask was served, if it was.
pub fn score(
    s: &Scenario,
    requests: &[ClientRequest],
    served: &[Option<Millis>],
    ledger: &Ledger,
) -> Score {
    let mut whole = GroupScore::new("all");
    let mut classes: Vec<GroupScore> = s.classes.iter().map(|c| GroupScore::new(&c.name)).collect();
    let mut tenants: Vec<GroupScore> = s.tenants.iter().map(|t| GroupScore::new(&t.name)).collect();
    let span = (s.length.0 / WINDOWS).max(WINDOW_LEAST);
    let many = (s.length.0 / span).ceil() as usize;
    let mut windows: Vec<(Window, f64, f64)> = (0..many)
        .map(|w| {
            (
                Window {
                    from_ms: w as f64 * span,
                    ..Window::default()
                },
                0.0,
                0.0,
            )
        })
        .collect();
    let window = |at: Millis| ((at / span) as usize).min(many - 1);
    for (ask, at) in requests.iter().zip(served) {
        let c = &s.classes[ask.class];
        let latency = at.map(|at| at - ask.at).filter(|l| *l <= c.deadline.0);
        let parts = [
            Some(&mut whole),
            classes.get_mut(ask.class),
            ask.tenant.and_then(|t| tenants.get_mut(t)),
        ];
        for part in parts.into_iter().flatten() {
            part.count(c.worth, c.aim.0, c.late_worth.0, latency);
        }
        let (w, asked, earned) = &mut windows[window(ask.at)];
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
        match t.answers.first() {
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
        whole: whole.close(),
        classes: classes.into_iter().map(GroupScore::close).collect(),
        tenants: tenants.into_iter().map(GroupScore::close).collect(),
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
