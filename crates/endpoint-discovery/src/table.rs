//! The table of servers: which of the store's entries are believed, which are held, which are gone for good.

use std::collections::BTreeMap;

use crate::Millis;
use crate::entry::{Entry, Keys, State};

/// A key and its value, as the store has them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Kv {
    /// The key.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
    /// The revision that made it; another one after it was deleted and made again.
    pub create_revision: i64,
    /// The lease that it goes with; 0 for none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// It has a value.
    Put(Kv),
    /// It is gone.
    Delete {
        /// The key.
        key: Vec<u8>,
        /// The revision at which it went.
        revision: i64,
    },
}

impl Change {
    /// The key.
    pub fn key(&self) -> &[u8] {
        match self {
            Change::Put(kv) => &kv.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// The revision.
    pub fn revision(&self) -> i64 {
        match self {
            Change::Put(kv) => kv.mod_revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// A server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// What its value says.
    pub entry: Entry,
    /// When its process started, in Unix time in ms; 0 for long ago.
    pub born_ms: u64,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The first whole list.
    Whole(Vec<Server>),
    /// A server joins, or is other than it was.
    Is(Server),
    /// A server is gone.
    Gone(String),
}

/// What is known of a server that is in the list.
#[derive(Clone, Debug, PartialEq)]
struct Known {
    entry: Entry,
    born_ms: u64,
    mod_revision: i64,
    create_revision: i64,
    lease: i64,
    /// Its present value can't be read; the entry is the last good one.
    quarantined: bool,
    /// Its lease ended with many others at this time and revision: it stays until it is let go.
    held: Option<(Millis, i64)>,
}

/// What is remembered of a server that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Tombstone {
    /// The revision at which it went, and the one that had made its key.
    gone: i64,
    made: i64,
    at: Millis,
    /// The store's past has changed since: revisions say nothing any more.
    turned: bool,
}

/// Servers that are held back because they come and go.
#[derive(Clone, Debug, PartialEq)]
struct Flapping {
    /// When it came back, of late.
    returns: Vec<Millis>,
    /// What is to be told of it, if it stays, and since when.
    waits: Option<(Millis, Kv)>,
}

/// What the table did with something, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Did {
    /// A value can't be read; the server's last good one stays, if there was one.
    Quarantined(String, String),
    /// So many leases ended together that their servers are held.
    Held(usize),
    /// Held servers were let go.
    LetGo(usize),
    /// A server comes and goes; it is taken back when it has stayed for a while.
    Flaps(String),
    /// There are more servers than are kept.
    TooMany(String),
    /// An entry that went before a backup was taken, and came back with it.
    Ghost(String),
}

/// What the table goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Servers at most.
    pub most: usize,
    /// When more than this part of all servers with leases lose them within `together`, they are held.
    pub guard: f64,
    /// As above.
    pub together: Millis,
    /// How long they are held.
    pub hold: Millis,
    /// A server that has come back so often within `flap_span` must stay for `flap_stay` before it is taken back.
    pub flaps: usize,
    /// As above.
    pub flap_span: Millis,
    /// As above.
    pub flap_stay: Millis,
    /// Tombstones at most, and how long each is kept at least.
    pub tombstones: usize,
    /// As above.
    pub tombstone_span: Millis,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            most: 20_000,
            guard: 0.5,
            together: 2000,
            hold: 60_000,
            flaps: 4,
            flap_span: 60_000,
            flap_stay: 10_000,
            tombstones: 20_000,
            tombstone_span: 600_000,
        }
    }
}

/// A server's lease ended; many together may be held.
const FEW: usize = 2;

/// All servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    keys: Keys,
    rules: Rules,
    known: BTreeMap<String, Known>,
    tombstones: BTreeMap<String, Tombstone>,
    flapping: BTreeMap<String, Flapping>,
    /// When servers went of late because their leases ended.
    ended: Vec<Millis>,
    /// The revision of the last word to let go of held servers.
    released: i64,
    first: bool,
}

impl Table {
    /// An empty table.
    pub fn new(keys: Keys, rules: Rules) -> Self {
        Table {
            keys,
            rules,
            known: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            flapping: BTreeMap::new(),
            ended: Vec::new(),
            released: 0,
            first: true,
        }
    }

    /// Servers that are in the list, how many of them are quarantined, and how many held.
    pub fn counts(&self) -> [usize; 3] {
        let count = |f: fn(&Known) -> bool| self.known.values().filter(|k| f(k)).count();
        [
            self.known.len(),
            count(|k| k.quarantined),
            count(|k| k.held.is_some()),
        ]
    }

    /// The servers of the list.
    pub fn servers(&self) -> Vec<Server> {
        let server = |(name, k): (&String, &Known)| Server {
            name: name.clone(),
            entry: k.entry.clone(),
            born_ms: k.born_ms,
        };
        self.known.iter().map(server).collect()
    }

    /// When something is due by itself.
    pub fn next(&self) -> Option<Millis> {
        let held = self
            .known
            .values()
            .filter_map(|k| k.held.map(|(at, _)| at + self.rules.hold));
        let waits = self
            .flapping
            .values()
            .filter_map(|f| f.waits.as_ref().map(|w| w.0 + self.rules.flap_stay));
        held.chain(waits).min()
    }

