//! Hollow members: real cluster members with connections, messages and a log on disk, but without engine, API and clients,
//! many in one process. [`host`] runs them, controlled by one JSON request per line; [`Group`] is the controlling side.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use cluster::command::Proposal;
use cluster::member_lease::Validation;
use cluster::message::MessageKind;
use cluster::node::ProposalKind;
use cluster::rules::Rules;
use cluster::state_machine::{Outcome, Phase, Version};
use cluster_runtime::lease::SharedLease;
use cluster_runtime::member::{
    InitialState, MemberCommand, MemberEvent, MemberRuntime, PendingChange, Settings,
};
use cluster_runtime::status::Status;
use cluster_runtime::transport::TransportCounters;
use rustix::process::{Pid, Signal, kill_process};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Timeout of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of versions for which a member records the time of activation.
const MAX_RECORDED_VERSIONS: usize = 256;

/// Messages and bytes by kind, in the order of [`MessageKind::ALL`].
pub type TrafficByKind = [[u64; 2]; MessageKind::COUNT];

/// Name, address and zone of a hollow member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberSpec {
    /// Name of the member.
    pub name: String,
    /// Listening address.
    pub address: String,
    /// Zone of the member.
    pub zone: String,
}

/// Specification of a group of members that share a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Members of the group.
    pub members: Vec<MemberSpec>,
    /// Addresses of the initial peers, by name.
    pub peers: BTreeMap<String, String>,
    /// Rules of the cluster.
    pub rules: Rules,
    /// Size of the application state in bytes.
    pub state_bytes: usize,
    /// Number of entries after which the log is compacted.
    pub log_entries: u64,
    /// Parent directory of the members' log directories, which have the names of the members.
    pub directory: PathBuf,
}

/// Request to the host of hollow members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRequest {
    /// Start members.
    Start(GroupSpec),
    /// Read the counters.
    Look,
    /// Read the cluster status from the first member.
    Status,
    /// Make a change through the first member, with an id and a payload size in bytes; the reply is sent when the change is in
    /// effect.
    Change(String, usize),
    /// Transfer leadership to another member, if the first member leads.
    StepDown,
}

/// Reply of the host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The request has been completed.
    Done,
    /// Counters of the members.
    Look(Box<Counters>),
    /// Status of the cluster.
    Status(Box<Status>),
    /// The request failed, with the reason.
    Failed(String),
}

/// Counters of the members of one process, summed since their start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// CPU time of the thread that runs the members, in µs.
    pub cpu_us: u64,
    /// Resident memory of the process, in bytes.
    pub memory: u64,
    /// Sent messages and bytes by kind.
    pub out: TrafficByKind,
    /// Received messages and bytes by kind.
    pub incoming: TrafficByKind,
    /// Dropped messages.
    pub dropped: u64,
    /// State of each member.
    pub members: Vec<MemberState>,
}

/// Current state of a member.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberState {
    /// Name of the member.
    pub name: String,
    /// Version that the member serves.
    pub version: Option<Version>,
    /// True if the member may decide under this version now.
    pub decides: bool,
    /// Activation times of the last versions, in µs of the machine's clock.
    pub served: Vec<(Version, u64)>,
    /// Size in bytes of the last restored state.
    pub restored: usize,
    /// Reason why the member has stopped, if it has.
    pub ended: Option<String>,
}

struct Member {
    lease: Arc<SharedLease>,
    counters: Arc<TransportCounters>,
    seen: Arc<Mutex<MemberState>>,
    commands: mpsc::UnboundedSender<MemberCommand>,
}

/// Runs members as requested by lines of JSON and replies to each line with one line, until the end of the input.
///
/// # Errors
/// A thread could not be started, or a reply could not be written.
pub fn host(input: impl Read + Send + 'static, mut output: impl Write) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (line_sender, mut lines) = mpsc::unbounded_channel();
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            for line in BufReader::new(input).lines().map_while(Result::ok) {
                if line_sender.send(line).is_err() {
                    return;
                }
            }
        })?;
    runtime.block_on(async {
        let mut members = Vec::new();
        while let Some(line) = lines.recv().await {
            let reply = match serde_json::from_str(&line) {
                Ok(request) => handle_request(&mut members, request)
                    .await
                    .unwrap_or_else(Reply::Failed),
                Err(e) => Reply::Failed(e.to_string()),
            };
            writeln!(output, "{}", serde_json::to_string(&reply)?)?;
            output.flush()?;
        }
        Ok(())
    })
}

