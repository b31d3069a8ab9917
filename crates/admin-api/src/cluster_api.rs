//! The administration API of a cluster member: the leader decides each call, whichever member received it, and a
//! change is stored by all members or by none.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cluster::command::{AbortReason, Proposal};
use cluster::error::NodeError;
use cluster::member_lease::Validation;
use cluster::node::ProposalKind;
use cluster::state_machine::{Outcome as ProposalOutcome, Phase};
use cluster_runtime::member::{MemberCommand, MemberEvent, PendingChange};
use cluster_runtime::status::Status;
use config_parser::ValidationError;
use multi_tenant::document::Service;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::access::new_id;
use crate::admin_state::AgreedChange;
use crate::backup::Backup;
use crate::call::{Call, Outcome, Reply, StatusQuery};
use crate::http::{Api, PlaneCommand};
use crate::operations::{ClusterOperation, Handler, OPERATIONS, Operation};
use crate::problem::{Problem, truncated};
use crate::startup_progress::StartupProgress;

/// Time limit of a read while there is no leader.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of proposals for one change, which is proposed again if another change was agreed on first.
const MAX_PROPOSAL_ATTEMPTS: u32 = 4;
/// Time limit for the leader's view of the cluster status, and for an operator's confirmation of the disk.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to remove a member.
const REMOVAL_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Connects the API to the cluster member of this process.
pub struct ClusterHandle {
    commands: mpsc::UnboundedSender<MemberCommand>,
    /// Reads that wait for the confirmation that they are current.
    pending_reads: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    next_read: AtomicU64,
    /// Locked by the leader while it decides a write, so that it decides one at a time.
    write_lock: tokio::sync::Mutex<()>,
    /// The file's settings of the process and the listeners, as last loaded.
    file: Mutex<Service>,
    /// Time limit of a write.
    call_timeout: Duration,
    /// Progress of this instance's startup.
    pub(crate) startup: StartupProgress,
}

/// A call as one instance forwards it to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ForwardedCall {
    /// Id of the operation.
    pub operation: String,
    /// The Authorization header.
    pub authorization: Option<String>,
    /// The If-Match header.
    pub if_match: Option<String>,
    /// The If-None-Match header.
    pub if_none_match: Option<String>,
    /// The Idempotency-Key header.
    pub idempotency_key: Option<String>,
    /// Parameters of the path by name.
    pub path: BTreeMap<String, String>,
    /// Parameters of the query by name.
    pub query: BTreeMap<String, String>,
    /// Method and target.
    pub target: String,
    /// The body.
    pub body: Value,
    /// Time of the call in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// The result of a forwarded call.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum CallResult {
    Reply(Reply),
    Problem {
        kind: String,
        detail: String,
        faults: Vec<(String, String)>,
    },
    #[serde(rename = "ask")]
    Status(StatusQuery),
}

impl From<Problem> for CallResult {
    fn from(problem: Problem) -> Self {
        let faults = problem
            .faults
            .into_iter()
            .map(|fault| (fault.pointer, fault.message))
            .collect();
        CallResult::Problem {
            kind: problem.kind.into(),
            detail: problem.detail,
            faults,
        }
    }
}

impl ClusterHandle {
    /// Creates a handle that sends commands to the member.
    pub fn new(
        commands: mpsc::UnboundedSender<MemberCommand>,
        file: Service,
        startup: StartupProgress,
    ) -> Self {
        let deadline = file.cluster.as_ref().map_or(0.0, |c| c.deadline.0);
        ClusterHandle {
            commands,
            pending_reads: Mutex::default(),
            next_read: AtomicU64::new(1),
            write_lock: tokio::sync::Mutex::default(),
            file: Mutex::new(file),
            call_timeout: Duration::from_secs_f64(2.0 * deadline / 1000.0 + 10.0),
            startup,
        }
    }

    /// Records the listeners of a reloaded file that are in effect.
    pub fn set_listeners(&self, file: Service) {
        self.file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .listeners = file.listeners;
    }

    fn send(&self, command: MemberCommand) {
        let _ = self.commands.send(command); // a member that has stopped does not answer
    }

