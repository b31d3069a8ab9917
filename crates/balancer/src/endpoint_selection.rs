//! Endpoint selection: the endpoint that a request goes to now, or none if it should wait.
//!
//! The fastest open endpoint that accepts the request is the candidate, with random ties. The threshold decides
//! whether the request goes there or waits for a faster slot (the paper's D policy). A request with an affinity key
//! prefers its home, which all proxies agree on by rendezvous hashing.

use crate::endpoint::EndpointRecord;
use crate::hash::unit_hash;
use crate::outlier_detection::MAX_BACKOFF;
use crate::request::Request;
use crate::retry::{Deduplication, deduplication};
use crate::slow_start;
use crate::speed_bands::Band;
use crate::state::State;
use crate::threshold::threshold;
use crate::timing::TICK;
use crate::types::{Idempotency, Key, Millis, RequestId};

/// Endpoints of a band that are tried for one request.
const MAX_CANDIDATES_PER_BAND: usize = 8;
/// Multiple of its expected latency before the latency objective from which a request is urgent.
const URGENT_LATENCY_FACTOR: f64 = 1.5;
/// Ticks that are added to that: the next check may come this much later.
const URGENT_TICKS: f64 = 2.0;
/// Least hash in the logarithm of an affinity score.
const MIN_HASH: f64 = 1e-12;
/// Bias of the exponent of a 64-bit float.
const EXPONENT_BIAS: f64 = 1023.0;
/// Range of the mantissa of a 64-bit float.
const MANTISSA_RANGE: f64 = (1u64 << 52) as f64;
/// Faster slots below which there is nothing to wait for.
const NO_SLOTS: f64 = 0.01;

/// Request that needs an endpoint, and the conditions that hold for it.
struct Selection<'a> {
    request: &'a Request,
    now: Millis,
    /// The window is full: only endpoints that a slow start budget limits come into question.
    warming_only: bool,
    /// It may go to an endpoint on probation: it is idempotent, or no idempotent request has arrived for long.
    may_probe: bool,
    /// It goes to any open endpoint, as its latency objective is near.
    urgent: bool,
    /// Home of its key, unless it has been sent there.
    home: Option<usize>,
}

/// Slots that are faster than a candidate's.
#[derive(Default)]
struct FasterSlots {
    slots: f64,
    /// Sum of their speeds.
    speed: f64,
}

impl FasterSlots {
    fn add(&mut self, band: &Band) {
        self.slots += band.slots;
        self.speed += band.slots * band.speed;
    }

    fn scaled(&self, fraction: f64) -> Self {
        FasterSlots {
            slots: self.slots * fraction,
            speed: self.speed * fraction,
        }
    }
}

impl State {
    /// Returns the home of a key: the endpoint that its requests prefer, the same at all proxies. Unlike in `availability`, peers'
    /// ejections don't count here, nor in a panic those for overload.
    pub fn home_of(&self, key: Key, now: Millis) -> Option<usize> {
        let believed = !self.outliers.is_panicking();
        let is_up = |endpoint: &EndpointRecord| {
            let ejected = endpoint.health.overall().is_ejected(now);
            endpoint.accepts_requests() && !(ejected && believed)
        };
        (0..self.endpoints.len())
            .filter(|&index| is_up(&self.endpoints[index]))
            .min_by(|&a, &b| self.compare_affinity(a, b, key.0))
    }

    fn compare_affinity(&self, a: usize, b: usize, key: u64) -> std::cmp::Ordering {
        let score_a = self.affinity_score(a, key);
        score_a.total_cmp(&self.affinity_score(b, key))
    }

    /// Returns the score of an endpoint for a key by weighted rendezvous hashing; the lowest wins. The bits of a float,
    /// exponent and mantissa, stand in for its logarithm.
    fn affinity_score(&self, index: usize, key: u64) -> f64 {
        let endpoint = &self.endpoints[index];
        let hash = unit_hash(endpoint.entry.id.0, key) + MIN_HASH;
        let biased_log2 = hash.to_bits() as f64 / MANTISSA_RANGE;
        (EXPONENT_BIAS - biased_log2) * endpoint.affinity_factor
    }

