//! Records of requests in progress and of their attempts. Makes no decisions.

use crate::types::{Idempotency, LoadReport, Millis, Reception};

/// Request that has no final answer yet or has attempts in flight.
pub(crate) struct Request {
    /// Index of the request's class.
    pub class: usize,
    /// Constraint on repeating the request, as of its arrival.
    pub idempotency: Idempotency,
    /// Maximum number of attempts, as of the request's arrival.
    pub max_attempts: usize,
    /// Expected work relative to the mean of the class.
    pub relative_work: f64,
    /// True if the request exceeds its tenant's quota.
    pub over_quota: bool,
    /// Time until which a response earns the full priority weight, unless the body is still arriving.
    pub objective_at: Millis,
    /// Time between the last byte of the request and `objective_at`.
    pub latency_objective: Millis,
    /// Time between the last byte of the request and `deadline`, as of the request's arrival.
    pub timeout: Millis,
    /// Time at which the client stops waiting.
    pub deadline: Millis,
    /// Affinity key; 0 if the request has none.
    pub key: u64,
    /// Index of the home of the request's key.
    pub home: Option<usize>,
    /// State of the request's body.
    pub body: Body,
    /// Attempts in the order of sends.
    pub attempts: Vec<Attempt>,
    /// Progress of the request.
    pub status: Status,
}

impl Request {
    /// Returns the time until which a response earns the full priority weight. It is not known while the body arrives,
    /// as the client's time has not begun: then it is the earliest one.
    pub fn earliest_objective_at(&self, now: Millis) -> Millis {
        if self.body.reception == Reception::Arriving {
            now + self.latency_objective
        } else {
            self.objective_at
        }
    }
}

/// State of a request's body.
pub(crate) struct Body {
    /// True if the complete body arrived with the request, or its last byte has been sent to an endpoint.
    pub complete: bool,
    /// True if the complete body can be sent again.
    pub replayable: bool,
    /// How the front end receives the body.
    pub reception: Reception,
}

/// Progress of a request. The flags are independent: a request with a final answer may still have an attempt whose
/// response has started.
#[derive(Default)]
pub(crate) struct Status {
    /// The request is queued for an attempt.
    pub queued: bool,
    /// The client has received the beginning of a response.
    pub response_started: bool,
    /// The request needs no further answer.
    pub finished: bool,
}

/// State of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The response is pending.
    InFlight,
    /// The response has been pending for so long that it was counted as a failure of the endpoint and the slot was
    /// released.
    Silent,
    /// The attempt has ended, or the endpoint has finished processing it.
    Ended,
}

/// Attempt of a request.
pub(crate) struct Attempt {
    /// Index of the attempt's endpoint.
    pub endpoint: usize,
    /// Time of the send, or of the send of the body's last byte if that was later.
    pub sent_at: Millis,
    /// Current state.
    pub state: AttemptState,
    /// True if the endpoint was warming up at the send.
    pub to_warming_endpoint: bool,
    /// True if the endpoint was idle at the send.
    pub found_idle: bool,
    /// Load of the endpoint, as reported with the response.
    pub load: LoadReport,
    /// True if the request may have taken effect through this attempt.
    pub may_have_run: bool,
    /// Progress of the response.
    pub response: ResponseProgress,
}

/// Progress of the response to an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// Nothing has arrived, or the endpoint has stopped writing.
    Pending,
    /// The endpoint is writing a response that can be passed on as it arrives.
    Arriving,
}

impl Request {
    /// Returns true if an attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state != AttemptState::Ended)
    }

    /// Returns the index of an attempt whose response is arriving.
    pub fn arriving_response(&self) -> Option<usize> {
        let is_arriving = |attempt: &Attempt| {
            attempt.response == ResponseProgress::Arriving && attempt.state != AttemptState::Ended
        };
        self.attempts.iter().position(is_arriving)
    }

    /// Returns true if the request may have taken effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Returns true if an attempt was sent to the endpoint.
    pub fn was_sent_to(&self, endpoint: usize) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }
}
