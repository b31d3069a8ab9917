//! Simulated proxy: its decision module, and the names of the requests and endpoints that the module numbers.

use std::collections::HashMap;

use balancer::{
    Action, Balancer, ClassId, Endpoint, EndpointId, Event, MachineTypeId, Millis, RequestId,
    TenantId, ZoneId,
};
use rustc_hash::{FxBuildHasher, FxHashMap};
use settings::{Names, PlatformSettings, intern, stable_hash};

use crate::error::{LineError, SessionError};
use crate::protocol::Fields;
use crate::protocol::message::{
    self, AttemptEnd, EndpointEntry, GossipMessage, MessageKind, RequestArrival, StartParameters,
};
use crate::protocol::reply::ReplyWriter;

/// Request that messages may still refer to.
struct KnownRequest {
    name: String,
    attempts_in_flight: u32,
    is_finished: bool,
}

/// Item of the list that follows a message.
pub struct ListItem {
    /// Line number of the item.
    pub line: usize,
    /// Fields of the item as unparsed text.
    pub text: String,
}

/// Simulated proxy.
pub struct SimulatedProxy {
    balancer: Balancer,
    names: Names,
    endpoint_names: FxHashMap<u64, String>,
    request_ids: HashMap<String, u64, FxBuildHasher>,
    requests: FxHashMap<u64, KnownRequest>,
    next_request_id: u64,
    /// Buffer for the module's actions, empty between events.
    actions: Vec<Action>,
}

impl SimulatedProxy {
    /// Starts a proxy.
    pub fn start(fields: &Fields) -> Result<Self, LineError> {
        let parameters = StartParameters::from_fields(fields)?;
        let PlatformSettings { settings, names } =
            PlatformSettings::from_json(&parameters.settings);
        Ok(SimulatedProxy {
            balancer: Balancer::new(settings, parameters.random_seed),
            names,
            endpoint_names: FxHashMap::default(),
            request_ids: HashMap::default(),
            requests: FxHashMap::default(),
            next_request_id: 0,
            actions: Vec::new(),
        })
    }

    /// Translates an endpoint update; `None` if its scope is from a later protocol version.
    pub fn endpoint_update(
        &mut self,
        line: usize,
        fields: &Fields,
        items: &[ListItem],
    ) -> Result<Option<Event>, SessionError> {
        let scope = message::update_scope(fields).map_err(SessionError::at_line(line))?;
        let Some(scope) = scope else {
            return Ok(None);
        };
        let mut endpoints = Vec::with_capacity(items.len());
        for item in items {
            let endpoint = self.endpoint(&item.text);
            endpoints.push(endpoint.map_err(SessionError::at_line(item.line))?);
        }
        Ok(Some(Event::EndpointUpdate { scope, endpoints }))
    }

    fn endpoint(&mut self, item: &str) -> Result<Endpoint, LineError> {
        let fields = Fields::parse(item)?;
        let entry = EndpointEntry::from_fields(&fields)?;
        let id = stable_hash(entry.name);
        self.endpoint_names
            .entry(id)
            .or_insert_with(|| entry.name.to_owned());
        let zones = &mut self.names.zones;
        let machine_types = &mut self.names.machine_types;
        Ok(Endpoint {
            id: EndpointId(id),
            zone: entry.zone.map(|zone| ZoneId(intern(zones, zone) as u32)),
            machine_type: entry
                .machine_type
                .map(|name| MachineTypeId(intern(machine_types, name) as u32)),
            cell: entry.cell,
            state: entry.state,
            weight: entry.weight,
            started_at: entry.started_at,
        })
    }

    /// Translates the load report in the message about an attempt's end, if there is one. The caller handles the load
    /// report before the end of the attempt.
    pub fn load_report(&self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(text) = message::load_report_text(fields) else {
            return Ok(None);
        };
        let Some(request) = self.request_id(fields)? else {
            return Ok(None);
        };
        Ok(Some(Event::LoadReport {
            request,
            load: message::parse_load_report(text)?,
            attempt: message::attempt(fields)?,
        }))
    }

    /// Translates a message without a list; `None` if the proxy can ignore the message, for example because its request is
    /// no longer known.
    pub fn event(
        &mut self,
        kind: MessageKind,
        fields: &Fields,
    ) -> Result<Option<Event>, LineError> {
        match kind {
            MessageKind::Request => self.request_arrival(fields).map(Some),
            MessageKind::ResponseStarted => self.response_started(fields),
            MessageKind::AttemptEnded => self.attempt_ended(fields),
            MessageKind::ClientDisconnected => self.client_disconnected(fields),
            MessageKind::Timer => Ok(Some(Event::Timer(message::timer_token(fields)?))),
            MessageKind::Gossip => {
                let GossipMessage { from, bytes } = GossipMessage::from_fields(fields)?;
                Ok(Some(Event::Gossip { from, bytes }))
            }
            MessageKind::Start | MessageKind::Crash | MessageKind::EndpointUpdate => Ok(None),
        }
    }

