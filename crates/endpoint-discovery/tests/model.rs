//! Model checking of the watcher against a store of two members: every order of writes, lag, compaction, cuts and deliveries
//! within a bound.
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use endpoint_discovery::{
    BackoffLimits, Command, EndpointWatcher, Event, Header, KeyChange, KeySpace, KeyValue,
    ListChange, Phase, WatchLimits,
};
use stateright::{Checker, Model, Property};

const NAMES: [&str; 2] = ["a", "b"];
const CLUSTER: u64 = 7;

/// What may still go wrong, and how much of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    writes: u8,
    cuts: u8,
    compactions: u8,
    timers: u8,
}

/// A connection to a member, and what is on its way to the watcher.
#[derive(Clone, Debug, PartialEq)]
struct Connection {
    member: usize,
    queue: Vec<Event>,
    /// The next revision that the watch tells, if there is one.
    watch: Option<i64>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    watcher: EndpointWatcher,
    now: u64,
    /// What each revision did: which server, and whether it is there afterwards. The first is revision 2.
    history: Vec<(usize, bool)>,
    compacted: i64,
    /// How far each member has come.
    applied: [i64; 2],
    connection: Option<Connection>,
    /// The member that is to be connected to.
    requested_member: Option<usize>,
    /// What the pool has: the revision that made each server.
    pool: BTreeMap<String, u64>,
    /// The newest revision at which the watcher was told of each server that it is gone.
    gone: BTreeMap<String, i64>,
    budget: Budget,
    resynced: bool,
    refused: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Chance is not drawn from in this model, so that all of it can be told by its text.
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
    Cut,
    Timer,
}

/// A store that lets the watcher know how far the member is. With `lies` a lagging member says that it is not, and the
/// watcher remembers nobody who is gone: the two ways in which it keeps the dead away are both taken from it.
struct Store {
    budget: Budget,
    lies: bool,
}

fn revision(world: &World) -> i64 {
    world.history.len() as i64 + 1
}

/// The servers at a revision, with the one that made each.
fn endpoints_at(world: &World, revision: i64) -> BTreeMap<usize, i64> {
    let mut there = BTreeMap::new();
    for (i, (name, up)) in world
        .history
        .iter()
        .enumerate()
        .take((revision - 1) as usize)
    {
        if *up {
            there.insert(*name, i as i64 + 2);
        } else {
            there.remove(name);
        }
    }
    there
}

fn kv(name: usize, made: i64) -> KeyValue {
    let value = format!(
        r#"{{"address":"127.0.0.1:{}","born-ms":{made}}}"#,
        9000 + name
    );
    let key = KeySpace::new("/f", "p")
        .endpoint_key(NAMES[name])
        .into_bytes();
    KeyValue {
        key,
        value: value.into_bytes(),
        mod_revision: made,
        create_revision: made,
        lease: 0,
    }
}

impl Store {
    fn header(&self, world: &World, member: usize) -> Header {
        let revision = if self.lies {
            revision(world)
        } else {
            world.applied[member]
        };
        Header {
            cluster: CLUSTER,
            revision,
        }
    }

