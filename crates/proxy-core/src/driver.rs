//! Sole owner of the balancer: passes it events from the sockets and carries out its actions in order.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use balancer::{
    Action, Balancer, CellId, ClassId, EndpointId, EndpointState, Event, HealthSnapshot,
    MachineTypeId, Millis, Outcome, Reception, RequestId, UpdateScope, ZoneId,
};
use rustc_hash::FxHashMap;
use settings::{Names, intern, stable_hash};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::account::{self, TenantAccount};
use crate::attempt_control::AttemptControl;
use crate::attempt_report::{AttemptReport, EndpointPermit};
use crate::capture::{Capture, PendingRecord};
use crate::client_presence::ClientPresence;
use crate::clock::Clock;
use crate::discovery::{self, DiscoveryAddress};
use crate::gate::{PoolGate, insert_stamp};
use crate::hosts::Host;
use crate::inbox::{
    Answer, Inbox, IncomingRequest, Input, STATUS_CLIENT_CLOSED, STATUS_FAILED, STATUS_REJECTED,
    STATUS_SERVED,
};
use crate::lifecycle::SharedLifecycle;
use crate::load_report;
use crate::log::note_request;
use crate::message::{EndpointResponse, OutboundRequest};
use crate::note;
use crate::peers::Peers;
use crate::request_end::{EndReason, outcome_name};
use crate::upload::{ReceiveChange, Upload};
use crate::upstream::{Attempt, AttemptEvent, Endpoint, Upstreams};
use crate::vars::{Counters, Gauges, RequestEnd};

/// Every answer must be sent this long before the client's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1); // interval of checks for idle connections
/// The idle time after which a pool may sleep; by then the balancer's averages and slots no longer change.
const SLEEP_AFTER: Duration = Duration::from_secs(10);
/// The number of missed balancer ticks that a pool runs when it wakes, which is enough to check all endpoints once.
const CATCH_UP_TICKS: usize = 5;

/// A request without an answer or with attempts in flight.
struct ActiveRequest {
    /// `None` for a request that was not read.
    class: Option<ClassId>,
    response_sender: Option<oneshot::Sender<Answer>>,
    /// Permits attempts for the request.
    control: Rc<AttemptControl>,
    outbound: Rc<OutboundRequest>,
    /// `None` for a request that was not read.
    client: Option<ClientPresence>,
    deadline: Instant,
    attempts: u32,
    attempts_in_flight: u32,
    /// The response has begun and is still being sent.
    streaming: bool,
    /// The capture's entry for the request, if capturing is enabled.
    capture_entry: Option<PendingRecord>,
}

impl ActiveRequest {
    /// Returns the time at which the client gives up, if it has sent its last byte by now.
    fn client_deadline(&self) -> Instant {
        let upload = self.outbound.body.upload();
        upload.map_or(self.deadline, |upload| {
            upload.client_deadline().min(self.deadline)
        })
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Balancer(u64),
    AnswerDeadline(RequestId),
}

/// The components that the driver uses.
pub struct Parts {
    pub clock: Clock,
    pub capture: Option<Rc<Capture>>,
    pub inbox: Inbox,
    pub upstreams: Rc<Upstreams>,
    pub peers: Option<Rc<Peers>>,
    /// The address to fetch complete lists from, if the balancer requests them.
    pub discovery: Option<Rc<DiscoveryAddress>>,
    /// The pool's part of the decision gate, in a process that is a member of a cluster.
    pub gate: Option<Rc<PoolGate>>,
    /// The account charged for the pool's work, in a process of many tenants.
    pub account: Option<Rc<dyn TenantAccount>>,
    /// True if an idle pool sleeps without a timer, so that thousands of idle pools take no processor time.
    pub may_sleep: bool,
    /// Notified when the balancer subscribes to discovery.
    pub subscribe: Rc<Notify>,
    /// Notified once there is an endpoint list.
    pub lifecycle: Rc<SharedLifecycle>,
    pub counts: Rc<Counters>,
}

/// The driver's state as seen from outside between its polls.
pub struct DriverState {
    /// True if there are no active requests or attempts.
    idle: Cell<bool>,
    balancer: RefCell<Balancer>,
}

impl DriverState {
    pub fn new(balancer: Balancer) -> Rc<Self> {
        Rc::new(DriverState {
            idle: Cell::new(true),
            balancer: RefCell::new(balancer),
        })
    }

