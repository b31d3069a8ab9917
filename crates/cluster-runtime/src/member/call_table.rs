//! Calls for the leader: those of this member that wait for an answer, and those that this member is answering. Without I/O.

use std::collections::{BTreeMap, BTreeSet};

use cluster::rules::Micros;
use tokio::sync::oneshot;

use super::command::CallResult;

/// Calls in each direction at most.
const MAX_CALLS: usize = 1024;
/// Interval after which an unanswered call is sent again.
const RETRY_INTERVAL: Micros = 300_000;

/// Origin of a call that is being answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Caller {
    /// Application of this member.
    Local,
    /// Another member, by name.
    Member(String),
}

/// Call that is to be sent to the leader.
#[derive(Debug)]
pub(super) struct DueCall {
    pub id: String,
    pub payload: String,
}

/// Call of the local application.
struct OutgoingCall {
    payload: String,
    retry_at: Micros,
    sent_to: Option<u64>,
    reply: oneshot::Sender<CallResult>,
}

/// Calls of one member, by id.
#[derive(Default)]
pub(super) struct CallTable {
    outgoing: BTreeMap<String, OutgoingCall>,
    answering: BTreeMap<String, BTreeSet<Caller>>,
}

impl CallTable {
    /// Adds a call of the local application, due at once; returns false if it was rejected because too many wait.
    pub(super) fn start(
        &mut self,
        id: String,
        payload: String,
        reply: oneshot::Sender<CallResult>,
    ) -> bool {
        if self.outgoing.len() >= MAX_CALLS {
            let _ = reply.send(Err("too many calls wait".into())); // the caller may have left
            return false;
        }
        let call = OutgoingCall {
            payload,
            retry_at: 0,
            sent_to: None,
            reply,
        };
        self.outgoing.insert(id, call);
        true
    }

    /// Returns the calls to send to `leader` now: new ones, unanswered ones, and those sent to another leader.
    pub(super) fn take_due(&mut self, now: Micros, leader: Option<u64>) -> Vec<DueCall> {
        self.outgoing.retain(|_, call| !call.reply.is_closed());
        let mut due = Vec::new();
        for (id, call) in &mut self.outgoing {
            if now < call.retry_at && call.sent_to == leader {
                continue;
            }
            call.retry_at = now + RETRY_INTERVAL;
            call.sent_to = leader;
            due.push(DueCall {
                id: id.clone(),
                payload: call.payload.clone(),
            });
        }
        due
    }

    /// Delivers the answer to a call of the local application.
    pub(super) fn complete(&mut self, id: &str, answer: CallResult) {
        if let Some(call) = self.outgoing.remove(id) {
            let _ = call.reply.send(answer); // the caller may have left
        }
    }

    /// Returns true while another call may be answered here.
    pub(super) fn has_capacity(&self) -> bool {
        self.answering.len() < MAX_CALLS
    }

    /// Registers a caller of a call that is answered here; returns true for the first one.
    pub(super) fn add_caller(&mut self, id: &str, caller: Caller) -> bool {
        let is_first = !self.answering.contains_key(id);
        self.answering
            .entry(id.to_owned())
            .or_default()
            .insert(caller);
        is_first
    }

    /// Ends a call that was answered here and returns its callers.
    pub(super) fn take_callers(&mut self, id: &str) -> BTreeSet<Caller> {
        self.answering.remove(id).unwrap_or_default()
    }

    /// Ends all calls that are answered here, without an answer: the callers retry at the leader.
    pub(super) fn abandon_all(&mut self) {
        self.answering.clear();
    }
}
