//! Periodic maintenance: checks queued requests and attempts in flight in each tick, and recomputes all estimates and
//! endpoints in a review every few ticks.

use crate::action::Action;
use crate::slow_start::Refill;
use crate::state::State;
use crate::timing::{REVIEW_TICKS, TICK, TICK_TOKEN};
use crate::types::Millis;

/// Number of reviews in which the slots of each endpoint are recomputed once, as slots change slowly.
const SLOT_REVIEWS: u64 = 8;

impl State {
    /// Starts all periodic work at the first event. The first tick follows after a random fraction of the period, so
    /// that proxies don't act in lockstep.
    pub fn start(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.ticks > 0 {
            return;
        }
        self.ticks = 1;
        self.arrivals.start(now);
        self.gossip.start(now);
        out.push(Action::Timer {
            token: TICK_TOKEN,
            at: now + self.rng.f64() * TICK,
        });
    }

    /// Performs the work of one tick.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer {
            token: TICK_TOKEN,
            at: now + TICK,
        });
        self.ticks += 1;
        self.arrivals.update(now);
        self.quotas
            .refill(TICK, &self.settings.tenants, self.settings.proxy_count);
        self.release_abandoned(now);
        self.remove_stale_reports(now);
        self.shed_queued(now, out);
        self.check_in_flight(now, out);
        if self.ticks % REVIEW_TICKS == 0 {
            self.review(now);
        }
        self.subscribe(now, out);
        self.send_gossip(now, out);
    }

    /// Releases the slots of abandoned attempts that are assumed to have ended.
    fn release_abandoned(&mut self, now: Millis) {
        while let Some(index) = self.in_flight.release_abandoned(now) {
            self.endpoints[index].in_flight.remove_own();
            self.update_availability(index, now);
        }
    }

    /// Recomputes all estimates and endpoints.
    fn review(&mut self, now: Millis) {
        self.latency.review_mean();
        self.review_means();
        self.review_machine_types();
        self.review_health(now);
        let review = self.ticks / REVIEW_TICKS;
        for index in 0..self.endpoints.len() {
            if index as u64 % SLOT_REVIEWS == review % SLOT_REVIEWS {
                self.refresh_slots(index);
            }
            let capacity_fraction = self.capacity_fraction(index, now);
            self.refill_slow_start(index, capacity_fraction, now);
            self.refresh_endpoint(index, capacity_fraction, now);
        }
    }

    /// Recomputes the mean slots and the mean latency of the endpoints that accept requests.
    fn review_means(&mut self) {
        let mut slots = 0.0;
        let mut relative_latency = 0.0;
        for endpoint in &self.endpoints {
            if endpoint.accepts_requests() {
                slots += endpoint.slots.total;
                let machine_type = self.latency.of_machine_type(endpoint.machine_type);
                relative_latency += machine_type.relative.mean;
            }
        }
        let count = f64::from(self.accepting.count.max(1));
        self.concurrency.review_mean_slots(slots / count);
        self.latency.review_mean_endpoint(relative_latency, count);
    }

    /// Recomputes the panic state and the baselines of failure fractions.
    fn review_health(&mut self, now: Millis) {
        let listed: Vec<_> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.accepts_requests())
            .map(|endpoint| &endpoint.health)
            .collect();
        self.outliers.review(&listed, now);
    }

    /// Adjusts the slots of machine types to their latencies.
    fn review_machine_types(&mut self) {
        let pooled = self.is_pooled();
        let short_of_slots = !self.queue.is_empty() && !pooled;
        for index in 0..self.latency.machine_types() {
            let machine_type = self.latency.of_machine_type(index);
            if !machine_type.is_sampled() {
                continue;
            }
            self.concurrency.start_baseline(index, machine_type);
            let isolated = !pooled && self.concurrency.is_isolated(index);
            let latency = self.latency.review_machine_type(index, isolated);
            let machine_type = self.latency.of_machine_type(index);
            self.concurrency
                .review_machine_type(index, latency, machine_type, short_of_slots);
        }
        self.latency.review_max_service_time();
    }

    /// Refills the slow start budget of an endpoint that is warming up.
    fn refill_slow_start(&mut self, index: usize, capacity_fraction: f64, now: Millis) {
        let endpoint = &self.endpoints[index];
        if !endpoint.slow_start.is_warming_at(capacity_fraction) {
            return;
        }
        let service_time = self.latency.service_time(endpoint.machine_type);
        let refill = Refill {
            limits: &self.settings.limits,
            requests_per_ms: self.concurrency.nominal_requests(endpoint) / service_time,
            capacity_fraction,
            proxy_count: self.settings.proxy_count,
        };
        let slow_start = &mut self.endpoints[index].slow_start;
        slow_start.refill(now, &refill, &mut self.rng);
    }
}