    /// Returns whether there are no active requests or attempts.
    pub fn is_idle(&self) -> bool {
        self.idle.get()
    }

    /// Returns the health state of the balancer: ejections, and the remaining slow-start limits of cold endpoints.
    pub fn health_snapshot(&self, now: Millis) -> HealthSnapshot {
        self.balancer.borrow().health_snapshot(now)
    }
}

/// Runs the balancer on incoming events.
pub struct Driver {
    state: Rc<DriverState>,
    names: Names,
    parts: Parts,
    endpoints: FxHashMap<EndpointId, Rc<Endpoint>>,
    requests: FxHashMap<RequestId, ActiveRequest>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    actions: Vec<Action>,
    retired: bool,
    /// Discovery has sent a full list.
    has_full_list: bool,
    /// A placeholder for requests that were not read.
    empty_request: Rc<OutboundRequest>,
    /// The reason for which the event in progress may end a request.
    reason: EndReason,
}

impl Driver {
    pub fn new(balancer: Balancer, names: Names, parts: Parts) -> Self {
        Driver {
            state: DriverState::new(balancer),
            names,
            parts,
            endpoints: FxHashMap::default(),
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            retired: false,
            has_full_list: false,
            empty_request: Rc::new(OutboundRequest::empty()),
            reason: EndReason::Other,
        }
    }

    /// Returns the state that is visible from outside.
    pub fn state(&self) -> Rc<DriverState> {
        self.state.clone()
    }

    /// Processes inputs and timers until the inbox closes, or until the pool is retired and all requests are
    /// answered.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        // Setting a timer that is due before all others wakes the runtime with a system call. So the timer is only
        // moved to an earlier time, or set again after it has fired; it may fire before anything is due.
        let mut wakeup = pin!(sleep_until(next_sweep));
        let mut fired = false;
        let mut last_active = Instant::now();
        loop {
            if self.parts.may_sleep && self.has_been_idle(&mut last_active) {
                let Some(input) = inputs.recv().await else {
                    return;
                };
                self.catch_up();
                self.handle_input(input);
                self.state.idle.set(self.requests.is_empty());
                (last_active, fired) = (Instant::now(), true);
            }
            let next = self
                .timers
                .peek()
                .map_or(next_sweep, |Reverse((at, _))| (*at).min(next_sweep));
            if std::mem::take(&mut fired) || next < wakeup.deadline() {
                wakeup.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                () = wakeup.as_mut() => fired = true,
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
            let now = Instant::now();
            while self
                .timers
                .peek()
                .is_some_and(|Reverse((at, _))| *at <= now)
            {
                let Some(Reverse((_, timer))) = self.timers.pop() else {
                    break;
                };
                match timer {
                    Timer::Balancer(token) => self.handle(Event::Timer(token)),
                    Timer::AnswerDeadline(id) => self.fail_at_deadline(id),
                }
            }
            self.state.idle.set(self.requests.is_empty());
            if self.retired && self.requests.is_empty() {
                return self.endpoints.values().for_each(|e| e.set_open(false));
            }
            if now >= next_sweep {
                self.parts.upstreams.close_expired();
                next_sweep = now + SWEEP_INTERVAL;
            }
        }
    }

    /// Returns whether there has been no work since `last_active` for long enough.
    fn has_been_idle(&self, last_active: &mut Instant) -> bool {
        if !self.requests.is_empty() {
            *last_active = Instant::now();
        }
        last_active.elapsed() >= SLEEP_AFTER && !self.parts.upstreams.has_idle()
    }

