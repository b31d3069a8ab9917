//! What the parts tell the driver, and what a front gets back: arrivals in, one final answer out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use balancer::{
    ClassId, HealthSnapshot, Key, Millis, Outcome, RequestId, Settings, TenantId, UpdateScope,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::gate::Decided;
use crate::hosts::Host;
use crate::message::{Outgoing, Reply};
use crate::vars::Gauges;

/// The codes of the final answers.
pub const SERVED: u16 = 200;
pub const REFUSED: u16 = 503;
pub const FAILED: u16 = 502;
/// The code of a request whose client left before its answer.
pub const GONE: u16 = 499;

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<Arrival>),
    /// A request whose tenant is over its share, so that it is not read further. There may be room after so many ms.
    Unadmitted {
        id: RequestId,
        wait: Millis,
        answer: oneshot::Sender<Answer>,
    },
    /// Its client has left.
    Gone(RequestId),
    /// The last byte of a request that was still coming in has gone out.
    Whole(RequestId),
    /// An answer too large to be kept has begun.
    Began {
        request: RequestId,
        attempt: u32,
        reply: Reply,
    },
    /// An attempt has ended.
    Ended {
        request: RequestId,
        attempt: u32,
        latency: Millis,
        outcome: Outcome,
        reply: Option<Reply>,
    },
    /// News of the list, with discovery's version of it.
    List {
        scope: UpdateScope,
        seq: Option<u64>,
        hosts: Vec<Host>,
    },
    /// Another proxy's message.
    Datagram { from: u32, bytes: Vec<u8> },
    /// The settings have changed.
    Settings(Box<Settings>),
    /// This proxy's number among others that share its servers, and how many there are.
    Proxies { me: u32, proxies: u32 },
    /// What another module knew of the servers that this one was told.
    Standing(Box<HealthSnapshot>),
    /// What is held now is asked for.
    Ask(oneshot::Sender<Gauges>),
    /// Nothing new comes any more: what is held is ended, and then the driver.
    Retire,
}

impl Input {
    /// A list that was asked for and did not come.
    pub fn no_list() -> Self {
        Input::List {
            scope: UpdateScope::Failed,
            seq: None,
            hosts: Vec::new(),
        }
    }
}

/// A client's request.
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub hint: Option<Millis>,
    /// How long the client waits in all.
    pub patience: Duration,
    /// When the client gives up.
    pub deadline: Instant,
    pub message: Outgoing,
    pub answer: oneshot::Sender<Answer>,
    /// What it was decided under, where that is told.
    pub decided: Option<Rc<Cell<Option<Decided>>>>,
}

/// The one final answer.
pub enum Answer {
    Served(Reply),
    /// Trying again is harmless, after a while if one is named.
    Refused(Option<Millis>),
    Failed,
    /// It was not decided, as it came to a pool of a former version or while nothing is decided: it is to be asked anew.
    Again(Box<Outgoing>),
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

    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only while the process ends
    }
}
