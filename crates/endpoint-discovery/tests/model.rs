//! Model checking of the watcher against a store of two members: every order of writes, lag, compactions, disconnects and
//! deliveries within a bound.
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use endpoint_discovery::{
    BackoffLimits, Command, EndpointWatcher, Event, Header, KeyChange, KeySpace, KeyValue,
    ListChange, Phase, WatchLimits,
};
use stateright::{Checker, Model, Property};

const NAMES: [&str; 2] = ["a", "b"];
const CLUSTER: u64 = 7;

/// Remaining number of each kind of disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    writes: u8,
    disconnects: u8,
    compactions: u8,
    timers: u8,
}

/// Connection to a member, with the events that the watcher has not received yet.
#[derive(Clone, Debug, PartialEq)]
struct Connection {
    member: usize,
    queue: Vec<Event>,
    /// Next revision that the watch delivers; `None` without a watch.
    watch: Option<i64>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    watcher: EndpointWatcher,
    now: u64,
    /// Change of each revision: index of the endpoint, and true if it exists afterwards. The first is revision 2.
    history: Vec<(usize, bool)>,
    compacted: i64,
    /// Revision that each member has applied.
    applied: [i64; 2],
    connection: Option<Connection>,
    /// Member that the watcher has requested a connection to.
    requested_member: Option<usize>,
    /// Published list: the revision that created each endpoint.
    published: BTreeMap<String, u64>,
    /// Newest deletion of each endpoint that was delivered to the watcher.
    deleted: BTreeMap<String, i64>,
    budget: Budget,
    resynced: bool,
    rejected_lagging: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The debug text covers the whole state: jitter is off, so the state of the random generator never changes.
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Write(usize),
    Apply(usize),
    Compact,
    Connect,
    Deliver,
    Disconnect,
    Timer,
}

/// Model of the store. With `is_faulty` a lagging member reports the current revision, and the watcher keeps no tombstones:
/// this disables both protections against the return of deleted endpoints.
struct Store {
    budget: Budget,
    is_faulty: bool,
}

fn revision(world: &World) -> i64 {
    world.history.len() as i64 + 1
}

/// Returns the endpoints at a revision, with the revision that created each.
fn endpoints_at(world: &World, revision: i64) -> BTreeMap<usize, i64> {
    let mut present = BTreeMap::new();
    for (i, (name, up)) in world
        .history
        .iter()
        .enumerate()
        .take((revision - 1) as usize)
    {
        if *up {
            present.insert(*name, i as i64 + 2);
        } else {
            present.remove(name);
        }
    }
    present
}

fn key_value(name: usize, revision: i64) -> KeyValue {
    let value = format!(
        r#"{{"address":"127.0.0.1:{}","born-ms":{revision}}}"#,
        9000 + name
    );
    let key = KeySpace::new("/f", "p")
        .endpoint_key(NAMES[name])
        .into_bytes();
    KeyValue {
        key,
        value: value.into_bytes(),
        mod_revision: revision,
        create_revision: revision,
        lease: 0,
    }
}

impl Store {
    fn header(&self, world: &World, member: usize) -> Header {
        let revision = if self.is_faulty {
            revision(world)
        } else {
            world.applied[member]
        };
        Header {
            cluster: CLUSTER,
            revision,
        }
    }

    /// Queues the changes that a member delivers after it has applied further revisions.
    fn queue_changes(&self, world: &mut World) {
        let Some(connection) = &world.connection else {
            return;
        };
        let (member, Some(next)) = (connection.member, connection.watch) else {
            return;
        };
        let until = world.applied[member];
        let changes = (next..=until).map(|r| {
            let (name, up) = world.history[(r - 2) as usize];
            let key_value = key_value(name, r);
            if up {
                KeyChange::Put(key_value)
            } else {
                KeyChange::Delete {
                    key: key_value.key,
                    revision: r,
                }
            }
        });
        let changes: Vec<KeyChange> = changes.collect();
        if changes.is_empty() {
            return;
        }
        let header = self.header(world, member);
        let Some(connection) = &mut world.connection else {
            return;
        };
        connection.watch = Some(until.max(next - 1) + 1);
        connection.queue.push(Event::Changes {
            header,
            changes,
            fragment: false,
        });
    }

