//! Attempts: effects of the progress and the end of an attempt on its request, its slot and the estimates.

use crate::action::Action;
use crate::concurrency_limit::CongestionSignal;
use crate::latency_estimator::LatencySample;
use crate::outlier_detection::HealthSample;
use crate::queue::Position;
use crate::request::{Attempt, AttemptState, ResponseProgress};
use crate::retry::may_repeat;
use crate::state::State;
use crate::timing::DEADLINE_MARGIN;
use crate::types::{LoadReport, Millis, Outcome, Reception, RequestId};

/// Time for which an abandoned attempt is assumed to occupy its slot, as a multiple of the class's mean latency.
const ABANDONED_LATENCY_FACTOR: f64 = 2.0;

/// Identifies an attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct AttemptId {
    /// Identifies the request.
    pub request: RequestId,
    /// Index of the attempt, counted from 0 in the order of sends.
    pub attempt: usize,
}

/// End of an attempt.
pub(crate) struct AttemptEnd {
    /// Time since the attempt was sent.
    pub latency: Millis,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// True if the request is finished.
    pub request_finished: bool,
}

/// State of an attempt at its end.
struct EndedAttempt {
    endpoint: usize,
    class: usize,
    relative_work: f64,
    at_home: bool,
    state: AttemptState,
    to_warming_endpoint: bool,
    found_idle: bool,
    load: LoadReport,
}

impl EndedAttempt {
    fn was_silent(&self) -> bool {
        self.state == AttemptState::Silent
    }
}