async fn handle_request(members: &mut Vec<Member>, request: HostRequest) -> Result<Reply, String> {
    let first = |members: &[Member]| {
        members
            .first()
            .map(|m| m.commands.clone())
            .ok_or("no member was started")
    };
    match request {
        HostRequest::Start(spec) => {
            for member in &spec.members {
                members.push(start(&spec, member).await?);
            }
            Ok(Reply::Done)
        }
        HostRequest::Look => Ok(Reply::Look(Box::new(read_counters(members)))),
        HostRequest::Status => {
            let (reply_sender, response) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::ReportStatus(reply_sender)); // a member that has ended drops the reply channel
            response
                .await
                .map(|s| Reply::Status(Box::new(s)))
                .map_err(|e| e.to_string())
        }
        HostRequest::Change(id, bytes) => {
            let (reply_sender, response) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::Call {
                id,
                payload: "x".repeat(bytes),
                reply: reply_sender,
            }); // a member that has ended drops the reply channel
            match timeout(CHANGE_TIMEOUT, response).await {
                Ok(Ok(Ok(_))) => Ok(Reply::Done),
                Ok(Ok(Err(why))) => Err(why.to_string()),
                Ok(Err(e)) => Err(e.to_string()),
                Err(_) => Err("the change timed out".into()),
            }
        }
        HostRequest::StepDown => {
            let (reply_sender, response) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::TransferLeadership {
                successor: None,
                reply: reply_sender,
            }); // a member that has ended drops the reply channel
            response
                .await
                .map_err(|e| e.to_string())?
                .map(|()| Reply::Done)
                .map_err(|e| e.to_string())
        }
    }
}

async fn start(spec: &GroupSpec, member: &MemberSpec) -> Result<Member, String> {
    let mut peers = spec.peers.clone();
    peers.remove(&member.name);
    let directory = spec.directory.join(&member.name);
    std::fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
    let settings = Settings {
        name: member.name.clone(),
        cluster: "lab".into(),
        address: member.address.clone(),
        zone: member.zone.clone(),
        peers,
        key: b"the lab's own key, on loopback alone".to_vec(),
        directory,
        rules: spec.rules.clone(),
        compaction_threshold: spec.log_entries,
    };
    let (event_sender, events) = mpsc::unbounded_channel();
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let lease = Arc::new(SharedLease::default());
    let bytes = spec.state_bytes;
    let initial_state = Box::new(move || {
        Ok(InitialState {
            version: 1,
            revision: 1,
            state: "x".repeat(bytes),
        })
    });
    let runtime = MemberRuntime::open(
        settings,
        event_sender,
        command_receiver,
        lease.clone(),
        initial_state,
    )
    .await
    .map_err(|e| e.to_string())?;
    let counters = runtime.counters();
    tokio::spawn(runtime.run());
    let seen = Arc::new(Mutex::new(MemberState {
        name: member.name.clone(),
        ..MemberState::default()
    }));
    let application = Application {
        commands: commands.clone(),
        seen: seen.clone(),
        state_bytes: bytes,
        revision: 0,
        reads: BTreeMap::new(),
        next_read: 0,
    };
    tokio::spawn(application.handle_events(events));
    Ok(Member {
        lease,
        counters,
        seen,
        commands,
    })
}

fn read_counters(members: &[Member]) -> Counters {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = pages
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    let mut counters = Counters {
        cpu_us: time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000,
        memory: pages * rustix::param::page_size() as u64,
        ..Counters::default()
    };
    for member in members {
        for kind in 0..MessageKind::COUNT {
            let (out, incoming) = (
                <[u64; 2]>::from(member.counters.sent_by_kind[kind].totals()),
                <[u64; 2]>::from(member.counters.received_by_kind[kind].totals()),
            );
            (0..2).for_each(|i| counters.out[kind][i] += out[i]);
            (0..2).for_each(|i| counters.incoming[kind][i] += incoming[i]);
        }
        counters.dropped += member
            .counters
            .messages_dropped
            .load(std::sync::atomic::Ordering::Relaxed);
        let mut seen = member
            .seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        seen.decides = seen
            .version
            .is_some_and(|v| member.lease.may_decide(v).is_some());
        counters.members.push(seen);
    }
    counters
}

/// Application side of a member: accepts every change and performs every event immediately.
struct Application {
    commands: mpsc::UnboundedSender<MemberCommand>,
    seen: Arc<Mutex<MemberState>>,
    state_bytes: usize,
    /// Revision of the stored state.
    revision: u64,
    /// Calls that wait for the confirmation that this member leads, by read number: id and payload.
    reads: BTreeMap<u64, (String, String)>,
    next_read: u64,
}

impl Application {
    async fn handle_events(mut self, mut events: mpsc::UnboundedReceiver<MemberEvent>) {
        while let Some(event) = events.recv().await {
            self.handle_event(event);
        }
    }

