//! Actions: the outputs of the decision module, carried out by the caller in their order.

use crate::types::{EndpointId, Millis, RequestId};

/// Output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to an endpoint.
    Forward {
        /// Identifies the request.
        request: RequestId,
        /// Target of the attempt.
        endpoint: EndpointId,
        /// Time after which to give the attempt up; `None` leaves it to the client's deadline.
        timeout: Option<Millis>,
        /// Time by which the attempt must have been sent, or never is: a repeat is dropped only for a limited time,
        /// however long the connection takes.
        start_by: Option<Millis>,
    },
    /// Final answer: the request is rejected; the client may safely retry. This does not say that it had no effect: an
    /// attempt may have run if the request is idempotent, or if all endpoints drop repeats by its idempotency key,
    /// within the key's deduplication window.
    Reject {
        /// Identifies the request.
        request: RequestId,
        /// Time for which the client should wait before it retries.
        retry_after: Option<Millis>,
    },
    /// Final answer: the request failed, and may have had its effect.
    Fail(RequestId),
    /// Return [`Event::Timer`](crate::Event::Timer) at a time.
    Timer {
        /// Token to return.
        token: u64,
        /// Time at which the timer expires.
        at: Millis,
    },
    /// Send a message of at most 256 bytes to all other proxies.
    Broadcast(Vec<u8>),
    /// Subscribe to endpoint list updates.
    Subscribe,
    /// Fetch the complete endpoint list once. Part of the interface that callers implement; not emitted at present.
    FetchEndpoints,
}
