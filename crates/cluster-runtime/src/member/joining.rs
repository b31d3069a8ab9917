//! Start of a member: from its stored identity, by joining or creating a cluster, or as a new member after its disk was restored.

use cluster::command::Member;
use cluster::node::{Node, NodeConfig};
use cluster::persistence::PersistedState;
use cluster::state_machine::StateMachine;
use config_store::raft_log::LogContents;

use super::discovery::DiscoveryStep;
use super::error::MemberError;
use super::runtime::{JoinedMember, MemberRuntime};
use crate::clock;
use crate::message::Body;
use crate::storage::{Identity, new_cluster_id, persisted_state, read_identity, write_identity};

/// Raft node id of the member that creates a cluster.
const BOOTSTRAP_MEMBER_ID: u64 = 1;

impl MemberRuntime {
    /// Starts the member that is identified in the log, if any.
    pub(super) fn start_from_log(&mut self, contents: &LogContents) -> Result<(), MemberError> {
        let Some(identity) = read_identity(contents)? else {
            return Ok(());
        };
        if identity.name != self.settings.name {
            return Err(MemberError::ForeignDirectory {
                owner: identity.name,
                name: self.settings.name.clone(),
            });
        }
        self.start_node(identity, &persisted_state(contents))
    }

    /// Starts a member that has just joined a cluster under a raft node id.
    pub(super) fn start_joined(&mut self, cluster: String, id: u64) -> Result<(), MemberError> {
        let identity = Identity {
            cluster,
            id,
            name: self.settings.name.clone(),
        };
        let persisted = PersistedState::default();
        write_identity(&mut self.log, &identity, &persisted)?;
        self.start_node(identity, &persisted)
    }

    fn start_node(
        &mut self,
        identity: Identity,
        persisted: &PersistedState,
    ) -> Result<(), MemberError> {
        let config = NodeConfig {
            id: identity.id,
            incarnation: self.incarnation,
            is_disk_confirmed: self.heartbeat.is_disk_fresh(),
            seed: fastrand::u64(..),
        };
        let mut node = Node::new(&config, persisted, clock::now())?;
        node.set_compaction_threshold(self.settings.compaction_threshold);
        tracing::info!(
            name = identity.name,
            id = identity.id,
            cluster = identity.cluster,
            "member started"
        );
        self.joined = Some(JoinedMember { identity, node });
        Ok(())
    }

    /// Makes one attempt to join or create a cluster.
    pub(super) fn attempt_to_join(&mut self) -> Result<(), MemberError> {
        match self.discovery.next_step() {
            DiscoveryStep::BootstrapCluster => return self.bootstrap_cluster(),
            DiscoveryStep::Join(leader) => {
                let request = Body::Join {
                    zone: self.settings.zone.clone(),
                    nonce: self.discovery.join_nonce,
                };
                self.send_to(&leader.name, &leader.address, request);
            }
            DiscoveryStep::Wait => {}
        }
        self.send_discovery_requests();
        Ok(())
    }

    /// Sends a discovery request to all members in the settings.
    pub(super) fn send_discovery_requests(&mut self) {
        let names = self.discovery.names().to_vec();
        for (name, address) in self.settings.peers.clone() {
            let request = Body::DiscoveryRequest {
                names: names.clone(),
            };
            self.send_to(&name, &address, request);
        }
    }

    fn bootstrap_cluster(&mut self) -> Result<(), MemberError> {
        let Some(provide_initial_state) = self.provide_initial_state.take() else {
            return Ok(());
        };
        let initial = provide_initial_state().map_err(MemberError::InitialState)?;
        let name = self.settings.name.clone();
        let member = Member {
            id: BOOTSTRAP_MEMBER_ID,
            address: self.address.clone(),
            zone: self.settings.zone.clone(),
            join_nonce: self.discovery.join_nonce,
        };
        let state_machine = StateMachine::bootstrap(
            new_cluster_id(),
            self.settings.rules.clone(),
            name.clone(),
            member,
            initial.version,
            initial.revision,
        );
        let identity = Identity {
            cluster: state_machine.cluster_id.clone(),
            id: BOOTSTRAP_MEMBER_ID,
            name,
        };
        let persisted =
            PersistedState::bootstrap(&state_machine, initial.state, BOOTSTRAP_MEMBER_ID);
        write_identity(&mut self.log, &identity, &persisted)?;
        let version = initial.version;
        tracing::info!(cluster = identity.cluster, version, "cluster created");
        self.start_node(identity, &persisted)
    }

    /// Clears the log because the disk has an older copy of it, and joins again as a new member. This member never votes under its former
    /// raft node id again.
    pub(super) fn rejoin_with_empty_log(
        &mut self,
        last_index: u64,
        acknowledged_index: u64,
    ) -> Result<(), MemberError> {
        tracing::error!(
            last_index,
            acknowledged_index,
            "log on disk is older than what this member has acknowledged, as after a restore of the disk; joining again as a new member"
        );
        self.log.clear().map_err(MemberError::Log)?;
        self.lease.replace(None);
        self.joined = None;
        self.was_disk_restored = true;
        self.discovery.restart();
        self.abort_proposals_unless_leader();
        self.calls.abandon_all();
        Ok(())
    }
}