    /// Sends the member a command and waits for the answer; `None` if the member has stopped.
    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> MemberCommand,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(command(sender));
        receiver.await.ok()
    }

    /// Returns whether reads from here on are current: this instance leads, and has applied everything agreed on
    /// before.
    async fn confirm_read(&self) -> bool {
        let read_id = self.next_read.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending_reads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(read_id, sender);
        self.send(MemberCommand::ConfirmRead(read_id));
        receiver.await.unwrap_or(false)
    }

    /// Forwards a call to the leader and waits for the result.
    pub async fn forward(
        &self,
        forwarded: &ForwardedCall,
        is_write: bool,
    ) -> Result<Result<Reply, StatusQuery>, Problem> {
        let limit = if is_write {
            self.call_timeout
        } else {
            READ_TIMEOUT
        };
        let text =
            serde_json::to_string(forwarded).map_err(|e| Problem::internal(e.to_string()))?;
        let id = new_id()?;
        let answer = timeout(
            limit,
            self.request(|reply| MemberCommand::Call {
                id,
                payload: text,
                reply,
            }),
        )
        .await;
        let outcome_unknown = || {
            Problem::no_leader(
                "no instance leads, or none that can be reached; it may have been done or not",
            )
        };
        let text = match answer {
            Ok(Some(Ok(text))) => text,
            Ok(Some(Err(why))) => return Err(Problem::busy(why.to_string())),
            Ok(None) => return Err(Problem::no_leader("this instance is ending")),
            Err(_) => return Err(outcome_unknown()),
        };
        match serde_json::from_str(&text).map_err(|e| Problem::internal(e.to_string()))? {
            CallResult::Reply(reply) => Ok(Ok(reply)),
            CallResult::Status(query) => Ok(Err(query)),
            CallResult::Problem {
                kind,
                detail,
                faults,
            } => {
                let known = Problem::KINDS.iter().find(|(_, k, _)| *k == kind);
                let Some((status, kind, title)) = known.copied() else {
                    return Err(Problem::internal(format!("{kind}: {detail}")));
                };
                let faults = faults
                    .into_iter()
                    .map(|(pointer, message)| ValidationError { pointer, message })
                    .collect();
                Err(Problem {
                    status,
                    kind,
                    title,
                    detail,
                    faults,
                })
            }
        }
    }

    /// Returns this instance's view of the cluster.
    pub async fn status(&self) -> Option<Status> {
        self.request(MemberCommand::ReportStatus).await
    }
}

impl Api {
    /// Handles the member's events in order until the member stops.
    pub async fn handle_member_events(
        self: Arc<Self>,
        mut events: mpsc::UnboundedReceiver<MemberEvent>,
    ) {
        let Some(cluster) = self.cluster() else {
            return;
        };
        while let Some(event) = events.recv().await {
            match event {
                MemberEvent::ValidateChange(proposal) => self.validate_change(cluster, proposal),
                MemberEvent::MembersChanged { index, count } => {
                    self.send(PlaneCommand::SetShare(index, count));
                }
                MemberEvent::ChangeAborted => {
                    self.send(PlaneCommand::WithholdServers(BTreeMap::new()))
                }
                MemberEvent::FenceVersion(proposal) => {
                    if confirms_fence_early() {
                        cluster.send(MemberCommand::ChangeFenced {
                            change: proposal.id.clone(),
                        });
                        fail::fail_point!("closed-late"); // and continues to decide requests
                    }
                    if self.send_and_wait(PlaneCommand::CloseGate).await {
                        cluster.send(MemberCommand::ChangeFenced {
                            change: proposal.id,
                        });
                    }
                }
                MemberEvent::ActivateVersion { version, proposal } => {
                    if let Err(e) = self.activate_version(version, &proposal).await {
                        // This instance decides no requests from here on: its gate stays closed.
                        tracing::error!(version, error = e, "a version can't be served here");
                        continue;
                    }
                    cluster.send(MemberCommand::VersionServed(version));
                }
                MemberEvent::StorePayload(proposal) => {
                    let stored = AgreedChange::decode(&proposal.payload)
                        .map(|agreed| self.admin_state().store_agreed(&agreed).map(drop));
                    if let Err(e) | Ok(Err(Problem { detail: e, .. })) = stored {
                        tracing::error!(error = e, "an agreed change can't be stored here");
                    }
                    self.notify_state_changed();
                }
                MemberEvent::RestoreState { machine, state } => {
                    match self.restore_state(cluster, machine.revision, &state).await {
                        Ok(()) => {
                            let version = machine.version;
                            self.send_and_wait(|done| PlaneCommand::OpenGate(version, done))
                                .await;
                            let change = machine.change.map(|c| (c.proposal, c.phase));
                            if let Some((_, Phase::Fencing)) = change {
                                self.send_and_wait(PlaneCommand::CloseGate).await;
                            }
                            let pending = change.as_ref().map(|(proposal, phase)| PendingChange {
                                id: proposal.id.clone(),
                                phase: *phase,
                            });
                            cluster.send(MemberCommand::StateRestored {
                                version,
                                change: pending,
                            });
                            if let Some((proposal, Phase::Validating)) = change {
                                self.validate_change(cluster, proposal);
                            }
                        }
                        Err(e) => {
                            tracing::error!(error = e, "the cluster's state can't be served here")
                        }
                    }
                }
                MemberEvent::ExportState => {
                    let exported = self.admin_state().export();
                    match exported {
                        Ok(state) => cluster.send(MemberCommand::StateExported(state)),
                        Err(e) => tracing::error!(error = e, "the state can't be exported"),
                    }
                }
                MemberEvent::ReadCompleted { read, is_current } => {
                    let waiting = cluster
                        .pending_reads
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .remove(&read);
                    let _ = waiting.map(|sender| sender.send(is_current)); // the caller may have disconnected
                }
                MemberEvent::CallReceived { id, payload } => {
                    let api = self.clone();
                    tokio::spawn(async move {
                        let answer = api.answer_call(&id, &payload).await;
                        if let Some(cluster) = api.cluster() {
                            cluster.send(match answer {
                                Some(result) => MemberCommand::CallAnswered {
                                    id,
                                    answer: serde_json::to_string(&result)
                                        .map_err(|e| e.to_string().into()),
                                },
                                None => MemberCommand::CallUnanswered { id },
                            });
                        }
                    });
                }
                MemberEvent::Stopped { reason: why } => {
                    tracing::error!(
                        why,
                        "this instance is no longer a member of the cluster and decides no requests"
                    );
                    self.admin_state().set_read_only(&why);
                }
            }
        }
        self.admin_state()
            .set_read_only("the cluster's member has ended");
    }

