//! Hollow members: the real member of a cluster with its links, messages and log on disk, without engine, API and clients, many in
//! one process. [`host`] is the side that runs them, told what to do a line of JSON at a time; [`Group`] is the other.

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

/// How long a change may take.
const LONG: Duration = Duration::from_secs(120);
/// Versions of which a member remembers when it served them.
const REMEMBERED: usize = 256;

/// Messages and bytes by kind, in the order of [`MessageKind::ALL`].
pub type Kinds = [[u64; 2]; MessageKind::COUNT];

/// One hollow member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct One {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Where it stands.
    pub zone: String,
}

/// Members that share a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Them.
    pub members: Vec<One>,
    /// Whom each knows from the start, by name.
    pub peers: BTreeMap<String, String>,
    /// What all go by.
    pub rules: Rules,
    /// Bytes of the application's state.
    pub state_bytes: usize,
    /// Entries after which the log is shortened.
    pub log_entries: u64,
    /// Each member's log is in a directory of its name in this one.
    pub directory: PathBuf,
}

/// What the side that runs members is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// To start members.
    Start(Spec),
    /// To tell what there was.
    Look,
    /// How the cluster looks from its first member.
    Status,
    /// To make a change with a payload of so many bytes by its first member; the answer comes when it is in effect.
    Change(String, usize),
    /// To let another member lead, if the first member here does.
    StepDown,
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// It is done.
    Done,
    /// What there was.
    Look(Box<Look>),
    /// How the cluster looks.
    Status(Box<Status>),
    /// It was not done.
    Failed(String),
}

/// What there was at the members of one process, summed, since they were started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Look {
    /// Processor time of the thread that runs them, in us.
    pub cpu_us: u64,
    /// Resident memory of the process, in bytes.
    pub memory: u64,
    /// Sent, by kind.
    pub out: Kinds,
    /// Received, by kind.
    pub incoming: Kinds,
    /// Messages that were dropped.
    pub dropped: u64,
    /// The members.
    pub members: Vec<Seen>,
}

/// One member as it is now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Its name.
    pub name: String,
    /// The version that it serves.
    pub version: Option<Version>,
    /// Whether it may decide under it now.
    pub decides: bool,
    /// When it began to serve the last versions, in us of the machine's clock.
    pub served: Vec<(Version, u64)>,
    /// Bytes of the last state that it was given.
    pub restored: usize,
    /// Why it has ended.
    pub ended: Option<String>,
}

struct Member {
    lease: Arc<SharedLease>,
    counters: Arc<TransportCounters>,
    seen: Arc<Mutex<Seen>>,
    said: mpsc::UnboundedSender<MemberCommand>,
}

