//! The follower: from a list through a watch to the next list, whatever happens to the connection and to the store.

use std::fmt;

use fastrand::Rng;

use crate::Millis;
use crate::entry::Keys;
use crate::table::{Change, Did, Kv, Rules, Server, Table, Told};

/// What each answer of the store begins with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Header {
    /// Which store it is.
    pub cluster: u64,
    /// How far the member that answers has come.
    pub revision: i64,
}

/// What the connection has seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The follower begins, or the time it asked for has come.
    Timer,
    /// The connection that was asked for is up.
    Connected,
    /// A part of the list.
    Page {
        /// Its header.
        header: Header,
        /// Keys and values, in the order of the keys.
        kvs: Vec<Kv>,
        /// Whether there are others behind.
        more: bool,
    },
    /// The revision at which the list was asked for is not kept any more.
    PageCompacted,
    /// The watch stands.
    Watching(Header),
    /// Changes; with `fragment` the rest of them follows.
    Changes {
        /// Their header.
        header: Header,
        /// In the order of their revisions.
        changes: Vec<Change>,
        /// Whether others of the same answer follow.
        fragment: bool,
    },
    /// All changes up to the header's revision have been told.
    Progress(Header),
    /// The store has ended the watch.
    Cancelled {
        /// From which revision on changes are kept; 0 if that is not why.
        compacted: i64,
    },
    /// The connection, or a call on it, has failed.
    Lost,
}

/// What the connection is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Drop what is open, and connect to the endpoint of this number, at this time.
    Connect {
        /// Counts up; the connection takes it by the number of endpoints.
        endpoint: usize,
        /// When.
        at: Millis,
    },
    /// Ask for the list from this key on, as it was at a revision (0 for now).
    List {
        /// The first key.
        from: Vec<u8>,
        /// The revision.
        revision: i64,
    },
    /// Watch from this revision on.
    Watch(i64),
    /// Ask how far the watch has come.
    Ask,
    /// The list changes.
    Tell(Told),
    /// Something for the log.
    Note(Note),
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The phase is another.
    Phase(Phase),
    /// The list is old: nothing has been heard since then.
    Stale(Millis),
    /// Changes were missed, as the store does not keep them any more.
    Compacted(i64),
    /// The endpoint answers from an older state than is known already.
    Lagging {
        /// What it has.
        has: i64,
        /// What is known.
        known: i64,
    },
    /// Another store answers; nothing of it is taken.
    OtherCluster(u64),
    /// All endpoints answer from an older state, for long: a backup was brought back. Its list is taken.
    TurnedBack {
        /// What it has.
        has: i64,
        /// What was known.
        known: i64,
    },
    /// What the table did with a server.
    Did(String),
}

/// What the follower is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has no list yet.
    Listing,
    /// Each change reaches it as it comes.
    Watching,
    /// It has a list, and is connecting or lacks what came last.
    Behind,
    /// It has a list, and reads a new one because changes were missed.
    Resyncing,
    /// It is behind for so long that operators should know; the list stands.
    Stale,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Listing => "listing",
            Phase::Watching => "watching",
            Phase::Behind => "behind",
            Phase::Resyncing => "resyncing",
            Phase::Stale => "stale",
        })
    }
}

/// What operators see.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// What it is at.
    pub phase: Phase,
    /// The store's revision up to which everything is known.
    pub revision: i64,
    /// Since when the list is old, if it is.
    pub stale_since: Option<Millis>,
    /// Servers, quarantined ones, held ones.
    pub servers: [usize; 3],
}

/// What the list has become, for a pool and for people.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The list changes.
    Told(Told),
    /// What the follower is at.
    Status(Status),
}

/// Spans and bounds that the follower goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// It asks how far the watch has come after so long without a word.
    pub ask: Millis,
    /// It gives a connection up after so long without a word.
    pub silence: Millis,
    /// The list counts as stale after so long.
    pub stale: Millis,
    /// Waits before it connects again: the first one at most, and any at most.
    pub backoff: (Millis, Millis),
    /// Whether these waits are drawn; without chance all followers come back together.
    pub jitter: bool,
    /// An older state that all endpoints have for so long is taken for a backup.
    pub turned_back: Millis,
    /// What the table of servers goes by.
    pub rules: Rules,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            ask: 1000,
            silence: 3000,
            stale: 5000,
            backoff: (200, 5000),
            jitter: true,
            turned_back: 15_000,
            rules: Rules::default(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The connection is not up.
    Connecting,
    /// Pages of the list come in, as of a revision; 0 before the first.
    Listing { at: i64, got: Vec<Kv> },
    /// The watch was asked for, or stands.
    Watching { stands: bool, parts: Vec<Change> },
}