    /// Selects the endpoint that a request goes to now. With `warming_only` the window is full, and only endpoints
    /// that a slow start budget limits come into question.
    pub fn select_endpoint(
        &mut self,
        id: RequestId,
        now: Millis,
        warming_only: bool,
    ) -> Option<usize> {
        let request = self.requests.get(&id)?;
        let selection = self.selection(request, now, warming_only);
        if let Some(bounds) = deduplication(request) {
            return self.select_for_repeat(&selection, &bounds);
        }
        let mut faster = FasterSlots::default();
        for band in self.bands.iter() {
            let open = band.open.len();
            let start = if open > 1 { self.rng.usize(0..open) } else { 0 };
            if let Some(candidate) = self.candidate(&selection, band, start) {
                return self.choose(&selection, candidate, band.speed, &faster);
            }
            faster.add(band);
        }
        selection.home.filter(|&home| {
            let endpoint = &self.endpoints[home];
            endpoint.has_free_slot && (!warming_only || endpoint.slow_start.is_warming())
        })
    }

    fn selection<'a>(
        &self,
        request: &'a Request,
        now: Millis,
        warming_only: bool,
    ) -> Selection<'a> {
        let idempotent = request.idempotency == Idempotency::Idempotent;
        let idempotent_missing = now - self.last_idempotent_at > MAX_BACKOFF;
        let lead = URGENT_LATENCY_FACTOR * self.expected_latency(request) + URGENT_TICKS * TICK;
        Selection {
            request,
            now,
            warming_only,
            may_probe: idempotent || idempotent_missing,
            urgent: request.objective_at - now < lead,
            home: request.home.filter(|&home| !request.was_sent_to(home)),
        }
    }

    /// Selects the fastest open endpoint that drops repeats of a request, as long as they are dropped.
    fn select_for_repeat(&self, selection: &Selection, bounds: &Deduplication) -> Option<usize> {
        if selection.now >= bounds.until {
            return None;
        }
        let first = &self.endpoints[bounds.endpoint];
        let accepts = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            let limited = !selection.warming_only || endpoint.slow_start.is_warming();
            endpoint.drops_repeats_of(first, bounds.scope)
                && self.bands.is_open(*index)
                && limited
                && self.may_receive(*index, selection.request, selection.now)
        };
        (0..self.endpoints.len())
            .filter(accepts)
            .min_by(|&a, &b| self.endpoints[a].cost.total_cmp(&self.endpoints[b].cost))
    }

    /// Returns the candidate of a band. Ties are broken at random; with a key by its hash, so that requests which
    /// miss their home meet again.
    fn candidate(&self, selection: &Selection, band: &Band, start: usize) -> Option<usize> {
        let accepts = |index: &usize| self.accepts(*index, selection);
        if selection.home.is_some() {
            let key = selection.request.key;
            let open = band.open.iter().map(|&index| index as usize);
            return open
                .filter(accepts)
                .min_by(|&a, &b| self.compare_affinity(a, b, key));
        }
        let count = band.open.len();
        (0..count.min(MAX_CANDIDATES_PER_BAND))
            .map(|offset| band.open[(start + offset) % count] as usize)
            .find(accepts)
    }

    /// Returns true if an open endpoint accepts a request.
    fn accepts(&self, index: usize, selection: &Selection) -> bool {
        let endpoint = &self.endpoints[index];
        if selection.warming_only && !endpoint.slow_start.is_warming() {
            return false;
        }
        let has_slot = selection.urgent || endpoint.has_free_slot || selection.home.is_some();
        has_slot
            && (selection.may_probe || self.accepts_non_probes(endpoint))
            && self.may_receive(index, selection.request, selection.now)
    }

    /// Returns true if an endpoint accepts requests that may not serve as probes: it is not on probation, ejections are
    /// not believed (panic), or idempotent classes are what it fails, so that they can't probe it.
    fn accepts_non_probes(&self, endpoint: &EndpointRecord) -> bool {
        let classes = self.settings.classes.iter();
        let idempotent_on_probation = || {
            classes
                .zip(endpoint.health.by_class())
                .any(|(class, health)| {
                    class.idempotency == Idempotency::Idempotent && health.is_on_probation()
                })
        };
        !endpoint.health.overall().is_on_probation()
            || self.outliers.is_panicking()
            || idempotent_on_probation()
    }

    /// Returns true if an endpoint may get an attempt of a request: it had none of it, is not ejected for its class,
    /// and neither the bound on one request's load nor the slow start budget forbids it.
    pub fn may_receive(&self, index: usize, request: &Request, now: Millis) -> bool {
        let endpoint = &self.endpoints[index];
        let slow_start = &endpoint.slow_start;
        let exceeds_load = || {
            slow_start.exceeds_request_load(self.expected_latency(request), &self.settings.limits)
        };
        let too_costly = || {
            slow_start.is_warming()
                && slow_start.is_too_costly(self.slow_start_cost(index, request))
        };
        !request.was_sent_to(index)
            && !self
                .outliers
                .is_ejected_for(&endpoint.health, request.class, now)
            && !exceeds_load()
            && !too_costly()
    }

    /// Returns what a request takes of a slow start budget, in requests of mean work.
    pub fn slow_start_cost(&self, index: usize, request: &Request) -> f64 {
        let machine_type = self.endpoints[index].machine_type;
        let expected_latency = self.expected_latency(request);
        slow_start::request_cost(self.latency.work_units(expected_latency, machine_type))
    }

    /// Decides between the candidate, the request's home and waiting.
    fn choose(
        &self,
        selection: &Selection,
        candidate: usize,
        candidate_speed: f64,
        faster: &FasterSlots,
    ) -> Option<usize> {
        let home = selection.home.filter(|_| !selection.warming_only);
        match home {
            Some(home) => self.choose_with_home(selection, candidate, candidate_speed, home),
            None => {
                let forward = self.beats_waiting(selection, candidate_speed, faster);
                forward.then_some(candidate)
            }
        }
    }

    /// Returns true if a candidate beats waiting for one of the faster slots.
    fn beats_waiting(
        &self,
        selection: &Selection,
        candidate_speed: f64,
        faster: &FasterSlots,
    ) -> bool {
        // Of all pooled slots this proxy's window is what comes free for it.
        let window_fraction = if selection.warming_only {
            (self.concurrency.window_requests() / faster.slots).min(1.0)
        } else {
            1.0
        };
        let class = selection.request.class;
        let open_fraction = 1.0 - self.outliers.ejected_fraction(class);
        let faster = faster.scaled(window_fraction).scaled(open_fraction);
        if faster.slots < NO_SLOTS || selection.urgent {
            return true;
        }
        let utilization = self.arrivals.per_ms() * self.latency.mean() / faster.speed;
        let speed_ratio = faster.speed / faster.slots / candidate_speed;
        self.queue.len() > threshold(faster.slots, utilization, speed_ratio) as usize
    }

    /// Decides between the candidate, the home and waiting for the home, whose slots are the faster ones.
    fn choose_with_home(
        &self,
        selection: &Selection,
        candidate: usize,
        candidate_speed: f64,
        home: usize,
    ) -> Option<usize> {
        let endpoint = &self.endpoints[home];
        let gain = self.latency.affinity_gain();
        let home_speed = gain / endpoint.cost;
        // A home slower than elsewhere by more than its gain is crowded by its keys or unhealthy. Leaving it makes work,
        // so requests that lack slots stay.
        let crowded = self.queue.len() <= 1 && home_speed * gain < candidate_speed;
        if crowded {
            return Some(candidate);
        }
        if endpoint.has_free_slot {
            return Some(home);
        }
        let proxies = f64::from(self.settings.proxy_count);
        let home_rate =
            self.arrivals.per_ms() * proxies * endpoint.entry.weight / self.accepting.weight;
        let utilization = home_rate * self.latency.mean() / (endpoint.slots.total * home_speed);
        let tau = threshold(
            endpoint.slots.total,
            utilization,
            home_speed / candidate_speed,
        );
        let queued = f64::from(endpoint.affinity_queue.queued) * proxies;
        let forward = selection.urgent || queued > f64::from(tau);
        forward.then_some(candidate)
    }
}
