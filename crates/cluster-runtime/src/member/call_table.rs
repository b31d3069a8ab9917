//! Calls to the leader: unanswered calls of this member, and calls that this member processes as the leader. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};

use cluster::rules::Micros;
use tokio::sync::oneshot;

use super::command::CallResult;

/// Maximum number of calls in each direction.
const MAX_CALLS: usize = 1024;
/// Interval after which an unanswered call is retried.
const RETRY_INTERVAL: Micros = 300_000;

/// Origin of a call that this member processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Caller {
    /// The application of this member.
    Local,
    /// Another member, identified by its name.
    Member(String),
}

/// Call that is due to be sent to the leader.
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
    /// Adds a call of the local application, due at once. Returns false if the call was rejected because too many are waiting.
    pub(super) fn start(
        &mut self,
        id: String,
        payload: String,
        reply: oneshot::Sender<CallResult>,
    ) -> bool {
        if self.outgoing.len() >= MAX_CALLS {
            let _ = reply.send(Err("too many calls wait".into())); // the caller may have dropped the receiver
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

    /// Returns the calls that are due to be sent to `leader`: new ones, those without a response in time, and those sent to another leader.
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

    /// Completes a call of the local application with the response.
    pub(super) fn complete(&mut self, id: &str, answer: CallResult) {
        if let Some(call) = self.outgoing.remove(id) {
            let _ = call.reply.send(answer); // the caller may have dropped the receiver
        }
    }

    /// Returns true if this member can process another call.
    pub(super) fn has_capacity(&self) -> bool {
        self.answering.len() < MAX_CALLS
    }

    /// Registers a caller of a call that this member processes; returns true for the first caller.
    pub(super) fn add_caller(&mut self, id: &str, caller: Caller) -> bool {
        let is_first = !self.answering.contains_key(id);
        self.answering
            .entry(id.to_owned())
            .or_default()
            .insert(caller);
        is_first
    }

    /// Removes a call that this member has processed and returns its callers.
    pub(super) fn take_callers(&mut self, id: &str) -> BTreeSet<Caller> {
        self.answering.remove(id).unwrap_or_default()
    }

    /// Removes all calls that this member processes, without a response: the callers retry at the leader.
    pub(super) fn abandon_all(&mut self) {
        self.answering.clear();
    }
}
