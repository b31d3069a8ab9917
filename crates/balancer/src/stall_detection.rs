//! Stall detection: detects attempts without a response for too long and endpoints that hang, and sets timers for the
//! final answers of requests in flight.

use crate::action::Action;
use crate::latency_estimator::SILENCE_MULTIPLE;
use crate::request::{Attempt, AttemptState, Request, ResponseProgress};
use crate::state::State;
use crate::timing::{ANSWER_LEAD, STREAM_LEAD, TICK, answer_timer_token};
use crate::types::{Millis, Outcome, RequestId};

/// Number of ticks before its due time at which the timer for a request's final answer is set.
const ANSWER_TIMER_TICKS: f64 = 1.5;

impl State {
    /// Checks the attempts in flight, starting with the latest.
    pub fn check_in_flight(&mut self, now: Millis, out: &mut Vec<Action>) {
        for position in (0..self.in_flight.requests().len()).rev() {
            let id = self.in_flight.requests()[position];
            self.check_request(id, now, out);
        }
    }

    /// Checks a request in flight, but not before [`Event::BodyComplete`](crate::Event::BodyComplete): while the body
    /// is streamed, no endpoint can have processed the request, and the caller monitors the upload.
    fn check_request(&mut self, id: RequestId, now: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.body.complete {
            return;
        }
        let is_silent = |attempt: &Attempt| {
            let silence = self.silence_limit(request, attempt, now);
            attempt.state == AttemptState::InFlight
                && attempt.response == ResponseProgress::Pending
                && now - attempt.sent_at > silence
        };
        if let Some(attempt) = request.attempts.iter().position(is_silent) {
            self.record_silence(id, attempt, now);
        }
        let request = &self.requests[&id];
        let answered = request.status.finished || request.status.response_started;
        let answer_by = self.answer_by(request);
        if now + STREAM_LEAD > answer_by && self.stream_arriving_response(id, out) {
            return;
        }
        if !answered && now + ANSWER_TIMER_TICKS * TICK > answer_by {
            out.push(Action::Timer {
                token: answer_timer_token(id),
                at: answer_by - ANSWER_LEAD,
            });
        }
    }

    /// Returns the time after which an attempt counts as silent.
    fn silence_limit(&self, request: &Request, attempt: &Attempt, now: Millis) -> Millis {
        let endpoint = &self.endpoints[attempt.endpoint];
        SILENCE_MULTIPLE * self.expected_latency(request) * endpoint.relative_latency.mean.max(1.0)
            / self.capacity_fraction(attempt.endpoint, now)
    }

    /// Handles an attempt that has become silent: counts a failure of its endpoint, ejects the endpoint if it hangs,
    /// and releases the slot.
    fn record_silence(&mut self, id: RequestId, attempt: usize, now: Millis) {
        let request = &self.requests[&id];
        let class = request.class;
        let min_ejection = SILENCE_MULTIPLE * self.expected_latency(request);
        let endpoint = request.attempts[attempt].endpoint;
        let hangs = self.indicates_hang(request, &request.attempts[attempt], now);
        self.update_endpoint_health(endpoint, class, Outcome::TimedOut, now);
        if hangs {
            // The failure counted above may have just ejected the endpoint. In that case this call replaces the
            // ejection by one with the doubled backoff, and doubles the backoff again.
            let endpoint_traffic = self.endpoint_traffic();
            let health = &mut self.endpoints[endpoint].health;
            health.eject_hanging(now, endpoint_traffic, min_ejection);
        }
        self.release_silent_attempt(id, attempt);
        self.update_availability(endpoint, now);
    }

    /// Returns true if a silent attempt indicates that its endpoint hangs, and the endpoint is not ejected yet.
    fn indicates_hang(&self, request: &Request, silent: &Attempt, now: Millis) -> bool {
        let endpoint = &self.endpoints[silent.endpoint];
        let health = &endpoint.health;
        self.outliers.silence_indicates_hang(endpoint.in_flight.own)
            && !health.overall().is_ejected(now)
            && health.stalled_for(now) > self.silence_limit(request, silent, now)
    }

    /// Marks an attempt as silent, and releases its slot at the endpoint and in the window.
    fn release_silent_attempt(&mut self, id: RequestId, attempt: usize) {
        let request = self.requests.get_mut(&id);
        let request = request.expect("only requests in progress have attempts");
        let attempt = &mut request.attempts[attempt];
        attempt.state = AttemptState::Silent;
        self.endpoints[attempt.endpoint].in_flight.remove_own();
        self.in_flight.record_silence(attempt.to_warming_endpoint);
    }
}