    fn request_arrival(&mut self, fields: &Fields) -> Result<Event, LineError> {
        let arrival = RequestArrival::from_fields(fields, &self.names.classes)?;
        let tenants = &self.names.tenants;
        let tenant = arrival
            .tenant
            .and_then(|tenant| tenants.iter().position(|known| known == tenant));
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.request_ids.insert(arrival.name.to_owned(), id);
        let known = KnownRequest {
            name: arrival.name.to_owned(),
            attempts_in_flight: 0,
            is_finished: false,
        };
        self.requests.insert(id, known);
        Ok(Event::Request {
            id: RequestId(id),
            class: ClassId(arrival.class),
            tenant: tenant.map(TenantId),
            key: arrival.key,
            timeout: arrival.timeout,
            expected_work: arrival.expected_work,
            body_complete: true,
        })
    }

    fn response_started(&self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else {
            return Ok(None);
        };
        Ok(Some(Event::ResponseStarted {
            request,
            attempt: message::attempt(fields)?,
            processing_done: false,
        }))
    }

    fn attempt_ended(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else {
            return Ok(None);
        };
        let end = AttemptEnd::from_fields(fields)?;
        if let Some(known) = self.requests.get_mut(&request.0) {
            known.attempts_in_flight = known.attempts_in_flight.saturating_sub(1);
            known.is_finished |= end.request_finished;
        }
        Ok(Some(Event::AttemptEnded {
            request,
            attempt: end.attempt,
            latency: end.latency,
            outcome: end.outcome,
            request_finished: end.request_finished,
        }))
    }

    fn client_disconnected(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else {
            return Ok(None);
        };
        if let Some(known) = self.requests.get_mut(&request.0) {
            known.is_finished = true;
        }
        Ok(Some(Event::ClientDisconnected(request)))
    }

    fn request_id(&self, fields: &Fields) -> Result<Option<RequestId>, LineError> {
        let name = message::request_name(fields)?;
        Ok(self.request_ids.get(name).copied().map(RequestId))
    }

    /// Passes an event to the decision module and writes its actions.
    pub fn handle(&mut self, now: Millis, event: Event, reply: &mut ReplyWriter) {
        let request = match &event {
            Event::AttemptEnded { request, .. } | Event::ClientDisconnected(request) => {
                Some(*request)
            }
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.write(action, reply);
        }
        self.actions = actions;
        if let Some(request) = request {
            self.forget_if_done(request);
        }
    }

    fn write(&mut self, action: Action, reply: &mut ReplyWriter) {
        match action {
            Action::Forward {
                request,
                endpoint,
                timeout,
                ..
            } => {
                if let Some(known) = self.requests.get_mut(&request.0) {
                    known.attempts_in_flight += 1;
                    let endpoint = self.endpoint_names.get(&endpoint.0);
                    reply.forward(&known.name, endpoint.map(String::as_str), timeout);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if let Some(name) = self.finish(request) {
                    reply.reject(name, retry_after);
                }
                self.forget_if_done(request);
            }
            Action::Fail(request) => {
                if let Some(name) = self.finish(request) {
                    reply.fail(name);
                }
                self.forget_if_done(request);
            }
            Action::Timer { token, at } => reply.set_timer(token, at),
            Action::Broadcast(bytes) => reply.broadcast(&bytes),
            Action::Subscribe => reply.subscribe(),
            Action::FetchEndpoints => reply.fetch_endpoints(),
            Action::StreamResponse { .. } => {} // the simulator holds no response back
        }
    }

    /// Marks a request as finished and returns its name.
    fn finish(&mut self, request: RequestId) -> Option<&str> {
        let known = self.requests.get_mut(&request.0)?;
        known.is_finished = true;
        Some(&known.name)
    }

    /// Forgets a finished request once all its attempts have ended.
    fn forget_if_done(&mut self, request: RequestId) {
        let Some(known) = self.requests.get(&request.0) else {
            return;
        };
        if known.is_finished && known.attempts_in_flight == 0 {
            self.request_ids.remove(&known.name);
            self.requests.remove(&request.0);
        }
    }
}