    /// Runs missed balancer ticks before the next event.
    fn catch_up(&mut self) {
        for _ in 0..CATCH_UP_TICKS {
            for Reverse((_, timer)) in std::mem::take(&mut self.timers) {
                // There are no active requests, so only the balancer's own timer matters.
                if let Timer::Balancer(token) = timer {
                    self.handle(Event::Timer(token));
                }
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(incoming) => self.start_request(*incoming),
            Input::NotAdmitted {
                id,
                delay,
                response_sender,
            } => self.reject_not_admitted(id, delay, response_sender),
            Input::ClientDisconnected(id) => {
                self.reason = EndReason::ClientLeft;
                if self.close(id, STATUS_CLIENT_CLOSED).is_some() {
                    self.handle(Event::ClientDisconnected(id));
                }
            }
            Input::AnswerDue(id) => self.fail(id, EndReason::ProcessExit),
            Input::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                response,
            } => {
                self.attempt_ended(request, attempt, latency, outcome, response);
            }
            Input::BodyComplete(id) => self.body_complete(id),
            Input::MemoryExhausted(id) => self.reject_unsent(id, EndReason::NoMemory),
            Input::ReceiveChanged(id, ReceiveChange::Evicted) => {
                self.reject_unsent(id, EndReason::Evicted);
            }
            Input::ReceiveChanged(id, ReceiveChange::Stalled) => {
                self.reject_unsent(id, EndReason::ClientStalled);
            }
            Input::ReceiveChanged(id, ReceiveChange::Deadline(deadline)) => {
                let timer = Timer::AnswerDeadline(id);
                self.timers.push(Reverse((deadline - ANSWER_MARGIN, timer)));
            }
            Input::ReceiveChanged(id, ReceiveChange::Reception(reception, deadline)) => {
                self.change_reception(id, reception, deadline);
            }
            Input::ResponseArriving {
                request,
                attempt,
                progressing,
            } => self.handle(Event::ResponseArriving {
                request,
                attempt,
                progressing,
            }),
            Input::ResponseStarted {
                request,
                attempt,
                response,
            } => self.response_started(request, attempt, response),
            Input::EndpointList { scope, seq, hosts } => self.update_endpoints(scope, seq, hosts),
            Input::Datagram { from, bytes } => self.handle(Event::Gossip { from, bytes }),
            Input::ProxyCount { index, count } => self.handle(Event::ProxyCount {
                proxy_index: index,
                proxy_count: count,
            }),
            Input::Settings(settings) => self.handle(Event::Settings(settings)),
            Input::HealthRestored(snapshot) => self.handle(Event::HealthRestored(snapshot)),
            Input::ActiveCounts(sender) => {
                let _ = sender.send(self.active_counts()); // the receiver may have been dropped
            }
            Input::Retire => self.retired = true,
        }
    }

    fn reject_not_admitted(
        &mut self,
        id: RequestId,
        delay: Millis,
        response_sender: oneshot::Sender<Answer>,
    ) {
        let active = ActiveRequest {
            class: None,
            response_sender: Some(response_sender),
            control: Rc::default(),
            outbound: self.empty_request.clone(),
            client: None,
            deadline: Instant::now(),
            attempts: 0,
            attempts_in_flight: 0,
            streaming: false,
            capture_entry: None,
        };
        self.requests.insert(id, active);
        self.handle(Event::ProcessShareExceeded {
            id,
            retry_after: delay,
        });
    }

    fn start_request(&mut self, incoming: IncomingRequest) {
        let IncomingRequest {
            id,
            class,
            tenant,
            key,
            work_hint,
            timeout,
            deadline,
            mut outbound,
            client,
            response_sender,
            decision,
        } = incoming;
        if let Some(gate) = &self.parts.gate {
            let Some(now) = gate.decide() else {
                let _ = response_sender.send(Answer::Undecided(Box::new(outbound))); // the client may have disconnected
                return;
            };
            decision.inspect(|d| d.set(Some(now)));
            if gate.send_stamps() {
                outbound
                    .headers
                    .update(|headers| insert_stamp(headers, now));
            }
        }
        let answer_deadline = deadline - ANSWER_MARGIN;
        let is_complete = outbound.body.upload().is_none();
        let remaining = milliseconds_until(answer_deadline);
        self.requests.insert(
            id,
            ActiveRequest {
                class: Some(class),
                response_sender: Some(response_sender),
                control: Rc::default(),
                outbound: Rc::new(outbound),
                client: Some(client),
                deadline,
                attempts: 0,
                attempts_in_flight: 0,
                streaming: false,
                capture_entry: self
                    .parts
                    .capture
                    .as_ref()
                    .map(|c| c.start_record(class, tenant, timeout)),
            },
        );
        self.parts.counts.request_accepted(class.0);
        self.timers
            .push(Reverse((answer_deadline, Timer::AnswerDeadline(id))));
        self.handle(Event::Request {
            id,
            class,
            tenant,
            key,
            timeout: remaining,
            expected_work: work_hint,
            body_complete: is_complete,
        });
    }

