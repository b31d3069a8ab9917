//! Attempts: what follows from the progress and the end of an attempt, for its request, its slot and the estimates.

use crate::action::Action;
use crate::concurrency_limit::CrowdingSign;
use crate::latency_estimator::LatencySample;
use crate::outlier_detection::HealthSample;
use crate::queue::Position;
use crate::request::{Attempt, AttemptState};
use crate::retry::may_repeat;
use crate::state::State;
use crate::timing::DEADLINE_MARGIN;
use crate::types::{LoadReport, Millis, Outcome, RequestId};

/// Multiple of the class's mean latency for which an abandoned attempt is assumed to occupy its slot.
const ABANDONED_LATENCY_FACTOR: f64 = 2.0;

/// Attempt of a request, counted from 0 in the order of sends.
#[derive(Clone, Copy)]
pub(crate) struct AttemptId {
    /// Identifies the request.
    pub request: RequestId,
    /// Index of the attempt.
    pub attempt: usize,
}

/// End of an attempt.
pub(crate) struct AttemptEnd {
    /// Time since the attempt was sent.
    pub latency: Millis,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// The request is finished.
    pub request_finished: bool,
}

/// Attempt as it stood when it ended.
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

    /// Notes that a streamed body has been sent completely: its endpoint can process the request from now on.
    pub fn complete_body(&mut self, id: RequestId, timeout: Millis, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.body.complete {
            return;
        }
        let objective = self.settings.classes[request.class].latency_objective;
        request.body.complete = true;
        request.objective_at = now + objective.min(timeout);
        request.deadline = now + timeout;
        for attempt in &mut request.attempts {
            if attempt.state != AttemptState::Ended {
                attempt.sent_at = now;
            }
        }
    }

    /// Notes that a body can't be sent again.
    pub fn discard_body(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.body.replayable = false;
        }
    }

    /// Takes over a load report.
    pub fn record_load(&mut self, id: AttemptId, load: LoadReport) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.load = load;
        }
    }

    /// Notes that the client has received the beginning of a response. If the endpoint has finished its work, the
    /// attempt ends here: the transfer to the client says nothing of the endpoint, and its slot is free.
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

    /// Handles the end of an attempt: the request is finished, queued for a retry, or answered. Of the outcome only
    /// [`Outcome::may_have_run`] counts for a retry. A response that has begun prevents one by `request_finished` alone. There is
    /// time for a retry until the deadline; where late responses earn nothing it may still be shed by `answer_by`.
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

    /// Handles the end of a response whose attempt has been concluded before.
    fn end_response(&mut self, id: AttemptId, end: &AttemptEnd, now: Millis) {
        let request = &self.requests[&id.request];
        let endpoint = request.attempts[id.attempt].endpoint;
        let class = request.class;
        let complete = matches!(end.outcome, Outcome::Served | Outcome::Cancelled);
        if request.status.response_started && !complete {
            self.judge_endpoint(endpoint, class, end.outcome, now);
            self.update_availability(endpoint, now);
        }
        if end.request_finished {
            self.finish(id.request);
        }
    }

    /// Learns from the result of an attempt, and gives its slot to another request.
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
            Outcome::TimedOut if ended.was_silent() => {} // judged when it became silent
            outcome => self.judge_endpoint(endpoint, ended.class, outcome, now),
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

    /// Releases the slot of an attempt. An abandoned one may still occupy its endpoint, so its slot stays taken until
    /// it has plausibly ended; that of a silent one was released before.
    fn release_slot(&mut self, ended: &EndedAttempt, outcome: Outcome, now: Millis) {
        let timed_out = outcome == Outcome::TimedOut;
        if ended.was_silent() {
            if timed_out || outcome == Outcome::Served {
                self.lost_responses.record(timed_out);
            }
            return;
        }
        if timed_out || outcome == Outcome::Cancelled {
            let span = ABANDONED_LATENCY_FACTOR * self.latency.of_class(ended.class);
            self.in_flight.keep_abandoned(ended.endpoint, now + span);
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
        self.judge_endpoint(ended.endpoint, ended.class, Outcome::Served, now);
    }

    /// Adapts the window to a response, unless it is bad and its endpoint is slow by itself.
    fn adapt_window_to_response(&mut self, ended: &EndedAttempt, latency: Millis) {
        let endpoint = &self.endpoints[ended.endpoint];
        let machine_type = endpoint.machine_type;
        let sign = CrowdingSign {
            latency,
            uncrowded_latency: self.latency.uncrowded_latency(
                ended.class,
                ended.relative_work,
                machine_type,
            ),
            latency_objective: self.settings.classes[ended.class].latency_objective,
            load: ended.load,
            cores: endpoint.slots.cores,
        };
        let good = sign.is_good();
        let typical = self
            .latency
            .is_typical(endpoint.relative_latency, machine_type);
        if good || typical {
            self.adapt_window(good);
        }
    }

    fn adapt_window(&mut self, good: bool) {
        let in_flight = self.in_flight.counted();
        self.concurrency
            .adapt_window(good, in_flight, self.endpoints.len());
    }

    /// Judges an endpoint by the result of an attempt.
    pub fn judge_endpoint(&mut self, endpoint: usize, class: usize, outcome: Outcome, now: Millis) {
        let exposure = self.exposure();
        let sample = HealthSample {
            class,
            outcome,
            now,
            jitter: self.rng.f64(),
        };
        let health = &mut self.endpoints[endpoint].health;
        self.outliers.record(health, &sample, exposure);
    }
}
