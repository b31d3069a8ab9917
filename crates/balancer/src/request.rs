//! Requests in progress and their attempts, as this proxy knows them. Decides nothing.

use crate::types::{Idempotency, LoadReport, Millis};

/// Request without a final answer, or with attempts in flight.
pub(crate) struct Request {
    /// Index of its class.
    pub class: usize,
    /// Rule for repeating it, as of its arrival.
    pub idempotency: Idempotency,
    /// Attempts that it may have, as of its arrival.
    pub max_attempts: usize,
    /// Expected work relative to the mean of its class.
    pub relative_work: f64,
    /// True if it exceeds its tenant's quota.
    pub over_quota: bool,
    /// Time until which a response earns the full priority weight.
    pub objective_at: Millis,
    /// Time at which its client gives up.
    pub deadline: Millis,
    /// Affinity key, 0 for none.
    pub key: u64,
    /// Index of the endpoint that its key prefers.
    pub home: Option<usize>,
    /// State of its body.
    pub body: Body,
    /// Attempts in the order of sends.
    pub attempts: Vec<Attempt>,
    /// Progress of its processing.
    pub status: Status,
}

/// State of a request's body.
pub(crate) struct Body {
    /// The whole body had arrived with the request, or its last byte has been sent to an endpoint since.
    pub complete: bool,
    /// The whole body can be sent again.
    pub replayable: bool,
}

/// Progress of a request. The parts are independent: an answered request may still have an attempt whose response
/// has begun.
#[derive(Default)]
pub(crate) struct Status {
    /// It is queued for an attempt.
    pub queued: bool,
    /// The client has received the beginning of a response.
    pub response_started: bool,
    /// No further answer is due.
    pub finished: bool,
}

/// State of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Awaiting the response.
    InFlight,
    /// Awaiting the response for so long that the endpoint was blamed and the slot released.
    Silent,
    /// Ended, or its response is complete at the endpoint.
    Ended,
}

/// Attempt of a request.
pub(crate) struct Attempt {
    /// Index of its endpoint.
    pub endpoint: usize,
    /// Time of the send, or of the body's last byte if that came later.
    pub sent_at: Millis,
    /// State.
    pub state: AttemptState,
    /// Its endpoint was warming up when it was sent.
    pub to_warming_endpoint: bool,
    /// It found its endpoint idle.
    pub found_idle: bool,
    /// Load of its endpoint, as reported with the response.
    pub load: LoadReport,
    /// It may have had its effect.
    pub may_have_run: bool,
}

impl Request {
    /// Returns true if an attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state != AttemptState::Ended)
    }

    /// Returns true if an attempt may have had its effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Returns true if an endpoint has had an attempt.
    pub fn was_sent_to(&self, endpoint: usize) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }
}
