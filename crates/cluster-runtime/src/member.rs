//! The loop that drives one member: messages, disk and clock to the cluster's part, and what comes of it to the application.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::command::{Member, Proposal};
use cluster::error::NodeError;
use cluster::member_lease::{LeaseExpiry, Validation};
use cluster::message::MessageKind;
use cluster::node::{JoinRequest, Node, NodeConfig, ProposalKind, TICK};
use cluster::output::Output;
use cluster::persistence::{Persist, PersistedState};
use cluster::rules::{Micros, Rules};
use cluster::state_machine::{Effect, Outcome, Phase, StateMachine, Version};
use config_store::raft_log::{LogBatch, LogContents, RaftLog};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::frame::Key;
use crate::kept::{Identity, new_cluster, put_identity, saved};
use crate::mark::Mark;
use crate::message::{Body, Message, Sender};
use crate::post::{Counts, Post};
use crate::right::Right;
use crate::status::{ChangeStatus, MemberStatus, Status};

/// From one look at the clock to the next.
const STEP: Duration = Duration::from_millis(20);
/// From one time that something is asked for to the next.
const AGAIN: Micros = 300_000;
/// Messages taken in one turn, before what they came to is put on disk.
const TURN: usize = 256;
/// Calls that wait for the one that leads.
const CALLS: usize = 1024;

/// What an operator says of a member.
#[derive(Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// The cluster's name.
    pub cluster: String,
    /// Where it listens for the others.
    pub address: String,
    /// Where it stands.
    pub zone: String,
    /// The other members that are known from the start: where each is, by name.
    pub peers: BTreeMap<String, String>,
    /// The cluster's key.
    pub key: Vec<u8>,
    /// Where its log is kept.
    pub directory: PathBuf,
    /// What all go by, if this one founds the cluster.
    pub rules: Rules,
    /// Entries after which the log is shortened.
    pub log_entries: u64,
}

/// What the application is told, in this order.
#[derive(Debug)]
pub enum Told {
    /// Whether a change can be taken: [`Said::Checked`].
    Check(Proposal),
    /// Nothing is to be decided any more under the present version: [`Said::Closed`].
    Close(Proposal),
    /// A version is in effect: [`Said::Opened`].
    Open(Version, Proposal),
    /// How many members there are, and this one's number among them, by their names.
    Members(u32, u32),
    /// A change that was to be checked was given up.
    GivenUp,
    /// Something is stored.
    Note(Proposal),
    /// What the log came to until here; it replaces what the application has, if that is less: [`Said::Restored`].
    Restore(StateMachine, String),
    /// All that was told until here is to be written down: [`Said::Saved`].
    Save,
    /// What was read by this number may be answered with what there is now; or not, as another leads.
    Read(u64, bool),
    /// A call has come, by its id: [`Said::Answered`].
    Call(String, String),
    /// The member has ended: nothing may be decided any more.
    Ended(String),
}

/// What the application says.
#[derive(Debug)]
pub enum Said {
    /// A change can be taken, or why not.
    Checked(String, Result<(), String>),
    /// Nothing is decided any more, for this change.
    Closed(String),
    /// A version is served.
    Opened(Version),
    /// What was restored is served, at this version.
    Restored(Version, Option<(String, Phase)>),
    /// The application's state.
    Saved(String),
    /// The answer to a call.
    Answered(String, Result<String, String>),
    /// A call gets no answer here, as another leads; whoever took it asks that one.
    Unanswered(String),
    /// Something is to be agreed on; its end comes when it is known.
    Propose(Proposal, bool, oneshot::Sender<Result<Outcome, NodeError>>),
    /// Something was read, and is to be known to be current: [`Told::Read`].
    Confirm(u64),
    /// A call for whoever leads.
    Call(String, String, oneshot::Sender<Result<String, String>>),
    /// The service is ending: nothing is decided any more, and no change need wait for this member.
    Rest,
    /// How the cluster looks from here.
    Status(oneshot::Sender<Status>),
    /// A member is to be removed; whether it is gone.
    Remove(String, oneshot::Sender<Result<bool, NodeError>>),
    /// An operator says that this member's disk is its newest; whether there was a doubt.
    Vouch(oneshot::Sender<bool>),
    /// Another one is to lead.
    StepDown(Option<String>, oneshot::Sender<Result<(), NodeError>>),
}