    /// Sends the plane a command and waits until it is done; returns whether it was.
    async fn send_and_wait(
        &self,
        command: impl FnOnce(oneshot::Sender<()>) -> PlaneCommand,
    ) -> bool {
        let (done, receiver) = oneshot::channel();
        self.send(command(done));
        receiver.await.is_ok()
    }

    /// Reports whether this instance can apply a change. The servers that the change removes get no new requests from
    /// here on, independent of which members the change still waits for; if it is aborted, they get requests again.
    fn validate_change(&self, cluster: &ClusterHandle, proposal: Proposal) {
        let validated = AgreedChange::decode(&proposal.payload)
            .and_then(|agreed| self.admin_state().validate_change(&agreed));
        let validated = match validated {
            Ok(removed_servers) => {
                self.send(PlaneCommand::WithholdServers(removed_servers));
                Ok(())
            }
            Err(why) => {
                tracing::warn!(change = proposal.id, why = %truncated(&why), "this instance can't apply a change");
                Err(why)
            }
        };
        cluster.send(MemberCommand::ChangeValidated(Validation {
            change: proposal.id,
            fault: validated.err(),
        }));
    }

    async fn activate_version(&self, version: u64, proposal: &Proposal) -> Result<(), String> {
        let agreed = AgreedChange::decode(&proposal.payload)?;
        let stored = self
            .admin_state()
            .store_agreed(&agreed)
            .map_err(|p| p.detail)?;
        self.notify_state_changed();
        if let Some(prepared) = stored.prepared {
            let (done, receiver) = oneshot::channel();
            self.send(PlaneCommand::ApplyChange(Box::new(prepared), done));
            receiver
                .await
                .map_err(|_| "the service is ending".to_owned())??;
        }
        self.send(PlaneCommand::WithholdServers(BTreeMap::new()));
        if !self
            .send_and_wait(|done| PlaneCommand::OpenGate(version, done))
            .await
        {
            return Err("the service is ending".into());
        }
        if let Some(event) = stored.event {
            self.publish(event);
        }
        Ok(())
    }

    /// Restores the cluster's state if it is newer than the state of this instance.
    async fn restore_state(
        &self,
        cluster: &ClusterHandle,
        entry: u64,
        state: &str,
    ) -> Result<(), String> {
        let catalog = {
            let mut admin = self.admin_state();
            if admin.last_entry() < entry {
                admin.restore(
                    &cluster.file.lock().unwrap_or_else(PoisonError::into_inner),
                    state,
                )?;
            }
            admin.catalog().clone()
        };
        self.notify_state_changed();
        // Ends the withholding of servers by an earlier change; a change still in progress withholds its servers
        // again.
        self.send(PlaneCommand::WithholdServers(BTreeMap::new()));
        let (done, receiver) = oneshot::channel();
        self.send(PlaneCommand::ServeCatalog(catalog, done));
        receiver
            .await
            .map_err(|_| "the service is ending".to_owned())?
    }