/// Follows one pool's servers.
#[derive(Clone, Debug)]
pub struct Follower {
    keys: Keys,
    limits: Limits,
    rng: Rng,
    table: Table,
    step: Step,
    cluster: Option<u64>,
    /// Everything up to this revision is known; 0 before the first list.
    revision: i64,
    listed: bool,
    /// Changes were missed: the next connection begins with a list.
    missed: bool,
    endpoint: usize,
    tries: u32,
    /// When the connection last said something, and when it was last asked to.
    heard: Millis,
    asked: Millis,
    /// Since when it is not in step with the store.
    behind: Option<Millis>,
    told_stale: bool,
    /// Since when every answer has come from an older state.
    older: Option<Millis>,
    phase: Phase,
}

impl PartialEq for Follower {
    /// Chance left out.
    fn eq(&self, other: &Self) -> bool {
        let rest = |f: &Self| {
            (
                f.cluster, f.revision, f.listed, f.missed, f.endpoint, f.tries, f.heard, f.asked,
                f.behind, f.older,
            )
        };
        self.table == other.table && self.step == other.step && rest(self) == rest(other)
    }
}

impl Follower {
    /// A follower of the servers below these keys. The seed spreads its waits among others'.
    pub fn new(keys: Keys, limits: Limits, seed: u64) -> Self {
        Follower {
            table: Table::new(keys.clone(), limits.rules),
            keys,
            limits,
            rng: Rng::with_seed(seed),
            step: Step::Connecting,
            cluster: None,
            revision: 0,
            listed: false,
            missed: false,
            endpoint: 0,
            tries: 0,
            heard: 0,
            asked: 0,
            behind: Some(0),
            told_stale: false,
            older: None,
            phase: Phase::Listing,
        }
    }

    /// What operators see.
    pub fn status(&self, now: Millis) -> Status {
        Status {
            phase: self.phase(now),
            revision: self.revision,
            stale_since: self
                .behind
                .filter(|since| now >= since + self.limits.stale && self.listed),
            servers: self.table.counts(),
        }
    }

    /// The servers of the list.
    pub fn servers(&self) -> Vec<Server> {
        self.table.servers()
    }

    fn phase(&self, now: Millis) -> Phase {
        let stale = self
            .behind
            .is_some_and(|since| now >= since + self.limits.stale);
        match &self.step {
            _ if !self.listed => Phase::Listing,
            Step::Watching { stands: true, .. } if self.behind.is_none() => Phase::Watching,
            _ if stale => Phase::Stale,
            Step::Listing { .. } => Phase::Resyncing,
            _ => Phase::Behind,
        }
    }

    /// When it wants to hear of the time, whatever else happens.
    pub fn next(&self) -> Option<Millis> {
        let silent = match self.step {
            Step::Connecting => None,
            Step::Watching { stands: true, .. } => Some(
                (self.heard.max(self.asked) + self.limits.ask)
                    .min(self.heard + self.limits.silence),
            ),
            _ => Some(self.heard + self.limits.silence),
        };
        let stale = self
            .behind
            .filter(|_| self.listed && !self.told_stale)
            .map(|b| b + self.limits.stale);
        silent
            .into_iter()
            .chain(stale)
            .chain(self.table.next())
            .min()
    }

