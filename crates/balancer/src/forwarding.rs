//! Forwarding: takes requests from the queue in order of priority and starts their attempts.

use crate::action::Action;
use crate::latency_estimator::SILENCE_MULTIPLE;
use crate::queue::priority;
use crate::request::{Attempt, AttemptState, Request, ResponseProgress};
use crate::retry::deduplication;
use crate::state::State;
use crate::timing::{DEADLINE_MARGIN, TICK};
use crate::types::{Idempotency, LoadReport, Millis, Reception, RequestId};

/// Number of queued requests for which no endpoint could be selected after which forwarding stops for the current
/// event.
const MAX_FAILED_SELECTIONS: usize = 6;
/// Time that must be left for a retry if an attempt times out early, as a multiple of the expected latency.
const RETRY_LATENCY_FACTOR: f64 = 2.0;
/// Index in a lane that is past its last request, so that the remaining requests of the lane are skipped.
const SKIP_LANE: usize = usize::MAX;

/// Queued request with the highest priority.
struct NextRequest {
    id: RequestId,
    lane: usize,
    priority: f64,
}

impl State {
    /// Forwards queued requests in order of priority, as long as endpoints can be selected for them.
    pub fn forward_queued(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut positions = vec![0usize; self.queue.lanes()];
        let mut failed_selections = 0;
        while !self.queue.is_empty() && failed_selections < MAX_FAILED_SELECTIONS {
            let window_full = self.is_window_full();
            if window_full && self.open_while_warming == 0 {
                return;
            }
            let Some(next) = self.next_queued(&mut positions, now) else {
                return;
            };
            let position = &mut positions[next.lane];
            if let Some(endpoint) = self.select_endpoint(next.id, now, window_full) {
                self.queue.remove_entry(next.lane, *position);
                self.forward(next.id, endpoint, now, out);
                continue;
            }
            failed_selections += 1;
            // Requests of a lane have different eligible endpoints only if they have a home or an earlier attempt.
            let request = &self.requests[&next.id];
            let has_own_candidates = request.home.is_some() || !request.attempts.is_empty();
            *position = if has_own_candidates {
                *position + 1
            } else {
                SKIP_LANE
            };
        }
    }

    /// Returns the request with the highest priority among those at the given indices of the lanes. Advances the indices
    /// past requests whose bodies are paused.
    fn next_queued(&mut self, positions: &mut [usize], now: Millis) -> Option<NextRequest> {
        let mut best: Option<NextRequest> = None;
        for (lane, position) in positions.iter_mut().enumerate() {
            let Some(id) = self.next_unpaused(lane, position) else {
                continue;
            };
            let priority = self.priority_of(&self.requests[&id], now);
            if best.as_ref().is_none_or(|best| priority > best.priority) {
                best = Some(NextRequest { id, lane, priority });
            }
        }
        best
    }

    fn next_unpaused(&mut self, lane: usize, position: &mut usize) -> Option<RequestId> {
        loop {
            let id = self.queue.request_at(lane, *position, &self.requests)?;
            if self.requests[&id].body.reception != Reception::Paused {
                return Some(id);
            }
            *position += 1;
        }
    }

    fn priority_of(&self, request: &Request, now: Millis) -> f64 {
        let class_latency = self.latency.of_class(request.class);
        priority(request, class_latency, now, &self.settings)
    }

    /// Forwards queued requests to their home endpoint while it has free slots, in order of priority.
    pub fn forward_affinity_queue(&mut self, endpoint: usize, now: Millis, out: &mut Vec<Action>) {
        loop {
            let record = &self.endpoints[endpoint];
            let free = record.affinity_queue.queued > 0 && record.has_free_slot;
            if !free || self.is_window_full() {
                return;
            }
            let Some(id) = self.next_in_affinity_queue(endpoint, now) else {
                return;
            };
            self.forward(id, endpoint, now, out);
        }
    }

    fn next_in_affinity_queue(&mut self, endpoint: usize, now: Millis) -> Option<RequestId> {
        let requests = &self.requests;
        let is_queued = |id: &RequestId| {
            requests
                .get(id)
                .is_some_and(|request| request.status.queued)
        };
        let queue = &mut self.endpoints[endpoint].affinity_queue.requests;
        queue.retain(is_queued);
        let may_receive = |request: &Request| {
            request.body.reception != Reception::Paused
                && !request.may_have_run()
                && self.may_receive(endpoint, request, now)
        };
        let priority = |id: &RequestId| self.priority_of(&self.requests[id], now);
        self.endpoints[endpoint]
            .affinity_queue
            .requests
            .iter()
            .filter(|id| may_receive(&self.requests[id]))
            .max_by(|a, b| priority(a).total_cmp(&priority(b)))
            .copied()
    }

    /// Starts an attempt.
    fn forward(&mut self, id: RequestId, index: usize, now: Millis, out: &mut Vec<Action>) {
        self.dequeue(id);
        let start_by = deduplication(&self.requests[&id]).map(|bounds| bounds.until);
        self.add_attempt(id, index, now);
        if self.endpoints[index].slow_start.is_warming() {
            let cost = self.slow_start_cost(index, &self.requests[&id]);
            let slow_start = &mut self.endpoints[index].slow_start;
            slow_start.spend(cost, &mut self.rng);
        }
        let timeout = self.attempt_timeout(id, index, now);
        out.push(Action::Forward {
            request: id,
            endpoint: self.endpoints[index].entry.id,
            timeout,
            start_by,
        });
        self.update_availability(index, now);
    }

    fn add_attempt(&mut self, id: RequestId, index: usize, now: Millis) {
        let endpoint = &mut self.endpoints[index];
        // Only recent reports of other proxies show whether the endpoint is idle.
        let idleness_known =
            self.settings.gossip_enabled && self.gossip.can_detect_idleness(self.latency.mean());
        let to_warming_endpoint = endpoint.slow_start.is_warming();
        let attempt = Attempt {
            endpoint: index,
            sent_at: now,
            state: AttemptState::InFlight,
            to_warming_endpoint,
            found_idle: idleness_known && endpoint.in_flight.total() == 0,
            load: LoadReport::default(),
            may_have_run: true,
            response: ResponseProgress::Pending,
        };
        if endpoint.in_flight.own == 0 {
            endpoint.health.end_idleness(now);
        }
        endpoint.in_flight.add_own();
        let request = self.requests.get_mut(&id);
        request
            .expect("only known requests are forwarded")
            .attempts
            .push(attempt);
        self.in_flight.add(id, to_warming_endpoint);
    }

    /// Returns the time after which an attempt is abandoned in favor of a retry. `None` unless responses get lost, a
    /// retry is allowed, and the retry can still meet the latency objective.
    fn attempt_timeout(&mut self, id: RequestId, index: usize, now: Millis) -> Option<Millis> {
        let request = &self.requests[&id];
        let expected = self.expected_latency(request);
        let relative_latency = self.endpoints[index].relative_latency.mean;
        let silence = SILENCE_MULTIPLE * expected * relative_latency
            / self.capacity_fraction(index, now)
            + TICK;
        let repeatable = request.idempotency == Idempotency::Idempotent && request.body.complete;
        let retry_left = request.attempts.len() < request.max_attempts;
        let end = request.objective_at.min(request.deadline - DEADLINE_MARGIN);
        let in_time = now + silence + RETRY_LATENCY_FACTOR * expected < end;
        let use_early_timeout = self.lost_responses.use_early_timeout(&mut self.rng);
        (repeatable && retry_left && in_time && use_early_timeout).then_some(silence)
    }
}