    /// Takes what is due.
    pub fn advance(&mut self, now: Millis, unix_ms: u64, told: &mut Vec<Told>, did: &mut Vec<Did>) {
        let over = |k: &Known| k.held.is_some_and(|(at, _)| now >= at + self.rules.hold);
        let over: Vec<String> = self
            .known
            .iter()
            .filter(|(_, k)| over(k))
            .map(|(n, _)| n.clone())
            .collect();
        self.let_go(now, over, told, did);
        let stay = self.rules.flap_stay;
        let due = |f: &Flapping| f.waits.as_ref().is_some_and(|w| now >= w.0 + stay);
        let due: Vec<String> = self
            .flapping
            .iter()
            .filter(|(_, f)| due(f))
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            let waits = self.flapping.get_mut(&name).and_then(|f| f.waits.take());
            if let Some((_, kv)) = waits {
                self.take(now, unix_ms, &name, &kv, told, did);
            }
        }
        let span = self.rules.flap_span;
        self.flapping
            .retain(|_, f| f.waits.is_some() || f.returns.last().is_some_and(|r| now < r + span));
    }

    /// Takes changes that came together, each newer than all before.
    pub fn changes(
        &mut self,
        now: Millis,
        unix_ms: u64,
        changes: &[Change],
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        let mut gone: Vec<(String, i64)> = Vec::new();
        for change in changes {
            if change.key() == self.keys.release().as_bytes() {
                if let Change::Put(kv) = change {
                    self.release(now, kv.mod_revision, told, did);
                }
                continue;
            }
            let Some(name) = self.keys.name(change.key()).map(str::to_owned) else {
                continue;
            };
            match change {
                Change::Delete { revision, .. } => gone.push((name, *revision)),
                Change::Put(kv) => {
                    // In the order of the store, where one key changes twice.
                    if gone.iter().any(|(n, _)| *n == name) {
                        self.delete(now, std::mem::take(&mut gone), told, did);
                    }
                    self.put(now, unix_ms, &name, kv, told, did);
                }
            }
        }
        self.delete(now, gone, told, did);
    }

    /// Takes the whole list as it is at a revision: what it lacks is gone.
    pub fn whole(
        &mut self,
        now: Millis,
        unix_ms: u64,
        at: i64,
        kvs: &[Kv],
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        let mut seen: BTreeMap<String, &Kv> = BTreeMap::new();
        for kv in kvs {
            if kv.key == self.keys.release().as_bytes() {
                self.released = self.released.max(kv.mod_revision);
            } else if let Some(name) = self.keys.name(&kv.key) {
                seen.insert(name.to_owned(), kv);
            }
        }
        let first = std::mem::replace(&mut self.first, false);
        let mut changes = Vec::new();
        let missing = self.known.keys().filter(|n| !seen.contains_key(*n));
        let missing: Vec<(String, i64)> = missing.map(|n| (n.clone(), at)).collect();
        // Removals first: nothing is told to be up beside one that is gone.
        self.delete(now, missing, &mut changes, did);
        self.flapping.values_mut().for_each(|f| f.waits = None);
        for (name, kv) in seen {
            self.put(
                now,
                if first { 0 } else { unix_ms },
                &name,
                kv,
                &mut changes,
                did,
            );
        }
        if first {
            told.push(Told::Whole(self.servers()));
        } else {
            told.extend(changes);
        }
        let revision = self.released;
        self.release(now, revision, told, did);
    }

    fn put(
        &mut self,
        now: Millis,
        unix_ms: u64,
        name: &str,
        kv: &Kv,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        if let Some(known) = self.known.get(name)
            && known.mod_revision == kv.mod_revision
            && known.held.is_none()
        {
            return; // it is as it was
        }
        if let Some(stone) = self.tombstones.get(name) {
            // What went does not come back by being read from an older state of the store, or from a backup.
            let old = if stone.turned {
                kv.create_revision == stone.made
            } else {
                kv.mod_revision <= stone.gone
            };
            if old {
                did.push(Did::Ghost(name.to_owned()));
                return;
            }
            let span = self.rules.flap_span;
            let none = || Flapping {
                returns: Vec::new(),
                waits: None,
            };
            let flapping = self.flapping.entry(name.to_owned()).or_insert_with(none);
            if let Some((_, waits)) = &mut flapping.waits {
                *waits = kv.clone();
                return;
            }
            flapping.returns.retain(|r| now < r + span);
            flapping.returns.push(now);
            let many = flapping.returns.len();
            if many >= self.rules.flaps {
                flapping.returns.drain(..many - self.rules.flaps);
                flapping.waits = Some((now, kv.clone()));
                did.push(Did::Flaps(name.to_owned()));
                return;
            }
        }
        self.take(now, unix_ms, name, kv, told, did);
    }

    /// Takes a value over.
    fn take(
        &mut self,
        now: Millis,
        unix_ms: u64,
        name: &str,
        kv: &Kv,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        let entry = match Entry::read(&kv.value) {
            Ok(entry) => entry,
            Err(e) => {
                did.push(Did::Quarantined(name.to_owned(), e.to_string()));
                if let Some(known) = self.known.get_mut(name) {
                    (known.quarantined, known.mod_revision, known.lease) =
                        (true, kv.mod_revision, kv.lease);
                    known.held = None;
                }
                return;
            }
        };
        if entry.state == State::Gone {
            return self.bury(now, name, kv.mod_revision, kv.create_revision, told);
        }
        if !self.known.contains_key(name) && self.known.len() >= self.rules.most {
            did.push(Did::TooMany(name.to_owned()));
            return;
        }
        // Made again, or elsewhere, is another process; it is cold from when it says, or from now.
        let same = self.known.get(name).filter(|k| {
            k.create_revision == kv.create_revision && k.entry.address == entry.address
        });
        let born_ms = match (entry.born_ms, same) {
            (Some(born), _) => born,
            (None, Some(known)) => known.born_ms,
            (None, None) => unix_ms,
        };
        let known = Known {
            entry: entry.clone(),
            born_ms,
            mod_revision: kv.mod_revision,
            create_revision: kv.create_revision,
            lease: kv.lease,
            quarantined: false,
            held: None,
        };
        self.tombstones.remove(name);
        let old = self.known.insert(name.to_owned(), known);
        if old.is_none_or(|old| old.entry != entry || old.born_ms != born_ms) {
            told.push(Told::Is(Server {
                name: name.to_owned(),
                entry,
                born_ms,
            }));
        }
    }

    /// Takes servers whose keys are gone, all at once.
    fn delete(
        &mut self,
        now: Millis,
        gone: Vec<(String, i64)>,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        // Who leaves on purpose says so first, and who drains gets nothing new anyway: what is left are leases that ended.
        let leased = |k: &&Known| k.lease != 0 && k.entry.state == State::Up && k.held.is_none();
        let ends = gone
            .iter()
            .filter(|(name, _)| self.known.get(name).as_ref().is_some_and(leased))
            .count();
        let (together, guard) = (self.rules.together, self.rules.guard);
        self.ended.retain(|at| now < at + together);
        let all = self.known.values().filter(leased).count() + self.ended.len();
        let lost = ends + self.ended.len();
        let hold = ends > 0 && lost > FEW && lost as f64 > guard * all as f64;
        let mut held = 0;
        for (name, revision) in gone {
            if let Some(flapping) = self.flapping.get_mut(&name) {
                flapping.waits = None;
            }
            let Some(known) = self.known.get_mut(&name) else {
                // It went before it was taken back.
                if let Some(stone) = self.tombstones.get_mut(&name) {
                    stone.gone = stone.gone.max(revision);
                }
                continue;
            };
            if known.held.is_some() {
                continue;
            }
            let ended = leased(&&*known);
            if hold && ended && revision > self.released {
                known.held = Some((now, revision));
                held += 1;
                continue;
            }
            if ended {
                self.ended.push(now);
            }
            let made = known.create_revision;
            self.bury(now, &name, revision, made, told);
        }
        if held > 0 {
            did.push(Did::Held(held));
        }
    }

    fn release(&mut self, now: Millis, revision: i64, told: &mut Vec<Told>, did: &mut Vec<Did>) {
        self.released = self.released.max(revision);
        let older = |k: &Known| k.held.is_some_and(|(_, gone)| gone <= revision);
        let go: Vec<String> = self
            .known
            .iter()
            .filter(|(_, k)| older(k))
            .map(|(n, _)| n.clone())
            .collect();
        self.let_go(now, go, told, did);
    }

    fn let_go(
        &mut self,
        now: Millis,
        names: Vec<String>,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        if !names.is_empty() {
            did.push(Did::LetGo(names.len()));
        }
        for name in names {
            let held = self
                .known
                .get(&name)
                .and_then(|k| Some((k.held?.1, k.create_revision)));
            if let Some((gone, made)) = held {
                self.bury(now, &name, gone, made, told);
            }
        }
    }

    fn bury(&mut self, now: Millis, name: &str, gone: i64, made: i64, told: &mut Vec<Told>) {
        if self.known.remove(name).is_some() {
            told.push(Told::Gone(name.to_owned()));
        }
        self.tombstones.insert(
            name.to_owned(),
            Tombstone {
                gone,
                made,
                at: now,
                turned: false,
            },
        );
        if self.tombstones.len() > self.rules.tombstones {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, t)| t.at)
                .map(|(n, _)| n.clone());
            oldest.map(|n| self.tombstones.remove(&n));
        }
        let span = self.rules.tombstone_span;
        self.tombstones.retain(|_, t| now < t.at + span);
    }

    /// The store's past is another than it was: a backup was brought back, whose revisions begin lower. What is gone stays gone
    /// until its key is written anew, which shows in another revision than the one that it had.
    pub fn turn_back(&mut self) {
        self.known.values_mut().for_each(|k| k.mod_revision = -1);
        self.tombstones.values_mut().for_each(|t| t.turned = true);
        self.released = 0;
    }
}
