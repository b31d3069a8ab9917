//! A simulated proxy: emulates the proxy engine around the decision module in virtual time.

use std::collections::BTreeMap;

use balancer::{
    Action, CellId, Endpoint, EndpointId, EndpointState, Event, MachineTypeId, Millis, RequestId,
    UpdateScope, ZoneId,
};
use rustc_hash::FxHashMap;

use super::decider::Decider;
use crate::ledger::{ClientAttemptId, ServerId};
use crate::world::{ListEntry, ListState, World};

/// A request without a final response, or with attempts in flight.
pub struct ActiveRequest {
    /// Whether the final response is still to be sent.
    pub unanswered: bool,
    /// Time at which its client gives up.
    pub deadline: Millis,
    /// Number of attempts so far, which is also the module's next attempt number.
    pub attempts: u32,
    /// Number of attempts in flight.
    pub in_flight: u32,
}

/// A proxy process; each start creates a new one.
pub struct Proxy {
    /// Decision logic.
    pub decider: Box<dyn Decider>,
    /// Incarnation of the process; events of an earlier incarnation are ignored.
    pub generation: u32,
    /// Whether it was told to exit and accepts no new requests.
    pub ending: bool,
    /// Active requests.
    pub active: FxHashMap<ClientAttemptId, ActiveRequest>,
    /// Whether each server accepts new requests, by the last notification.
    open: FxHashMap<ServerId, bool>,
    /// Idle connections by server: the time since when each is idle, the most recently used last.
    pub idle: FxHashMap<ServerId, Vec<Millis>>,
    actions: Vec<Action>,
}

/// State that a proxy keeps across restarts: its last known server list.
#[derive(Default)]
pub struct CachedList {
    /// State by server, in a fixed order so that runs are reproducible.
    pub list: BTreeMap<ServerId, ListState>,
}

impl CachedList {
    /// Applies list entries.
    pub fn apply(&mut self, entries: &[ListEntry]) {
        for entry in entries {
            match entry.state {
                ListState::Removed => self.list.remove(&entry.server),
                state => self.list.insert(entry.server, state),
            };
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<ListEntry> {
        self.list
            .iter()
            .map(|(server, state)| ListEntry {
                server: *server,
                state: *state,
            })
            .collect()
    }
}

/// Converts a list entry into the module's endpoint description.
fn endpoint(world: &World, entry: &ListEntry) -> Endpoint {
    let fleet_server = &world.servers()[entry.server];
    let machine = fleet_server.server.machine();
    Endpoint {
        id: EndpointId(entry.server as u64 + 1),
        zone: Some(ZoneId(fleet_server.zone as u32)),
        machine_type: Some(MachineTypeId(fleet_server.kind as u32)),
        cell: Some(CellId(entry.server as u64 / 4)),
        state: match entry.state {
            ListState::Up => EndpointState::Up,
            ListState::Draining => EndpointState::Draining,
            ListState::Removed => EndpointState::Removed,
        },
        // The registered weight uses the nominal speed of the kind, not the speed of the individual machine.
        weight: machine.cores * world.scenario().fleet.kinds[fleet_server.kind].speed,
        started_at: fleet_server.server.started_at(),
    }
}

/// Returns the server of an endpoint.
pub fn server_of(endpoint: EndpointId) -> ServerId {
    (endpoint.0 as usize).wrapping_sub(1)
}

impl Proxy {
    /// Creates a newly started process.
    pub fn new(decider: Box<dyn Decider>, generation: u32) -> Self {
        Proxy {
            decider,
            generation,
            ending: false,
            active: FxHashMap::default(),
            open: FxHashMap::default(),
            idle: FxHashMap::default(),
            actions: Vec::new(),
        }
    }

    /// Passes an event to the module and returns its actions in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.decider.handle(now, event, &mut actions);
        std::mem::take(&mut actions)
    }

    /// Applies a server list update.
    pub fn list_update(
        &mut self,
        now: Millis,
        world: &World,
        scope: UpdateScope,
        entries: &[ListEntry],
    ) -> Vec<Action> {
        for entry in entries {
            self.open.insert(entry.server, entry.state == ListState::Up);
            if entry.state != ListState::Up {
                self.idle.remove(&entry.server);
            }
        }
        let entries = entries.iter().map(|entry| endpoint(world, entry)).collect();
        self.handle(
            now,
            Event::EndpointUpdate {
                scope,
                endpoints: entries,
            },
        )
    }

    /// Returns whether a server accepts new requests.
    pub fn is_open(&self, server: ServerId) -> bool {
        self.open.get(&server).copied().unwrap_or(false)
    }

    /// Takes the most recently used idle connection to a server if it has been idle since after `oldest`. Otherwise
    /// closes all idle ones and returns their number.
    pub fn reuse(&mut self, server: ServerId, oldest: Millis) -> (bool, usize) {
        let Some(idle) = self.idle.get_mut(&server) else {
            return (false, 0);
        };
        match idle.last() {
            Some(since) if *since > oldest => {
                idle.pop();
                (true, 0)
            }
            // The most recently used connection is too old, so all others are too.
            _ => (
                false,
                self.idle.remove(&server).map_or(0, |idle| idle.len()),
            ),
        }
    }

    /// Claims the final response of a request; returns `false` if it was sent already.
    pub fn claim_response(&mut self, id: ClientAttemptId) -> bool {
        let Some(active) = self.active.get_mut(&id) else {
            return false;
        };
        let was_unanswered = std::mem::take(&mut active.unanswered);
        self.remove_if_done(id);
        was_unanswered
    }

    /// Removes a request that has its final response and no attempts in flight.
    pub fn remove_if_done(&mut self, id: ClientAttemptId) {
        if self
            .active
            .get(&id)
            .is_some_and(|l| !l.unanswered && l.in_flight == 0)
        {
            self.active.remove(&id);
        }
    }
}

/// Returns the module's id of a client attempt.
pub fn request_of(id: ClientAttemptId) -> RequestId {
    RequestId(id as u64)
}
