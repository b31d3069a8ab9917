//! Slow start: limits the requests that all proxies together send to an endpoint whose process has just started.
//!
//! Each proxy has a token bucket per warming endpoint, which refills with the proxy's equal part of the load that the
//! endpoint is guaranteed to process. Endpoint selection checks the bucket; forwarding a request spends tokens.

use crate::health_snapshot::SlowStartBudget;
use crate::settings::Limits;
use crate::types::Millis;

/// Load that all proxies together send to a warming endpoint, as a fraction of the load that overloads it.
const LOAD_FRACTION: f64 = 0.6;
/// Fraction of the overload window over which tokens accumulate, as saved tokens could all be spent at once.
const SAVING_FRACTION: f64 = 0.5;
/// Minimum cost of a request, in requests of mean work.
const MIN_COST: f64 = 0.25;
/// Maximum cost of a request, in requests of mean work.
const MAX_COST: f64 = 8.0;
/// Maximum load of one request, as a fraction of the load of an overload window.
const MAX_REQUEST_FRACTION: f64 = 0.25;
/// Offset of the random number in the draw of a maximum cost; avoids a division by zero.
const DRAW_OFFSET: f64 = 1e-9;

/// Slow start state of an endpoint at this proxy.
pub(crate) struct SlowStart {
    /// True once the endpoint list has reported a start of the process, or a new process. Never cleared, regardless of
    /// the age of the process.
    start_reported: bool,
    capacity_fraction: f64,
    budget: SlowStartBudget,
}

/// Returns the fraction of its capacity that an endpoint is guaranteed to have. Capacity rises at least linearly
/// during the warm-up.
pub(crate) fn capacity_fraction(started_at: Option<Millis>, limits: &Limits, now: Millis) -> f64 {
    let warm_up_fraction = started_at.map_or(1.0, |started_at| {
        ((now - started_at) / limits.warm_up).clamp(0.0, 1.0)
    });
    limits.initial_capacity_fraction + (1.0 - limits.initial_capacity_fraction) * warm_up_fraction
}

/// Draws the maximum cost that one token covers. A request with `c` times the mean work is thus allowed with a
/// probability of 1/c: one of many proxies would take too long to accumulate `c` tokens.
fn draw_max_cost(rng: &mut fastrand::Rng) -> f64 {
    1.0 / (rng.f64() + DRAW_OFFSET)
}

/// Returns the cost of a request in requests of mean work, clamped to the allowed range.
pub(crate) fn request_cost(work_units: f64) -> f64 {
    work_units.clamp(MIN_COST, MAX_COST)
}

impl SlowStart {
    /// Creates the state of an endpoint that started long ago.
    pub fn new(now: Millis) -> Self {
        SlowStart {
            start_reported: false,
            capacity_fraction: 1.0,
            budget: SlowStartBudget {
                tokens: 0.0,
                updated_at: now,
                max_cost: f64::INFINITY,
            },
        }
    }

    /// Begins the slow start of a new process. The random initial budget keeps proxies from all sending their first
    /// request at the same time.
    pub fn start(&mut self, now: Millis, rng: &mut fastrand::Rng) {
        self.start_reported = true;
        self.budget.tokens = rng.f64();
        self.budget.updated_at = now;
        self.budget.max_cost = draw_max_cost(rng);
    }

    /// Returns true if the endpoint list has reported a start of the process, however long ago.
    pub fn is_start_reported(&self) -> bool {
        self.start_reported
    }

    /// Returns true while the budget limits requests, as of the last update of the capacity fraction.
    pub fn is_warming(&self) -> bool {
        self.is_warming_at(self.capacity_fraction)
    }

    /// Returns true if the budget limits requests at the given fraction of the capacity.
    pub fn is_warming_at(&self, capacity_fraction: f64) -> bool {
        self.start_reported && capacity_fraction < 1.0
    }