    /// Fails a request that has no answer in time.
    fn fail_at_deadline(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        // The timeout may not have started, or have been started again.
        let is_sent = |upload: &&Rc<Upload>| upload.is_being_sent() || upload.is_complete();
        let deadline = match active.outbound.body.upload().filter(is_sent) {
            Some(upload) => match upload.earliest_client_deadline() {
                Some(deadline) => deadline,
                None => return, // the timer is set again once the last byte may have arrived
            },
            None => active.deadline,
        };
        if deadline <= Instant::now() + 2 * ANSWER_MARGIN {
            self.handle(Event::AnswerDue(id));
            let is_streaming = |active: &ActiveRequest| active.control.is_streaming_requested();
            if self.requests.get(&id).is_some_and(is_streaming) {
                return; // the response begins, or the attempt's end answers the request
            }
            self.fail(id, EndReason::Deadline);
        } else {
            let timer = Timer::AnswerDeadline(id);
            self.timers.push(Reverse((deadline - ANSWER_MARGIN, timer)));
        }
    }

    /// Ends a request that has no answer yet. It is only rejected if no attempt in flight has sent its last byte, and none
    /// will as the upload is aborted with the answer; otherwise it may have been executed and fails.
    fn fail(&mut self, id: RequestId, reason: EndReason) {
        let is_incomplete = |active: &ActiveRequest| {
            let upload = active.outbound.body.upload();
            active.response_sender.is_some() && upload.is_some_and(|u| !u.is_complete())
        };
        if self.requests.get(&id).is_some_and(is_incomplete) {
            self.handle_for(Event::Unsent(id), reason);
        }
        self.reason = reason;
        if let Some(response_sender) = self.close(id, STATUS_FAILED) {
            let _ = response_sender.send(Answer::Failed); // a client that has disconnected needs no answer
            self.handle(Event::ClientDisconnected(id));
        }
    }

    /// Lets the balancer reject a request with a streamed body if no attempt in flight has sent a part of it.
    fn reject_unsent(&mut self, id: RequestId, reason: EndReason) {
        let is_unsent = |active: &ActiveRequest| {
            let upload = active.outbound.body.upload();
            let has_sent = |u: &Rc<Upload>| u.is_being_sent() || u.is_complete();
            active.response_sender.is_some() && upload.is_some_and(|u| !has_sent(u))
        };
        if self.requests.get(&id).is_some_and(is_unsent) {
            self.handle_for(Event::Unsent(id), reason);
        }
    }

    /// Sets the deadline of a request that waits, by how its body is received.
    fn change_reception(&mut self, id: RequestId, reception: Reception, deadline: Instant) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let upload = active.outbound.body.upload();
        if upload.is_none_or(|upload| upload.is_being_sent()) {
            return;
        }
        active.deadline = deadline;
        let answer_deadline = deadline - ANSWER_MARGIN;
        if reception != Reception::Arriving {
            let timer = Timer::AnswerDeadline(id);
            self.timers.push(Reverse((answer_deadline, timer)));
        }
        self.handle(Event::BodyReception {
            id,
            reception,
            timeout: milliseconds_until(answer_deadline),
        });
    }

