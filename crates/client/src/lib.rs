//! HTTP client with safe retries: it decides which requests may be repeated, when, and until which deadline.
//!
//! [`Call`] implements the retry policy without I/O; `http` applies it over HTTP/1.1. All times are durations since the
//! start of the call.

#[cfg(feature = "http")]
pub mod http;

use std::fmt;
use std::time::Duration;

/// First backoff if the response has no `Retry-After`; it doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Minimum time left for an attempt: the resolution of `X-Timeout`, in which less would be written as 0.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// Request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Only reads, so it may be repeated.
    Lookup,
    /// Must not run twice.
    Checkout,
}

impl Class {
    /// Returns the name of the class, which is the first segment of the path.
    pub fn name(self) -> &'static str {
        match self {
            Class::Lookup => "lookup",
            Class::Checkout => "checkout",
        }
    }
}

/// Retry policy and target of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `host:port` of the proxy.
    pub target: Option<String>,
    /// Time limit of a lookup, all attempts included.
    pub lookup_deadline: Duration,
    /// Time limit of a checkout, all attempts included.
    pub checkout_deadline: Duration,
    /// Maximum number of attempts of a call, the first one included.
    pub max_attempts: u32,
    /// True if retries are marked with `X-Retried`.
    pub mark_retries: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            target: None,
            lookup_deadline: Duration::from_millis(2500),
            checkout_deadline: Duration::from_millis(2000),
            max_attempts: 3,
            mark_retries: true,
        }
    }
}

impl Settings {
    /// Returns the time limit of a call of a class.
    pub fn deadline(&self, class: Class) -> Duration {
        match class {
            Class::Lookup => self.lookup_deadline,
            Class::Checkout => self.checkout_deadline,
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Response {
        /// Status code.
        status: u16,
        /// Value of `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// No complete response: the connection was refused or broke off, or the response was invalid.
    Failed,
}

/// Reason why a call makes no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The request was served, or its response or class does not allow a retry.
    Final,
    /// The maximum number of attempts is reached.
    AttemptsExhausted,
    /// The deadline has passed, or would pass before the next attempt.
    Deadline,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            StopReason::Final => "the request may not be retried",
            StopReason::AttemptsExhausted => "the maximum number of attempts is reached",
            StopReason::Deadline => "the deadline leaves no time for another attempt",
        })
    }
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Wait for this time, then begin the next attempt.
    Wait(Duration),
    /// Make no further attempt.
    Stop(StopReason),
}

/// State of a call. One deadline covers its attempts, their connections and the waits between them.
#[derive(Clone, Debug)]
pub struct Call {
    class: Class,
    deadline: Duration,
    max_attempts: u32,
    mark_retries: bool,
    attempts: u32,
}

/// Headers of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Time left until the deadline, for `X-Timeout`.
    pub remaining: Duration,
    /// True if the attempt is marked as a retry.
    pub is_retry: bool,
}

impl Call {
    /// Creates a call that begins now.
    pub fn new(class: Class, settings: &Settings) -> Self {
        Call {
            class,
            deadline: settings.deadline(class),
            max_attempts: settings.max_attempts,
            mark_retries: settings.mark_retries,
            attempts: 0,
        }
    }

    /// Begins the next attempt; `None` if no time is left for it.
    pub fn begin_attempt(&mut self, now: Duration) -> Option<Attempt> {
        let remaining = self
            .deadline
            .checked_sub(now)
            .filter(|remaining| *remaining >= MIN_ATTEMPT_TIME)?;
        self.attempts += 1;
        Some(Attempt {
            remaining,
            is_retry: self.mark_retries && self.attempts > 1,
        })
    }

    /// Returns the step after an attempt has ended; `jitter`, from 0 to 1, randomizes the backoff.
    pub fn next_step(&self, now: Duration, outcome: &AttemptOutcome, jitter: f64) -> NextStep {
        let (may_repeat, retry_after) = match outcome {
            AttemptOutcome::Response {
                status,
                retry_after,
            } => (self.may_repeat(*status), *retry_after),
            // The request may have run, or may still run.
            AttemptOutcome::Failed => (self.class == Class::Lookup, None),
        };
        if !may_repeat {
            return NextStep::Stop(StopReason::Final);
        }
        if self.attempts >= self.max_attempts {
            return NextStep::Stop(StopReason::AttemptsExhausted);
        }
        let wait = retry_after.unwrap_or_else(|| self.backoff(jitter));
        match now
            .checked_add(wait)
            .and_then(|then| then.checked_add(MIN_ATTEMPT_TIME))
        {
            Some(then) if then <= self.deadline => NextStep::Wait(wait),
            _ => NextStep::Stop(StopReason::Deadline),
        }
    }

    fn may_repeat(&self, status: u16) -> bool {
        matches!(status, 429 | 503) || self.class == Class::Lookup && (500..600).contains(&status)
    }

    /// Returns the backoff. Half of it is random, so that clients that were rejected together do not retry together.
    fn backoff(&self, jitter: f64) -> Duration {
        let doubled = INITIAL_BACKOFF * 2u32.saturating_pow(self.attempts.saturating_sub(1).min(8));
        doubled
            .min(MAX_BACKOFF)
            .mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }
}

