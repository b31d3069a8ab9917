//! Final answers by the proxy itself: rejection or failure, and the time after which a client should retry.

use crate::action::Action;
use crate::request::Request;
use crate::state::State;
use crate::types::{DeduplicationScope, Idempotency, Millis, RequestId};

/// Fraction of the longest Retry-After that a rejection by quota names before it is spread.
const MAX_QUOTA_RETRY_FRACTION: f64 = 0.5;
/// Least Retry-After of a rejection by quota.
const MIN_QUOTA_RETRY: Millis = 1.0;

/// Returns true if a client may safely retry a request.
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
    pub fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
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

    /// Rejects a request by quota. Clients that are rejected together are asked to retry at different times.
    pub fn reject_by_quota(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        let spread = 1.0 + self.rng.f64();
        let retry_after = self.settings.max_retry_after.map(|longest| {
            let bound = MAX_QUOTA_RETRY_FRACTION * longest;
            wait.max(MIN_QUOTA_RETRY).min(bound) * spread
        });
        out.push(Action::Reject {
            request: id,
            retry_after,
        });
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
