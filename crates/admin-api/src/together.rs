//! The desk among the instances of a cluster: a call is decided by the one that leads, whoever took it, and what it changes is stored
//! everywhere or nowhere.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cluster::command::{AbortReason, Proposal};
use cluster::error::NodeError;
use cluster::member_lease::Validation;
use cluster::node::ProposalKind;
use cluster::state_machine::{Outcome as Ended, Phase};
use cluster_runtime::member::{MemberCommand, MemberEvent, PendingChange};
use cluster_runtime::status::Status;
use config_parser::ValidationError;
use multi_tenant::document::Service;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::access::new_id;
use crate::backup::Backup;
use crate::call::{Ask, Call, Outcome, Reply};
use crate::desk::Agreed;
use crate::http::{Api, Order};
use crate::operations::{Act, Joint, OPERATIONS, Operation};
use crate::problem::{Problem, short};
use crate::start::Starting;

/// How long a read may take where nobody leads.
const READ: Duration = Duration::from_secs(10);
/// How often a change is made anew that something else overtook.
const ANEW: u32 = 4;
/// How long the one that leads is waited for to tell how the cluster looks.
const STATUS: Duration = Duration::from_secs(2);
/// From one try to remove a member to the next.
const AGAIN: Duration = Duration::from_millis(200);

/// What the API has where it is one of many instances.
pub struct Together {
    said: mpsc::UnboundedSender<MemberCommand>,
    /// Reads that wait to be known to be current.
    reads: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    next_read: AtomicU64,
    /// One change at a time is decided by the one that leads.
    writing: tokio::sync::Mutex<()>,
    /// What the file says of the process and its listeners, as it was last taken.
    file: Mutex<Service>,
    /// How long a call may take.
    patience: Duration,
    /// How far this instance's start is.
    pub(crate) start: Starting,
}

/// A call as one instance passes it on to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Passed {
    /// The operation's id.
    pub operation: String,
    /// The headers that the call came with.
    pub authorization: Option<String>,
    /// As above.
    pub if_match: Option<String>,
    /// As above.
    pub if_none_match: Option<String>,
    /// As above.
    pub idempotency_key: Option<String>,
    /// What the path names.
    pub path: BTreeMap<String, String>,
    /// The query.
    pub query: BTreeMap<String, String>,
    /// Method and target.
    pub target: String,
    /// The body.
    pub body: Value,
    /// Unix time.
    pub now_ms: u64,
}

/// What came of a call that was passed on.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Given {
    Reply(Reply),
    Problem {
        kind: String,
        detail: String,
        faults: Vec<(String, String)>,
    },
    Ask(Ask),
}

impl From<Problem> for Given {
    fn from(p: Problem) -> Self {
        let faults = p
            .faults
            .into_iter()
            .map(|f| (f.pointer, f.message))
            .collect();
        Given::Problem {
            kind: p.kind.into(),
            detail: p.detail,
            faults,
        }
    }
}

impl Together {
    /// A part that speaks to this member.
    pub fn new(said: mpsc::UnboundedSender<MemberCommand>, file: Service, start: Starting) -> Self {
        let deadline = file.cluster.as_ref().map_or(0.0, |c| c.deadline.0);
        Together {
            said,
            reads: Mutex::default(),
            next_read: AtomicU64::new(1),
            writing: tokio::sync::Mutex::default(),
            file: Mutex::new(file),
            patience: Duration::from_secs_f64(2.0 * deadline / 1000.0 + 10.0),
            start,
        }
    }

    /// The file was read anew, and its listeners are in effect.
    pub fn reloaded(&self, file: Service) {
        self.file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .listeners = file.listeners;
    }

    fn say(&self, said: MemberCommand) {
        let _ = self.said.send(said); // a member that has ended answers nothing
    }

    /// Asks the member something, and waits for the answer.
    async fn ask<T>(&self, said: impl FnOnce(oneshot::Sender<T>) -> MemberCommand) -> Option<T> {
        let (tell, told) = oneshot::channel();
        self.say(said(tell));
        told.await.ok()
    }