/// Parses `Retry-After` in seconds, an integer or a decimal. An invalid value counts as missing; one that exceeds the
/// range of [`Duration`] counts as its maximum.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| *s >= 0.0)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Formats the time left as a value of `X-Timeout`. It is truncated, not rounded, so that it never exceeds the time left.
pub fn format_timeout(remaining: Duration) -> String {
    format!("{}.{:03}", remaining.as_secs(), remaining.subsec_millis())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn response(status: u16, retry_after_ms: Option<u64>) -> AttemptOutcome {
        AttemptOutcome::Response {
            status,
            retry_after: retry_after_ms.map(ms),
        }
    }

    /// Returns the step after a first attempt that took 100 ms.
    fn step_after_first_attempt(class: Class, outcome: &AttemptOutcome) -> NextStep {
        let mut call = Call::new(class, &Settings::default());
        call.begin_attempt(ms(0)).expect("time is left");
        call.next_step(ms(100), outcome, 1.0)
    }

    #[test]
    fn a_checkout_is_retried_only_after_429_or_503() {
        for status in (200..600).filter(|s| !matches!(s, 429 | 503)) {
            let next = step_after_first_attempt(Class::Checkout, &response(status, Some(1)));
            assert_eq!(next, NextStep::Stop(StopReason::Final), "{status}");
        }
        assert_eq!(
            step_after_first_attempt(Class::Checkout, &AttemptOutcome::Failed),
            NextStep::Stop(StopReason::Final)
        );
        for status in [429, 503] {
            assert_eq!(
                step_after_first_attempt(Class::Checkout, &response(status, Some(7))),
                NextStep::Wait(ms(7))
            );
        }
    }

    #[test]
    fn a_lookup_is_also_retried_after_broken_connections_and_5xx() {
        for status in [429, 500, 502, 503, 504, 599] {
            assert_eq!(
                step_after_first_attempt(Class::Lookup, &response(status, None)),
                NextStep::Wait(INITIAL_BACKOFF),
                "{status}"
            );
        }
        assert_eq!(
            step_after_first_attempt(Class::Lookup, &AttemptOutcome::Failed),
            NextStep::Wait(INITIAL_BACKOFF)
        );
        for status in [200, 204, 302, 400, 404, 408, 413] {
            assert_eq!(
                step_after_first_attempt(Class::Lookup, &response(status, None)),
                NextStep::Stop(StopReason::Final)
            );
        }
    }

    #[test]
    fn one_deadline_covers_attempts_and_waits() {
        let mut call = Call::new(Class::Checkout, &Settings::default());
        assert_eq!(
            call.begin_attempt(ms(0)),
            Some(Attempt {
                remaining: ms(2000),
                is_retry: false
            })
        );
        assert_eq!(
            call.next_step(ms(100), &response(503, Some(1899)), 0.0),
            NextStep::Wait(ms(1899))
        );
        assert_eq!(
            call.next_step(ms(100), &response(503, Some(1900)), 0.0),
            NextStep::Stop(StopReason::Deadline)
        );
        let unbounded = AttemptOutcome::Response {
            status: 503,
            retry_after: Some(Duration::MAX),
        };
        assert_eq!(
            call.next_step(ms(100), &unbounded, 0.0),
            NextStep::Stop(StopReason::Deadline)
        );
        assert_eq!(
            call.begin_attempt(ms(260)),
            Some(Attempt {
                remaining: ms(1740),
                is_retry: true
            })
        );
        assert_eq!(call.begin_attempt(ms(2000)), None);
        assert_eq!(call.begin_attempt(ms(2001)), None);
    }

    #[test]
    fn attempts_are_limited_and_marked_only_if_configured() {
        let settings = Settings {
            max_attempts: 2,
            mark_retries: false,
            ..Settings::default()
        };
        let mut call = Call::new(Class::Lookup, &settings);
        call.begin_attempt(ms(0)).expect("time is left");
        assert!(matches!(
            call.next_step(ms(1), &AttemptOutcome::Failed, 0.5),
            NextStep::Wait(_)
        ));
        assert!(!call.begin_attempt(ms(2)).expect("time is left").is_retry);
        assert_eq!(
            call.next_step(ms(3), &AttemptOutcome::Failed, 0.5),
            NextStep::Stop(StopReason::AttemptsExhausted)
        );
    }

    #[test]
    fn the_backoff_doubles_up_to_a_maximum_and_half_of_it_is_random() {
        let settings = Settings {
            max_attempts: 100,
            ..Settings::default()
        };
        let mut call = Call::new(Class::Lookup, &settings);
        for max_ms in [50, 100, 200, 400, 400] {
            call.begin_attempt(ms(0)).expect("time is left");
            assert_eq!(
                call.next_step(ms(0), &AttemptOutcome::Failed, 0.0),
                NextStep::Wait(ms(max_ms / 2))
            );
            assert_eq!(
                call.next_step(ms(0), &AttemptOutcome::Failed, 1.0),
                NextStep::Wait(ms(max_ms))
            );
        }
    }

    #[test]
    fn retry_after_and_timeout_are_in_seconds() {
        assert_eq!(parse_retry_after("0.5"), Some(ms(500)));
        assert_eq!(parse_retry_after(" 2 "), Some(ms(2000)));
        assert_eq!(parse_retry_after("1e300"), Some(Duration::MAX));
        for invalid in ["", "soon", "-1", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            assert_eq!(parse_retry_after(invalid), None, "{invalid}");
        }
        assert_eq!(format_timeout(ms(1740)), "1.740");
        assert_eq!(format_timeout(Duration::from_micros(2_000_999)), "2.000");
    }
}
