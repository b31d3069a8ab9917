//! The sole owner of the decision module: feeds it what the sockets see and does what it says, in order.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use balancer::{
    Action, Balancer, CellId, ClassId, EndpointId, EndpointState, Event, HealthSnapshot,
    MachineTypeId, Millis, Outcome, RequestId, UpdateScope, ZoneId,
};
use rustc_hash::FxHashMap;
use settings::{Names, intern, stable_hash};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::account::{self, Account};
use crate::capture::{Capture, PendingRecord};
use crate::clock::Clock;
use crate::discovery::{self, DiscoveryAddress};
use crate::gate::{Ticket, stamp};
use crate::hosts::Host;
use crate::inbox::{Answer, Arrival, FAILED, GONE, Inbox, Input, REFUSED, SERVED};
use crate::lifecycle::SharedLifecycle;
use crate::load;
use crate::message::{Outgoing, Reply};
use crate::note;
use crate::peers::Peers;
use crate::upstream::{Attempt, Endpoint, News, Upstreams, Wanted};
use crate::vars::{Counters, Gauges, RequestEnd};

/// What the client is told has to be on its way this long before the client gives up, whatever happens.
const LAST_RESORT: Duration = Duration::from_millis(4);
const SWEEP: Duration = Duration::from_secs(1); // between looks at idle connections
/// A pool that has had nothing to do for so long rests, where it may: by then the module's averages and slots stand still.
const REST: Duration = Duration::from_secs(10);
/// The module's ticks that a pool makes up for when it is woken: as many as it takes to look over all servers once.
const WAKING: usize = 5;

/// A request that lacks its answer or has attempts out.
struct Live {
    /// `None` for one that was not read.
    class: Option<ClassId>,
    answer: Option<oneshot::Sender<Answer>>,
    /// Whether an attempt may still begin for it.
    wanted: Rc<Wanted>,
    message: Rc<Outgoing>,
    deadline: Instant,
    attempts: u32,
    out: u32,
    /// Its answer has begun, and is still on its way.
    passing: bool,
    /// What the capture knows of it, if there is one.
    pending: Option<PendingRecord>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    LastResort(RequestId),
}

/// What the driver needs of the other parts.
pub struct Parts {
    pub clock: Clock,
    pub capture: Option<Rc<Capture>>,
    pub inbox: Inbox,
    pub upstreams: Rc<Upstreams>,
    pub peers: Option<Rc<Peers>>,
    /// Where lists are asked for, in a pool whose module asks for them.
    pub discovery: Option<Rc<DiscoveryAddress>>,
    /// The pool's place at the gate, in a process that acts as one with others.
    pub gate: Option<Rc<Ticket>>,
    /// The account that the pool's work is put on, in a process of many tenants.
    pub account: Option<Rc<dyn Account>>,
    /// Whether it may rest: with nothing to do it has no timer, so that thousands of idle pools take no time.
    pub rests: bool,
    /// Told when the module wants a watch.
    pub watch: Rc<Notify>,
    /// Told once discovery has told the list.
    pub life: Rc<SharedLifecycle>,
    pub counts: Rc<Counters>,
}

/// What is seen of a driver from outside, between its turns: whether anything is under way, and what its module knows then.
pub struct Known {
    /// It holds no request, nor has it attempts out.
    still: Cell<bool>,
    balancer: RefCell<Balancer>,
}

impl Known {
    pub fn new(balancer: Balancer) -> Rc<Self> {
        Rc::new(Known {
            still: Cell::new(true),
            balancer: RefCell::new(balancer),
        })
    }

    /// Whether it holds no request and has no attempt out.
    pub fn is_still(&self) -> bool {
        self.still.get()
    }

    /// What the module holds against servers, and what cold ones may still be sent.
    pub fn standing(&self, now: Millis) -> HealthSnapshot {
        self.balancer.borrow().health_snapshot(now)
    }
}

/// Runs the module on what comes in.
pub struct Driver {
    known: Rc<Known>,
    names: Names,
    parts: Parts,
    endpoints: FxHashMap<EndpointId, Rc<Endpoint>>,
    live: FxHashMap<RequestId, Live>,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
    retired: bool,
    /// Discovery has told a whole list.
    listed: bool,
    /// What stands for the message of a request that was not read.
    nothing: Rc<Outgoing>,
}

