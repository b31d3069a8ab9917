//! What the parts tell the driver, and what a front gets back: arrivals in, one final answer out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use balancer::{
    ClassId, HealthSnapshot, Key, Millis, Outcome, RequestId, Settings, TenantId, UpdateScope,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::gate::DecisionStamp;
use crate::hosts::Host;
use crate::message::{EndpointResponse, OutboundRequest};
use crate::vars::Gauges;

/// The codes of the final answers.
pub const STATUS_SERVED: u16 = 200;
pub const STATUS_REJECTED: u16 = 503;
pub const STATUS_FAILED: u16 = 502;
/// The code of a request whose client left before its answer.
pub const STATUS_CLIENT_CLOSED: u16 = 499;

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<IncomingRequest>),
    /// A request whose tenant is over its share, so that it is not read further. There may be room after so many ms.
    NotAdmitted {
        id: RequestId,
        delay: Millis,
        response_sender: oneshot::Sender<Answer>,
    },
    /// Its client has left.
    ClientDisconnected(RequestId),
    /// The last byte of a request that was still coming in has gone out.
    BodyComplete(RequestId),
    /// An answer too large to be kept has begun.
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
    /// News of the list, with discovery's version of it.
    EndpointList {
        scope: UpdateScope,
        seq: Option<u64>,
        hosts: Vec<Host>,
    },
    /// Another proxy's message.
    Datagram { from: u32, bytes: Vec<u8> },
    /// The settings have changed.
    Settings(Box<Settings>),
    /// This proxy's number among others that share its servers, and how many there are.
    ProxyCount { index: u32, count: u32 },
    /// What another module knew of the servers that this one was told.
    HealthRestored(Box<HealthSnapshot>),
    /// What is held now is asked for.
    ActiveCounts(oneshot::Sender<Gauges>),
    /// Nothing new comes any more: what is held is ended, and then the driver.
    Retire,
}

impl Input {
    /// A list that was asked for and did not come.
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
    /// How long the client waits in all.
    pub timeout: Duration,
    /// When the client gives up.
    pub deadline: Instant,
    pub outbound: OutboundRequest,
    pub response_sender: oneshot::Sender<Answer>,
    /// What it was decided under, where that is told.
    pub decision: Option<Rc<Cell<Option<DecisionStamp>>>>,
}

/// The one final answer.
pub enum Answer {
    Served(EndpointResponse),
    /// Trying again is harmless, after a while if one is named.
    Rejected(Option<Millis>),
    Failed,
    /// It was not decided, as it came to a pool of a former version or while nothing is decided: it is to be asked anew.
    Undecided(Box<OutboundRequest>),
}

/// Where all parts put what they have seen.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// An inbox and the end that the driver reads. Its length is bounded by the budget of sockets: each
    /// connection holds one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    pub fn send(&self, input: Input) {
        let _ = self.0.send(input); // fails only while the process ends
    }
}