    /// Starts the timeout of a request whose streamed body has been sent completely.
    fn body_complete(&mut self, id: RequestId) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(upload) = active.outbound.body.upload() else {
            return;
        };
        active.deadline = upload.client_deadline();
        let answer_deadline = active.deadline - ANSWER_MARGIN;
        self.timers
            .push(Reverse((answer_deadline, Timer::AnswerDeadline(id))));
        self.handle(Event::BodyComplete {
            id,
            timeout: milliseconds_until(answer_deadline),
        });
    }

    /// Forwards a response that has begun: from here on it is neither cut off at the deadline nor replaced.
    fn response_started(&mut self, request: RequestId, attempt: u32, response: EndpointResponse) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(response_sender) = active.response_sender.take() else {
            return;
        }; // the body's sender notices that it has no receiver
        active.control.cancel();
        active.streaming = true;
        let _ = response_sender.send(Answer::Served(response)); // the same if the client has just disconnected
        self.handle(Event::ResponseStarted {
            request,
            attempt,
            processing_done: true,
        });
    }

    fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        latency: Millis,
        outcome: Outcome,
        response: Option<EndpointResponse>,
    ) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.attempts_in_flight -= 1;
        if outcome != Outcome::Served {
            log_attempt(&active.outbound, attempt, outcome, latency);
        }
        if let Some(capture_entry) = &mut active.capture_entry {
            capture_entry.attempt_ended(attempt, outcome);
        }
        let was_open = active.response_sender.is_some();
        let upload = active.outbound.body.upload().cloned();
        if upload.as_ref().is_some_and(|u| u.is_partly_sent()) {
            self.handle(Event::BodyDiscarded(request));
        }
        if let Some(load) = response
            .as_ref()
            .and_then(|r| load_report::parse(&r.headers))
        {
            self.handle(Event::LoadReport {
                request,
                attempt,
                load,
            });
        }
        self.reason = EndReason::ClientLeft;
        if upload.is_some_and(|u| u.is_client_lost())
            && self.close(request, STATUS_CLIENT_CLOSED).is_some()
        {
            self.handle(Event::ClientDisconnected(request));
        }
        if self.requests.get(&request).is_some_and(|r| r.streaming) {
            let code = match outcome {
                Outcome::Served => STATUS_SERVED,
                Outcome::Cancelled => STATUS_CLIENT_CLOSED,
                _ => STATUS_FAILED,
            };
            self.reason = EndReason::ResponseEnded(outcome);
            self.close(request, code);
            return self.handle(Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                request_finished: true,
            });
        }
        if let (Outcome::Served, Some(response)) = (outcome, response)
            && let Some(response_sender) = self.close(request, STATUS_SERVED)
        {
            let _ = response_sender.send(Answer::Served(response)); // otherwise the client has just disconnected
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.remove_if_done(request);
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            latency,
            outcome,
            request_finished: closed,
        });
    }

    /// Takes the response sender of a request and records its status code; no further attempts begin.
    fn close(&mut self, id: RequestId, code: u16) -> Option<oneshot::Sender<Answer>> {
        let active = self.requests.get_mut(&id)?;
        active.control.cancel();
        if let Some(upload) = active.outbound.body.upload() {
            upload.abort();
        }
        let response_sender = active.response_sender.take();
        let open = std::mem::take(&mut active.streaming) || response_sender.is_some();
        if let (Some(class), true) = (active.class, open) {
            let end = match code {
                STATUS_SERVED => RequestEnd::Answered,
                STATUS_REJECTED => RequestEnd::Deferred,
                STATUS_CLIENT_CLOSED => RequestEnd::Abandoned,
                _ => RequestEnd::Errored,
            };
            self.parts.counts.request_ended(class.0, end);
            if code != STATUS_SERVED {
                self.parts.counts.request_unserved(self.reason);
                log_end(active, code, self.reason);
            }
        }
        if let (Some(capture), Some(capture_entry)) =
            (&self.parts.capture, active.capture_entry.take())
        {
            capture.finish_record(&capture_entry, &active.outbound, code);
        }
        self.remove_if_done(id);
        response_sender
    }

    /// Returns the current numbers of requests and endpoints.
    fn active_counts(&self) -> Gauges {
        let endpoints = self
            .state
            .balancer
            .borrow()
            .endpoint_counts(self.parts.clock.now());
        let in_flight = self
            .requests
            .values()
            .filter(|active| {
                active.class.is_some() && (active.response_sender.is_some() || active.streaming)
            })
            .count();
        Gauges {
            in_flight,
            listed_endpoints: endpoints.listed,
            ejected_endpoints: endpoints.ejected,
        }
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|active| {
            active.response_sender.is_none() && !active.streaming && active.attempts_in_flight == 0
        }) {
            self.requests.remove(&id);
        }
    }

    fn update_endpoints(&mut self, scope: UpdateScope, seq: Option<u64>, hosts: Vec<Host>) {
        // The cached list is older than one from discovery.
        if scope == UpdateScope::Cached && self.has_full_list {
            return;
        }
        self.has_full_list |= scope == UpdateScope::Full;
        if let Some(capture) = self
            .parts
            .capture
            .as_ref()
            .filter(|_| scope != UpdateScope::Failed)
        {
            capture.list_updated(scope, seq, &hosts);
        }
        let is_full = matches!(scope, UpdateScope::Full | UpdateScope::Cached);
        let entries: Vec<balancer::Endpoint> = hosts
            .into_iter()
            .map(|host| self.update_endpoint(host))
            .collect();
        if is_full {
            let listed: rustc_hash::FxHashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (_, endpoint) in self.endpoints.iter().filter(|(id, _)| !listed.contains(id)) {
                endpoint.set_open(false);
            }
        }
        let has_entries = !entries.is_empty();
        self.handle(Event::EndpointUpdate {
            scope,
            endpoints: entries,
        });
        match scope {
            UpdateScope::Cached if !has_entries => {}
            UpdateScope::Full | UpdateScope::Cached => self
                .parts
                .lifecycle
                .update(|lifecycle, _| lifecycle.mark_list_received()),
            UpdateScope::Delta | UpdateScope::Failed => {}
        }
    }

    /// Records an endpoint's address and whether new requests may be sent to it.
    fn update_endpoint(&mut self, host: Host) -> balancer::Endpoint {
        let id = EndpointId(stable_hash(&host.host));
        let state = host.state();
        if let Some(address) = host.dial {
            let same = |e: &Rc<Endpoint>| e.address == address && e.started_unix_ms == host.born_ms;
            if !self.endpoints.get(&id).is_some_and(same) {
                let endpoint = Endpoint::new(address, host.born_ms);
                self.parts.upstreams.add(&endpoint);
                if let Some(previous) = self.endpoints.insert(id, endpoint) {
                    previous.set_open(false);
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
                .map(|zone| ZoneId(intern(&mut self.names.zones, &zone) as u32)),
            machine_type: host.class.map(|machine_type| {
                MachineTypeId(intern(&mut self.names.machine_types, &machine_type) as u32)
            }),
            cell: host.block.map(CellId),
            state,
            weight: host.share.unwrap_or(1.0),
            started_at: self.parts.clock.start_time(host.born_ms),
        }
    }

    fn handle(&mut self, event: Event) {
        let reason = match &event {
            Event::Request { .. } => EndReason::Arrival,
            Event::Timer(_) => EndReason::AnswerDue,
            Event::AttemptEnded { outcome, .. } => EndReason::AttemptEnded(*outcome),
            Event::ProcessShareExceeded { .. } => EndReason::ProcessShare,
            _ => EndReason::Other,
        };
        self.handle_for(event, reason);
    }

    /// Passes an event to the balancer. `reason` is that of requests which end by it.
    fn handle_for(&mut self, event: Event, reason: EndReason) {
        self.reason = reason;
        let now = self.parts.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.state
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
                endpoint: endpoint_id,
                timeout,
                start_by: latest_start,
            } => {
                self.forward(request, endpoint_id, timeout, latest_start);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if let Some(response_sender) = self.close(request, STATUS_REJECTED) {
                    let _ = response_sender.send(Answer::Rejected(retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(response_sender) = self.close(request, STATUS_FAILED) {
                    let _ = response_sender.send(Answer::Failed);
                }
            }
            Action::StreamResponse { request, attempt } => {
                if let Some(active) = self.requests.get(&request) {
                    active.control.request_streaming(attempt);
                }
            }
            Action::Timer { token, at } => {
                self.timers.push(Reverse((
                    self.parts.clock.instant_of(at),
                    Timer::Balancer(token),
                )));
            }
            Action::Broadcast(bytes) => {
                if let Some(peers) = &self.parts.peers {
                    peers.broadcast(&bytes);
                }
            }
            Action::Subscribe => self.parts.subscribe.notify_one(),
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

    fn forward(
        &mut self,
        request: RequestId,
        endpoint_id: EndpointId,
        timeout: Option<Millis>,
        latest_start: Option<Millis>,
    ) {
        let Some(active) = self.requests.get_mut(&request) else {
            return note!("the balancer forwarded an unknown request");
        };
        let mut report = AttemptReport::new(self.parts.inbox.clone(), request, active.attempts);
        active.attempts += 1;
        active.attempts_in_flight += 1;
        if let (Some(capture), Some(capture_entry)) =
            (&self.parts.capture, &mut active.capture_entry)
        {
            capture.attempt_started(capture_entry, endpoint_id);
        }
        let Some(endpoint) = self
            .endpoints
            .get(&endpoint_id)
            .filter(|e| active.control.allows_attempts() && e.is_open())
        else {
            return report.finish(Outcome::NotSent, None);
        };
        let client_deadline = active.client_deadline();
        let deadline = timeout.map_or(client_deadline, |t| {
            client_deadline
                .min(report.started_at + Duration::from_secs_f64(t.clamp(0.0, 1e9) / 1000.0))
        });
        let upstreams = self.parts.upstreams.clone();
        let (control, outbound) = (active.control.clone(), active.outbound.clone());
        let start_by = latest_start.map(|at| self.parts.clock.instant_of(at));
        let attempt = Attempt {
            endpoint: endpoint.clone(),
            control,
            number: report.attempt,
            outbound,
            client: active.client.clone(),
            deadline,
            start_by,
        };
        let Some(account) = &self.parts.account else {
            tokio::task::spawn_local(async move {
                upstreams
                    .attempt(attempt, |event| report.handle_event(event))
                    .await;
            });
            return;
        };
        let Some(permit) = EndpointPermit::acquire(account, attempt.endpoint.address) else {
            return report.finish(Outcome::Overloaded, None); // the balancer tries another endpoint or waits
        };
        tokio::task::spawn_local(account::run_accounted(account.clone(), async move {
            let mut permit = Some(permit);
            let on_event = |event| {
                if matches!(event, AttemptEvent::Ended(..)) {
                    permit = None; // released before the balancer is notified, so that the next attempt finds the slot free
                }
                report.handle_event(event);
            };
            upstreams.attempt(attempt, on_event).await;
        }));
    }
}

/// Returns the id that the client gave a request.
fn client_id(outbound: &OutboundRequest) -> &str {
    outbound.headers.text("x-request-id").unwrap_or("-")
}

/// Logs the end of a request that was not served.
fn log_end(active: &ActiveRequest, code: u16, reason: EndReason) {
    note_request!(
        "request ended id={} code={code} reason={} attempts={} left_ms={:.0} body={}",
        client_id(&active.outbound),
        reason.name(),
        active.attempts,
        milliseconds_until(active.deadline),
        active
            .outbound
            .body
            .upload()
            .map_or("read", |u| u.state_name()),
    );
}

/// Logs the end of an attempt that was not served.
fn log_attempt(outbound: &OutboundRequest, attempt: u32, outcome: Outcome, latency: Millis) {
    note_request!(
        "attempt ended id={} attempt={attempt} outcome={} after_ms={latency:.0}",
        client_id(outbound),
        outcome_name(outcome),
    );
}

fn milliseconds_until(time: Instant) -> Millis {
    time.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0
}