    fn send(&self, command: MemberCommand) {
        let _ = self.commands.send(command); // a member that has ended reports it with an event
    }

    fn accept_change(&self, change: String) {
        self.send(MemberCommand::ChangeValidated(Validation {
            change,
            fault: None,
        }));
    }

    fn record_version(&self, version: Version) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.version = Some(version);
        if seen.served.len() >= MAX_RECORDED_VERSIONS {
            seen.served.remove(0);
        }
        seen.served.push((version, cluster_runtime::clock::now()));
    }

    fn handle_event(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::ValidateChange(proposal) => self.accept_change(proposal.id),
            MemberEvent::FenceVersion(proposal) => self.send(MemberCommand::ChangeFenced {
                change: proposal.id,
            }),
            MemberEvent::ActivateVersion { version, .. } => {
                self.revision += 1;
                self.record_version(version);
                self.send(MemberCommand::VersionServed(version));
            }
            MemberEvent::StorePayload(_) => self.revision += 1,
            MemberEvent::RestoreState { machine, state } => {
                self.seen
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .restored = state.len();
                self.revision = machine.revision;
                self.record_version(machine.version);
                let change = machine.change.map(|c| PendingChange {
                    id: c.proposal.id,
                    phase: c.phase,
                });
                self.send(MemberCommand::StateRestored {
                    version: machine.version,
                    change: change.clone(),
                });
                if let Some(change) = change
                    && change.phase == Phase::Validating
                {
                    self.accept_change(change.id);
                }
            }
            MemberEvent::ExportState => {
                self.send(MemberCommand::StateExported("x".repeat(self.state_bytes)))
            }
            // Like the API, the leader confirms its leadership before it decides a call.
            MemberEvent::CallReceived { id, payload: text } => {
                self.next_read += 1;
                self.reads.insert(self.next_read, (id, text));
                self.send(MemberCommand::ConfirmRead(self.next_read));
            }
            MemberEvent::ReadCompleted {
                read: number,
                is_current: leads,
            } => {
                if let Some((id, text)) = self.reads.remove(&number) {
                    self.decide(id, text, leads);
                }
            }
            MemberEvent::Stopped { reason: why } => {
                self.seen
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .ended = Some(why);
            }
            MemberEvent::MembersChanged { .. } | MemberEvent::ChangeAborted => {}
        }
    }

    fn decide(&self, id: String, payload: String, leads: bool) {
        if !leads {
            return self.send(MemberCommand::CallUnanswered { id });
        }
        let (reply_sender, response) = oneshot::channel();
        let proposal = Proposal {
            id: format!("{id}.0"),
            base_revision: self.revision,
            payload,
        };
        self.send(MemberCommand::Propose {
            proposal,
            kind: ProposalKind::Change,
            reply: reply_sender,
        });
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let answer = match response.await {
                Ok(Ok(Outcome::Activated(version))) => MemberCommand::CallAnswered {
                    id,
                    answer: Ok(version.to_string()),
                },
                Ok(Ok(other)) => MemberCommand::CallAnswered {
                    id,
                    answer: Err(format!("{other:?}").into()),
                },
                _ => MemberCommand::CallUnanswered { id },
            };
            let _ = commands.send(answer); // a member that has ended gives no answer
        });
    }
}

/// Host of a group: a child process with its stdin and stdout, or a thread with its socket.
enum Host {
    Process(
        Child,
        Box<dyn Write + Send>,
        BufReader<Box<dyn Read + Send>>,
    ),
    Thread(UnixStream, BufReader<UnixStream>),
}

