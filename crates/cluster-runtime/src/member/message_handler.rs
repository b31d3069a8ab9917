//! Handling of messages from other members.

use cluster::error::NodeError;
use cluster::message;
use cluster::node::JoinRequest;
use cluster::rules::Micros;

use super::call_table::Caller;
use super::discovery::{DiscoveryReply, PeerAddress};
use super::error::MemberError;
use super::runtime::MemberRuntime;
use crate::clock;
use crate::message::{Body, JoinError, Message, Sender};

/// Minimum interval between notices to members of other clusters.
const FOREIGN_NOTICE_INTERVAL: Micros = 300_000;
/// Maximum number of recorded senders that are not in the membership.
const MAX_UNLISTED_SENDERS: usize = 1024;

impl MemberRuntime {
    /// Handles one message.
    pub(super) fn handle_message(&mut self, message: Message) -> Result<(), MemberError> {
        let Message { from, body } = message;
        let now = clock::now();
        let is_same_cluster = self.cluster_id() == Some(from.cluster.as_str());
        let is_foreign = !is_same_cluster && !from.cluster.is_empty();
        if is_foreign && matches!(body, Body::Node(..) | Body::DiscoveryRequest { .. }) {
            self.send_foreign_notice(now, &from);
        }
        match body {
            Body::Node(to, message) if is_same_cluster => {
                self.handle_node_message(now, from, to, message);
            }
            Body::DiscoveryRequest { .. } => self.answer_discovery(&from),
            Body::DiscoveryReply { leader, names } => {
                let leader = leader.map(|(name, address)| PeerAddress { name, address });
                let reply = DiscoveryReply { leader, names };
                self.discovery.record(from.name, reply);
            }
            Body::Join { zone, nonce } => self.handle_join_request(now, &from, &zone, nonce),
            Body::JoinReply(result) => return self.handle_join_result(from.cluster, result),
            Body::Call(id, payload) if is_same_cluster => {
                self.accept_call(id, payload, Caller::Member(from.name));
            }
            Body::Reply(id, answer) if is_same_cluster => self.calls.complete(&id, answer),
            Body::ForeignCluster(cluster) => {
                if self.cluster_id().is_some_and(|own| own != cluster) {
                    self.foreign_cluster = Some(cluster);
                }
            }
            Body::Node(..) | Body::Call(..) | Body::Reply(..) => {}
        }
        Ok(())
    }

    fn handle_node_message(
        &mut self,
        now: Micros,
        from: Sender,
        to: u64,
        message: message::Message,
    ) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        let node = &mut joined.node;
        if node.id() != to {
            return;
        }
        let is_listed = node
            .state_machine()
            .is_some_and(|state_machine| state_machine.name_of(from.id).is_some());
        if !is_listed {
            let address = PeerAddress {
                name: from.name,
                address: from.address,
            };
            self.unlisted_senders.insert(from.id, address);
            if self.unlisted_senders.len() > MAX_UNLISTED_SENDERS {
                self.unlisted_senders.pop_first();
            }
        }
        node.receive(now, from.id, message);
    }

    /// Replies to a discovery request, unless this member has joined and knows no leader.
    fn answer_discovery(&mut self, from: &Sender) {
        let leader = self.leader();
        if leader.is_none() && self.joined.is_some() {
            return;
        }
        let reply = Body::DiscoveryReply {
            leader: leader.map(|leader| (leader.name, leader.address)),
            names: self.discovery.names().to_vec(),
        };
        self.send_to(&from.name, &from.address, reply);
    }

    fn handle_join_request(&mut self, now: Micros, from: &Sender, zone: &str, nonce: u64) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        let request = JoinRequest {
            name: &from.name,
            address: &from.address,
            zone,
            nonce,
        };
        let reply = match joined.node.add_member(now, &request) {
            Ok(Some(id)) => Ok(id),
            // No reply: the joining member retries its request.
            Ok(None) | Err(NodeError::NotLeader) => return,
            Err(e) => Err(JoinError::from(e.to_string())),
        };
        self.send_to(&from.name, &from.address, Body::JoinReply(reply));
    }

    fn handle_join_result(
        &mut self,
        cluster: String,
        result: Result<u64, JoinError>,
    ) -> Result<(), MemberError> {
        match result {
            Ok(id) if self.joined.is_none() => self.start_joined(cluster, id),
            Ok(_) => Ok(()),
            Err(e) => {
                tracing::info!(reason = %e, "join request rejected");
                Ok(())
            }
        }
    }

    /// Notifies the sender that it belongs to another cluster, for example one from before a restore. Its messages are ignored.
    fn send_foreign_notice(&mut self, now: Micros, from: &Sender) {
        if now < self.next_foreign_notice_at {
            return;
        }
        let Some(own_cluster) = self.cluster_id().map(str::to_owned) else {
            return;
        };
        self.next_foreign_notice_at = now + FOREIGN_NOTICE_INTERVAL;
        tracing::warn!(
            name = from.name,
            cluster = from.cluster,
            "message from a member of another cluster ignored"
        );
        self.send_to(&from.name, &from.address, Body::ForeignCluster(own_cluster));
    }
}
