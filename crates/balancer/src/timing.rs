//! Periods and safety margins that several rules share.

use crate::types::Millis;

/// Period of the maintenance timer, which checks queued requests and attempts in flight.
pub(crate) const TICK: Millis = 20.0;

/// Margin before a deadline within which no attempt is started: the next check could come too late.
pub(crate) const DEADLINE_MARGIN: Millis = 2.0 * TICK + 5.0;

/// Time before the end of its usefulness at which a request in flight gets its final answer.
pub(crate) const ANSWER_LEAD: Millis = 6.0;

/// Ticks between reviews of all endpoints.
pub(crate) const REVIEW_TICKS: u64 = 5;