/// Group of members in one child process or on one thread of this process.
pub struct Group {
    spec: GroupSpec,
    /// Program that takes the arguments of `canvascart`; without one the members run on a thread.
    command: Option<Vec<String>>,
    host: Option<Host>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Group {
    /// Creates a group that is not running yet. `command` takes the arguments of `canvascart`; without it the members run on a
    /// thread.
    pub fn new(spec: GroupSpec, command: Option<Vec<String>>) -> Self {
        Group {
            spec,
            command,
            host: None,
        }
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.spec.members.len()
    }

    /// Returns true if the group is running.
    pub fn is_running(&self) -> bool {
        self.host.is_some()
    }

    /// Returns the specification of the group.
    pub fn spec(&self) -> &GroupSpec {
        &self.spec
    }

    /// Sets the initial peers of the members.
    pub fn set_peers(&mut self, peers: &BTreeMap<String, String>) {
        self.spec.peers.clone_from(peers);
    }

    /// Starts the members and waits until they run.
    ///
    /// # Errors
    /// The process could not be started, an address could not be bound, or a log could not be opened.
    pub fn start(&mut self) -> io::Result<()> {
        self.begin()?;
        self.wait_done()
    }

    /// Begins to start the members; [`Group::wait_done`] waits until they run.
    ///
    /// # Errors
    /// As [`Group::start`].
    pub fn begin(&mut self) -> io::Result<()> {
        self.kill();
        self.host = Some(match &self.command {
            Some(command) => {
                let (program, arguments) = command
                    .split_first()
                    .ok_or_else(|| io::Error::other("the command is empty"))?;
                let mut child = Command::new(program)
                    .args(arguments)
                    .args(["--log", "error", "lab", "hollow"])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .process_group(0) // the parent handles an interrupt at the terminal
                    .spawn()?;
                let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
                    return Err(io::Error::other("the process has no pipes"));
                };
                Host::Process(child, Box::new(input), BufReader::new(Box::new(output)))
            }
            None => {
                let (own, other) = UnixStream::pair()?;
                let (input, output) = (other.try_clone()?, other);
                thread::Builder::new()
                    .name("hollow".into())
                    .spawn(move || {
                        let _ = host(input, output); // the caller notices the missing reply
                    })?;
                Host::Thread(own.try_clone()?, BufReader::new(own))
            }
        });
        self.send(&HostRequest::Start(self.spec.clone()))
    }

    /// Waits until the last request is completed.
    ///
    /// # Errors
    /// The request failed.
    pub fn wait_done(&mut self) -> io::Result<()> {
        match self.reply()? {
            Reply::Done => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Sends a request; [`Group::reply`] reads the reply.
    ///
    /// # Errors
    /// The group is not running or has ended.
    pub fn send(&mut self, request: &HostRequest) -> io::Result<()> {
        let line = format!("{}\n", serde_json::to_string(request)?);
        let sent = match &mut self.host {
            Some(Host::Process(_, input, _)) => input
                .write_all(line.as_bytes())
                .and_then(|()| input.flush()),
            Some(Host::Thread(input, _)) => input.write_all(line.as_bytes()),
            None => Err(io::Error::other("these hollow members do not run")),
        };
        sent.map_err(|e| self.ended_error(&e))
    }

    /// Reads the reply to a request.
    ///
    /// # Errors
    /// The group has ended, or the request failed.
    pub fn reply(&mut self) -> io::Result<Reply> {
        let mut line = String::new();
        let read = match &mut self.host {
            Some(Host::Process(_, _, output)) => output.read_line(&mut line),
            Some(Host::Thread(_, output)) => output.read_line(&mut line),
            None => Err(io::Error::other("these hollow members do not run")),
        };
        match read {
            Ok(0) => Err(self.ended_error(&io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => match serde_json::from_str(&line)? {
                Reply::Failed(why) => Err(io::Error::other(why)),
                reply => Ok(reply),
            },
            Err(e) => Err(self.ended_error(&e)),
        }
    }

    fn ended_error(&mut self, why: &io::Error) -> io::Error {
        let who = self.spec.members.first().map_or("-", |m| &m.name);
        let ended = match &mut self.host {
            Some(Host::Process(child, ..)) => child
                .wait()
                .map_or_else(|e| e.to_string(), |s| s.to_string()),
            _ => String::new(),
        };
        io::Error::other(format!(
            "the hollow process of {who} has ended: {why}; {ended}"
        ))
    }

    /// Reads the counters of the members.
    ///
    /// # Errors
    /// As [`Group::reply`].
    pub fn read_counters(&mut self) -> io::Result<Counters> {
        self.send(&HostRequest::Look)?;
        match self.reply()? {
            Reply::Look(counters) => Ok(*counters),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Kills the members: a process by SIGKILL, a thread by closing its input and waiting for its end.
    pub fn kill(&mut self) {
        match self.host.take() {
            Some(Host::Process(mut child, ..)) => {
                let _ = child.kill(); // the process may have ended already
                let _ = child.wait();
            }
            Some(Host::Thread(input, mut output)) => {
                let _ = input.shutdown(Shutdown::Write); // the process may have ended already
                let _ = io::copy(&mut output, &mut io::sink()); // until the thread has ended
            }
            None => {}
        }
    }

    /// Returns the process id, if the group runs in a process.
    pub fn id(&self) -> Option<u32> {
        match &self.host {
            Some(Host::Process(child, ..)) => Some(child.id()),
            _ => None,
        }
    }

    /// Suspends the process (SIGSTOP) or resumes it (SIGCONT). A thread can't be suspended.
    pub fn pause(&self, paused: bool) {
        if let Some(id) = self.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(id, if paused { Signal::STOP } else { Signal::CONT }); // the process may have ended already
        }
    }
}
