//! Endpoint selection: chooses the endpoint that a request is forwarded to now, or none if the request should wait.
//!
//! The candidate is the fastest open endpoint that accepts the request; ties are broken at random. The threshold
//! decides whether the request is forwarded to the candidate or waits for a faster slot (the D policy of the paper that
//! `threshold` refers to). A request with an affinity key prefers the key's home, on which all proxies agree by
//! rendezvous hashing.

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

/// Maximum number of endpoints of a band that are checked for one request.
const MAX_CANDIDATES_PER_BAND: usize = 8;
/// Multiple of its expected latency: a request is urgent if less time than this is left until its latency objective.
const URGENT_LATENCY_FACTOR: f64 = 1.5;
/// Number of ticks added to the time in which a request is urgent, as the next check may follow this much later.
const URGENT_TICKS: f64 = 2.0;
/// Offset of the hash whose logarithm is an affinity score; avoids the logarithm of zero.
const HASH_OFFSET: f64 = 1e-12;
/// Bias of the exponent of a 64-bit float.
const EXPONENT_BIAS: f64 = 1023.0;
/// Range of the mantissa of a 64-bit float.
const MANTISSA_RANGE: f64 = (1u64 << 52) as f64;
/// Number of faster slots below which waiting is pointless.
const MIN_FASTER_SLOTS: f64 = 0.01;

/// Request that needs an endpoint, with the conditions of its selection.
struct Selection<'a> {
    request: &'a Request,
    now: Millis,
    /// True if the window is full: only endpoints limited by a slow start budget are eligible.
    warming_only: bool,
    /// True if the request may go to an endpoint on probation: it is idempotent, or no idempotent request has arrived
    /// recently.
    may_probe: bool,
    /// True if the latency objective is near: the request goes to any open endpoint.
    urgent: bool,
    /// Home of the request's key, unless an attempt was sent there already.
    home: Option<usize>,
}

/// Slots that are faster than those of a candidate.
#[derive(Default)]
struct FasterSlots {
    slots: f64,
    /// Sum of the speeds of the slots.
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
    /// Returns the home of a key: the endpoint that its requests prefer, identical at all proxies. In contrast to
    /// `availability`, ejections by peers don't count here, and ejections for overload don't count during a panic.
    pub fn home_of(&self, key: Key, now: Millis) -> Option<usize> {
        let ejections_apply = !self.outliers.is_panicking();
        let is_up = |endpoint: &EndpointRecord| {
            let ejected = endpoint.health.overall().is_ejected(now);
            endpoint.accepts_requests() && !(ejected && ejections_apply)
        };
        (0..self.endpoints.len())
            .filter(|&index| is_up(&self.endpoints[index]))
            .min_by(|&a, &b| self.compare_affinity(a, b, key.0))
    }

    fn compare_affinity(&self, a: usize, b: usize, key: u64) -> std::cmp::Ordering {
        let score_a = self.affinity_score(a, key);
        score_a.total_cmp(&self.affinity_score(b, key))
    }

    /// Returns the score of an endpoint for a key by weighted rendezvous hashing; the lowest score wins. The exponent
    /// and mantissa bits of a float approximate its logarithm.
    fn affinity_score(&self, index: usize, key: u64) -> f64 {
        let endpoint = &self.endpoints[index];
        let hash = unit_hash(endpoint.entry.id.0, key) + HASH_OFFSET;
        let biased_log2 = hash.to_bits() as f64 / MANTISSA_RANGE;
        (EXPONENT_BIAS - biased_log2) * endpoint.affinity_factor
    }

    /// Selects the endpoint that a request is forwarded to now. `warming_only` means that the window is full, and only
    /// endpoints limited by a slow start budget are eligible.
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
            urgent: request.earliest_objective_at(now) - now < lead,
            home: request.home.filter(|&home| !request.was_sent_to(home)),
        }
    }

    /// Selects the fastest open endpoint that drops repeats of a request, within the deduplication window.
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

    /// Returns the candidate of a band. Ties are broken at random, or by the affinity score for a request with a home,
    /// so that requests with the same key which can't use their home go to the same endpoint.
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
    /// ignored (panic), or it is on probation for an idempotent class, whose requests thus can't probe it.
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

    /// Returns true if an endpoint may receive an attempt of a request: it has received no earlier attempt of the
    /// request, it is not ejected for the request's class, and neither the maximum load of one request nor the slow
    /// start budget is exceeded.
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

    /// Returns the cost of a request for a slow start budget, in requests of mean work.
    pub fn slow_start_cost(&self, index: usize, request: &Request) -> f64 {
        let machine_type = self.endpoints[index].machine_type;
        let expected_latency = self.expected_latency(request);
        slow_start::request_cost(self.latency.work_units(expected_latency, machine_type))
    }

    /// Chooses between the candidate, the request's home and waiting.
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

    /// Returns true if forwarding to the candidate is better than waiting for a faster slot.
    fn beats_waiting(
        &self,
        selection: &Selection,
        candidate_speed: f64,
        faster: &FasterSlots,
    ) -> bool {
        // While slots are pooled, only this proxy's window of them becomes free for its requests.
        let window_fraction = if selection.warming_only {
            (self.concurrency.window_requests() / faster.slots).min(1.0)
        } else {
            1.0
        };
        let class = selection.request.class;
        let open_fraction = 1.0 - self.outliers.ejected_fraction(class);
        let faster = faster.scaled(window_fraction).scaled(open_fraction);
        if faster.slots < MIN_FASTER_SLOTS || selection.urgent {
            return true;
        }
        let utilization = self.arrivals.per_ms() * self.latency.mean() / faster.speed;
        let speed_ratio = faster.speed / faster.slots / candidate_speed;
        self.queue.len() > threshold(faster.slots, utilization, speed_ratio) as usize
    }

    /// Chooses between the candidate, the home and waiting for the home, whose slots count as the faster ones.
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
        // A home that is slower than the candidate by more than the affinity gain is congested by its keys or
        // unhealthy. Leaving the home causes extra work, so requests keep to it while slots are scarce.
        let home_too_slow = self.queue.len() <= 1 && home_speed * gain < candidate_speed;
        if home_too_slow {
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