/// What founds a cluster: the version, how much is stored, and the application's state.
pub type Beginning = Box<dyn FnOnce() -> Result<(Version, u64, String), String> + Send>;

/// A member that can be driven.
pub struct Driven {
    settings: Settings,
    log: RaftLog,
    post: Post,
    messages: mpsc::Receiver<Message>,
    to: mpsc::UnboundedSender<Told>,
    from: mpsc::UnboundedReceiver<Said>,
    right: Arc<Right>,
    starts: u32,
    begin: Option<Beginning>,
    identity: Option<Identity>,
    node: Option<Node>,
    address: String,
    /// Who is asked about, before this one is a member: what each has said.
    told: BTreeMap<String, Body>,
    ask_due: Micros,
    /// Where others are that wrote.
    heard: BTreeMap<u64, (String, String)>,
    waiting: BTreeMap<String, Vec<oneshot::Sender<Result<Outcome, NodeError>>>>,
    /// Calls of this instance that wait for the one that leads.
    calls: BTreeMap<String, Call>,
    /// Calls that are being answered here: who asked.
    answering: BTreeMap<String, BTreeSet<Option<String>>>,
    /// Changes whose end was heard of: in effect, and given up.
    changes: [u64; 2],
    /// Tells the next start whether the disk is this one's newest.
    mark: Mark,
    /// The disk was found to have been put back from a copy.
    put_back: bool,
    /// The cluster that another member says is the others'.
    others: Option<String>,
    foreign_due: Micros,
    /// By this the one that leads knows whether it is asked again by the same process without a disk, or by another.
    drawn: u64,
}

struct Call {
    text: String,
    due: Micros,
    sent_to: Option<u64>,
    answer: oneshot::Sender<Result<String, String>>,
}

