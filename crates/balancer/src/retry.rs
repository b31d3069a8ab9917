//! Retries: which requests may be sent again, the retry budget, and early timeouts where responses get lost.
//!
//! Decisions on a retry:
//!
//! | decision | function |
//! | --- | --- |
//! | idempotency, body and maximum number of attempts allow another attempt | `may_repeat` |
//! | enough time and retry budget are left | `attempts`, `State::end_attempt` |
//! | time for which repeats are dropped, and endpoints that drop them | `deduplication` |
//! | endpoint of the retry | `endpoint_selection`, `State::select_for_repeat` |
//! | early timeout of an attempt in favor of a retry | `forwarding`, `State::attempt_timeout`; `LostResponses` |

use crate::ewma::Ewma;
use crate::request::Request;
use crate::types::{DeduplicationScope, Idempotency, Millis};

/// Retries per arriving request: limits the load that a proxy adds while attempts fail.
const RETRIES_PER_ARRIVAL: f64 = 0.15;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Initial number of retries in the budget.
const INITIAL_RETRIES: f64 = 2.0;
/// Fraction of silent attempts that time out above which responses of silent attempts are assumed to be lost.
const LOST_FRACTION: f64 = 0.5;
/// Number of silent attempts over which the fraction of lost responses is averaged.
const LOST_SAMPLES: f64 = 20.0;
/// Weight of the initial lost fraction of zero, in samples.
const LOST_INITIAL_WEIGHT: f64 = 5.0;
/// Fraction of attempts without an early timeout, which probe whether responses still get lost.
const LOST_PROBE_FRACTION: f64 = 0.1;

/// Retry budget, refilled by arriving requests.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates the initial budget.
    pub fn new() -> Self {
        RetryBudget {
            retries: INITIAL_RETRIES,
        }
    }

    /// Adds the retries earned by one arriving request.
    pub fn add_arrival(&mut self) {
        self.retries = (self.retries + RETRIES_PER_ARRIVAL).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        let available = self.retries >= 1.0;
        if available {
            self.retries -= 1.0;
        }
        available
    }
}

/// Constraints on repeats of a request whose idempotency key some endpoints have recorded.
pub(crate) struct Deduplication {
    /// Index of the endpoint of the first attempt that may have run.
    pub endpoint: usize,
    /// Endpoints that drop repeats.
    pub scope: DeduplicationScope,
    /// Time until which repeats are dropped.
    pub until: Millis,
}

/// Returns the constraints on repeats of a request with an idempotency key that may have run.
pub(crate) fn deduplication(request: &Request) -> Option<Deduplication> {
    let Idempotency::IdempotencyKey {
        scope,
        deduplication_window,
    } = request.idempotency
    else {
        return None;
    };
    let first = request
        .attempts
        .iter()
        .find(|attempt| attempt.may_have_run)?;
    Some(Deduplication {
        endpoint: first.endpoint,
        scope,
        until: first.sent_at + deduplication_window,
    })
}

/// Returns true if the request's idempotency, body and number of attempts allow another attempt.
pub(crate) fn may_repeat(request: &Request, now: Millis) -> bool {
    let safe_to_repeat = request.idempotency == Idempotency::Idempotent || !request.may_have_run();
    let is_deduplicated = || deduplication(request).is_some_and(|bounds| now < bounds.until);
    (safe_to_repeat || is_deduplicated())
        && request.body.replayable
        && request.attempts.len() < request.max_attempts
}

/// Estimator of the fraction of responses that get lost in the network.
pub(crate) struct LostResponses {
    lost_fraction: Ewma,
}

impl LostResponses {
    /// Creates an estimator that assumes no losses.
    pub fn new() -> Self {
        LostResponses {
            lost_fraction: Ewma::new(0.0, LOST_INITIAL_WEIGHT),
        }
    }

    /// Records the end of a silent attempt.
    pub fn record(&mut self, timed_out: bool) {
        self.lost_fraction
            .add(f64::from(u8::from(timed_out)), LOST_SAMPLES);
    }

    /// Returns true if a silent attempt should time out early, as its response is probably lost.
    pub fn use_early_timeout(&self, rng: &mut fastrand::Rng) -> bool {
        self.lost_fraction.mean > LOST_FRACTION && rng.f64() >= LOST_PROBE_FRACTION
    }
}
