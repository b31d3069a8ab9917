//! When a connection to an endpoint may carry its next request.
//!
//! Some endpoints answer a request twice, the second time some milliseconds late. If the next request has been written
//! by then, the surplus response is taken for its response. So a connection rests after a response, and is closed if
//! a surplus one arrives meanwhile. As a rest costs capacity, connections do not rest while none of many earlier
//! responses was followed by a surplus one. After a rejection they always rest: a second one, taken for the response to
//! the next request, would prove that a request which has run was not executed.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The time within which a surplus response is expected.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// The longest rest.
const MAX_REST: Duration = Duration::from_millis(200);
/// The rest is this many times the longest delay of a surplus response, which varies.
const DELAY_MARGIN: u32 = 2;
/// Unsolicited bytes that arrive later after a response are not part of a surplus one: some endpoints announce that they
/// close an idle connection.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Responses that a new process checks before it trusts endpoints.
const INITIAL_CHECKS: u32 = 16;
/// Responses that are checked after a surplus one.
const CHECKS_AFTER_SURPLUS: u32 = 100_000;

/// The latest response on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastResponse {
    /// The connection has not been used yet.
    None,
    /// It proves that the request was not executed.
    Rejection,
    /// It leaves open or shows that the request was executed.
    Other,
}

/// Surplus responses of one endpoint.
#[derive(Debug, Default)]
pub struct SurplusRecord {
    /// Responses of this endpoint still to be checked for a surplus one.
    remaining_checks: Cell<u32>,
}

/// Decides how long connections rest, from the surplus responses of all endpoints of a pool.
///
/// One endpoint with surplus responses is checked alone; if several have some, all endpoints are checked, as they probably
/// run the same software. So they are if one of the first responses of all is a surplus one, as these are frequent then.
#[derive(Debug)]
pub struct ReusePolicy {
    /// Responses of all endpoints still to be checked for a surplus one.
    remaining_checks: Cell<u32>,
    /// Whether an endpoint has sent a surplus response.
    has_surplus: Cell<bool>,
    rest: Cell<Duration>,
}

impl Default for ReusePolicy {
    fn default() -> Self {
        ReusePolicy {
            remaining_checks: Cell::new(INITIAL_CHECKS),
            has_surplus: Cell::new(false),
            rest: Cell::new(SETTLE_TIME),
        }
    }
}

impl ReusePolicy {
    /// Returns whether a connection that has been idle since a response has rested as long as any would.
    pub fn has_rested(&self, response: LastResponse, idle_since: Instant, now: Instant) -> bool {
        response == LastResponse::None || now >= idle_since + self.rest.get()
    }

    /// Returns whether a connection to an endpoint has to rest after a response.
    pub fn has_to_rest(&self, endpoint: &SurplusRecord, response: LastResponse) -> bool {
        match response {
            LastResponse::None => false,
            LastResponse::Rejection => true,
            LastResponse::Other => {
                self.remaining_checks.get() > 0 || endpoint.remaining_checks.get() > 0
            }
        }
    }

    /// Returns the time from which a connection to an endpoint may be used that has been idle since a response.
    pub fn usable_from(
        &self,
        endpoint: &SurplusRecord,
        response: LastResponse,
        idle_since: Instant,
    ) -> Instant {
        if self.has_to_rest(endpoint, response) {
            idle_since + self.rest.get()
        } else {
            idle_since
        }
    }

    /// Records a complete response after which the connection is kept.
    pub fn record_response(&self, endpoint: &SurplusRecord) {
        for checks in [&self.remaining_checks, &endpoint.remaining_checks] {
            checks.set(checks.get().saturating_sub(1));
        }
    }

    /// Records bytes that arrived on an idle connection. Returns true if they count as a surplus response.
    pub fn record_unsolicited(&self, endpoint: &SurplusRecord, delay: Duration) -> bool {
        if delay > MAX_DELAY {
            return false;
        }
        let is_known = endpoint.remaining_checks.replace(CHECKS_AFTER_SURPLUS) > 0;
        let is_of_several = self.has_surplus.replace(true) && !is_known;
        if is_of_several || self.remaining_checks.get() > 0 {
            self.remaining_checks.set(CHECKS_AFTER_SURPLUS);
        }
        let rest = (delay * DELAY_MARGIN).min(MAX_REST);
        self.rest.set(self.rest.get().max(rest));
        true
    }
}
