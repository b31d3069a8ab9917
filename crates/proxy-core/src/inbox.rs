//! Inputs of the driver, and the final answer that a frontend gets back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use balancer::{
    ClassId, HealthSnapshot, Key, Millis, Outcome, RequestId, Settings, TenantId, UpdateScope,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::client_presence::ClientPresence;
use crate::gate::DecisionStamp;
use crate::hosts::Host;
use crate::message::{EndpointResponse, OutboundRequest};
use crate::upload::ReceiveChange;
use crate::vars::Gauges;

/// Status codes of the final answers.
pub const STATUS_SERVED: u16 = 200;
pub const STATUS_REJECTED: u16 = 503;
pub const STATUS_FAILED: u16 = 502;
/// The code of a request whose client disconnected before its answer.
pub const STATUS_CLIENT_CLOSED: u16 = 499;

/// An event from outside the balancer.
pub enum Input {
    /// A request has been read as far as it is buffered.
    Request(Box<IncomingRequest>),
    /// A request was not read because its tenant has used up its share; there may be room after `delay` ms.
    NotAdmitted {
        id: RequestId,
        delay: Millis,
        response_sender: oneshot::Sender<Answer>,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// The request must be answered now, because the process is about to exit.
    AnswerDue(RequestId),
    /// The last byte of a request body that is streamed has been sent.
    BodyComplete(RequestId),
    /// There is no memory to receive the body of a request, of which nothing has been sent.
    MemoryExhausted(RequestId),
    /// The body of a request that waits is received in another way than before.
    ReceiveChanged(RequestId, ReceiveChange),
    /// A response is arriving and held back; `progressing` is false if its endpoint has stopped writing it.
    ResponseArriving {
        request: RequestId,
        attempt: u32,
        progressing: bool,
    },
    /// A response too large to be buffered has begun.
    ResponseStarted {
        request: RequestId,
        attempt: u32,
        response: EndpointResponse,
    },
    /// An attempt has ended.
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        latency: Millis,
        outcome: Outcome,
        response: Option<EndpointResponse>,
    },
    /// The endpoint list or a change of it, with discovery's sequence number.
    EndpointList {
        scope: UpdateScope,
        seq: Option<u64>,
        hosts: Vec<Host>,
    },
    /// A message of another proxy.
    Datagram { from: u32, bytes: Vec<u8> },
    /// The settings have changed.
    Settings(Box<Settings>),
    /// The index of this proxy among those that share the endpoints, and their number.
    ProxyCount { index: u32, count: u32 },
    /// The health state of the listed endpoints, as another balancer knew it.
    HealthRestored(Box<HealthSnapshot>),
    /// Asks for the current numbers of requests and endpoints.
    ActiveCounts(oneshot::Sender<Gauges>),
    /// No new requests follow: the driver ends once the active ones are answered.
    Retire,
}

impl Input {
    /// Creates the input for a requested list that could not be fetched.
    pub fn list_failed() -> Self {
        Input::EndpointList {
            scope: UpdateScope::Failed,
            seq: None,
            hosts: Vec::new(),
        }
    }
}

/// A client's request.
pub struct IncomingRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub work_hint: Option<Millis>,
    /// The total time that the client waits.
    pub timeout: Duration,
    /// The time at which the client gives up.
    pub deadline: Instant,
    pub outbound: OutboundRequest,
    pub client: ClientPresence,
    pub response_sender: oneshot::Sender<Answer>,
    /// Receives the stamp of the decision, where it is reported.
    pub decision: Option<Rc<Cell<Option<DecisionStamp>>>>,
}

/// The one final answer to a request.
pub enum Answer {
    Served(EndpointResponse),
    /// The request may be retried, after this delay in ms if there is one.
    Rejected(Option<Millis>),
    Failed,
    /// The request was not decided, because its pool is of an earlier version or decisions are stopped; it has to be
    /// routed again.
    Undecided(Box<OutboundRequest>),
}

/// The sender of the driver's inputs.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// Creates an inbox and the receiver for the driver. The budget of sockets bounds its length: each connection has
    /// one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    pub fn send(&self, input: Input) {
        let _ = self.0.send(input); // fails only when the process is ending
    }
}