    /// What a member sends once it has come further.
    fn push(&self, world: &mut World) {
        let Some(connection) = &world.connection else {
            return;
        };
        let (member, Some(next)) = (connection.member, connection.watch) else {
            return;
        };
        let until = world.applied[member];
        let changes = (next..=until).map(|r| {
            let (name, up) = world.history[(r - 2) as usize];
            let kv = kv(name, r);
            if up {
                KeyChange::Put(kv)
            } else {
                KeyChange::Delete {
                    key: kv.key,
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
                    let kvs = endpoints_at(world, world.applied[member])
                        .into_iter()
                        .map(|(n, made)| kv(n, made))
                        .collect();
                    if let Some(connection) = &mut world.connection {
                        connection.queue.push(Event::Page {
                            header,
                            key_values: kvs,
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
                        self.push(world);
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
                    world.pool = all.into_iter().map(|s| (s.name, s.started_at_ms)).collect();
                }
                Command::Publish(ListChange::Upserted(s)) => {
                    _ = world.pool.insert(s.name, s.started_at_ms)
                }
                Command::Publish(ListChange::Removed(name)) => _ = world.pool.remove(&name),
                Command::Notice(note) => {
                    world.resynced |= matches!(note, endpoint_discovery::Notice::Compacted(_));
                    world.refused |= matches!(note, endpoint_discovery::Notice::Lagging { .. });
                }
            }
        }
    }

    fn deliver(&self, world: &mut World, event: Event) {
        // What an event tells of servers that are gone, as anybody would read it.
        if let Event::Changes { changes, .. } = &event {
            for change in changes {
                if let KeyChange::Delete { key, revision } = change {
                    let name = KeySpace::new("/f", "p")
                        .endpoint_name(key)
                        .unwrap_or_default()
                        .to_owned();
                    let gone = world.gone.entry(name).or_default();
                    *gone = (*gone).max(*revision);
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
        if self.lies {
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
            pool: BTreeMap::new(),
            gone: BTreeMap::new(),
            budget: self.budget,
            resynced: false,
            refused: false,
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
            if world.budget.cuts > 0 {
                actions.push(Action::Cut);
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
                let there = endpoints_at(&world, revision(&world)).contains_key(&name);
                world.history.push((name, !there));
                world.budget.writes -= 1;
            }
            Action::Apply(member) => {
                world.applied[member] += 1;
                if world
                    .connection
                    .as_ref()
                    .is_some_and(|l| l.member == member)
                {
                    self.push(&mut world);
                }
            }
            Action::Compact => {
                // What a member has not applied it can't have compacted.
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
            Action::Cut => {
                world.connection = None;
                world.budget.cuts -= 1;
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
            Property::always(
                "a server that it was told is gone is not given out",
                |_, w: &World| {
                    w.pool.iter().all(|(name, made)| {
                        w.gone.get(name).is_none_or(|gone| *made as i64 > *gone)
                    })
                },
            ),
            Property::always("in step it has what the store has", |_, w: &World| {
                let quiet = w
                    .connection
                    .as_ref()
                    .is_some_and(|l| l.queue.is_empty() && w.applied[l.member] == revision(w));
                let in_step = w.watcher.status(w.now).phase == Phase::Watching;
                let store: BTreeMap<String, u64> = endpoints_at(w, revision(w))
                    .into_iter()
                    .map(|(n, made)| (NAMES[n].to_owned(), made as u64))
                    .collect();
                !quiet || !in_step || w.pool == store
            }),
            Property::always(
                "it never lacks a server that was there all the time",
                |_, w: &World| {
                    let listed = w.watcher.status(w.now).phase != Phase::Listing;
                    let steady =
                        |n: usize| w.history.iter().filter(|(name, _)| *name == n).count() == 1;
                    !listed
                        || (0..NAMES.len())
                            .filter(|n| steady(*n))
                            .all(|n| w.pool.contains_key(NAMES[n]))
                },
            ),
            Property::sometimes("changes are missed by a compaction", |_, w: &World| {
                w.resynced
            }),
            Property::sometimes("a lagging member's list is refused", |_, w: &World| {
                w.refused
            }),
            Property::sometimes("a server that went is taken back", |_, w: &World| {
                w.gone
                    .iter()
                    .any(|(name, gone)| w.pool.get(name).is_some_and(|made| *made as i64 > *gone))
            }),
        ]
    }
}

#[test]
fn the_watcher_keeps_its_invariants_in_every_order() {
    let mut states = 0;
    // Each bound on its own is small; together they cover what one alone leaves out.
    for budget in [
        Budget {
            writes: 3,
            cuts: 2,
            compactions: 1,
            timers: 0,
        },
        Budget {
            writes: 2,
            cuts: 1,
            compactions: 1,
            timers: 3,
        },
        Budget {
            writes: 4,
            cuts: 1,
            compactions: 0,
            timers: 1,
        },
    ] {
        let checker = Store {
            budget,
            lies: false,
        }
        .checker()
        .threads(4)
        .target_max_depth(18)
        .spawn_bfs()
        .join();
        for name in [
            "a server that it was told is gone is not given out",
            "in step it has what the store has",
            "it never lacks a server that was there all the time",
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
        if budget.compactions > 0 && budget.cuts > 1 {
            for name in [
                "changes are missed by a compaction",
                "a lagging member's list is refused",
                "a server that went is taken back",
            ] {
                assert!(checker.discovery(name).is_some(), "{name}");
            }
        }
    }
    println!("{states} states in all");
    assert!(states > 20_000, "{states}");
}

/// A watcher that trusts a lagging member and keeps no tombstones would restore deleted endpoints: the checker finds it.
#[test]
fn a_planted_fault_is_found() {
    let budget = Budget {
        writes: 2,
        cuts: 1,
        compactions: 1,
        timers: 0,
    };
    let checker = Store { budget, lies: true }
        .checker()
        .threads(4)
        .target_max_depth(18)
        .spawn_bfs()
        .join();
    let found = checker.discovery("a server that it was told is gone is not given out");
    println!("{found:?}");
    let steps = found.expect("the planted fault").into_actions();
    assert!(
        steps.contains(&Action::Cut) && steps.contains(&Action::Compact),
        "{steps:?}"
    );
}
