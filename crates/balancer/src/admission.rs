//! Admission: queues or rejects requests on arrival, and sheds queued requests that can no longer get a response in
//! time.

use crate::action::Action;
use crate::queue::Position;
use crate::request::{Body, Request, Status};
use crate::state::State;
use crate::timing::DEADLINE_MARGIN;
use crate::types::{ClassId, Idempotency, Key, Millis, Reception, RequestId, TenantId};

/// Maximum expected queueing delay of an idempotent request if proxies share slots, as a fraction of the latency
/// objective. Behind a longer queue the request would be rejected anyway, only later.
const MAX_QUEUED_OBJECTIVE_FRACTION: f64 = 0.5;
/// Time before its answer is due at which a queued request is shed, as a fraction of its expected latency.
const SHED_LATENCY_FRACTION: f64 = 0.5;

/// Request that has arrived.
pub(crate) struct Arrival {
    /// Identifies the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request, if any.
    pub tenant: Option<TenantId>,
    /// Affinity key, if any.
    pub key: Option<Key>,
    /// Time for which the client waits for an answer.
    pub timeout: Millis,
    /// Expected work on a standard core, if known.
    pub expected_work: Option<Millis>,
    /// True if the complete body has arrived.
    pub body_complete: bool,
}

/// Work and latency objective of a request.
struct Demand {
    /// Expected work relative to the mean of the class.
    relative_work: f64,
    latency_objective: Millis,
}

impl State {
    /// Handles a new request: queues it, or answers it immediately if no response is possible in time.
    pub fn admit(&mut self, arrival: &Arrival, now: Millis, out: &mut Vec<Action>) {
        self.arrivals.count();
        self.retries.add_arrival();
        self.gossip.add_arrival(self.settings.proxy_count);
        let request = self.new_request(arrival, now);
        let idempotent = request.idempotency == Idempotency::Idempotent;
        if idempotent {
            self.last_idempotent_at = now;
        }
        self.requests.insert(arrival.id, request);
        let too_late = arrival.timeout < DEADLINE_MARGIN;
        if too_late || idempotent && self.is_queue_too_long(arrival.class) {
            self.reject_or_fail(arrival.id, out);
        } else {
            self.enqueue(arrival.id, Position::Back);
        }
    }

    fn new_request(&mut self, arrival: &Arrival, now: Millis) -> Request {
        let within_quota = arrival
            .tenant
            .is_none_or(|tenant| self.quotas.try_take(tenant.0));
        let affinity_key = arrival.key.filter(|_| self.settings.key_affinity);
        let home = affinity_key.and_then(|key| self.home_of(key, now));
        let demand = self.demand(arrival);
        let latency_objective = demand.latency_objective.min(arrival.timeout);
        Request {
            class: arrival.class.0,
            idempotency: self.settings.classes[arrival.class.0].idempotency,
            max_attempts: self.settings.limits.max_attempts as usize,
            relative_work: demand.relative_work,
            over_quota: !within_quota,
            objective_at: now + latency_objective,
            latency_objective,
            timeout: arrival.timeout,
            deadline: now + arrival.timeout,
            key: arrival.key.map_or(0, |key| key.0),
            home,
            body: Body {
                complete: arrival.body_complete,
                replayable: true,
                reception: Reception::Received,
            },
            attempts: Vec::new(),
            status: Status::default(),
        }
    }

    fn demand(&mut self, arrival: &Arrival) -> Demand {
        let class = &self.settings.classes[arrival.class.0];
        let is_valid = |work: &Millis| work.is_finite() && *work > 0.0;
        let Some(work) = arrival.expected_work.filter(is_valid) else {
            return Demand {
                relative_work: 1.0,
                latency_objective: class.latency_objective,
            };
        };
        let extended = class.latency_objective + class.objective_work_multiple * work;
        Demand {
            relative_work: self.latency.relative_work(arrival.class.0, work),
            latency_objective: extended.min(class.deadline),
        }
    }

    /// Returns true if proxies share all slots and the expected queueing delay is too long for a class.
    fn is_queue_too_long(&self, class: ClassId) -> bool {
        let delay = self.queue.len() as f64 * self.latency.mean_endpoint()
            / self.concurrency.window_requests();
        let objective = self.settings.classes[class.0].latency_objective;
        self.is_pooled() && delay > MAX_QUEUED_OBJECTIVE_FRACTION * objective
    }

    /// Answers queued requests that can no longer get a response in time.
    pub fn shed_queued(&mut self, now: Millis, out: &mut Vec<Action>) {
        for lane in 0..self.queue.lanes() {
            let is_expired = |id: &RequestId| {
                let request = self.requests.get(id);
                request
                    .is_some_and(|request| request.status.queued && self.is_too_late(request, now))
            };
            let expired: Vec<RequestId> = self.queue.entries(lane).filter(is_expired).collect();
            for id in expired {
                self.reject_or_fail(id, out);
            }
        }
    }

    fn is_too_late(&self, request: &Request, now: Millis) -> bool {
        let lead = DEADLINE_MARGIN.max(SHED_LATENCY_FRACTION * self.expected_latency(request));
        now + lead > self.answer_by(request)
    }
}