    /// Takes an event at its time; `unix_ms` is the same time for people and servers. Commands are to be carried out in order.
    pub fn handle(&mut self, now: Millis, unix_ms: u64, event: Event, out: &mut Vec<Command>) {
        let mut told = Vec::new();
        let mut did = Vec::new();
        match event {
            Event::Timer => {}
            _ => self.heard = now,
        }
        match event {
            Event::Timer => self.time(now, out),
            Event::Connected => self.connected(now, out),
            Event::Page { header, kvs, more } => {
                self.page(now, unix_ms, header, kvs, more, out, &mut told, &mut did);
            }
            Event::PageCompacted => match self.step {
                Step::Listing { at, .. } if at > 0 => self.list(out),
                // Asked for as it is now, it can't be: a member that is not well.
                Step::Listing { .. } => self.lost(now, out),
                _ => {}
            },
            Event::Watching(header) => {
                if self.same(now, header, out)
                    && let Step::Watching { stands, .. } = &mut self.step
                {
                    *stands = true;
                    self.tries = 0;
                    // A member that has not come as far as others had tells what it has yet to hear later.
                    if header.revision >= self.revision {
                        self.in_step();
                    } else {
                        self.lags(now, header.revision, out);
                    }
                }
            }
            Event::Changes {
                header,
                changes,
                fragment,
            } => {
                if self.same(now, header, out) {
                    self.changes(now, unix_ms, changes, fragment, &mut told, &mut did);
                }
            }
            Event::Progress(header) => {
                let whole = matches!(&self.step, Step::Watching { stands: true, parts } if parts.is_empty());
                if self.same(now, header, out) && whole {
                    if header.revision >= self.revision {
                        self.revision = header.revision;
                        self.in_step();
                    } else {
                        self.lags(now, header.revision, out);
                    }
                }
            }
            Event::Cancelled { compacted } => {
                if let Step::Watching { .. } = self.step {
                    if compacted > 0 {
                        out.push(Command::Note(Note::Compacted(compacted)));
                    }
                    self.out_of_step(now);
                    // Whatever the reason: what came since is not known, and a list tells it.
                    self.missed = true;
                    self.list(out);
                }
            }
            Event::Lost => self.lost(now, out),
        }
        self.table.advance(now, unix_ms, &mut told, &mut did);
        out.extend(told.into_iter().map(Command::Tell));
        out.extend(did.iter().map(|d| Command::Note(Note::Did(words(d)))));
        let phase = self.phase(now);
        if phase != self.phase {
            self.phase = phase;
            out.push(Command::Note(Note::Phase(phase)));
        }
    }

    fn in_step(&mut self) {
        (self.behind, self.told_stale, self.older) = (None, false, None);
    }

    fn out_of_step(&mut self, now: Millis) {
        self.behind.get_or_insert(now);
    }

    /// The watch stands at a member that has not come as far as is known already. It may catch up; if it does not, others are
    /// asked; if all of them are so for long, it is the store that has gone back, and a list shows how far.
    fn lags(&mut self, now: Millis, has: i64, out: &mut Vec<Command>) {
        self.out_of_step(now);
        let since = *self.older.get_or_insert(now);
        if now >= since + self.limits.turned_back {
            self.missed = true;
            self.list(out);
        } else if now >= since + self.limits.silence {
            out.push(Command::Note(Note::Lagging {
                has,
                known: self.revision,
            }));
            self.lost(now, out);
        }
    }

    fn time(&mut self, now: Millis, out: &mut Vec<Command>) {
        match &self.step {
            Step::Connecting => {
                if self.heard == 0 && self.asked == 0 {
                    // The first call; those of proxies that start together are spread as later ones are.
                    self.asked = 1;
                    let at = now + self.wait(self.limits.backoff.0);
                    out.push(Command::Connect {
                        endpoint: self.endpoint,
                        at,
                    });
                }
            }
            step => {
                let stands = matches!(step, Step::Watching { stands: true, .. });
                if now >= self.heard + self.limits.silence {
                    self.lost(now, out);
                } else if stands && now >= self.heard.max(self.asked) + self.limits.ask {
                    self.asked = now;
                    out.push(Command::Ask);
                }
            }
        }
        if let Some(since) = self
            .behind
            .filter(|s| self.listed && !self.told_stale && now >= s + self.limits.stale)
        {
            self.told_stale = true;
            out.push(Command::Note(Note::Stale(since)));
        }
    }

    /// A wait of at most so long.
    fn wait(&mut self, most: Millis) -> Millis {
        if self.limits.jitter {
            self.rng.u64(0..=most)
        } else {
            most
        }
    }

    fn connected(&mut self, now: Millis, out: &mut Vec<Command>) {
        if self.step != Step::Connecting {
            return;
        }
        self.asked = now;
        if self.listed && !self.missed {
            self.watch(out);
        } else {
            self.list(out);
        }
    }

