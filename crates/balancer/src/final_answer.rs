//! Final answers by the proxy itself: rejection or failure, the time by which one is due, and the time after which a
//! client should retry.
//!
//! Where a request is rejected or failed:
//!
//! | cause | decided in | answer |
//! | --- | --- | --- |
//! | the client's timeout is too short for an attempt | `admission`, on arrival | `reject_or_fail` |
//! | idempotent, and the queue takes too long, where proxies share slots without gossip | `admission`, on arrival | `reject_or_fail` |
//! | queued, and too late for a response by `answer_by` | `admission`, each tick | `reject_or_fail` |
//! | an attempt has failed and no retry is allowed | `attempts`, at its end | `reject_or_fail` |
//! | in flight until shortly before `answer_by` | `stall_detection`, by a timer | `reject_or_fail` |
//! | the front end refuses it: beyond the tenant's share of the process | the front end | `reject_over_process_share` |

use crate::action::Action;
use crate::request::Request;
use crate::state::State;
use crate::types::{DeduplicationScope, Idempotency, Millis, RequestId};

/// Fraction of the longest Retry-After that a rejection beyond the process share names before it is spread.
const MAX_SHARE_RETRY_FRACTION: f64 = 0.5;
/// Least Retry-After of a rejection beyond the process share.
const MIN_SHARE_RETRY: Millis = 1.0;

/// Returns true if a client may safely retry a request. With an idempotency key this holds within its deduplication window.
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
    /// Gives the final answer of a request that has none: a rejection if the client may safely retry, else a failure.
    /// A rejection does not say that the request had no effect; see [`Action::Reject`].
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

    /// Rejects a request whose tenant exceeds its share of the process. Clients that are rejected together are asked
    /// to retry at different times.
    pub fn reject_over_process_share(
        &mut self,
        id: RequestId,
        wait: Millis,
        out: &mut Vec<Action>,
    ) {
        let spread = 1.0 + self.rng.f64();
        let retry_after = self.settings.max_retry_after.map(|longest| {
            let bound = MAX_SHARE_RETRY_FRACTION * longest;
            wait.max(MIN_SHARE_RETRY).min(bound) * spread
        });
        out.push(Action::Reject {
            request: id,
            retry_after,
        });
    }

    /// Returns the time by which a request must have its final answer. That is its deadline, unless a late response
    /// is not worth waiting for: where late responses earn nothing, and for queued requests while more are queued
    /// than in flight, it is the latency objective, if that is earlier.
    pub fn answer_by(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.class];
        let crowded = request.status.queued && self.queue.len() > self.in_flight.counted();
        if class.late_weight_fraction > 0.0 && !crowded {
            request.deadline
        } else {
            request.objective_at.min(request.deadline)
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        let longest = self.settings.max_retry_after?;
        let shortest = self.latency.mean().min(longest);
        Some(self.queueing_delay().clamp(shortest, longest))
    }

    /// Returns the time that the queued requests will take to be forwarded; a client that retries sooner only
    /// extends it.
    fn queueing_delay(&self) -> Millis {
        let slots: f64 = self.bands.iter().map(|band| band.slots).sum();
        self.queue.len() as f64 * self.latency.mean() / slots.max(1.0)
    }
}
