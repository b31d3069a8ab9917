//! The reason why a request has ended, for the log and the metrics.

use balancer::Outcome;

/// The event that ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The balancer answered the request when it arrived.
    Arrival,
    /// The request waited for an endpoint until it was too late, or its answer was due.
    AnswerDue,
    /// The client's time is over, and neither an endpoint nor the balancer has answered.
    Deadline,
    /// An attempt has ended, and another one is not allowed.
    AttemptEnded(Outcome),
    /// A response that had begun has ended.
    ResponseEnded(Outcome),
    /// There is no memory to receive the body.
    NoMemory,
    /// The body had to give up its memory to an older one.
    Evicted,
    /// The client stopped in the middle of the body.
    ClientStalled,
    ClientLeft,
    /// The process is about to exit.
    ProcessExit,
    /// The tenant has used up its share of the process.
    ProcessShare,
    /// Another event changed what the balancer decides.
    Other,
}

impl EndReason {
    /// All reasons for which a request ends without a whole response, in the order of their counters.
    pub const UNSERVED: [EndReason; 19] = [
        EndReason::Arrival,
        EndReason::AnswerDue,
        EndReason::Deadline,
        EndReason::NoMemory,
        EndReason::Evicted,
        EndReason::ClientStalled,
        EndReason::ClientLeft,
        EndReason::ProcessExit,
        EndReason::ProcessShare,
        EndReason::Other,
        EndReason::AttemptEnded(Outcome::Error),
        EndReason::AttemptEnded(Outcome::Overloaded),
        EndReason::AttemptEnded(Outcome::TimedOut),
        EndReason::AttemptEnded(Outcome::ConnectFailed),
        EndReason::AttemptEnded(Outcome::Reset),
        EndReason::AttemptEnded(Outcome::Cancelled),
        EndReason::AttemptEnded(Outcome::NotSent),
        EndReason::ResponseEnded(Outcome::Reset),
        EndReason::ResponseEnded(Outcome::Cancelled),
    ];

    /// Returns the name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Arrival => "arrival",
            EndReason::AnswerDue => "answer-due",
            EndReason::Deadline => "deadline",
            EndReason::NoMemory => "no-memory",
            EndReason::Evicted => "evicted",
            EndReason::ClientStalled => "client-stalled",
            EndReason::ClientLeft => "client-left",
            EndReason::ProcessExit => "process-exit",
            EndReason::ProcessShare => "process-share",
            EndReason::Other => "other",
            EndReason::AttemptEnded(outcome) => outcome_name(outcome),
            EndReason::ResponseEnded(Outcome::Served) => "served",
            EndReason::ResponseEnded(Outcome::Cancelled) => "response-abandoned",
            EndReason::ResponseEnded(_) => "response-cut",
        }
    }
}

/// Returns the name of an attempt's outcome.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Overloaded => "overloaded",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not-sent",
    }
}