/// Takes the right to decide away, however the member ends.
struct Ends(Arc<Right>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

/// Opens a member's log and listens; it is driven by [`Driven::run`].
///
/// # Errors
/// The log or the address can't be had.
pub async fn open(
    settings: Settings,
    to: mpsc::UnboundedSender<Told>,
    from: mpsc::UnboundedReceiver<Said>,
    right: Arc<Right>,
    begin: Beginning,
) -> Result<Driven, String> {
    let (log, logged) = RaftLog::open(&settings.directory).map_err(|e| e.to_string())?;
    let at = |e: io::Error| format!("{}: {e}", settings.address);
    let listener = TcpListener::bind(&settings.address).await.map_err(at)?;
    let address = listener.local_addr().map_err(at)?.to_string();
    tracing::info!(address, "the cluster's links listen");
    let (put, messages) = mpsc::channel(TURN * 4);
    let post = Post::new(Key::new(&settings.cluster, &settings.key), listener, put);
    let mut driven = Driven {
        post,
        messages,
        to,
        from,
        right,
        starts: logged.start_count,
        begin: Some(begin),
        identity: None,
        node: None,
        address,
        told: BTreeMap::new(),
        ask_due: 0,
        heard: BTreeMap::new(),
        waiting: BTreeMap::new(),
        calls: BTreeMap::new(),
        answering: BTreeMap::new(),
        changes: [0; 2],
        mark: Mark::read(&settings.directory),
        put_back: false,
        drawn: fastrand::u64(1..),
        others: None,
        foreign_due: 0,
        log,
        settings,
    };
    driven.remember(&logged)?;
    Ok(driven)
}

impl Driven {
    /// What its links have seen.
    pub fn counts(&self) -> Arc<Counts> {
        self.post.counts().clone()
    }

    /// Goes on as the member that the log tells of, if it tells of one.
    fn remember(&mut self, logged: &LogContents) -> Result<(), String> {
        let Some(bytes) = &logged.identity else {
            return Ok(());
        };
        let identity: Identity = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        if identity.name != self.settings.name {
            return Err(format!(
                "the directory is the member \"{}\"'s, and this one is \"{}\"",
                identity.name, self.settings.name
            ));
        }
        self.begin_with(identity, &saved(logged))
    }

    fn begin_with(&mut self, identity: Identity, saved: &PersistedState) -> Result<(), String> {
        let proven = self.mark.is_fresh();
        let node = Node::new(
            &NodeConfig {
                id: identity.id,
                process_start: self.starts,
                is_disk_confirmed: proven,
                seed: fastrand::u64(..),
            },
            saved,
            clock::now(),
        );
        let mut node = node.map_err(|e| e.to_string())?;
        node.set_compaction_threshold(self.settings.log_entries);
        self.node = Some(node);
        tracing::info!(
            name = identity.name,
            id = identity.id,
            cluster = identity.cluster,
            "is a member"
        );
        self.identity = Some(identity);
        Ok(())
    }

    /// Drives it until the application has gone, or the disk fails.
    pub async fn run(mut self) {
        // Also where the log's library finds its own log contradicted, and stops by a panic.
        let ends = Ends(self.right.clone());
        let end = self.drive().await;
        drop(ends);
        let why = end.err().unwrap_or_else(|| "the service is ending".into());
        let _ = self.to.send(Told::Ended(why)); // nobody may be there to hear it
    }

    async fn drive(&mut self) -> Result<(), String> {
        let mut step = interval(STEP);
        step.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.carry_out()?;
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => {
                        self.message(message)?;
                        for _ in 0..TURN {
                            let Ok(message) = self.messages.try_recv() else { break };
                            self.message(message)?;
                        }
                    }
                    None => return Ok(()),
                },
                said = self.from.recv() => match said {
                    Some(said) => self.said(said),
                    None => return Ok(()),
                },
                _ = step.tick() => self.step()?,
            }
            self.carry_out()?;
        }
    }

    fn me(&self) -> Sender {
        let (id, cluster) = self
            .identity
            .as_ref()
            .map_or((0, String::new()), |i| (i.id, i.cluster.clone()));
        Sender {
            name: self.settings.name.clone(),
            address: self.address.clone(),
            id,
            cluster,
        }
    }

    fn write(&mut self, name: &str, address: &str, body: Body) {
        // What the operator's file says of where another is goes before what that one says itself.
        let address = self
            .settings
            .peers
            .get(name)
            .map_or(address, String::as_str)
            .to_owned();
        let message = Message {
            from: self.me(),
            body,
        };
        self.post.send(name, &address, &message);
    }

    fn write_to(&mut self, id: u64, body: Body) {
        let of = |m: &StateMachine| {
            let found = m.members.iter().find(|(_, member)| member.id == id);
            found.map(|(name, member)| (name.clone(), member.address.clone()))
        };
        let known = self
            .node
            .as_ref()
            .and_then(Node::state_machine)
            .and_then(of);
        if let Some((name, address)) = known.or_else(|| self.heard.get(&id).cloned()) {
            self.write(&name, &address, body);
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let now = clock::now();
        self.mark.keep(now);
        if let Some(node) = &mut self.node {
            node.tick(now);
            // Without one that leads it asks as one that is no member does: the others may be of another cluster by now.
            if node.leader().is_none() && now >= self.ask_due {
                self.ask_due = now + 4 * AGAIN;
                self.ask();
            }
        } else if now >= self.ask_due {
            self.ask_due = now + AGAIN;
            self.seek()?;
        }
        self.forward(now);
        Ok(())
    }

    /// Looks for a cluster to join, and founds one where all that the file names are there and none has one.
    fn seek(&mut self) -> Result<(), String> {
        let names = self.names();
        let same = |name: &String| {
            *name == self.settings.name
                || matches!(self.told.get(name), Some(Body::Tell { leader: None, names: n }) if *n == names)
        };
        if names[0] == self.settings.name && names.iter().all(same) {
            return self.found();
        }
        let leader = self.told.values().find_map(|body| match body {
            Body::Tell {
                leader: Some(leader),
                ..
            } => Some(leader.clone()),
            _ => None,
        });
        if let Some((name, address)) = leader {
            self.write(
                &name,
                &address,
                Body::Join {
                    zone: self.settings.zone.clone(),
                    drawn: self.drawn,
                },
            );
        }
        self.ask();
        Ok(())
    }

    /// The members that the file names, and this one.
    fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.settings.peers.keys().cloned().collect();
        names.push(self.settings.name.clone());
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Asks all that the file names whether there is a cluster.
    fn ask(&mut self) {
        let names = self.names();
        for (name, address) in self.settings.peers.clone() {
            self.write(
                &name,
                &address,
                Body::Ask {
                    names: names.clone(),
                },
            );
        }
    }

    fn found(&mut self) -> Result<(), String> {
        let Some(begin) = self.begin.take() else {
            return Ok(());
        };
        let (version, entry, state) = begin()?;
        let cluster = new_cluster();
        let (name, zone) = (self.settings.name.clone(), self.settings.zone.clone());
        let member = Member {
            id: 1,
            address: self.address.clone(),
            zone,
            join_nonce: self.drawn,
        };
        let rules = self.settings.rules.clone();
        let machine =
            StateMachine::bootstrap(cluster.clone(), rules, name.clone(), member, version, entry);
        let saved = PersistedState::bootstrap(&machine, state, 1);
        let identity = Identity {
            cluster,
            id: 1,
            name,
        };
        put_identity(&mut self.log, &identity, &saved)?;
        tracing::info!(cluster = identity.cluster, version, "founds the cluster");
        self.begin_with(identity, &saved)
    }

    fn message(&mut self, message: Message) -> Result<(), String> {
        let Message { from, body } = message;
        let now = clock::now();
        let ours = self
            .identity
            .as_ref()
            .is_some_and(|i| i.cluster == from.cluster);
        if !ours && !from.cluster.is_empty() && matches!(body, Body::Node(..) | Body::Ask { .. }) {
            self.foreign(now, &from);
        }
        match body {
            Body::Node(to, message) => {
                let Some(node) = self.node.as_mut().filter(|n| ours && n.id() == to) else {
                    return Ok(());
                };
                if node
                    .state_machine()
                    .is_none_or(|m| m.name_of(from.id).is_none())
                {
                    self.heard.insert(from.id, (from.name, from.address));
                    if self.heard.len() > CALLS {
                        self.heard.pop_first();
                    }
                }
                node.receive(now, from.id, message);
            }
            Body::Ask { names } => {
                let _ = names; // whoever asks compares
                let own = self.names();
                let leader = self.leader();
                if leader.is_some() || self.identity.is_none() {
                    self.write(&from.name, &from.address, Body::Tell { leader, names: own });
                }
            }
            Body::Tell { .. } => _ = self.told.insert(from.name, body),
            Body::Join { zone, drawn } => {
                let Some(node) = &mut self.node else {
                    return Ok(());
                };
                match node.add_member(
                    now,
                    &JoinRequest {
                        name: &from.name,
                        address: &from.address,
                        zone: &zone,
                        nonce: drawn,
                    },
                ) {
                    Ok(Some(id)) => self.write(&from.name, &from.address, Body::Joined(Ok(id))),
                    Ok(None) | Err(NodeError::NotLeader) => {} // it asks again
                    Err(e) => {
                        self.write(&from.name, &from.address, Body::Joined(Err(e.to_string())))
                    }
                }
            }
            Body::Joined(Ok(id)) if self.identity.is_none() => {
                let identity = Identity {
                    cluster: from.cluster,
                    id,
                    name: self.settings.name.clone(),
                };
                put_identity(&mut self.log, &identity, &PersistedState::default())?;
                self.begin_with(identity, &PersistedState::default())?;
            }
            Body::Joined(Ok(_)) => {}
            Body::Joined(Err(why)) => tracing::info!(why, "has not joined yet"),
            Body::Call(id, text) if ours => self.called(id, text, Some(from.name)),
            Body::Reply(id, answer) if ours => {
                if let Some(call) = self.calls.remove(&id) {
                    let _ = call.answer.send(answer); // who asked may have left
                }
            }
            Body::Foreign(cluster) => {
                if self.identity.as_ref().is_some_and(|i| i.cluster != cluster) {
                    self.others = Some(cluster);
                }
            }
            Body::Call(..) | Body::Reply(..) => {}
        }
        Ok(())
    }

    /// A member of another cluster has written, such as one of before a restore: nothing of it is taken, and it is told so.
    fn foreign(&mut self, now: Micros, from: &Sender) {
        let Some(own) = self
            .identity
            .as_ref()
            .map(|i| i.cluster.clone())
            .filter(|_| now >= self.foreign_due)
        else {
            return;
        };
        self.foreign_due = now + AGAIN;
        tracing::warn!(
            name = from.name,
            cluster = from.cluster,
            "a member of another cluster is not heard"
        );
        self.write(&from.name, &from.address, Body::Foreign(own));
    }

    fn leader(&self) -> Option<(String, String)> {
        let node = self.node.as_ref()?;
        let leader = node.leader()?;
        let (name, member) = node
            .state_machine()?
            .members
            .iter()
            .find(|(_, m)| m.id == leader)?;
        Some((name.clone(), member.address.clone()))
    }

    /// A call for the one that leads has come, from here or from another.
    fn called(&mut self, id: String, text: String, from: Option<String>) {
        if !self.node.as_ref().is_some_and(Node::is_leader) || self.answering.len() >= CALLS {
            return; // it is made again
        }
        let first = !self.answering.contains_key(&id);
        self.answering.entry(id.clone()).or_default().insert(from);
        if first {
            let _ = self.to.send(Told::Call(id, text)); // the application may have gone
        }
    }

    /// Passes calls on to the one that leads, and again where it has changed or says nothing.
    fn forward(&mut self, now: Micros) {
        self.calls.retain(|_, call| !call.answer.is_closed());
        let leader = self.node.as_ref().and_then(Node::leader);
        let due = |c: &Call| now >= c.due || c.sent_to != leader;
        let ids: Vec<String> = self
            .calls
            .iter()
            .filter(|(_, c)| due(c))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            (call.due, call.sent_to) = (now + AGAIN, leader);
            let text = call.text.clone();
            match leader {
                Some(to) if Some(to) == self.node.as_ref().map(Node::id) => {
                    self.called(id, text, None)
                }
                Some(to) => self.write_to(to, Body::Call(id, text)),
                None => {}
            }
        }
    }

    fn said(&mut self, said: Said) {
        let now = clock::now();
        match said {
            Said::Call(id, text, answer) => {
                if self.calls.len() >= CALLS {
                    let _ = answer.send(Err("too many calls wait".into()));
                    return;
                }
                self.calls.insert(
                    id,
                    Call {
                        text,
                        due: 0,
                        sent_to: None,
                        answer,
                    },
                );
                return self.forward(now);
            }
            Said::Answered(id, answer) => return self.answered(&id, answer),
            Said::Unanswered(id) => {
                self.answering.remove(&id);
                return;
            }
            Said::Status(tell) => {
                let _ = tell.send(self.status(now));
                return;
            }
            _ => {}
        }
        let Some(node) = &mut self.node else { return };
        match said {
            Said::Checked(change, result) => node.change_validated(
                now,
                Validation {
                    change,
                    fault: result.err(),
                },
            ),
            Said::Closed(change) => node.change_fenced(now, &change),
            Said::Opened(version) => node.version_served(now, version),
            Said::Restored(version, change) => {
                node.version_served(now, version);
                if let Some((change, Phase::Fencing)) = change {
                    node.change_fenced(now, &change);
                }
            }
            Said::Saved(state) => node.compact(now, state),
            Said::Rest => node.release_lease(now),
            Said::Confirm(read) => {
                if node.confirm_read(now, read).is_err() {
                    let _ = self.to.send(Told::Read(read, false));
                }
            }
            Said::Propose(proposal, note, tell) => {
                let id = proposal.id.clone();
                let kind = if note {
                    ProposalKind::Storage
                } else {
                    ProposalKind::Change
                };
                match node.propose(now, proposal, kind) {
                    Ok(()) => self.waiting.entry(id).or_default().push(tell),
                    Err(e) => _ = tell.send(Err(e)),
                }
            }
            Said::Vouch(tell) => {
                let doubted = !node.is_disk_confirmed();
                node.confirm_disk();
                let _ = tell.send(doubted); // who asked may have left
            }
            Said::Remove(name, tell) => _ = tell.send(node.remove_member(now, &name)),
            Said::StepDown(to, tell) => {
                let id = to.and_then(|name| node.state_machine()?.members.get(&name).map(|m| m.id));
                let _ = tell.send(node.transfer_leadership(now, id));
            }
            Said::Call(..) | Said::Answered(..) | Said::Unanswered(_) | Said::Status(_) => {}
        }
    }

    fn answered(&mut self, id: &str, answer: Result<String, String>) {
        for who in self.answering.remove(id).unwrap_or_default() {
            match who {
                Some(name) => {
                    let address = self.node.as_ref().and_then(Node::state_machine);
                    let address = address
                        .and_then(|m| m.members.get(&name))
                        .map(|m| m.address.clone());
                    if let Some(address) = address {
                        self.write(&name, &address, Body::Reply(id.to_owned(), answer.clone()));
                    }
                }
                None => {
                    if let Some(call) = self.calls.remove(id) {
                        let _ = call.answer.send(answer.clone());
                    }
                }
            }
        }
    }

    /// The disk was put back from a copy: this member has acknowledged what it does not have any more. It is a member no longer,
    /// never votes under its number again, and joins as a new one.
    fn begin_anew(&mut self, has: u64, acknowledged: u64) -> Result<(), String> {
        tracing::error!(
            has,
            acknowledged,
            "the log on disk is older than what this member has acknowledged, as one put back from a copy is; it joins anew"
        );
        self.log.clear().map_err(|e| format!("the log: {e}"))?;
        self.right.set(None);
        (self.node, self.identity, self.ask_due) = (None, None, 0);
        (self.put_back, self.drawn) = (true, fastrand::u64(1..));
        self.told.clear();
        self.let_go();
        // Whoever waits for an answer of this member's asks the one that leads.
        self.answering.clear();
        Ok(())
    }

    /// Does what the member's part asks for, in its order.
    fn carry_out(&mut self) -> Result<(), String> {
        loop {
            let outputs = self
                .node
                .as_mut()
                .map(Node::take_outputs)
                .unwrap_or_default();
            if outputs.is_empty() {
                self.let_go();
                return Ok(());
            }
            for output in outputs {
                self.output(output)?;
            }
        }
    }

    /// Where this member leads no more, what it proposed may get lost, and its end may never be heard of: whoever waits for it asks
    /// the one that leads.
    fn let_go(&mut self) {
        if self.waiting.is_empty() || self.node.as_ref().is_some_and(Node::is_leader) {
            return;
        }
        for waits in std::mem::take(&mut self.waiting).into_values().flatten() {
            let _ = waits.send(Err(NodeError::NotLeader)); // who asked may have left
        }
    }

    fn tell_members(&self, names: &BTreeSet<String>) {
        if let Some(me) = names.iter().position(|name| *name == self.settings.name) {
            self.tell(Told::Members(me as u32, names.len() as u32));
        }
    }

    fn tell(&self, told: Told) {
        let _ = self.to.send(told); // an application that has gone is seen where it is heard
    }

    fn output(&mut self, output: Output) -> Result<(), String> {
        match output {
            Output::Persist(Persist {
                snapshot,
                replaces_log,
                entries,
                hard_state,
                acknowledged,
            }) => {
                let append = LogBatch {
                    snapshot: snapshot.as_ref().map(|s| (s.index, s.bytes.as_slice())),
                    discard_following: replaces_log,
                    entries: &entries,
                    hard_state: hard_state.as_deref(),
                    identity: None,
                    acknowledged: acknowledged.as_deref(),
                };
                fail::fail_point!("cluster-log"); // a slow disk
                self.log
                    .write(append)
                    .map_err(|e| format!("the log: {e}"))?;
            }
            Output::Send { to, message } => self.write_to(to, Body::Node(to, message)),
            Output::Effect(Effect::Validate(proposal)) => self.tell(Told::Check(proposal)),
            Output::Effect(Effect::Fence(proposal)) => self.tell(Told::Close(proposal)),
            Output::Effect(Effect::Activate { version, proposal }) => {
                self.tell(Told::Open(version, proposal))
            }
            Output::Effect(Effect::Store(proposal)) => self.tell(Told::Note(proposal)),
            Output::Effect(Effect::Completed { id, outcome }) => {
                match &outcome {
                    Outcome::Activated(_) => self.changes[0] += 1,
                    Outcome::Aborted(_) => {
                        self.changes[1] += 1;
                        self.tell(Told::GivenUp);
                    }
                    Outcome::Stored | Outcome::Conflict => {}
                }
                for waits in self.waiting.remove(&id).unwrap_or_default() {
                    let _ = waits.send(Ok(outcome.clone())); // who asked may have left
                }
            }
            Output::Effect(Effect::MembersChanged) => {
                let machine = self.node.as_ref().and_then(Node::state_machine);
                let names: BTreeSet<String> = machine
                    .map(|m| m.members.keys().cloned().collect())
                    .unwrap_or_default();
                self.tell_members(&names);
                let peers: BTreeSet<String> = self.settings.peers.keys().cloned().collect();
                self.post
                    .keep(|name| names.contains(name) || peers.contains(name));
            }
            Output::Restore {
                state_machine: machine,
                application_state: state,
            } => {
                tracing::info!(
                    version = machine.version,
                    "goes on from a snapshot of the log"
                );
                self.tell_members(&machine.members.keys().cloned().collect());
                self.tell(Told::Restore(machine, state));
            }
            Output::LeaseChanged(right) => self.right.set(right),
            Output::ReadsConfirmed(reads) => reads
                .into_iter()
                .for_each(|r| self.tell(Told::Read(r, true))),
            Output::ReadsRejected(reads) => reads
                .into_iter()
                .for_each(|r| self.tell(Told::Read(r, false))),
            Output::SnapshotNeeded => self.tell(Told::Save),
            Output::AmnesiaDetected {
                last_index,
                acknowledged_index,
            } => self.begin_anew(last_index, acknowledged_index)?,
        }
        Ok(())
    }

    fn status(&self, now: Micros) -> Status {
        let counts = self.post.counts();
        let messages = [
            &counts.sent,
            &counts.bytes,
            &counts.dropped,
            &counts.rubbish,
        ];
        let messages = messages.map(|c| c.load(Ordering::Relaxed));
        let by_kind = MessageKind::ALL
            .into_iter()
            .map(|k| (k.name().to_owned(), counts.out[k as usize].so_far()));
        let me = self.me();
        let mut status = Status {
            name: me.name,
            id: me.id,
            cluster: me.cluster,
            messages,
            sent: by_kind.filter(|(_, [messages, _])| *messages > 0).collect(),
            changes: self.changes,
            ..Status::default()
        };
        status.put_back = self.put_back;
        let Some(node) = &self.node else {
            status.fenced = Some("it has not joined yet".into());
            return status;
        };
        status.term = node.term();
        status.applied = node.applied_index();
        status.unproven = !node.is_disk_confirmed();
        status.leader = self.leader().map(|(name, _)| name);
        match node.lease().may_decide(now) {
            Ok(version) => status.decides = Some(version),
            Err(why) => status.fenced = Some(why.to_string()),
        }
        if let (Some(other), true) = (&self.others, status.decides.is_none()) {
            status.fenced = Some(format!(
                "others are of the cluster {other}, as after a restore: its state directory is to be emptied, so that it joins them"
            ));
        }
        let Some(machine) = node.state_machine() else {
            return status;
        };
        status.version = machine.version;
        let voters = node.voters();
        let member = |(name, m): (&String, &Member)| {
            let seen = node.lease_table().and_then(|t| t.observation(m.id));
            let seen = seen.unwrap_or_default();
            MemberStatus {
                name: name.clone(),
                id: m.id,
                zone: m.zone.clone(),
                address: m.address.clone(),
                votes: voters.contains(&m.id),
                version: seen.version,
                heard_ms: seen.last_report_at.map(|h| now.saturating_sub(h) / 1000),
                holds_ms: match seen.latest_expiry {
                    Some(LeaseExpiry::Never) => Some(-1),
                    Some(LeaseExpiry::At(until)) if until > now => {
                        Some(((until - now) / 1000) as i64)
                    }
                    _ => None,
                },
            }
        };
        status.members = machine.members.iter().map(member).collect();
        status.change = machine.change.as_ref().map(|change| ChangeStatus {
            id: change.proposal.id.clone(),
            phase: match change.phase {
                Phase::Validating => "checking".into(),
                Phase::Fencing => "closing".into(),
            },
            waits_for: node
                .blocking_members(now)
                .into_iter()
                .map(|w| w.name)
                .collect(),
        });
        status
    }
}

/// The shortest span in which anything is looked at.
pub const LOOK: Micros = TICK;
