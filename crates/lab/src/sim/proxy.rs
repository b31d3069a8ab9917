//! One simulated proxy: what the engine does around the decision module, on virtual time.

use std::collections::BTreeMap;

use balancer::{
    Action, CellId, Endpoint, EndpointId, EndpointState, Event, MachineTypeId, Millis, RequestId,
    UpdateScope, ZoneId,
};
use rustc_hash::FxHashMap;

use super::decider::Decider;
use crate::ledger::{ClientAttemptId, ServerId};
use crate::world::{ListEntry, ListState, World};

/// A request that lacks its answer or has attempts out.
pub struct Live {
    /// Whether it still lacks its final answer.
    pub unanswered: bool,
    /// When its client gives up.
    pub deadline: Millis,
    /// Attempts so far, as the module numbers them.
    pub attempts: u32,
    /// Those of them that are out.
    pub out: u32,
}

/// A proxy's process; each start makes a new one.
pub struct Proxy {
    /// What decides.
    pub decider: Box<dyn Decider>,
    /// Counts its starts, so that nothing of an earlier one reaches a later one.
    pub generation: u32,
    /// Takes no new connections: it has been told to end.
    pub ending: bool,
    /// What it holds.
    pub live: FxHashMap<ClientAttemptId, Live>,
    /// Servers to which something new may go, as told.
    open: FxHashMap<ServerId, bool>,
    /// Idle connections, by server: since when each is idle, the one used last at the end.
    pub idle: FxHashMap<ServerId, Vec<Millis>>,
    actions: Vec<Action>,
}

/// What a proxy keeps over its starts: the list as it was last told.
#[derive(Default)]
pub struct Memory {
    /// By server; in order, so that every run tells it alike.
    pub list: BTreeMap<ServerId, ListState>,
}

impl Memory {
    /// Takes in what the proxy is told.
    pub fn learn(&mut self, entries: &[ListEntry]) {
        for entry in entries {
            match entry.state {
                ListState::Removed => self.list.remove(&entry.server),
                state => self.list.insert(entry.server, state),
            };
        }
    }

    /// All of it.
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

/// A entry as the module is told it.
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
        // The size as registered: the kind's, not the single machine's.
        weight: machine.cores * world.scenario().fleet.kinds[fleet_server.kind].speed,
        started_at: fleet_server.server.started_at(),
    }
}

/// The server that the module means.
pub fn server_of(backend: EndpointId) -> ServerId {
    (backend.0 as usize).wrapping_sub(1)
}

impl Proxy {
    /// A process that has just started.
    pub fn new(decider: Box<dyn Decider>, generation: u32) -> Self {
        Proxy {
            decider,
            generation,
            ending: false,
            live: FxHashMap::default(),
            open: FxHashMap::default(),
            idle: FxHashMap::default(),
            actions: Vec::new(),
        }
    }

    /// Feeds the module; returns what it wants done, in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.decider.handle(now, event, &mut actions);
        std::mem::take(&mut actions)
    }

    /// News of the list.
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

    /// Whether something new may go to a server.
    pub fn is_open(&self, server: ServerId) -> bool {
        self.open.get(&server).copied().unwrap_or(false)
    }

    /// Takes the connection to a server that was used last, if it has not been idle since before `oldest`; tells also
    /// how many that were too old have been closed.
    pub fn reuse(&mut self, server: ServerId, oldest: Millis) -> (bool, usize) {
        let Some(idle) = self.idle.get_mut(&server) else {
            return (false, 0);
        };
        match idle.last() {
            Some(since) if *since > oldest => {
                idle.pop();
                (true, 0)
            }
            // The one used last is too old, and so are all others.
            _ => (
                false,
                self.idle.remove(&server).map_or(0, |idle| idle.len()),
            ),
        }
    }

    /// Takes the right to answer a request; `false` if it has had its answer.
    pub fn close(&mut self, id: ClientAttemptId) -> bool {
        let Some(live) = self.live.get_mut(&id) else {
            return false;
        };
        let was = std::mem::take(&mut live.unanswered);
        self.forget(id);
        was
    }

    /// Forgets a request that has had its answer and has no attempts out.
    pub fn forget(&mut self, id: ClientAttemptId) {
        if self
            .live
            .get(&id)
            .is_some_and(|l| !l.unanswered && l.out == 0)
        {
            self.live.remove(&id);
        }
    }
}

/// A try as the module knows it.
pub fn request_of(id: ClientAttemptId) -> RequestId {
    RequestId(id as u64)
}
