//! Event loop of a member, and the state shared by its handlers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cluster::node::Node;
use cluster::rules::Micros;
use config_store::raft_log::RaftLog;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::call_table::CallTable;
use super::command::{MemberCommand, ProposalResult};
use super::discovery::{Discovery, PeerAddress};
use super::error::MemberError;
use super::event::MemberEvent;
use super::settings::{ProvideInitialState, Settings};
use crate::clock;
use crate::frame::Key;
use crate::heartbeat::ProcessHeartbeat;
use crate::lease::SharedLease;
use crate::message::{Body, Message, Sender};
use crate::status::ChangeTotals;
use crate::storage::{Identity, StorageError};
use crate::transport::{Transport, TransportCounters};

/// Interval between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of messages handled in one iteration, whose outputs are then processed together.
const MAX_MESSAGES_PER_ITERATION: usize = 256;
/// Maximum number of received messages that wait for the event loop.
const MAX_RECEIVED_MESSAGES: usize = 4 * MAX_MESSAGES_PER_ITERATION;

/// Identity and node of a member that has joined.
pub(super) struct JoinedMember {
    pub identity: Identity,
    pub node: Node,
}

/// Member of a cluster with its I/O.
pub struct MemberRuntime {
    pub(super) settings: Settings,
    pub(super) log: RaftLog,
    pub(super) transport: Transport,
    received: mpsc::Receiver<Message>,
    events: mpsc::UnboundedSender<MemberEvent>,
    commands: mpsc::UnboundedReceiver<MemberCommand>,
    pub(super) lease: Arc<SharedLease>,
    /// Number of times that the log was opened, including this one.
    pub(super) incarnation: u32,
    pub(super) provide_initial_state: Option<ProvideInitialState>,
    /// Address on which this member listens.
    pub(super) address: String,
    /// `None` before this member has joined.
    pub(super) joined: Option<JoinedMember>,
    pub(super) discovery: Discovery,
    /// Addresses of senders that are not in the membership yet, by raft node id.
    pub(super) unlisted_senders: BTreeMap<u64, PeerAddress>,
    /// Callers that wait for the result of a proposal, by proposal id.
    pub(super) proposals: BTreeMap<String, Vec<oneshot::Sender<ProposalResult>>>,
    pub(super) calls: CallTable,
    /// Completed changes that this member has seen.
    pub(super) changes: ChangeTotals,
    pub(super) heartbeat: ProcessHeartbeat,
    pub(super) was_disk_restored: bool,
    /// Id of the cluster to which other members belong, if it is not this member's cluster.
    pub(super) foreign_cluster: Option<String>,
    pub(super) next_foreign_notice_at: Micros,
}

/// Revokes the lease when the member stops, also after a panic.
struct RevokeOnDrop(Arc<SharedLease>);

impl Drop for RevokeOnDrop {
    fn drop(&mut self) {
        self.0.replace(None);
    }
}

impl MemberRuntime {
    /// Opens the log and listens for other members. The member is inactive until [`MemberRuntime::run`].
    ///
    /// # Errors
    /// The log or the address is not available, or the directory belongs to another member.
    pub async fn open(
        settings: Settings,
        events: mpsc::UnboundedSender<MemberEvent>,
        commands: mpsc::UnboundedReceiver<MemberCommand>,
        lease: Arc<SharedLease>,
        provide_initial_state: ProvideInitialState,
    ) -> Result<Self, MemberError> {
        let (log, contents) = RaftLog::open(&settings.directory).map_err(StorageError::from)?;
        let listen_error = |source| MemberError::Listen {
            address: settings.address.clone(),
            source,
        };
        let listener = TcpListener::bind(&settings.address)
            .await
            .map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?.to_string();
        tracing::info!(address, "listening for members");
        let key = Key::new(&settings.cluster, &settings.key);
        let (received_sender, received) = mpsc::channel(MAX_RECEIVED_MESSAGES);
        let mut runtime = MemberRuntime {
            transport: Transport::new(key, listener, received_sender),
            received,
            events,
            commands,
            lease,
            incarnation: contents.start_count,
            provide_initial_state: Some(provide_initial_state),
            address,
            joined: None,
            discovery: Discovery::new(&settings.name, settings.peers.keys()),
            unlisted_senders: BTreeMap::new(),
            proposals: BTreeMap::new(),
            calls: CallTable::default(),
            changes: ChangeTotals::default(),
            heartbeat: ProcessHeartbeat::read(&settings.directory),
            was_disk_restored: false,
            foreign_cluster: None,
            next_foreign_notice_at: 0,
            log,
            settings,
        };
        runtime.start_from_log(&contents)?;
        Ok(runtime)
    }