    fn execute(&self, world: &mut World, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { member, .. } => {
                    (world.connection, world.requested_member) = (None, Some(member % 2))
                }
                Command::List { .. } => {
                    let Some(member) = world.connection.as_ref().map(|l| l.member) else {
                        continue;
                    };
                    let header = self.header(world, member);
                    let key_values = endpoints_at(world, world.applied[member])
                        .into_iter()
                        .map(|(n, made)| key_value(n, made))
                        .collect();
                    if let Some(connection) = &mut world.connection {
                        connection.queue.push(Event::Page {
                            header,
                            key_values,
                            more: false,
                        });
                    }
                }
                Command::Watch(from) => {
                    let Some(member) = world.connection.as_ref().map(|l| l.member) else {
                        continue;
                    };
                    let (header, compacted) = (self.header(world, member), world.compacted);
                    let Some(connection) = &mut world.connection else {
                        continue;
                    };
                    if from <= compacted {
                        connection.queue.push(Event::Cancelled {
                            compact_revision: compacted,
                        });
                    } else {
                        connection.queue.push(Event::WatchEstablished(header));
                        connection.watch = Some(from);
                        self.queue_changes(world);
                    }
                }
                Command::RequestProgress => {
                    let Some(member) = world.connection.as_ref().map(|l| l.member) else {
                        continue;
                    };
                    let header = self.header(world, member);
                    if let Some(connection) = &mut world.connection {
                        connection.queue.push(Event::Progress(header));
                    }
                }
                Command::Publish(ListChange::Complete(all)) => {
                    world.published = all.into_iter().map(|s| (s.name, s.started_at_ms)).collect();
                }
                Command::Publish(ListChange::Upserted(s)) => {
                    _ = world.published.insert(s.name, s.started_at_ms)
                }
                Command::Publish(ListChange::Removed(name)) => _ = world.published.remove(&name),
                Command::Notice(note) => {
                    world.resynced |= matches!(note, endpoint_discovery::Notice::Compacted(_));
                    world.rejected_lagging |=
                        matches!(note, endpoint_discovery::Notice::Lagging { .. });
                }
            }
        }
    }

    fn deliver(&self, world: &mut World, event: Event) {
        // Deletions are read from the events themselves, independently of the watcher.
        if let Event::Changes { changes, .. } = &event {
            for change in changes {
                if let KeyChange::Delete { key, revision } = change {
                    let name = KeySpace::new("/f", "p")
                        .endpoint_name(key)
                        .unwrap_or_default()
                        .to_owned();
                    let deleted = world.deleted.entry(name).or_default();
                    *deleted = (*deleted).max(*revision);
                }
            }
        }
        let mut commands = Vec::new();
        world
            .watcher
            .handle(world.now, world.now, event, &mut commands);
        self.execute(world, commands);
    }
}

impl Model for Store {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let mut limits = WatchLimits {
            backoff: BackoffLimits {
                jitter: false,
                ..BackoffLimits::default()
            },
            rollback_ms: u64::MAX / 2,
            ..WatchLimits::default()
        };
        if self.is_faulty {
            limits.table.max_tombstones = 0;
        }
        let mut world = World {
            watcher: EndpointWatcher::new(KeySpace::new("/f", "p"), limits, 1),
            now: 0,
            history: vec![(0, true), (1, true)],
            compacted: 0,
            applied: [3, 3],
            connection: None,
            requested_member: None,
            published: BTreeMap::new(),
            deleted: BTreeMap::new(),
            budget: self.budget,
            resynced: false,
            rejected_lagging: false,
        };
        self.deliver(&mut world, Event::Timer);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.budget.writes > 0 {
            actions.extend((0..NAMES.len()).map(Action::Write));
        }
        actions.extend(
            (0..2)
                .filter(|m| world.applied[*m] < revision(world))
                .map(Action::Apply),
        );
        if world.budget.compactions > 0 && world.compacted < revision(world) {
            actions.push(Action::Compact);
        }
        if world.requested_member.is_some() {
            actions.push(Action::Connect);
        }
        if let Some(connection) = &world.connection {
            if !connection.queue.is_empty() {
                actions.push(Action::Deliver);
            }
            if world.budget.disconnects > 0 {
                actions.push(Action::Disconnect);
            }
        }
        if world.budget.timers > 0 && world.watcher.next_due().is_some() {
            actions.push(Action::Timer);
        }
    }

    fn next_state(&self, world: &World, act: Action) -> Option<World> {
        let mut world = world.clone();
        match act {
            Action::Write(name) => {
                let exists = endpoints_at(&world, revision(&world)).contains_key(&name);
                world.history.push((name, !exists));
                world.budget.writes -= 1;
            }
            Action::Apply(member) => {
                world.applied[member] += 1;
                if world
                    .connection
                    .as_ref()
                    .is_some_and(|l| l.member == member)
                {
                    self.queue_changes(&mut world);
                }
            }
            Action::Compact => {
                // A member can only have compacted revisions that it has applied.
                world.compacted = world.applied[0].max(world.applied[1]);
                world.budget.compactions -= 1;
            }
            Action::Connect => {
                let member = world.requested_member.take()?;
                world.connection = Some(Connection {
                    member,
                    queue: Vec::new(),
                    watch: None,
                });
                self.deliver(&mut world, Event::Connected);
            }
            Action::Deliver => {
                let event = world.connection.as_mut().map(|l| l.queue.remove(0))?;
                self.deliver(&mut world, event);
            }
            Action::Disconnect => {
                world.connection = None;
                world.budget.disconnects -= 1;
                self.deliver(&mut world, Event::ConnectionLost);
            }
            Action::Timer => {
                world.now = world.now.max(world.watcher.next_due()?);
                world.budget.timers -= 1;
                self.deliver(&mut world, Event::Timer);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a deleted endpoint is not published", |_, w: &World| {
                w.published.iter().all(|(name, made)| {
                    w.deleted
                        .get(name)
                        .is_none_or(|deleted| *made as i64 > *deleted)
                })
            }),
            Property::always(
                "a watcher in sync publishes the endpoints of the store",
                |_, w: &World| {
                    let is_settled = w
                        .connection
                        .as_ref()
                        .is_some_and(|l| l.queue.is_empty() && w.applied[l.member] == revision(w));
                    let is_in_sync = w.watcher.status(w.now).phase == Phase::Watching;
                    let store: BTreeMap<String, u64> = endpoints_at(w, revision(w))
                        .into_iter()
                        .map(|(n, made)| (NAMES[n].to_owned(), made as u64))
                        .collect();
                    !is_settled || !is_in_sync || w.published == store
                },
            ),
            Property::always(
                "an endpoint that was never deleted is always published",
                |_, w: &World| {
                    let has_list = w.watcher.status(w.now).phase != Phase::Listing;
                    let never_deleted =
                        |n: usize| w.history.iter().filter(|(name, _)| *name == n).count() == 1;
                    !has_list
                        || (0..NAMES.len())
                            .filter(|n| never_deleted(*n))
                            .all(|n| w.published.contains_key(NAMES[n]))
                },
            ),
            Property::sometimes(
                "changes are missed because of a compaction",
                |_, w: &World| w.resynced,
            ),
            Property::sometimes("a lagging member's snapshot is rejected", |_, w: &World| {
                w.rejected_lagging
            }),
            Property::sometimes("a deleted endpoint is added again", |_, w: &World| {
                w.deleted.iter().any(|(name, deleted)| {
                    w.published
                        .get(name)
                        .is_some_and(|made| *made as i64 > *deleted)
                })
            }),
        ]
    }
}