    /// Whether what is read from here on is current: this instance leads, and has all that was agreed on before.
    async fn confirm(&self) -> bool {
        let number = self.next_read.fetch_add(1, Ordering::Relaxed);
        let (tell, told) = oneshot::channel();
        self.reads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, tell);
        self.say(MemberCommand::ConfirmRead(number));
        told.await.unwrap_or(false)
    }

    /// Passes a call on to the one that leads, and waits for what comes of it.
    pub async fn pass(&self, passed: &Passed, writes: bool) -> Result<Result<Reply, Ask>, Problem> {
        let patience = if writes { self.patience } else { READ };
        let text = serde_json::to_string(passed).map_err(|e| Problem::internal(e.to_string()))?;
        let id = new_id()?;
        let given = timeout(
            patience,
            self.ask(|reply| MemberCommand::Call {
                id,
                payload: text,
                reply,
            }),
        )
        .await;
        let lost = || {
            Problem::no_leader(
                "no instance leads, or none that can be reached; it may have been done or not",
            )
        };
        let text = match given {
            Ok(Some(Ok(text))) => text,
            Ok(Some(Err(why))) => return Err(Problem::busy(why.to_string())),
            Ok(None) => return Err(Problem::no_leader("this instance is ending")),
            Err(_) => return Err(lost()),
        };
        match serde_json::from_str(&text).map_err(|e| Problem::internal(e.to_string()))? {
            Given::Reply(reply) => Ok(Ok(reply)),
            Given::Ask(ask) => Ok(Err(ask)),
            Given::Problem {
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

    /// How the cluster looks from here.
    pub async fn status(&self) -> Option<Status> {
        self.ask(MemberCommand::ReportStatus).await
    }
}

impl Api {
    /// Does what the member tells, in its order, for as long as there is one.
    pub async fn follow(self: Arc<Self>, mut told: mpsc::UnboundedReceiver<MemberEvent>) {
        let Some(together) = self.together() else {
            return;
        };
        while let Some(told) = told.recv().await {
            match told {
                MemberEvent::ValidateChange(proposal) => self.check(together, proposal),
                MemberEvent::MembersChanged { index, count } => {
                    self.give(Order::Among(index, count));
                }
                MemberEvent::ChangeAborted => self.give(Order::HoldOff(BTreeMap::new())),
                MemberEvent::FenceVersion(proposal) => {
                    if too_early() {
                        together.say(MemberCommand::ChangeFenced {
                            change: proposal.id.clone(),
                        });
                        fail::fail_point!("closed-late"); // and goes on deciding
                    }
                    if self.order(Order::Close).await {
                        together.say(MemberCommand::ChangeFenced {
                            change: proposal.id,
                        });
                    }
                }
                MemberEvent::ActivateVersion { version, proposal } => {
                    if let Err(e) = self.open(version, &proposal).await {
                        // It decides nothing from here on: its gate stays closed.
                        tracing::error!(version, error = e, "a version can't be served here");
                        continue;
                    }
                    together.say(MemberCommand::VersionServed(version));
                }
                MemberEvent::StorePayload(proposal) => {
                    let taken =
                        Agreed::read(&proposal.payload).map(|a| self.desk().take(&a).map(drop));
                    if let Err(e) | Ok(Err(Problem { detail: e, .. })) = taken {
                        tracing::error!(error = e, "what is agreed on can't be stored here");
                    }
                    self.stored();
                }
                MemberEvent::RestoreState { machine, state } => {
                    match self.restore(together, machine.revision, &state).await {
                        Ok(()) => {
                            let version = machine.version;
                            self.order(|done| Order::OpenAt(version, done)).await;
                            let change = machine.change.map(|c| (c.proposal, c.phase));
                            if let Some((_, Phase::Fencing)) = change {
                                self.order(Order::Close).await;
                            }
                            let pending = change.as_ref().map(|(proposal, phase)| PendingChange {
                                id: proposal.id.clone(),
                                phase: *phase,
                            });
                            together.say(MemberCommand::StateRestored {
                                version,
                                change: pending,
                            });
                            if let Some((proposal, Phase::Validating)) = change {
                                self.check(together, proposal);
                            }
                        }
                        Err(e) => {
                            tracing::error!(error = e, "the cluster's state can't be served here")
                        }
                    }
                }
                MemberEvent::ExportState => {
                    let exported = self.desk().export();
                    match exported {
                        Ok(state) => together.say(MemberCommand::StateExported(state)),
                        Err(e) => tracing::error!(error = e, "the state can't be written down"),
                    }
                }
                MemberEvent::ReadCompleted { read, is_current } => {
                    let waits = together
                        .reads
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .remove(&read);
                    let _ = waits.map(|w| w.send(is_current)); // who asked may have left
                }
                MemberEvent::CallReceived { id, payload } => {
                    let api = self.clone();
                    tokio::spawn(async move {
                        let answer = api.obey(&id, &payload).await;
                        if let Some(together) = api.together() {
                            together.say(match answer {
                                Some(given) => MemberCommand::CallAnswered {
                                    id,
                                    answer: serde_json::to_string(&given)
                                        .map_err(|e| e.to_string().into()),
                                },
                                None => MemberCommand::CallUnanswered { id },
                            });
                        }
                    });
                }
                MemberEvent::Stopped { reason: why } => {
                    tracing::error!(why, "is no member any more, and decides nothing");
                    self.desk().close(&why);
                }
            }
        }
        self.desk().close("the cluster's member has ended");
    }

    /// Gives the plane an order and waits until it is done; whether it was.
    async fn order(&self, order: impl FnOnce(oneshot::Sender<()>) -> Order) -> bool {
        let (done, told) = oneshot::channel();
        self.give(order(done));
        told.await.is_ok()
    }

    /// Says whether this instance can take a change. Servers that it ends get nothing new from here on, whoever it has to wait for;
    /// if it is given up, they do again.
    fn check(&self, together: &Together, proposal: Proposal) {
        let can = Agreed::read(&proposal.payload).and_then(|a| self.desk().can_take(&a));
        let can = match can {
            Ok(ended) => {
                self.give(Order::HoldOff(ended));
                Ok(())
            }
            Err(why) => {
                tracing::warn!(change = proposal.id, why = %short(&why), "can't take a change");
                Err(why)
            }
        };
        together.say(MemberCommand::ChangeValidated(Validation {
            change: proposal.id,
            fault: can.err(),
        }));
    }

    async fn open(&self, version: u64, proposal: &Proposal) -> Result<(), String> {
        let agreed = Agreed::read(&proposal.payload)?;
        let stored = self.desk().take(&agreed).map_err(|p| p.detail)?;
        self.stored();
        if let Some(prepared) = stored.prepared {
            let (done, told) = oneshot::channel();
            self.give(Order::CarryOut(Box::new(prepared), done));
            told.await
                .map_err(|_| "the service is ending".to_owned())??;
        }
        self.give(Order::HoldOff(BTreeMap::new()));
        if !self.order(|done| Order::OpenAt(version, done)).await {
            return Err("the service is ending".into());
        }
        if let Some(happened) = stored.happened {
            self.happened(happened);
        }
        Ok(())
    }

    /// Takes over the cluster's state, where there is more of it than here.
    async fn restore(&self, together: &Together, entry: u64, state: &str) -> Result<(), String> {
        let catalog = {
            let mut desk = self.desk();
            if desk.entry() < entry {
                desk.replace(
                    &together.file.lock().unwrap_or_else(PoisonError::into_inner),
                    state,
                )?;
            }
            desk.catalog().clone()
        };
        self.stored();
        // What a change held off that was under way before; one that is now does so again.
        self.give(Order::HoldOff(BTreeMap::new()));
        let (done, told) = oneshot::channel();
        self.give(Order::Serve(catalog, done));
        told.await.map_err(|_| "the service is ending".to_owned())?
    }

    /// Decides a call as the one that leads; none if it turns out not to lead.
    async fn obey(&self, id: &str, text: &str) -> Option<Given> {
        let together = self.together()?;
        let passed: Passed = match serde_json::from_str(text) {
            Ok(passed) => passed,
            Err(e) => return Some(Problem::malformed(e.to_string()).into()),
        };
        let operation = OPERATIONS.iter().find(|o| o.id == passed.operation);
        let Some(operation) = operation else {
            let what = format!("the instance that leads does not know {}", passed.operation);
            return Some(Problem::malformed(what).into());
        };
        if let Act::Together(joint) = operation.act {
            return self.joint(together, operation, joint, &passed).await;
        }
        let _turn = match operation.writes() {
            true => Some(together.writing.lock().await),
            false => None,
        };
        for round in 0..ANEW {
            if !together.confirm().await {
                return None;
            }
            let (agreed, reply) = match self.decided(operation, id, &passed) {
                Ok(Outcome::Agree(agreed)) => *agreed,
                Ok(Outcome::Reply(reply)) => return Some(Given::Reply(reply)),
                Ok(Outcome::Ask(ask)) => return Some(Given::Ask(ask)),
                Ok(Outcome::Change(_)) => {
                    return Some(Problem::internal("it was not agreed on").into());
                }
                Err(problem) => return Some(problem.into()),
            };
            let kind = match agreed.write.edits.is_empty() {
                true => ProposalKind::Storage,
                false => ProposalKind::Change,
            };
            let proposal = Proposal {
                id: format!("{id}.{round}"),
                base_revision: agreed.write.base_entry,
                payload: agreed.write_down(),
            };
            match together
                .ask(|reply| MemberCommand::Propose {
                    proposal,
                    kind,
                    reply,
                })
                .await?
            {
                Ok(Ended::Activated(_) | Ended::Stored) => return Some(Given::Reply(reply)),
                Ok(Ended::Aborted(why)) => return Some(given_up(&why).into()),
                Ok(Ended::Conflict) => {}
                Err(_) => return None,
            }
        }
        Some(Problem::busy("others change the service all the time").into())
    }

    fn decided(
        &self,
        operation: &Operation,
        id: &str,
        passed: &Passed,
    ) -> Result<Outcome, Problem> {
        let mut desk = self.desk();
        let who = desk.who(passed.authorization.as_deref(), passed.now_ms)?;
        who.may(operation.needs)?;
        let call = Call {
            id: Some(id.to_owned()),
            who,
            path: passed.path.clone(),
            query: passed.query.clone(),
            if_match: passed.if_match.clone(),
            if_none_match: passed.if_none_match.clone(),
            idempotency_key: passed.idempotency_key.clone(),
            target: passed.target.clone(),
            body: passed.body.clone(),
            now_ms: passed.now_ms,
        };
        operation.act_on(&mut desk, &call)
    }

    /// What concerns the cluster itself.
    async fn joint(
        &self,
        together: &Together,
        operation: &Operation,
        joint: Joint,
        passed: &Passed,
    ) -> Option<Given> {
        let may = {
            let desk = self.desk();
            desk.who(passed.authorization.as_deref(), passed.now_ms)
                .and_then(|who| who.may(operation.needs))
        };
        if let Err(problem) = may {
            return Some(problem.into());
        }
        let refused = |e: NodeError| match e {
            NodeError::NotLeader => None,
            e => Some(Given::from(Problem::conflict(e.to_string()))),
        };
        match joint {
            Joint::Status => Some(Given::Reply(Reply::of(together.status().await?))),
            Joint::Vouch | Joint::Recovery => {
                Some(Problem::internal("it concerns the instance that was asked").into())
            }
            Joint::Backup => {
                if !together.confirm().await {
                    return None;
                }
                let status = together.status().await?;
                let kept = {
                    let desk = self.desk();
                    desk.export().map(|state| (desk.version(), state))
                };
                let (version, state) = match kept {
                    Ok(kept) => kept,
                    Err(e) => return Some(Problem::internal(e).into()),
                };
                let backup = Backup::of(&status.cluster, version, passed.now_ms, state);
                Some(Given::Reply(Reply::of(backup)))
            }
            Joint::StepDown => {
                let to = passed.body["to"].as_str().map(str::to_owned);
                match together
                    .ask(|reply| MemberCommand::TransferLeadership {
                        successor: to,
                        reply,
                    })
                    .await?
                {
                    Ok(()) => Some(Given::Reply(Reply::of(json!({ "stepped-down": true })))),
                    Err(e) => refused(e),
                }
            }
            Joint::Remove => {
                let name = passed.path.get("member").cloned().unwrap_or_default();
                let known = together
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
                // It may decide for as long as its lease runs, and stays a member until then.
                let end = tokio::time::Instant::now() + together.patience;
                while tokio::time::Instant::now() < end {
                    match together
                        .ask(|reply| MemberCommand::RemoveMember {
                            name: name.clone(),
                            reply,
                        })
                        .await?
                    {
                        Ok(true) => {
                            return Some(Given::Reply(Reply::of(json!({ "removed": name }))));
                        }
                        Ok(false) => {}
                        Err(NodeError::MembershipChangeInProgress) => {}
                        Err(e) => return refused(e),
                    }
                    sleep(AGAIN).await;
                }
                Some(Problem::busy("it still holds a lease").into())
            }
        }
    }

    /// How the cluster looks from here, and from the one that leads.
    pub(crate) async fn cluster_status(&self, passed: &Passed) -> Result<Reply, Problem> {
        let together = self.together().ok_or_else(no_cluster)?;
        let here = together
            .status()
            .await
            .ok_or_else(|| Problem::no_leader("this instance is ending"))?;
        // Where nobody leads, what is known here is told all the same.
        let who = self
            .desk()
            .who(passed.authorization.as_deref(), passed.now_ms)?;
        who.may(crate::access::Needs::Oversee)?;
        let leader = match timeout(STATUS, together.pass(passed, false)).await {
            Ok(Ok(Ok(reply))) => reply.body,
            _ => Value::Null,
        };
        Ok(Reply::of(json!({ "here": here, "leader": leader })))
    }
}

impl Api {
    /// An operator's word for this instance's disk; it needs nobody who leads.
    pub(crate) async fn vouch(&self, passed: &Passed) -> Result<Reply, Problem> {
        let together = self.together().ok_or_else(no_cluster)?;
        self.desk()
            .who(passed.authorization.as_deref(), passed.now_ms)?
            .may(crate::access::Needs::Operate)?;
        let doubted = timeout(STATUS, together.ask(MemberCommand::ConfirmDisk)).await;
        match doubted {
            Ok(Some(doubted)) => Ok(Reply::of(json!({ "doubted": doubted }))),
            _ => Err(Problem::conflict("this instance is no member yet")),
        }
    }
}

/// A fault that tests plant, to see the judge notice: that nothing is decided any more is told before it is so.
fn too_early() -> bool {
    fail::fail_point!("closed-too-early", |_| true);
    false
}

/// This service is not one of many instances.
pub fn no_cluster() -> Problem {
    Problem::not_found("this service is not one of a cluster's instances")
}

fn given_up(why: &[AbortReason]) -> Problem {
    let one = |r: &AbortReason| match r.member.is_empty() {
        true => r.detail.clone(),
        false => format!("{}: {}", r.member, r.detail),
    };
    let all: Vec<String> = why.iter().map(one).collect();
    Problem::given_up(format!("it has taken hold nowhere: {}", all.join("; ")))
}
