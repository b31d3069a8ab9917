//! A client that gets retries right: what may be sent again, when, and for how long.
//!
//! [`Call`] holds the rules and does no input or output of its own; `http` carries them out over HTTP/1.1.
//! Times are spans since the call began.

#[cfg(feature = "http")]
pub mod http;

use std::fmt;
use std::time::Duration;

/// The first back-off where the answer names no wait; it doubles with each try.
const BACKOFF: Duration = Duration::from_millis(50);
/// The longest back-off.
const BACKOFF_MOST: Duration = Duration::from_millis(400);
/// A try with less time than this left can't be told apart from none.
const LEAST: Duration = Duration::from_millis(1);

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Reads only: repeating it does no harm.
    Lookup,
    /// Must never run twice.
    Checkout,
}

impl Class {
    /// The class's name, the first part of the path.
    pub fn name(self) -> &'static str {
        match self {
            Class::Lookup => "lookup",
            Class::Checkout => "checkout",
        }
    }
}

/// How a client goes about its calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `host:port` of the proxy.
    pub target: Option<String>,
    /// What a lookup may take in all.
    pub lookup_deadline: Duration,
    /// What a checkout may take in all.
    pub checkout_deadline: Duration,
    /// Tries of one call, the first one included.
    pub max_tries: u32,
    /// Whether a retry says that it is one.
    pub mark_retries: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            target: None,
            lookup_deadline: Duration::from_millis(2500),
            checkout_deadline: Duration::from_millis(2000),
            max_tries: 3,
            mark_retries: true,
        }
    }
}

impl Settings {
    /// What a call of this class may take in all.
    pub fn deadline(&self, class: Class) -> Duration {
        match class {
            Class::Lookup => self.lookup_deadline,
            Class::Checkout => self.checkout_deadline,
        }
    }
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// A whole answer came.
    Answered {
        /// Its code.
        status: u16,
        /// The wait that it names.
        retry_after: Option<Duration>,
    },
    /// No whole answer: refused, broken, or one that can't be read.
    Broken,
}

/// Why a call is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It is served, or its answer says that trying again would change nothing or do harm.
    Final,
    /// All tries are spent.
    Tries,
    /// The deadline is over, or comes before another try could begin.
    Deadline,
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Stop::Final => "not to be tried again",
            Stop::Tries => "all tries are spent",
            Stop::Deadline => "the deadline leaves no room for another try",
        })
    }
}

/// What to do after a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Try again after this wait.
    Wait(Duration),
    /// The call is over.
    Stop(Stop),
}

/// One call with all its tries: one deadline spans them, their connections and the waits between them.
#[derive(Clone, Debug)]
pub struct Call {
    class: Class,
    deadline: Duration,
    max_tries: u32,
    mark_retries: bool,
    tries: u32,
}

/// What a try is to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// The time left, for `X-Timeout`.
    pub left: Duration,
    /// Whether it is marked as a retry.
    pub retried: bool,
}

impl Call {
    /// A call that begins now.
    pub fn new(class: Class, settings: &Settings) -> Self {
        Call {
            class,
            deadline: settings.deadline(class),
            max_tries: settings.max_tries,
            mark_retries: settings.mark_retries,
            tries: 0,
        }
    }

    /// Begins the next try; `None` when no time is left for one.
    pub fn begin(&mut self, now: Duration) -> Option<Try> {
        let left = self
            .deadline
            .checked_sub(now)
            .filter(|left| *left >= LEAST)?;
        self.tries += 1;
        Some(Try {
            left,
            retried: self.mark_retries && self.tries > 1,
        })
    }

    /// What follows a try that has ended; `chance`, from 0 to 1, spreads the back-off.
    pub fn after(&self, now: Duration, ended: &Ended, chance: f64) -> Next {
        let (again, named) = match ended {
            Ended::Answered {
                status,
                retry_after,
            } => (self.may_repeat(*status), *retry_after),
            // It may have run, or may yet.
            Ended::Broken => (self.class == Class::Lookup, None),
        };
        if !again {
            return Next::Stop(Stop::Final);
        }
        if self.tries >= self.max_tries {
            return Next::Stop(Stop::Tries);
        }
        let wait = named.unwrap_or_else(|| self.backoff(chance));
        match now
            .checked_add(wait)
            .and_then(|then| then.checked_add(LEAST))
        {
            Some(then) if then <= self.deadline => Next::Wait(wait),
            _ => Next::Stop(Stop::Deadline),
        }
    }

    fn may_repeat(&self, status: u16) -> bool {
        matches!(status, 429 | 503) || self.class == Class::Lookup && (500..600).contains(&status)
    }

    /// Half of it is chance, so that clients refused together don't come back together.
    fn backoff(&self, chance: f64) -> Duration {
        let doubled = BACKOFF * 2u32.saturating_pow(self.tries.saturating_sub(1).min(8));
        doubled
            .min(BACKOFF_MOST)
            .mul_f64(0.5 + 0.5 * chance.clamp(0.0, 1.0))
    }
}

