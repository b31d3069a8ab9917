//! Events: the inputs of the decision module.

use crate::health_snapshot::HealthSnapshot;
use crate::settings::Settings;
use crate::types::{
    ClassId, Endpoint, Key, LoadReport, Millis, Outcome, Reception, RequestId, TenantId,
    UpdateScope,
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
    /// A request has arrived. It receives exactly one final answer.
    Request {
        /// Identifies the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request, if any.
        tenant: Option<TenantId>,
        /// Affinity key, if any.
        key: Option<Key>,
        /// Time for which the client waits for an answer.
        timeout: Millis,
        /// Expected work on a standard core, if known.
        expected_work: Option<Millis>,
        /// True if the complete body has arrived from the client. Otherwise the body is streamed to the endpoint and
        /// [`Event::BodyComplete`] follows.
        body_complete: bool,
    },
    /// The front end rejects a request because its tenant exceeds its share of the process, which is distinct from the
    /// tenant's [quota](crate::Tenant::quota_per_second). The request is rejected immediately and puts no load on
    /// endpoints.
    ProcessShareExceeded {
        /// Identifies the request.
        id: RequestId,
        /// Time after which the front end expects to have capacity.
        retry_after: Millis,
    },
    /// The last byte of a streamed body has been sent to an endpoint, which can process the request from now on.
    /// Until this event the module applies no timeout to attempts of the request; the caller aborts stalled uploads.
    BodyComplete {
        /// Identifies the request.
        id: RequestId,
        /// Time for which the client waits, counted from this event.
        timeout: Millis,
    },
    /// The part of a streamed body that was already sent is no longer buffered: the request can't be replayed.
    BodyDiscarded(RequestId),
    /// How the body of a request that waits for an attempt is received has changed.
    BodyReception {
        /// Identifies the request.
        id: RequestId,
        /// State of the body.
        reception: Reception,
        /// Time for which the client waits, counted from this event. For a body that is still arriving it includes the
        /// time that the rest may take.
        timeout: Millis,
    },
    /// A request can't be served: there is no memory to receive its body, its client has stopped sending, or its time is
    /// over. No attempt in flight has sent the last byte of it, nor will.
    Unsent(RequestId),
    /// The response to an attempt arrives and is held back, as it is not known to be long. It can be passed on as it
    /// arrives.
    ResponseArriving {
        /// Identifies the request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
        /// False if the endpoint has stopped writing it, or writes too slowly to be waited for.
        progressing: bool,
    },
    /// The answer to a request is due. It ends here only if a response is arriving that can be passed on.
    AnswerDue(RequestId),
    /// The client has received the beginning of a streamed response: no other answer is possible.
    ResponseStarted {
        /// Identifies the request.
        request: RequestId,
        /// Index of the attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// True if the endpoint has finished processing and only the transfer to the client remains.
        processing_done: bool,
    },
    /// Settings have changed. Existing classes and tenants keep their indices; new ones are appended. Properties of the
    /// proxy itself (index, count, zone, discovery) keep their initial values. A request in progress keeps its
    /// idempotency and its maximum number of attempts.
    Settings(Box<Settings>),
    /// Endpoint health from a previous instance of the module. Must follow the first endpoint list and precede all
    /// requests.
    HealthRestored(Box<HealthSnapshot>),
    /// The number of proxies has changed; shared capacity is redistributed.
    ProxyCount {
        /// Index of this proxy.
        proxy_index: u32,
        /// Number of proxies, at least 1.
        proxy_count: u32,
    },
    /// The response to an attempt carried a load report; [`Event::AttemptEnded`] follows.
    LoadReport {
        /// Identifies the request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
        /// Reported load.
        load: LoadReport,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Identifies the request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
        /// Time since the attempt was sent.
        latency: Millis,
        /// Result of the attempt.
        outcome: Outcome,
        /// True if the request is finished. Must be true if [`Event::ResponseStarted`] preceded for the request and the
        /// response has ended, successfully or not: only this flag prevents a retry in that case.
        request_finished: bool,
    },
    /// The client has disconnected and no longer needs an answer.
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