#[test]
fn the_watcher_keeps_its_invariants_in_every_order() {
    let mut states = 0;
    // Each bound is small; each allows kinds of disturbance that another excludes.
    for budget in [
        Budget {
            writes: 3,
            disconnects: 2,
            compactions: 1,
            timers: 0,
        },
        Budget {
            writes: 2,
            disconnects: 1,
            compactions: 1,
            timers: 3,
        },
        Budget {
            writes: 4,
            disconnects: 1,
            compactions: 0,
            timers: 1,
        },
    ] {
        let checker = Store {
            budget,
            is_faulty: false,
        }
        .checker()
        .threads(4)
        .target_max_depth(18)
        .spawn_bfs()
        .join();
        for name in [
            "a deleted endpoint is not published",
            "a watcher in sync publishes the endpoints of the store",
            "an endpoint that was never deleted is always published",
        ] {
            assert!(
                checker.discovery(name).is_none(),
                "{budget:?}: {name}: {:?}",
                checker.discovery(name)
            );
        }
        println!(
            "{budget:?}: {} states, {} of them unique",
            checker.state_count(),
            checker.unique_state_count()
        );
        states += checker.unique_state_count();
        if budget.compactions > 0 && budget.disconnects > 1 {
            for name in [
                "changes are missed because of a compaction",
                "a lagging member's snapshot is rejected",
                "a deleted endpoint is added again",
            ] {
                assert!(checker.discovery(name).is_some(), "{name}");
            }
        }
    }
    println!("{states} states in all");
    assert!(states > 20_000, "{states}");
}

/// Checks that the model can fail: without its protections the watcher publishes deleted endpoints, and the checker finds it.
#[test]
fn a_watcher_without_protections_fails_the_check() {
    let budget = Budget {
        writes: 2,
        disconnects: 1,
        compactions: 1,
        timers: 0,
    };
    let checker = Store {
        budget,
        is_faulty: true,
    }
    .checker()
    .threads(4)
    .target_max_depth(18)
    .spawn_bfs()
    .join();
    let found = checker.discovery("a deleted endpoint is not published");
    println!("{found:?}");
    let steps = found
        .expect("a deleted endpoint is published")
        .into_actions();
    assert!(
        steps.contains(&Action::Disconnect) && steps.contains(&Action::Compact),
        "{steps:?}"
    );
}