impl Driver {
    pub fn new(balancer: Balancer, names: Names, parts: Parts) -> Self {
        Driver {
            known: Known::new(balancer),
            names,
            parts,
            endpoints: FxHashMap::default(),
            live: FxHashMap::default(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
            retired: false,
            listed: false,
            nothing: Rc::new(Outgoing::nothing()),
        }
    }

    /// What is seen of it from outside.
    pub fn known(&self) -> Rc<Known> {
        self.known.clone()
    }

    /// Takes inputs and timers for as long as the process runs, or until the pool is retired and all is answered.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sweep = Instant::now() + SWEEP;
        // Setting a timer that is due before all others wakes the runtime by a system call. So it is set anew only
        // for an earlier time, and when it has fired; it may fire before anything is due.
        let mut alarm = pin!(sleep_until(sweep));
        let mut fired = false;
        let mut busy = Instant::now();
        loop {
            if self.parts.rests && self.may_rest(&mut busy) {
                let Some(input) = inputs.recv().await else {
                    return;
                };
                self.wake();
                self.take(input);
                self.known.still.set(self.live.is_empty());
                (busy, fired) = (Instant::now(), true);
            }
            let next = self
                .due
                .peek()
                .map_or(sweep, |Reverse((at, _))| (*at).min(sweep));
            if std::mem::take(&mut fired) || next < alarm.deadline() {
                alarm.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                () = alarm.as_mut() => fired = true,
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            let now = Instant::now();
            while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, due))) = self.due.pop() else {
                    break;
                };
                match due {
                    Due::Module(token) => self.handle(Event::Timer(token)),
                    Due::LastResort(id) => self.last_resort(id),
                }
            }
            self.known.still.set(self.live.is_empty());
            if self.retired && self.live.is_empty() {
                return self.endpoints.values().for_each(|e| e.set_open(false));
            }
            if now >= sweep {
                self.parts.upstreams.sweep();
                sweep = now + SWEEP;
            }
        }
    }

    /// Whether a pool that was last seen busy then has had nothing to do since, for long enough.
    fn may_rest(&self, busy: &mut Instant) -> bool {
        if !self.live.is_empty() {
            *busy = Instant::now();
        }
        busy.elapsed() >= REST && !self.parts.upstreams.has_idle()
    }

    /// The module hears of the time that has passed, before it hears of anything else.
    fn wake(&mut self) {
        for _ in 0..WAKING {
            for Reverse((_, due)) in std::mem::take(&mut self.due) {
                // Requests have none left: nothing but the module's own tick means anything.
                if let Due::Module(token) = due {
                    self.handle(Event::Timer(token));
                }
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.request(*arrival),
            Input::Unadmitted { id, wait, answer } => self.unadmitted(id, wait, answer),
            Input::Gone(id) => {
                if self.close(id, GONE).is_some() {
                    self.handle(Event::ClientDisconnected(id));
                }
            }
            Input::Ended {
                request,
                attempt,
                latency,
                outcome,
                reply,
            } => {
                self.ended(request, attempt, latency, outcome, reply);
            }
            Input::Whole(id) => self.whole(id),
            Input::Began {
                request,
                attempt,
                reply,
            } => self.began(request, attempt, reply),
            Input::List { scope, seq, hosts } => self.list(scope, seq, hosts),
            Input::Datagram { from, bytes } => self.handle(Event::Gossip { from, bytes }),
            Input::Proxies { me, proxies } => self.handle(Event::ProxyCount {
                proxy_index: me,
                proxy_count: proxies,
            }),
            Input::Settings(settings) => self.handle(Event::Settings(settings)),
            Input::Standing(standing) => self.handle(Event::HealthRestored(standing)),
            Input::Ask(tell) => {
                let _ = tell.send(self.held()); // who asked may have left
            }
            Input::Retire => self.retired = true,
        }
    }

    fn unadmitted(&mut self, id: RequestId, wait: Millis, answer: oneshot::Sender<Answer>) {
        let live = Live {
            class: None,
            answer: Some(answer),
            wanted: Rc::default(),
            message: self.nothing.clone(),
            deadline: Instant::now(),
            attempts: 0,
            out: 0,
            passing: false,
            pending: None,
        };
        self.live.insert(id, live);
        self.handle(Event::ProcessShareExceeded {
            id,
            retry_after: wait,
        });
    }

    fn request(&mut self, arrival: Arrival) {
        let Arrival {
            id,
            class,
            tenant,
            key,
            hint,
            patience,
            deadline,
            mut message,
            answer,
            decided,
        } = arrival;
        if let Some(gate) = &self.parts.gate {
            let Some(now) = gate.decide() else {
                let _ = answer.send(Answer::Again(Box::new(message))); // its client may have left
                return;
            };
            decided.inspect(|d| d.set(Some(now)));
            if gate.stamps() {
                stamp(&mut message.headers, now);
            }
        }
        let last = deadline - LAST_RESORT;
        let whole = message.body.upload().is_none();
        let budget = last.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        self.live.insert(
            id,
            Live {
                class: Some(class),
                answer: Some(answer),
                wanted: Rc::default(),
                message: Rc::new(message),
                deadline,
                attempts: 0,
                out: 0,
                passing: false,
                pending: self
                    .parts
                    .capture
                    .as_ref()
                    .map(|c| c.start_record(class, tenant, patience)),
            },
        );
        self.parts.counts.request_accepted(class.0);
        self.due.push(Reverse((last, Due::LastResort(id))));
        self.handle(Event::Request {
            id,
            class,
            tenant,
            key,
            timeout: budget,
            expected_work: hint,
            body_complete: whole,
        });
    }

    /// Answers a request that nobody else has answered in time. It may have run, so it has failed.
    fn last_resort(&mut self, id: RequestId) {
        let coming = |l: &Live| {
            l.message
                .body
                .upload()
                .is_some_and(|u| u.is_touched() && !u.is_passed())
        };
        if self.live.get(&id).is_some_and(|l| {
            coming(l) && l.out > 0 || l.deadline > Instant::now() + 2 * LAST_RESORT
        }) {
            return; // its time has not begun, or has begun anew
        }
        if let Some(answer) = self.close(id, FAILED) {
            let _ = answer.send(Answer::Failed); // a client that has left needs none
            self.handle(Event::ClientDisconnected(id));
        }
    }

    /// A request that was still coming in has gone out whole: its time begins.
    fn whole(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let Some(upload) = live.message.body.upload() else {
            return;
        };
        live.deadline = Instant::now() + upload.patience;
        let last = live.deadline - LAST_RESORT;
        let budget = last.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        self.due.push(Reverse((last, Due::LastResort(id))));
        self.handle(Event::BodyComplete {
            id,
            timeout: budget,
        });
    }

    /// The client owns an answer that has begun: it is neither cut at the deadline nor made anew.
    fn began(&mut self, request: RequestId, attempt: u32, reply: Reply) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let Some(answer) = live.answer.take() else {
            return;
        }; // who reads the answer's body sees that nobody wants it
        live.wanted.end();
        live.passing = true;
        let _ = answer.send(Answer::Served(reply)); // likewise, if the client has just left
        self.handle(Event::ResponseStarted {
            request,
            attempt,
            processing_done: true,
        });
    }

    fn ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        latency: Millis,
        outcome: Outcome,
        reply: Option<Reply>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.out -= 1;
        if let Some(pending) = &mut live.pending {
            pending.attempt_ended(attempt, outcome);
        }
        let was_open = live.answer.is_some();
        let upload = live.message.body.upload().cloned();
        if upload.as_ref().is_some_and(|u| u.is_touched()) {
            self.handle(Event::BodyDiscarded(request));
        }
        if let Some(load) = reply.as_ref().and_then(|r| load::told(&r.headers)) {
            self.handle(Event::LoadReport {
                request,
                attempt,
                load,
            });
        }
        if upload.is_some_and(|u| u.is_lost()) && self.close(request, GONE).is_some() {
            self.handle(Event::ClientDisconnected(request));
        }
        if self.live.get(&request).is_some_and(|l| l.passing) {
            let code = match outcome {
                Outcome::Served => SERVED,
                Outcome::Cancelled => GONE,
                _ => FAILED,
            };
            self.close(request, code);
            return self.handle(Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                request_finished: true,
            });
        }
        if let (Outcome::Served, Some(reply)) = (outcome, reply)
            && let Some(answer) = self.close(request, SERVED)
        {
            let _ = answer.send(Answer::Served(reply)); // else the client has just left
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.forget(request);
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            latency,
            outcome,
            request_finished: closed,
        });
    }

    /// Takes the right to answer a request, with this code; from here on nothing more begins for it.
    fn close(&mut self, id: RequestId, code: u16) -> Option<oneshot::Sender<Answer>> {
        let live = self.live.get_mut(&id)?;
        live.wanted.end();
        let answer = live.answer.take();
        let open = std::mem::take(&mut live.passing) || answer.is_some();
        if let (Some(class), true) = (live.class, open) {
            let end = match code {
                SERVED => RequestEnd::Answered,
                REFUSED => RequestEnd::Deferred,
                GONE => RequestEnd::Abandoned,
                _ => RequestEnd::Errored,
            };
            self.parts.counts.request_ended(class.0, end);
        }
        if let (Some(capture), Some(pending)) = (&self.parts.capture, live.pending.take()) {
            capture.finish_record(&pending, &live.message, code);
        }
        self.forget(id);
        answer
    }

    /// What is held now.
    fn held(&self) -> Gauges {
        let endpoints = self
            .known
            .balancer
            .borrow()
            .endpoint_counts(self.parts.clock.now());
        let in_flight = self
            .live
            .values()
            .filter(|l| l.class.is_some() && (l.answer.is_some() || l.passing))
            .count();
        Gauges {
            in_flight,
            listed_endpoints: endpoints.listed,
            ejected_endpoints: endpoints.ejected,
        }
    }

    fn forget(&mut self, id: RequestId) {
        if self
            .live
            .get(&id)
            .is_some_and(|l| l.answer.is_none() && !l.passing && l.out == 0)
        {
            self.live.remove(&id);
        }
    }

    fn list(&mut self, scope: UpdateScope, seq: Option<u64>, hosts: Vec<Host>) {
        // A remembered list is older than one that discovery has told.
        if scope == UpdateScope::Cached && self.listed {
            return;
        }
        self.listed |= scope == UpdateScope::Full;
        if let Some(capture) = self
            .parts
            .capture
            .as_ref()
            .filter(|_| scope != UpdateScope::Failed)
        {
            capture.list_updated(scope, seq, &hosts);
        }
        let whole = matches!(scope, UpdateScope::Full | UpdateScope::Cached);
        let entries: Vec<balancer::Endpoint> =
            hosts.into_iter().map(|host| self.backend(host)).collect();
        if whole {
            let listed: rustc_hash::FxHashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (_, endpoint) in self.endpoints.iter().filter(|(id, _)| !listed.contains(id)) {
                endpoint.set_open(false);
            }
        }
        let some = !entries.is_empty();
        self.handle(Event::EndpointUpdate {
            scope,
            endpoints: entries,
        });
        match scope {
            UpdateScope::Cached if !some => {}
            UpdateScope::Full | UpdateScope::Cached => {
                self.parts.life.update(|life, _| life.mark_list_received())
            }
            UpdateScope::Delta | UpdateScope::Failed => {}
        }
    }

    /// Notes where a backend is, and whether something new may go there.
    fn backend(&mut self, host: Host) -> balancer::Endpoint {
        let id = EndpointId(stable_hash(&host.host));
        let state = host.state();
        if let Some(address) = host.dial {
            let same = |e: &Rc<Endpoint>| e.address == address && e.born_ms == host.born_ms;
            if !self.endpoints.get(&id).is_some_and(same) {
                let endpoint = Endpoint::new(address, host.born_ms);
                self.parts.upstreams.add(&endpoint);
                if let Some(old) = self.endpoints.insert(id, endpoint) {
                    old.set_open(false);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            endpoint.set_open(state == EndpointState::Up);
        }
        balancer::Endpoint {
            id,
            zone: host
                .site
                .map(|z| ZoneId(intern(&mut self.names.zones, &z) as u32)),
            machine_type: host
                .class
                .map(|k| MachineTypeId(intern(&mut self.names.machine_types, &k) as u32)),
            cell: host.block.map(CellId),
            state,
            weight: host.share.unwrap_or(1.0),
            started_at: self.parts.clock.born(host.born_ms),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.parts.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.known
            .balancer
            .borrow_mut()
            .handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Forward {
                request,
                endpoint: backend,
                timeout,
                start_by: begin_by,
            } => {
                self.send(request, backend, timeout, begin_by);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if let Some(answer) = self.close(request, REFUSED) {
                    let _ = answer.send(Answer::Refused(retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(answer) = self.close(request, FAILED) {
                    let _ = answer.send(Answer::Failed);
                }
            }
            Action::Timer { token, at } => {
                self.due
                    .push(Reverse((self.parts.clock.instant(at), Due::Module(token))));
            }
            Action::Broadcast(bytes) => {
                if let Some(peers) = &self.parts.peers {
                    peers.tell(&bytes);
                }
            }
            Action::Subscribe => self.parts.watch.notify_one(),
            Action::FetchEndpoints => {
                if let Some(place) = &self.parts.discovery {
                    tokio::task::spawn_local(discovery::fetch_list(
                        place.get(),
                        self.parts.inbox.clone(),
                    ));
                }
            }
        }
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: EndpointId,
        timeout: Option<Millis>,
        begin_by: Option<Millis>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return note!("a send for a request that is not held");
        };
        let mut report = Report {
            inbox: self.parts.inbox.clone(),
            request,
            attempt: live.attempts,
            sent: Instant::now(),
            told: false,
        };
        live.attempts += 1;
        live.out += 1;
        if let (Some(capture), Some(pending)) = (&self.parts.capture, &mut live.pending) {
            capture.attempt_started(pending, backend);
        }
        let Some(endpoint) = self
            .endpoints
            .get(&backend)
            .filter(|e| live.wanted.holds() && e.is_open())
        else {
            return report.tell(Outcome::NotSent, None);
        };
        let until = timeout.map_or(live.deadline, |t| {
            live.deadline
                .min(report.sent + Duration::from_secs_f64(t.clamp(0.0, 1e9) / 1000.0))
        });
        let upstreams = self.parts.upstreams.clone();
        let (wanted, message) = (live.wanted.clone(), live.message.clone());
        let before = begin_by.map(|at| self.parts.clock.instant(at));
        let attempt = Attempt {
            endpoint: endpoint.clone(),
            wanted,
            message,
            until,
            before,
        };
        let Some(account) = &self.parts.account else {
            tokio::task::spawn_local(async move {
                upstreams.attempt(attempt, |news| report.pass(news)).await;
            });
            return;
        };
        let Some(visit) = Visit::begin(account, attempt.endpoint.address) else {
            return report.tell(Outcome::Overloaded, None); // the module tries elsewhere, or later
        };
        tokio::task::spawn_local(account::on(account.clone(), async move {
            let mut visit = Some(visit);
            let told = |news| {
                if matches!(news, News::Ended(..)) {
                    visit = None; // before the module hears of it, lest it send the next one into a full house
                }
                report.pass(news);
            };
            upstreams.attempt(attempt, told).await;
        }));
    }
}

/// A place at a server that other tenants use, too; given back when dropped.
struct Visit {
    account: Rc<dyn Account>,
    server: u64,
}

impl Visit {
    fn begin(account: &Rc<dyn Account>, address: SocketAddr) -> Option<Self> {
        let server = server_number(address);
        account.visit(server).then(|| Visit {
            account: account.clone(),
            server,
        })
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.account.leave(self.server);
    }
}

/// The number by which accounts know the server at an address, the same for all tenants.
pub fn server_number(address: SocketAddr) -> u64 {
    stable_hash(&address.to_string())
}

/// Tells how an attempt ended, exactly once: an attempt that dies on the way may have run.
struct Report {
    inbox: Inbox,
    request: RequestId,
    attempt: u32,
    sent: Instant,
    told: bool,
}

impl Report {
    fn pass(&mut self, news: News) {
        let (request, attempt) = (self.request, self.attempt);
        match news {
            News::Whole => {
                self.sent = Instant::now();
                self.inbox.put(Input::Whole(request));
            }
            News::Began(reply) => self.inbox.put(Input::Began {
                request,
                attempt,
                reply,
            }),
            News::Ended(outcome, reply) => self.tell(outcome, reply),
        }
    }

    fn tell(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.told = true;
        let latency = self.sent.elapsed().as_secs_f64() * 1000.0;
        let (request, attempt) = (self.request, self.attempt);
        self.inbox.put(Input::Ended {
            request,
            attempt,
            latency,
            outcome,
            reply,
        });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.told {
            self.tell(Outcome::Reset, None);
        }
    }
}