    /// Returns the counters of the transport.
    pub fn counters(&self) -> Arc<TransportCounters> {
        self.transport.counters().clone()
    }

    /// Runs the member until the application drops its channels, or a write to the log fails.
    pub async fn run(mut self) {
        let revoke = RevokeOnDrop(self.lease.clone());
        let result = self.run_event_loop().await;
        drop(revoke);
        let reason = match result {
            Ok(()) => "the service is ending".to_owned(),
            Err(e) => e.to_string(),
        };
        self.notify(MemberEvent::Stopped { reason });
    }

    async fn run_event_loop(&mut self) -> Result<(), MemberError> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.process_outputs()?;
        loop {
            tokio::select! {
                message = self.received.recv() => match message {
                    Some(message) => self.handle_messages(message)?,
                    None => return Ok(()),
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return Ok(()),
                },
                _ = ticks.tick() => self.tick()?,
            }
            self.process_outputs()?;
        }
    }

    /// Handles a message and those queued after it, up to the limit of one iteration.
    fn handle_messages(&mut self, first: Message) -> Result<(), MemberError> {
        self.handle_message(first)?;
        for _ in 0..MAX_MESSAGES_PER_ITERATION {
            let Ok(message) = self.received.try_recv() else {
                break;
            };
            self.handle_message(message)?;
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), MemberError> {
        let now = clock::now();
        self.heartbeat.write_if_due(now);
        if let Some(joined) = &mut self.joined {
            joined.node.tick(now);
            // Without a leader, the other members may belong to another cluster by now; their responses reveal it.
            let is_leaderless = joined.node.leader().is_none();
            if is_leaderless && self.discovery.begin_leaderless_attempt(now) {
                self.send_discovery_requests();
            }
        } else if self.discovery.begin_attempt(now) {
            self.attempt_to_join()?;
        }
        self.route_calls(now);
        Ok(())
    }

    pub(super) fn node(&self) -> Option<&Node> {
        let joined = self.joined.as_ref()?;
        Some(&joined.node)
    }

    /// Returns the id of this member's cluster.
    pub(super) fn cluster_id(&self) -> Option<&str> {
        let joined = self.joined.as_ref()?;
        Some(&joined.identity.cluster)
    }

    /// Returns the leader, if it is known and in the membership.
    pub(super) fn leader(&self) -> Option<PeerAddress> {
        let leader = self.node()?.leader()?;
        self.member_by_id(leader)
    }

    /// Returns this member as the sender of messages.
    pub(super) fn sender(&self) -> Sender {
        let identity = self.joined.as_ref().map(|joined| &joined.identity);
        Sender {
            name: self.settings.name.clone(),
            address: self.address.clone(),
            id: identity.map_or(0, |identity| identity.id),
            cluster: identity.map_or_else(String::new, |identity| identity.cluster.clone()),
        }
    }

    /// Sends a message to a member. An address in the settings takes precedence over the announced one.
    pub(super) fn send_to(&mut self, name: &str, announced_address: &str, body: Body) {
        let message = Message {
            from: self.sender(),
            body,
        };
        let configured_address = self.settings.peers.get(name);
        let address = configured_address.map_or(announced_address, String::as_str);
        self.transport.send(name, address, &message);
    }

    /// Sends a message to the member with this raft node id; drops the message if the address is unknown.
    pub(super) fn send_to_id(&mut self, id: u64, body: Body) {
        let peer = self
            .member_by_id(id)
            .or_else(|| self.unlisted_senders.get(&id).cloned());
        if let Some(peer) = peer {
            self.send_to(&peer.name, &peer.address, body);
        }
    }

    /// Sends an event to the application; drops it if the application has stopped.
    pub(super) fn notify(&self, event: MemberEvent) {
        let _ = self.events.send(event);
    }

    fn member_by_id(&self, id: u64) -> Option<PeerAddress> {
        let state_machine = self.node()?.state_machine()?;
        let (name, member) = state_machine
            .members
            .iter()
            .find(|(_, member)| member.id == id)?;
        Some(PeerAddress {
            name: name.clone(),
            address: member.address.clone(),
        })
    }
}
