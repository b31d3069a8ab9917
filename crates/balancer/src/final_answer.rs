//! Final answers that the proxy itself gives: rejection or failure, the time at which an answer is due, and the time
//! after which a client should retry.
//!
//! A request is rejected or fails in these cases:
//!
//! | cause | detected in | answer |
//! | --- | --- | --- |
//! | the client's timeout is too short for an attempt | `admission`, on arrival | `reject_or_fail` |
//! | the request is idempotent, proxies share slots without gossip, and the queueing delay is too long | `admission`, on arrival | `reject_or_fail` |
//! | the request is queued, and it is too late for a response by `answer_by` | `admission`, in each tick | `reject_or_fail` |
//! | an attempt has failed and no retry is allowed | `attempts`, at the end of the attempt | `reject_or_fail` |
//! | the request is in flight until shortly before `answer_by` | `stall_detection`, by a timer | `reject_or_fail` |
//! | its answer is due, and a response is arriving that is held back | `stall_detection` or the front end, by a timer | that response, `stream_arriving_response` |
//! | the request can't be served, and no attempt in flight has sent a part of it | the front end | `reject_unsent` |
//! | the front end rejects the request: it exceeds the tenant's share of the process | the front end | `reject_over_process_share` |

use crate::action::Action;
use crate::request::{Attempt, AttemptState, Request};
use crate::state::State;
use crate::types::{DeduplicationScope, Idempotency, Millis, Reception, RequestId};

/// Maximum Retry-After of a rejection beyond the process share before random spreading, as a fraction of the maximum
/// Retry-After in the settings.
const MAX_SHARE_RETRY_FRACTION: f64 = 0.5;
/// Minimum Retry-After of a rejection beyond the process share, before random spreading.
const MIN_SHARE_RETRY: Millis = 1.0;

/// Returns true if a client may safely retry a request. For a request with an idempotency key this holds within the
/// deduplication window.
fn is_retry_safe(request: &Request) -> bool {
    match request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        _ => !request.may_have_run(),
    }
}

impl State {
    /// Gives the final answer of a request that has none: a rejection if the client may safely retry, otherwise a
    /// failure. A rejected request may still have taken effect; see [`Action::Reject`].
    pub fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.status.finished || request.status.response_started {
            return;
        }
        out.push(if is_retry_safe(request) {
            Action::Reject {
                request: id,
                retry_after: self.retry_after(),
            }
        } else {
            Action::Fail(id)
        });
        self.finish(id);
    }

    /// Answers a request whose answer is due: by a response that is arriving, or else itself.
    pub fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.stream_arriving_response(id, out) {
            self.reject_or_fail(id, out);
        }
    }

    /// Passes on a response that is arriving, whose request has no other answer; returns false if there is none. Its
    /// endpoint is still writing it, and the client gets its beginning in time.
    pub fn stream_arriving_response(&self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.status.finished || request.status.response_started {
            return false;
        }
        let Some(attempt) = request.arriving_response() else {
            return false;
        };
        out.push(Action::StreamResponse {
            request: id,
            attempt: attempt as u32,
        });
        true
    }

    /// Gives the final answer of a request whose attempts in flight have sent nothing and will send nothing, as the front
    /// end calls them off with the answer.
    pub fn reject_unsent(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            let in_flight = |attempt: &&mut Attempt| attempt.state != AttemptState::Ended;
            for attempt in request.attempts.iter_mut().filter(in_flight) {
                attempt.may_have_run = false;
            }
        }
        self.reject_or_fail(id, out);
    }

    /// Rejects a request whose tenant exceeds its share of the process. The Retry-After is randomized, so that clients
    /// that are rejected together retry at different times.
    pub fn reject_over_process_share(
        &mut self,
        id: RequestId,
        wait: Millis,
        out: &mut Vec<Action>,
    ) {
        let spread = 1.0 + self.rng.f64();
        let retry_after = self.settings.max_retry_after.map(|max_wait| {
            let bound = MAX_SHARE_RETRY_FRACTION * max_wait;
            wait.max(MIN_SHARE_RETRY).min(bound) * spread
        });
        out.push(Action::Reject {
            request: id,
            retry_after,
        });
    }

    /// Returns the time by which a request must have its final answer. This is the deadline, or the end of the latency
    /// objective if that is earlier and a late response has no benefit: if late responses earn no priority weight, and
    /// for queued requests while more requests are queued than in flight. The objective counts once the body has arrived.
    pub fn answer_by(&self, request: &Request) -> Millis {
        if request.body.reception == Reception::Arriving {
            return request.deadline;
        }
        let class = &self.settings.classes[request.class];
        let overloaded =
            request.status.queued && self.queue.len() > self.in_flight.counted_in_window();
        if class.late_weight_fraction > 0.0 && !overloaded {
            request.deadline
        } else {
            request.objective_at.min(request.deadline)
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        let max_wait = self.settings.max_retry_after?;
        let min_wait = self.latency.mean().min(max_wait);
        Some(self.queueing_delay().clamp(min_wait, max_wait))
    }

    /// Returns the expected time until all queued requests have been forwarded; a client that retries earlier only
    /// extends the queue.
    fn queueing_delay(&self) -> Millis {
        let slots: f64 = self.bands.iter().map(|band| band.slots).sum();
        self.queue.len() as f64 * self.latency.mean() / slots.max(1.0)
    }
}