    fn list(&mut self, out: &mut Vec<Command>) {
        self.step = Step::Listing {
            at: 0,
            got: Vec::new(),
        };
        out.push(Command::List {
            from: self.keys.all().as_bytes().to_vec(),
            revision: 0,
        });
    }

    fn watch(&mut self, out: &mut Vec<Command>) {
        self.step = Step::Watching {
            stands: false,
            parts: Vec::new(),
        };
        out.push(Command::Watch(self.revision + 1));
    }

    fn lost(&mut self, now: Millis, out: &mut Vec<Command>) {
        self.out_of_step(now);
        self.step = Step::Connecting;
        self.endpoint += 1;
        let (first, most) = self.limits.backoff;
        let most = first.saturating_mul(1 << self.tries.min(16)).min(most);
        self.tries = self.tries.saturating_add(1);
        let at = now + self.wait(most);
        out.push(Command::Connect {
            endpoint: self.endpoint,
            at,
        });
    }

    /// Whether an answer is of the store that is followed.
    fn same(&mut self, now: Millis, header: Header, out: &mut Vec<Command>) -> bool {
        match self.cluster {
            Some(cluster) if cluster != header.cluster => {
                out.push(Command::Note(Note::OtherCluster(header.cluster)));
                self.lost(now, out);
                false
            }
            _ => {
                self.cluster = Some(header.cluster);
                true
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one answer, and where what comes of it goes"
    )]
    fn page(
        &mut self,
        now: Millis,
        unix_ms: u64,
        header: Header,
        kvs: Vec<Kv>,
        more: bool,
        out: &mut Vec<Command>,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        if !matches!(self.step, Step::Listing { .. }) || !self.same(now, header, out) {
            return;
        }
        let Step::Listing { at, got } = &mut self.step else {
            return;
        };
        let first = *at == 0;
        if first {
            *at = header.revision;
        }
        let (at, last) = (*at, kvs.last().map(|kv| kv.key.clone()));
        if first && at < self.revision {
            let known = self.revision;
            let since = *self.older.get_or_insert(now);
            if now < since + self.limits.turned_back {
                // What is known already is newer: nothing that went may come back by this.
                out.push(Command::Note(Note::Lagging { has: at, known }));
                return self.lost(now, out);
            }
            out.push(Command::Note(Note::TurnedBack { has: at, known }));
            self.table.turn_back();
        }
        got.extend(kvs);
        let most = self.limits.rules.most + 1;
        if let (true, Some(mut from), true) = (more, last, got.len() <= most) {
            from.push(0); // the key after this one
            return out.push(Command::List { from, revision: at });
        }
        let got = std::mem::take(got);
        self.table.whole(now, unix_ms, at, &got, told, did);
        (self.revision, self.listed, self.missed, self.older) = (at, true, false, None);
        self.watch(out);
    }

    fn changes(
        &mut self,
        now: Millis,
        unix_ms: u64,
        changes: Vec<Change>,
        fragment: bool,
        told: &mut Vec<Told>,
        did: &mut Vec<Did>,
    ) {
        let Step::Watching {
            stands: true,
            parts,
        } = &mut self.step
        else {
            return;
        };
        parts.extend(changes);
        if fragment {
            return;
        }
        let mut changes = std::mem::take(parts);
        // What is known already comes again after a connection was lost, and is no news.
        let known = self.revision;
        changes.retain(|c| c.revision() > known);
        let Some(newest) = changes.iter().map(Change::revision).max() else {
            return;
        };
        self.table.changes(now, unix_ms, &changes, told, did);
        // The header may be ahead of the changes: those between are still to come.
        self.revision = newest;
        self.in_step();
    }
}

fn words(did: &Did) -> String {
    match did {
        Did::Quarantined(name, why) => {
            format!("{name}: its value is of no use, its last good one stays: {why}")
        }
        Did::Held(n) => format!(
            "{n} leases ended together: their servers are held; `canvascart fleet release` lets them go"
        ),
        Did::LetGo(n) => format!("{n} servers that were held are let go"),
        Did::Flaps(name) => {
            format!("{name} comes and goes: it is taken back when it has stayed for a while")
        }
        Did::TooMany(name) => format!("{name} is one server too many, and not taken"),
        Did::Ghost(name) => {
            format!("{name} is gone, and an older state of the store does not bring it back")
        }
    }
}