    /// Decides a call as the leader; `None` if this instance turns out not to lead.
    async fn answer_call(&self, id: &str, text: &str) -> Option<CallResult> {
        let cluster = self.cluster()?;
        let forwarded: ForwardedCall = match serde_json::from_str(text) {
            Ok(forwarded) => forwarded,
            Err(e) => return Some(Problem::malformed(e.to_string()).into()),
        };
        let operation = OPERATIONS.iter().find(|o| o.id == forwarded.operation);
        let Some(operation) = operation else {
            let what = format!(
                "the instance that leads does not know {}",
                forwarded.operation
            );
            return Some(Problem::malformed(what).into());
        };
        if let Handler::Cluster(cluster_operation) = operation.handler {
            return self
                .run_cluster_operation(cluster, operation, cluster_operation, &forwarded)
                .await;
        }
        let _guard = match operation.is_write() {
            true => Some(cluster.write_lock.lock().await),
            false => None,
        };
        for attempt in 0..MAX_PROPOSAL_ATTEMPTS {
            if !cluster.confirm_read().await {
                return None;
            }
            let (agreed, reply) = match self.decide_forwarded(operation, id, &forwarded) {
                Ok(Outcome::Propose(agreed)) => *agreed,
                Ok(Outcome::Reply(reply)) => return Some(CallResult::Reply(reply)),
                Ok(Outcome::Status(query)) => return Some(CallResult::Status(query)),
                Ok(Outcome::Change(_)) => {
                    return Some(Problem::internal("it was not agreed on").into());
                }
                Err(problem) => return Some(problem.into()),
            };
            let kind = match agreed.transaction.edits.is_empty() {
                true => ProposalKind::Storage,
                false => ProposalKind::Change,
            };
            let proposal = Proposal {
                id: format!("{id}.{attempt}"),
                base_revision: agreed.transaction.base_entry,
                payload: agreed.encode(),
            };
            match cluster
                .request(|reply| MemberCommand::Propose {
                    proposal,
                    kind,
                    reply,
                })
                .await?
            {
                Ok(ProposalOutcome::Activated(_) | ProposalOutcome::Stored) => {
                    return Some(CallResult::Reply(reply));
                }
                Ok(ProposalOutcome::Aborted(why)) => return Some(change_aborted(&why).into()),
                Ok(ProposalOutcome::Conflict) => {}
                Err(_) => return None,
            }
        }
        Some(Problem::busy("others change the service all the time").into())
    }

    fn decide_forwarded(
        &self,
        operation: &Operation,
        id: &str,
        forwarded: &ForwardedCall,
    ) -> Result<Outcome, Problem> {
        let mut admin = self.admin_state();
        let principal = admin.authenticate(forwarded.authorization.as_deref(), forwarded.now_ms)?;
        principal.authorize(operation.permission)?;
        let call = Call {
            id: Some(id.to_owned()),
            principal,
            path: forwarded.path.clone(),
            query: forwarded.query.clone(),
            if_match: forwarded.if_match.clone(),
            if_none_match: forwarded.if_none_match.clone(),
            idempotency_key: forwarded.idempotency_key.clone(),
            target: forwarded.target.clone(),
            body: forwarded.body.clone(),
            now_ms: forwarded.now_ms,
        };
        operation.run(&mut admin, &call)
    }

