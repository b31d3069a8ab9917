//! Shared periods, safety margins and timer tokens.

use crate::types::{Millis, RequestId};

/// Period of the maintenance timer, which checks queued requests and attempts in flight.
pub(crate) const TICK: Millis = 20.0;

/// Margin before a deadline for admission, shedding and retries, as the next check could come too late. A queued
/// request may still be forwarded up to one tick into the margin.
pub(crate) const DEADLINE_MARGIN: Millis = 2.0 * TICK + 5.0;

/// Time before its due time at which a request in flight gets its final answer.
pub(crate) const ANSWER_LEAD: Millis = 6.0;

/// Time before its answer is due at which a response that is arriving is passed on, so that a delay of the process does not
/// make its beginning late.
pub(crate) const STREAM_LEAD: Millis = 50.0;

/// Number of ticks between reviews of all endpoints.
pub(crate) const REVIEW_TICKS: u64 = 5;

/// Token of the maintenance timer.
pub(crate) const TICK_TOKEN: u64 = 0;

/// Returns the token of the timer for a request's final answer; differs from [`TICK_TOKEN`].
pub(crate) fn answer_timer_token(id: RequestId) -> u64 {
    id.0 + 1
}

/// Returns the request that the token of an answer timer refers to.
pub(crate) fn answer_timer_request(token: u64) -> RequestId {
    RequestId(token - 1)
}
