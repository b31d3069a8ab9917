//! Routing of calls to the leader, and of responses back to the callers.

use cluster::node::Node;
use cluster::rules::Micros;

use super::call_table::Caller;
use super::command::CallResult;
use super::event::MemberEvent;
use super::runtime::MemberRuntime;
use crate::message::Body;

impl MemberRuntime {
    /// Sends due calls to the leader. Calls wait while no leader is known.
    pub(super) fn route_calls(&mut self, now: Micros) {
        let leader = self.node().and_then(Node::leader);
        let own_id = self.node().map(Node::id);
        let due = self.calls.take_due(now, leader);
        let Some(leader) = leader else {
            return;
        };
        for call in due {
            if Some(leader) == own_id {
                self.accept_call(call.id, call.payload, Caller::Local);
            } else {
                self.send_to_id(leader, Body::Call(call.id, call.payload));
            }
        }
    }

    /// Forwards a call to the application, once for all of its callers. Ignores the call unless this member is the leader: the caller
    /// retries.
    pub(super) fn accept_call(&mut self, id: String, payload: String, caller: Caller) {
        let is_leader = self.node().is_some_and(Node::is_leader);
        if !is_leader || !self.calls.has_capacity() {
            return;
        }
        if self.calls.add_caller(&id, caller) {
            self.notify(MemberEvent::CallReceived { id, payload });
        }
    }

    /// Sends the application's response to all callers.
    pub(super) fn answer_call(&mut self, id: &str, answer: &CallResult) {
        for caller in self.calls.take_callers(id) {
            match caller {
                Caller::Local => self.calls.complete(id, answer.clone()),
                Caller::Member(name) => {
                    let Some(address) = self.address_of(&name) else {
                        continue;
                    };
                    let body = Body::Reply(id.to_owned(), answer.clone());
                    self.send_to(&name, &address, body);
                }
            }
        }
    }

    fn address_of(&self, name: &str) -> Option<String> {
        let member = self.node()?.state_machine()?.members.get(name)?;
        Some(member.address.clone())
    }
}
