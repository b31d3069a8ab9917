//! Actions: the outputs of the decision module, which the caller carries out in order.

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
        /// Time after which to abandon the attempt; `None` if only the client's deadline limits it.
        timeout: Option<Millis>,
        /// Latest time at which the attempt may be sent. Endpoints drop repeats only for a limited time, so an attempt
        /// whose connection takes longer must not be sent at all.
        start_by: Option<Millis>,
    },
    /// Final answer: the request is rejected; the client may safely retry. The request may still have taken effect: an
    /// attempt may have run if the request is idempotent, or if all endpoints drop repeats by its idempotency key,
    /// within the key's deduplication window.
    Reject {
        /// Identifies the request.
        request: RequestId,
        /// Time for which the client should wait before a retry.
        retry_after: Option<Millis>,
    },
    /// Final answer: the request failed, and may have taken effect.
    Fail(RequestId),
    /// Pass on the response to an attempt as it arrives, because the answer is due. The caller reports
    /// [`Event::ResponseStarted`](crate::Event::ResponseStarted), or the end of the attempt if that was first.
    StreamResponse {
        /// Identifies the request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at the given time.
    Timer {
        /// Token of the event.
        token: u64,
        /// Time at which the timer expires.
        at: Millis,
    },
    /// Send a message of at most 256 bytes to all other proxies.
    Broadcast(Vec<u8>),
    /// Subscribe to endpoint list updates.
    Subscribe,
    /// Fetch the complete endpoint list once. Callers implement this action, but the module currently never emits it.
    FetchEndpoints,
}
