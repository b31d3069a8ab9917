//! Retries: which requests may be sent again, within which budget, and when an attempt is given up for a retry.
//!
//! Where a retry is decided:
//!
//! | question | place |
//! | --- | --- |
//! | do idempotency and body allow another attempt, and is one left | `may_repeat` |
//! | is there time and budget for one | `attempts`, `State::end_attempt` |
//! | how long repeats are dropped, and by which endpoints | `deduplication` |
//! | which endpoint gets it | `endpoint_selection`, `State::select_for_repeat` |
//! | when an attempt times out early for one | `forwarding`, `State::attempt_timeout`; `LostResponses` |

use crate::ewma::Ewma;
use crate::request::Request;
use crate::types::{DeduplicationScope, Idempotency, Millis};

/// Retries per arrival: the load that a proxy may add while attempts fail.
const RETRIES_PER_ARRIVAL: f64 = 0.15;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Retries that are available at the start.
const INITIAL_RETRIES: f64 = 2.0;
/// Fraction of silent attempts without any response above which silence means a lost response.
const LOST_FRACTION: f64 = 0.5;
/// Silent attempts over which that fraction is averaged.
const LOST_SAMPLES: f64 = 20.0;
/// Weight of the initial fraction of zero.
const LOST_INITIAL_WEIGHT: f64 = 5.0;
/// Fraction of attempts that are awaited all the same, to see if responses still get lost.
const LOST_PROBE_FRACTION: f64 = 0.1;

/// Retry budget, filled by arrivals.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates a budget with a few retries.
    pub fn new() -> Self {
        RetryBudget {
            retries: INITIAL_RETRIES,
        }
    }

    /// Adds the part of an arrival.
    pub fn add_arrival(&mut self) {
        self.retries = (self.retries + RETRIES_PER_ARRIVAL).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        let available = self.retries >= 1.0;
        if available {
            self.retries -= 1.0;
        }
        available
    }
}

/// Bounds on repeats of a request whose idempotency key is known to some endpoints.
pub(crate) struct Deduplication {
    /// Index of the first endpoint that may have processed the request.
    pub endpoint: usize,
    /// Endpoints that drop repeats.
    pub scope: DeduplicationScope,
    /// Time until which they do.
    pub until: Millis,
}

/// Returns the bounds on repeats for a request with an idempotency key that may have run.
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

/// Returns true if another attempt is allowed by the request's idempotency and its number of attempts.
pub(crate) fn may_repeat(request: &Request, now: Millis) -> bool {
    let harmless = request.idempotency == Idempotency::Idempotent || !request.may_have_run();
    let dropped = || deduplication(request).is_some_and(|bounds| now < bounds.until);
    (harmless || dropped())
        && request.body.replayable
        && request.attempts.len() < request.max_attempts
}

/// Estimator of responses that get lost on their way.
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

    /// Learns from the end of a silent attempt.
    pub fn record(&mut self, timed_out: bool) {
        self.lost_fraction
            .add(f64::from(u8::from(timed_out)), LOST_SAMPLES);
    }

    /// Returns true if a silent attempt is to be given up early, as its response is probably lost.
    pub fn give_up_early(&self, rng: &mut fastrand::Rng) -> bool {
        self.lost_fraction.mean > LOST_FRACTION && rng.f64() >= LOST_PROBE_FRACTION
    }
}