    /// Returns the fraction of its capacity that the endpoint is guaranteed to have, as of the last update.
    pub fn capacity_fraction(&self) -> f64 {
        self.capacity_fraction
    }

    /// Sets the fraction of its capacity that the endpoint is guaranteed to have.
    pub fn set_capacity_fraction(&mut self, fraction: f64) {
        self.capacity_fraction = fraction;
    }

    /// Returns true if the budget allows a request.
    pub fn allows_request(&self) -> bool {
        self.budget.tokens >= 1.0
    }

    /// Returns true if the budget does not cover a request of this cost.
    pub fn is_too_costly(&self, cost: f64) -> bool {
        cost > self.budget.tokens.max(self.budget.max_cost)
    }

    /// Returns true if a request with this expected latency exceeds the maximum load of one request. Applies to every
    /// endpoint whose start the list has reported; after the warm-up, the limit follows from the load that overloads
    /// the endpoint at full capacity.
    pub fn exceeds_request_load(&self, expected_latency: Millis, limits: &Limits) -> bool {
        let window_load = MAX_REQUEST_FRACTION
            * limits.overload_multiple
            * self.capacity_fraction
            * limits.overload_window;
        self.start_reported && expected_latency > window_load
    }

    /// Subtracts the cost of a request from the budget.
    pub fn spend(&mut self, cost: f64, rng: &mut fastrand::Rng) {
        self.budget.tokens -= if self.budget.tokens < cost {
            cost.min(1.0)
        } else {
            cost
        };
        self.budget.max_cost = draw_max_cost(rng);
    }

    /// Refills the budget, and drops tokens above its limit.
    pub fn refill(&mut self, now: Millis, refill: &Refill, rng: &mut fastrand::Rng) {
        let limits = refill.limits;
        let rate = LOAD_FRACTION
            * limits.overload_multiple
            * refill.capacity_fraction
            * refill.requests_per_ms
            / f64::from(refill.proxy_count);
        let budget = &mut self.budget;
        budget.tokens += rate * (now - budget.updated_at);
        let excess = budget.tokens - 1.0 - rate * SAVING_FRACTION * limits.overload_window;
        if excess > 0.0 {
            // Only whole tokens expire, as if they were spent, so that the remaining fractions still differ between
            // proxies.
            budget.tokens -= excess.ceil();
            budget.max_cost = draw_max_cost(rng);
        }
        budget.updated_at = now;
    }

    /// Scales the budget to a new number of proxies; the budget never grows.
    pub fn divide(&mut self, previous_proxy_count: u32, proxy_count: u32) {
        let ratio = f64::from(previous_proxy_count) / f64::from(proxy_count);
        self.budget.tokens *= ratio.min(1.0);
    }

    /// Returns the budget for a snapshot if it limits requests.
    pub fn snapshot(
        &self,
        started_at: Option<Millis>,
        limits: &Limits,
        now: Millis,
    ) -> Option<SlowStartBudget> {
        let warming = started_at.is_some_and(|started_at| now - started_at < limits.warm_up);
        (warming && self.start_reported).then_some(self.budget)
    }

    /// Restores the budget from a snapshot of `previous_proxy_count` proxies, if the list has reported a start of the
    /// process.
    pub fn restore(
        &mut self,
        budget: SlowStartBudget,
        previous_proxy_count: u32,
        proxy_count: u32,
    ) {
        if self.start_reported {
            self.budget = budget;
            self.divide(previous_proxy_count.max(1), proxy_count.max(1));
        }
    }
}

/// Inputs of a refill.
pub(crate) struct Refill<'a> {
    /// Limits that every proxy observes.
    pub limits: &'a Limits,
    /// Requests of mean work that the endpoint processes per millisecond at full capacity.
    pub requests_per_ms: f64,
    /// Fraction of its capacity that the endpoint is guaranteed to have.
    pub capacity_fraction: f64,
    /// Number of proxies.
    pub proxy_count: u32,
}
