//! Events: the inputs of the decision module.

use crate::health_snapshot::HealthSnapshot;
use crate::settings::Settings;
use crate::types::{
    ClassId, Endpoint, Key, LoadReport, Millis, Outcome, RequestId, TenantId, UpdateScope,
};

/// Input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was updated.
    EndpointUpdate {
        /// Extent of the update.
        scope: UpdateScope,
        /// Entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived; it gets exactly one final answer.
    Request {
        /// Identifies the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request, if any.
        tenant: Option<TenantId>,
        /// Affinity key, if any.
        key: Option<Key>,
        /// Time for which the client waits.
        timeout: Millis,
        /// Expected work on a standard core, if known.
        expected_work: Option<Millis>,
        /// True if the whole body has arrived from the client. Otherwise it is streamed to the endpoint, and
        /// [`Event::BodyComplete`] follows.
        body_complete: bool,
    },
    /// The front end refuses a request as its tenant exceeds its share of the process; not to be confused with a
    /// tenant's [quota](crate::Tenant::quota_per_second). The request is rejected at once and puts no load on
    /// endpoints.
    ProcessShareExceeded {
        /// Identifies the request.
        id: RequestId,
        /// Time after which the front end expects to have capacity.
        retry_after: Millis,
    },
    /// The last byte of a streamed body has been sent to an endpoint: the endpoint can process the request from now
    /// on. Until then the module times no attempt of the request; the caller ends an upload that stalls.
    BodyComplete {
        /// Identifies the request.
        id: RequestId,
        /// Time for which the client waits from now on.
        timeout: Millis,
    },
    /// The sent part of a streamed body is not buffered any more: the request can't be replayed.
    BodyDiscarded(RequestId),
    /// The client has received the beginning of a streamed response: no other answer can be given.
    ResponseStarted {
        /// Identifies the request.
        request: RequestId,
        /// Attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// True if the endpoint has finished its work, so that only the transfer to the client remains.
        processing_done: bool,
    },
    /// Settings have changed. Classes and tenants keep their indices, new ones follow them. Properties of the proxy
    /// itself (index, count, zone, discovery) stay as they were at the start. A request in progress keeps its
    /// idempotency and its number of attempts.
    Settings(Box<Settings>),
    /// Endpoint health from a former instance of the module. Comes after the first endpoint list and before all
    /// requests.
    HealthRestored(Box<HealthSnapshot>),
    /// The number of proxies has changed; shared capacity is divided anew.
    ProxyCount {
        /// Index of this proxy.
        proxy_index: u32,
        /// Number of proxies, at least 1.
        proxy_count: u32,
    },
    /// The response to an attempt carried a load report; the end of the attempt follows.
    LoadReport {
        /// Identifies the request.
        request: RequestId,
        /// Attempt of the request.
        attempt: u32,
        /// Reported load.
        load: LoadReport,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Identifies the request.
        request: RequestId,
        /// Attempt of the request.
        attempt: u32,
        /// Time since the attempt was sent.
        latency: Millis,
        /// Result of the attempt.
        outcome: Outcome,
        /// True if the request is finished. Must be true once [`Event::ResponseStarted`] was given for the request and
        /// its response has ended, however it ended: this is all that keeps the request from a retry then.
        request_finished: bool,
    },
    /// The client has disconnected; no answer is due any more.
    ClientDisconnected(RequestId),
    /// A timer set with [`Action::Timer`](crate::Action::Timer) has expired.
    Timer(u64),
    /// Another proxy has sent a message.
    Gossip {
        /// Index of the sender.
        from: u32,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}