/// Runs members as it is told, a line of JSON at a time, and answers each with a line, until nothing more comes.
///
/// # Errors
/// No thread can be had, or nobody reads the answers.
pub fn host(input: impl Read + Send + 'static, mut output: impl Write) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (tell, mut told) = mpsc::unbounded_channel();
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            for line in BufReader::new(input).lines().map_while(Result::ok) {
                if tell.send(line).is_err() {
                    return;
                }
            }
        })?;
    runtime.block_on(async {
        let mut members = Vec::new();
        while let Some(line) = told.recv().await {
            let reply = match serde_json::from_str(&line) {
                Ok(order) => obey(&mut members, order)
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

async fn obey(members: &mut Vec<Member>, order: Order) -> Result<Reply, String> {
    let first = |members: &[Member]| {
        members
            .first()
            .map(|m| m.said.clone())
            .ok_or("no member was started")
    };
    match order {
        Order::Start(spec) => {
            for one in &spec.members {
                members.push(start(&spec, one).await?);
            }
            Ok(Reply::Done)
        }
        Order::Look => Ok(Reply::Look(Box::new(look(members)))),
        Order::Status => {
            let (tell, told) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::ReportStatus(tell)); // one that has ended drops the question
            told.await
                .map(|s| Reply::Status(Box::new(s)))
                .map_err(|e| e.to_string())
        }
        Order::Change(id, bytes) => {
            let (tell, told) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::Call {
                id,
                payload: "x".repeat(bytes),
                reply: tell,
            }); // as above
            match timeout(LONG, told).await {
                Ok(Ok(Ok(_))) => Ok(Reply::Done),
                Ok(Ok(Err(why))) => Err(why.to_string()),
                Ok(Err(e)) => Err(e.to_string()),
                Err(_) => Err("a change had no end in time".into()),
            }
        }
        Order::StepDown => {
            let (tell, told) = oneshot::channel();
            let _ = first(members)?.send(MemberCommand::TransferLeadership {
                successor: None,
                reply: tell,
            }); // as above
            told.await
                .map_err(|e| e.to_string())?
                .map(|()| Reply::Done)
                .map_err(|e| e.to_string())
        }
    }
}

async fn start(spec: &Spec, one: &One) -> Result<Member, String> {
    let mut peers = spec.peers.clone();
    peers.remove(&one.name);
    let directory = spec.directory.join(&one.name);
    std::fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
    let settings = Settings {
        name: one.name.clone(),
        cluster: "lab".into(),
        address: one.address.clone(),
        zone: one.zone.clone(),
        peers,
        key: b"the lab's own key, on loopback alone".to_vec(),
        directory,
        rules: spec.rules.clone(),
        compaction_threshold: spec.log_entries,
    };
    let (tells, told) = mpsc::unbounded_channel();
    let (said, hears) = mpsc::unbounded_channel();
    let lease = Arc::new(SharedLease::default());
    let bytes = spec.state_bytes;
    let begin = Box::new(move || {
        Ok(InitialState {
            version: 1,
            revision: 1,
            state: "x".repeat(bytes),
        })
    });
    let driven = MemberRuntime::open(settings, tells, hears, lease.clone(), begin)
        .await
        .map_err(|e| e.to_string())?;
    let counters = driven.counters();
    tokio::spawn(driven.run());
    let seen = Arc::new(Mutex::new(Seen {
        name: one.name.clone(),
        ..Seen::default()
    }));
    let application = Application {
        said: said.clone(),
        seen: seen.clone(),
        state_bytes: bytes,
        entry: 0,
        reads: BTreeMap::new(),
        next_read: 0,
    };
    tokio::spawn(application.follow(told));
    Ok(Member {
        lease,
        counters,
        seen,
        said,
    })
}

fn look(members: &[Member]) -> Look {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = pages
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    let mut look = Look {
        cpu_us: time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000,
        memory: pages * rustix::param::page_size() as u64,
        ..Look::default()
    };
    for member in members {
        for kind in 0..MessageKind::COUNT {
            let (out, incoming) = (
                <[u64; 2]>::from(member.counters.sent_by_kind[kind].totals()),
                <[u64; 2]>::from(member.counters.received_by_kind[kind].totals()),
            );
            (0..2).for_each(|i| look.out[kind][i] += out[i]);
            (0..2).for_each(|i| look.incoming[kind][i] += incoming[i]);
        }
        look.dropped += member
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
        look.members.push(seen);
    }
    look
}

/// The application's side: it can take every change, and does what it is told at once.
struct Application {
    said: mpsc::UnboundedSender<MemberCommand>,
    seen: Arc<Mutex<Seen>>,
    state_bytes: usize,
    /// How much is stored.
    entry: u64,
    /// Calls that wait until it is known that this member leads.
    reads: BTreeMap<u64, (String, String)>,
    next_read: u64,
}

impl Application {
    async fn follow(mut self, mut told: mpsc::UnboundedReceiver<MemberEvent>) {
        while let Some(told) = told.recv().await {
            self.told(told);
        }
    }

    fn say(&self, said: MemberCommand) {
        let _ = self.said.send(said); // a member that has ended says so
    }

    fn accept(&self, change: String) {
        self.say(MemberCommand::ChangeValidated(Validation {
            change,
            fault: None,
        }));
    }

    fn serves(&self, version: Version) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.version = Some(version);
        if seen.served.len() >= REMEMBERED {
            seen.served.remove(0);
        }
        seen.served.push((version, cluster_runtime::clock::now()));
    }

    fn told(&mut self, told: MemberEvent) {
        match told {
            MemberEvent::ValidateChange(proposal) => self.accept(proposal.id),
            MemberEvent::FenceVersion(proposal) => self.say(MemberCommand::ChangeFenced {
                change: proposal.id,
            }),
            MemberEvent::ActivateVersion { version, .. } => {
                self.entry += 1;
                self.serves(version);
                self.say(MemberCommand::VersionServed(version));
            }
            MemberEvent::StorePayload(_) => self.entry += 1,
            MemberEvent::RestoreState { machine, state } => {
                self.seen
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .restored = state.len();
                self.entry = machine.revision;
                self.serves(machine.version);
                let change = machine.change.map(|c| PendingChange {
                    id: c.proposal.id,
                    phase: c.phase,
                });
                self.say(MemberCommand::StateRestored {
                    version: machine.version,
                    change: change.clone(),
                });
                if let Some(change) = change
                    && change.phase == Phase::Validating
                {
                    self.accept(change.id);
                }
            }
            MemberEvent::ExportState => {
                self.say(MemberCommand::StateExported("x".repeat(self.state_bytes)))
            }
            // As the API does: who leads makes sure that it does before it decides a call.
            MemberEvent::CallReceived { id, payload: text } => {
                self.next_read += 1;
                self.reads.insert(self.next_read, (id, text));
                self.say(MemberCommand::ConfirmRead(self.next_read));
            }
            MemberEvent::ReadCompleted {
                read: number,
                is_current: good,
            } => {
                if let Some((id, text)) = self.reads.remove(&number) {
                    self.decide(id, text, good);
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
            return self.say(MemberCommand::CallUnanswered { id });
        }
        let (tell, told) = oneshot::channel();
        let proposal = Proposal {
            id: format!("{id}.0"),
            base_revision: self.entry,
            payload,
        };
        self.say(MemberCommand::Propose {
            proposal,
            kind: ProposalKind::Change,
            reply: tell,
        });
        let said = self.said.clone();
        tokio::spawn(async move {
            let answer = match told.await {
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
            let _ = said.send(answer); // a member that has ended answers nothing
        });
    }
}

/// What runs a group's members.
enum Host {
    Process(
        Child,
        Box<dyn Write + Send>,
        BufReader<Box<dyn Read + Send>>,
    ),
    Thread(UnixStream, BufReader<UnixStream>),
}

/// Members that share a process, or a thread of this one.
pub struct Group {
    spec: Spec,
    /// Takes the arguments of `canvascart`; without it they run on a thread.
    command: Option<Vec<String>>,
    host: Option<Host>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Group {
    /// Members that do not run yet. `command` takes the arguments of `canvascart`; without it they are to run on a thread.
    pub fn new(spec: Spec, command: Option<Vec<String>>) -> Self {
        Group {
            spec,
            command,
            host: None,
        }
    }

    /// How many members there are.
    pub fn count(&self) -> usize {
        self.spec.members.len()
    }

    /// Whether it runs.
    pub fn runs(&self) -> bool {
        self.host.is_some()
    }

    /// What they are.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whom the members know from their start.
    pub fn know(&mut self, peers: &BTreeMap<String, String>) {
        self.spec.peers.clone_from(peers);
    }

    /// Starts them.
    ///
    /// # Errors
    /// The process, an address or a log can't be had.
    pub fn start(&mut self) -> io::Result<()> {
        self.begin()?;
        self.done()
    }

    /// Begins to start them; [`Group::done`] waits until they are.
    ///
    /// # Errors
    /// As [`Group::start`].
    pub fn begin(&mut self) -> io::Result<()> {
        self.kill();
        self.host = Some(match &self.command {
            Some(command) => {
                let (program, arguments) = command
                    .split_first()
                    .ok_or_else(|| io::Error::other("no program is named"))?;
                let mut child = Command::new(program)
                    .args(arguments)
                    .args(["--log", "error", "lab", "hollow"])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .process_group(0) // an interrupt at the terminal is the parent's to pass on
                    .spawn()?;
                let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
                    return Err(io::Error::other("a process without its pipes"));
                };
                Host::Process(child, Box::new(input), BufReader::new(Box::new(output)))
            }
            None => {
                let (own, other) = UnixStream::pair()?;
                let (input, output) = (other.try_clone()?, other);
                thread::Builder::new()
                    .name("hollow".into())
                    .spawn(move || {
                        let _ = host(input, output); // whoever asked sees that no answer comes
                    })?;
                Host::Thread(own.try_clone()?, BufReader::new(own))
            }
        });
        self.send(&Order::Start(self.spec.clone()))
    }

    /// Waits until what was ordered is done.
    ///
    /// # Errors
    /// It was not.
    pub fn done(&mut self) -> io::Result<()> {
        match self.reply()? {
            Reply::Done => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Orders something; [`Group::reply`] has the answer.
    ///
    /// # Errors
    /// It does not run, or has ended.
    pub fn send(&mut self, order: &Order) -> io::Result<()> {
        let line = format!("{}\n", serde_json::to_string(order)?);
        let sent = match &mut self.host {
            Some(Host::Process(_, input, _)) => input
                .write_all(line.as_bytes())
                .and_then(|()| input.flush()),
            Some(Host::Thread(input, _)) => input.write_all(line.as_bytes()),
            None => Err(io::Error::other("these hollow members do not run")),
        };
        sent.map_err(|e| self.died(&e))
    }

    /// The answer to an order.
    ///
    /// # Errors
    /// It has ended, or it could not do it.
    pub fn reply(&mut self) -> io::Result<Reply> {
        let mut line = String::new();
        let read = match &mut self.host {
            Some(Host::Process(_, _, output)) => output.read_line(&mut line),
            Some(Host::Thread(_, output)) => output.read_line(&mut line),
            None => Err(io::Error::other("these hollow members do not run")),
        };
        match read {
            Ok(0) => Err(self.died(&io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => match serde_json::from_str(&line)? {
                Reply::Failed(why) => Err(io::Error::other(why)),
                reply => Ok(reply),
            },
            Err(e) => Err(self.died(&e)),
        }
    }

    fn died(&mut self, why: &io::Error) -> io::Error {
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

    /// What there was.
    ///
    /// # Errors
    /// As [`Group::reply`].
    pub fn look(&mut self) -> io::Result<Look> {
        self.send(&Order::Look)?;
        match self.reply()? {
            Reply::Look(look) => Ok(*look),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Kills them: a process by SIGKILL, a thread by the end of all that it runs.
    pub fn kill(&mut self) {
        match self.host.take() {
            Some(Host::Process(mut child, ..)) => {
                let _ = child.kill(); // it may have ended
                let _ = child.wait();
            }
            Some(Host::Thread(input, mut output)) => {
                let _ = input.shutdown(Shutdown::Write); // it may have ended
                let _ = io::copy(&mut output, &mut io::sink()); // until it has let go
            }
            None => {}
        }
    }

    /// The process's number, where there is one.
    pub fn id(&self) -> Option<u32> {
        match &self.host {
            Some(Host::Process(child, ..)) => Some(child.id()),
            _ => None,
        }
    }

    /// Stops the process (SIGSTOP), or lets it go on. A thread can't be stopped.
    pub fn pause(&self, paused: bool) {
        if let Some(id) = self.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(id, if paused { Signal::STOP } else { Signal::CONT }); // it may have ended
        }
    }
}