/// Reads `Retry-After`: seconds, whole or decimal. What can't be read counts as not there; a wait that no
/// clock can hold counts as endless.
pub fn retry_after(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| *s >= 0.0)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// The time left as `X-Timeout` gives it. It is cut, not rounded: no more is promised than there is.
pub fn timeout_text(left: Duration) -> String {
    format!("{}.{:03}", left.as_secs(), left.subsec_millis())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn answered(status: u16, after: Option<u64>) -> Ended {
        Ended::Answered {
            status,
            retry_after: after.map(ms),
        }
    }

    /// What follows a first try that took 100 ms.
    fn after_one(class: Class, ended: &Ended) -> Next {
        let mut call = Call::new(class, &Settings::default());
        call.begin(ms(0)).expect("time is left");
        call.after(ms(100), ended, 1.0)
    }

    #[test]
    fn a_checkout_goes_again_only_after_429_or_503() {
        for status in (200..600).filter(|s| !matches!(s, 429 | 503)) {
            let next = after_one(Class::Checkout, &answered(status, Some(1)));
            assert_eq!(next, Next::Stop(Stop::Final), "{status}");
        }
        assert_eq!(
            after_one(Class::Checkout, &Ended::Broken),
            Next::Stop(Stop::Final)
        );
        for status in [429, 503] {
            assert_eq!(
                after_one(Class::Checkout, &answered(status, Some(7))),
                Next::Wait(ms(7))
            );
        }
    }

    #[test]
    fn a_lookup_goes_again_after_broken_connections_and_5xx_too() {
        for status in [429, 500, 502, 503, 504, 599] {
            assert_eq!(
                after_one(Class::Lookup, &answered(status, None)),
                Next::Wait(BACKOFF),
                "{status}"
            );
        }
        assert_eq!(
            after_one(Class::Lookup, &Ended::Broken),
            Next::Wait(BACKOFF)
        );
        for status in [200, 204, 302, 400, 404, 408, 413] {
            assert_eq!(
                after_one(Class::Lookup, &answered(status, None)),
                Next::Stop(Stop::Final)
            );
        }
    }

    #[test]
    fn one_deadline_spans_tries_and_waits() {
        let mut call = Call::new(Class::Checkout, &Settings::default());
        assert_eq!(
            call.begin(ms(0)),
            Some(Try {
                left: ms(2000),
                retried: false
            })
        );
        assert_eq!(
            call.after(ms(100), &answered(503, Some(1899)), 0.0),
            Next::Wait(ms(1899))
        );
        assert_eq!(
            call.after(ms(100), &answered(503, Some(1900)), 0.0),
            Next::Stop(Stop::Deadline)
        );
        let endless = Ended::Answered {
            status: 503,
            retry_after: Some(Duration::MAX),
        };
        assert_eq!(
            call.after(ms(100), &endless, 0.0),
            Next::Stop(Stop::Deadline)
        );
        assert_eq!(
            call.begin(ms(260)),
            Some(Try {
                left: ms(1740),
                retried: true
            })
        );
        assert_eq!(call.begin(ms(2000)), None);
        assert_eq!(call.begin(ms(2001)), None);
    }

    #[test]
    fn tries_are_counted_and_marked_only_where_wanted() {
        let settings = Settings {
            max_tries: 2,
            mark_retries: false,
            ..Settings::default()
        };
        let mut call = Call::new(Class::Lookup, &settings);
        call.begin(ms(0)).expect("time is left");
        assert!(matches!(
            call.after(ms(1), &Ended::Broken, 0.5),
            Next::Wait(_)
        ));
        assert!(!call.begin(ms(2)).expect("time is left").retried);
        assert_eq!(
            call.after(ms(3), &Ended::Broken, 0.5),
            Next::Stop(Stop::Tries)
        );
    }

    #[test]
    fn the_back_off_doubles_up_to_a_bound_and_is_half_chance() {
        let settings = Settings {
            max_tries: 100,
            ..Settings::default()
        };
        let mut call = Call::new(Class::Lookup, &settings);
        for most in [50, 100, 200, 400, 400] {
            call.begin(ms(0)).expect("time is left");
            assert_eq!(
                call.after(ms(0), &Ended::Broken, 0.0),
                Next::Wait(ms(most / 2))
            );
            assert_eq!(call.after(ms(0), &Ended::Broken, 1.0), Next::Wait(ms(most)));
        }
    }

    #[test]
    fn waits_and_times_are_read_and_written_in_seconds() {
        assert_eq!(retry_after("0.5"), Some(ms(500)));
        assert_eq!(retry_after(" 2 "), Some(ms(2000)));
        assert_eq!(retry_after("1e300"), Some(Duration::MAX));
        for odd in ["", "soon", "-1", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            assert_eq!(retry_after(odd), None, "{odd}");
        }
        assert_eq!(timeout_text(ms(1740)), "1.740");
        assert_eq!(timeout_text(Duration::from_micros(2_000_999)), "2.000");
    }
}