impl State {
    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.requests
            .get_mut(&id.request)?
            .attempts
            .get_mut(id.attempt)
    }

    /// Records that a streamed body has been sent completely. The endpoint can process the request from now on.
    pub fn complete_body(&mut self, id: RequestId, timeout: Millis, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.body.complete {
            return;
        }
        let objective = self.settings.classes[request.class].latency_objective;
        request.body.complete = true;
        request.body.reception = Reception::Received;
        request.objective_at = now + objective.min(timeout);
        request.deadline = now + timeout;
        for attempt in &mut request.attempts {
            if attempt.state != AttemptState::Ended {
                attempt.sent_at = now;
            }
        }
    }

    /// Records how a body is received, and when its client gives up.
    pub fn change_reception(
        &mut self,
        id: RequestId,
        reception: Reception,
        timeout: Millis,
        now: Millis,
    ) {
        if let Some(request) = self.requests.get_mut(&id)
            && !request.body.complete
        {
            request.body.reception = reception;
            request.deadline = now + timeout;
            request.objective_at = request.deadline - (request.timeout - request.latency_objective);
        }
    }

    /// Records that a body can't be sent again.
    pub fn discard_body(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.body.replayable = false;
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, id: AttemptId, load: LoadReport) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.load = load;
        }
    }

    /// Records whether a response is arriving that can be passed on.
    pub fn record_arrival(&mut self, id: AttemptId, progressing: bool) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.response = if progressing {
                ResponseProgress::Arriving
            } else {
                ResponseProgress::Pending
            };
        }
    }

    /// Records that the client has received the beginning of a response. If the endpoint has finished processing, the
    /// attempt ends here: its slot is free, and the transfer to the client has no bearing on the endpoint's health.
    pub fn start_response(
        &mut self,
        id: AttemptId,
        processing_done: bool,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        request.status.response_started = true;
        let Some(attempt) = request.attempts.get(id.attempt) else {
            return;
        };
        if processing_done && attempt.state != AttemptState::Ended {
            let end = AttemptEnd {
                latency: now - attempt.sent_at,
                outcome: Outcome::Served,
                request_finished: false,
            };
            self.conclude(id, &end, now, out);
        }
    }

    /// Handles the end of an attempt: the request is finished, queued for a retry, or answered. The outcome affects a
    /// retry only through [`Outcome::may_have_run`]. After the start of a response, only `request_finished` prevents a
    /// retry. A retry must be able to complete before the deadline; if late responses earn nothing, the queued retry
    /// may still be shed according to `answer_by`.
    pub fn end_attempt(
        &mut self,
        id: AttemptId,
        end: &AttemptEnd,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let Some(attempt) = request.attempts.get(id.attempt) else {
            return;
        };
        request.status.finished |= end.request_finished;
        if attempt.state == AttemptState::Ended {
            return self.end_response(id, end, now);
        }
        self.conclude(id, end, now, out);
        let request = &self.requests[&id.request];
        if request.status.finished {
            return self.finish(id.request);
        }
        let in_time = now + self.expected_latency(request) < request.deadline - DEADLINE_MARGIN;
        if in_time && may_repeat(request, now) && self.retries.try_take() {
            self.enqueue(id.request, Position::Front);
        } else {
            self.reject_or_fail(id.request, out);
        }
    }

    /// Handles the end of a response whose attempt has already been concluded.
    fn end_response(&mut self, id: AttemptId, end: &AttemptEnd, now: Millis) {
        let request = &self.requests[&id.request];
        let endpoint = request.attempts[id.attempt].endpoint;
        let class = request.class;
        let complete = matches!(end.outcome, Outcome::Served | Outcome::Cancelled);
        if request.status.response_started && !complete {
            self.update_endpoint_health(endpoint, class, end.outcome, now);
            self.update_availability(endpoint, now);
        }
        if end.request_finished {
            self.finish(id.request);
        }
    }

    /// Concludes an attempt: updates estimates and health by its result, and gives its slot to another request.
    fn conclude(&mut self, id: AttemptId, end: &AttemptEnd, now: Millis, out: &mut Vec<Action>) {
        let Some(ended) = self.record_end(id, end.outcome) else {
            return;
        };
        let endpoint = ended.endpoint;
        self.in_flight
            .remove(id.request, ended.was_silent(), ended.to_warming_endpoint);
        self.release_slot(&ended, end.outcome, now);
        self.outliers.record_attempt(end.outcome == Outcome::Served);
        match end.outcome {
            Outcome::Served => self.learn_from_response(&ended, end.latency, now),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::TimedOut if ended.was_silent() => {} // counted as a failure when the attempt became silent
            outcome => self.update_endpoint_health(endpoint, ended.class, outcome, now),
        }
        if end.outcome == Outcome::Overloaded {
            self.adapt_window(false);
        }
        self.update_availability(endpoint, now);
        self.forward_affinity_queue(endpoint, now, out);
    }

    fn record_end(&mut self, id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id.request)?;
        let attempt = request.attempts.get_mut(id.attempt)?;
        let state = std::mem::replace(&mut attempt.state, AttemptState::Ended);
        attempt.may_have_run = outcome.may_have_run();
        Some(EndedAttempt {
            endpoint: attempt.endpoint,
            class: request.class,
            relative_work: request.relative_work,
            at_home: request.home == Some(attempt.endpoint),
            state,
            to_warming_endpoint: attempt.to_warming_endpoint,
            found_idle: attempt.found_idle,
            load: attempt.load,
        })
    }

    /// Releases the slot of an attempt. The endpoint may still be processing an abandoned attempt, so that its slot
    /// stays occupied until the attempt is assumed to have ended. The slot of a silent attempt was released earlier.
    fn release_slot(&mut self, ended: &EndedAttempt, outcome: Outcome, now: Millis) {
        let timed_out = outcome == Outcome::TimedOut;
        if ended.was_silent() {
            if timed_out || outcome == Outcome::Served {
                self.lost_responses.record(timed_out);
            }
            return;
        }
        if timed_out || outcome == Outcome::Cancelled {
            let duration = ABANDONED_LATENCY_FACTOR * self.latency.of_class(ended.class);
            self.in_flight
                .keep_abandoned(ended.endpoint, now + duration);
        } else {
            self.endpoints[ended.endpoint].in_flight.remove_own();
        }
    }

    fn learn_from_response(&mut self, ended: &EndedAttempt, latency: Millis, now: Millis) {
        if !ended.to_warming_endpoint {
            self.adapt_window_to_response(ended, latency);
        }
        let endpoint = &mut self.endpoints[ended.endpoint];
        let sample = LatencySample {
            class: ended.class,
            machine_type: endpoint.machine_type,
            latency: latency / ended.relative_work,
            capacity_fraction: endpoint.slow_start.capacity_fraction(),
            at_home: ended.at_home,
            found_idle: ended.found_idle,
        };
        self.latency
            .observe(&mut endpoint.relative_latency, &sample);
        self.update_endpoint_health(ended.endpoint, ended.class, Outcome::Served, now);
    }

    /// Adapts the window to a response, except if the response signals congestion and its endpoint is slow compared
    /// with its machine type.
    fn adapt_window_to_response(&mut self, ended: &EndedAttempt, latency: Millis) {
        let endpoint = &self.endpoints[ended.endpoint];
        let machine_type = endpoint.machine_type;
        let signal = CongestionSignal {
            latency,
            uncongested_latency: self.latency.uncongested_latency(
                ended.class,
                ended.relative_work,
                machine_type,
            ),
            latency_objective: self.settings.classes[ended.class].latency_objective,
            load: ended.load,
            cores: endpoint.slots.cores,
        };
        let uncongested = signal.is_uncongested();
        let typical = self
            .latency
            .is_typical(endpoint.relative_latency, machine_type);
        if uncongested || typical {
            self.adapt_window(uncongested);
        }
    }

    fn adapt_window(&mut self, uncongested: bool) {
        let in_flight = self.in_flight.counted_in_window();
        self.concurrency
            .adapt_window(uncongested, in_flight, self.endpoints.len());
    }

    /// Updates an endpoint's health by the result of an attempt.
    pub fn update_endpoint_health(
        &mut self,
        endpoint: usize,
        class: usize,
        outcome: Outcome,
        now: Millis,
    ) {
        let endpoint_traffic = self.endpoint_traffic();
        let sample = HealthSample {
            class,
            outcome,
            now,
            jitter: self.rng.f64(),
        };
        let health = &mut self.endpoints[endpoint].health;
        self.outliers.record(health, &sample, endpoint_traffic);
    }
}