    /// Runs an operation on the cluster itself.
    async fn run_cluster_operation(
        &self,
        cluster: &ClusterHandle,
        operation: &Operation,
        cluster_operation: ClusterOperation,
        forwarded: &ForwardedCall,
    ) -> Option<CallResult> {
        let may = {
            let admin = self.admin_state();
            admin
                .authenticate(forwarded.authorization.as_deref(), forwarded.now_ms)
                .and_then(|principal| principal.authorize(operation.permission))
        };
        if let Err(problem) = may {
            return Some(problem.into());
        }
        let node_problem = |e: NodeError| match e {
            NodeError::NotLeader => None,
            e => Some(CallResult::from(Problem::conflict(e.to_string()))),
        };
        match cluster_operation {
            ClusterOperation::Status => Some(CallResult::Reply(Reply::ok(cluster.status().await?))),
            ClusterOperation::ConfirmDisk | ClusterOperation::Recovery => {
                Some(Problem::internal("it concerns the instance that was asked").into())
            }
            ClusterOperation::Backup => {
                if !cluster.confirm_read().await {
                    return None;
                }
                let status = cluster.status().await?;
                let exported = {
                    let admin = self.admin_state();
                    admin.export().map(|state| (admin.version(), state))
                };
                let (version, state) = match exported {
                    Ok(exported) => exported,
                    Err(e) => return Some(Problem::internal(e).into()),
                };
                let backup = Backup::new(&status.cluster, version, forwarded.now_ms, state);
                Some(CallResult::Reply(Reply::ok(backup)))
            }
            ClusterOperation::StepDown => {
                let to = forwarded.body["to"].as_str().map(str::to_owned);
                match cluster
                    .request(|reply| MemberCommand::TransferLeadership {
                        successor: to,
                        reply,
                    })
                    .await?
                {
                    Ok(()) => Some(CallResult::Reply(Reply::ok(
                        json!({ "stepped-down": true }),
                    ))),
                    Err(e) => node_problem(e),
                }
            }
            ClusterOperation::RemoveMember => {
                let name = forwarded.path.get("member").cloned().unwrap_or_default();
                let known = cluster
                    .status()
                    .await?
                    .members
                    .iter()
                    .any(|m| m.name == name);
                if !known {
                    return Some(
                        Problem::not_found(format!("there is no member \"{name}\"")).into(),
                    );
                }
                // The member may decide requests until its lease expires, and remains a member until then.
                let end = tokio::time::Instant::now() + cluster.call_timeout;
                while tokio::time::Instant::now() < end {
                    match cluster
                        .request(|reply| MemberCommand::RemoveMember {
                            name: name.clone(),
                            reply,
                        })
                        .await?
                    {
                        Ok(true) => {
                            return Some(CallResult::Reply(Reply::ok(json!({ "removed": name }))));
                        }
                        Ok(false) => {}
                        Err(NodeError::MembershipChangeInProgress) => {}
                        Err(e) => return node_problem(e),
                    }
                    sleep(REMOVAL_RETRY_INTERVAL).await;
                }
                Some(Problem::busy("it still holds a lease").into())
            }
        }
    }

    /// Returns the cluster status as seen by this instance and by the leader.
    pub(crate) async fn cluster_status(&self, forwarded: &ForwardedCall) -> Result<Reply, Problem> {
        let cluster = self.cluster().ok_or_else(no_cluster)?;
        let here = cluster
            .status()
            .await
            .ok_or_else(|| Problem::no_leader("this instance is ending"))?;
        // Without a leader, this instance's view is returned all the same.
        let principal = self
            .admin_state()
            .authenticate(forwarded.authorization.as_deref(), forwarded.now_ms)?;
        principal.authorize(crate::access::Permission::AllTenants)?;
        let leader = match timeout(STATUS_TIMEOUT, cluster.forward(forwarded, false)).await {
            Ok(Ok(Ok(reply))) => reply.body,
            _ => Value::Null,
        };
        Ok(Reply::ok(json!({ "here": here, "leader": leader })))
    }
}

impl Api {
    /// Records an operator's confirmation that this instance has its newest disk; it needs no leader.
    pub(crate) async fn confirm_disk(&self, forwarded: &ForwardedCall) -> Result<Reply, Problem> {
        let cluster = self.cluster().ok_or_else(no_cluster)?;
        self.admin_state()
            .authenticate(forwarded.authorization.as_deref(), forwarded.now_ms)?
            .authorize(crate::access::Permission::Operator)?;
        let doubted = timeout(STATUS_TIMEOUT, cluster.request(MemberCommand::ConfirmDisk)).await;
        match doubted {
            Ok(Some(doubted)) => Ok(Reply::ok(json!({ "doubted": doubted }))),
            _ => Err(Problem::conflict("this instance is no member yet")),
        }
    }
}

/// Fault injected by tests to verify that the checker detects it: the fence is confirmed before the gate is closed.
fn confirms_fence_early() -> bool {
    fail::fail_point!("closed-too-early", |_| true);
    false
}

/// This service is not a member of a cluster.
pub fn no_cluster() -> Problem {
    Problem::not_found("this service is not one of a cluster's instances")
}

fn change_aborted(why: &[AbortReason]) -> Problem {
    let describe = |reason: &AbortReason| match reason.member.is_empty() {
        true => reason.detail.clone(),
        false => format!("{}: {}", reason.member, reason.detail),
    };
    let all: Vec<String> = why.iter().map(describe).collect();
    Problem::change_aborted(format!("it has taken hold nowhere: {}", all.join("; ")))
}
