//! Watch state machine: connects, reads a snapshot, watches its changes, and recovers from lost connections, compaction,
//! lagging members and rollbacks of the store.

use crate::backoff::Backoff;
use crate::event::{Command, Event, Header, Notice};
use crate::key_space::KeySpace;
use crate::key_value::{KeyChange, KeyValue};
use crate::limits::WatchLimits;
use crate::list::Endpoint;
use crate::rollback::{LagReaction, RollbackDetection};
use crate::silence::Silence;
use crate::snapshot::{PageOutcome, SnapshotPages};
use crate::staleness::Staleness;
use crate::status::{Phase, Status};
use crate::table::{EndpointTable, TableEffects};
use crate::time::{EventTime, Millis};

/// State of the connection.
#[derive(Clone, Debug, PartialEq)]
enum WatchState {
    /// The connection is not established.
    Connecting,
    /// A snapshot is read page by page.
    Listing(SnapshotPages),
    /// The watch is requested or established.
    Watching {
        established: bool,
        /// Changes of an answer that has not arrived completely.
        fragments: Vec<KeyChange>,
    },
}

/// Watch of one pool's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointWatcher {
    keys: KeySpace,
    max_keys: usize,
    table: EndpointTable,
    state: WatchState,
    /// Id of the store's cluster, from its first answer.
    cluster: Option<u64>,
    /// All changes up to this revision are applied; 0 before the first snapshot.
    revision: i64,
    has_snapshot: bool,
    /// True if changes were missed, so that the next connection begins with a snapshot.
    needs_snapshot: bool,
    /// Number of the member to connect to, incremented by each reconnect; see [`Command::Connect`].
    member: usize,
    backoff: Backoff,
    silence: Silence,
    staleness: Staleness,
    rollback: RollbackDetection,
    /// Phase in the latest notice.
    reported_phase: Phase,
}

/// Time of an event, and the outputs that result from it.
struct Step<'o> {
    time: EventTime,
    commands: &'o mut Vec<Command>,
    effects: TableEffects,
}

impl Step<'_> {
    fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    fn notice(&mut self, notice: Notice) {
        self.commands.push(Command::Notice(notice));
    }
}

impl EndpointWatcher {
    /// Builds the watch of a pool. The seed makes its reconnect delays differ from those of other watches.
    pub fn new(keys: KeySpace, limits: WatchLimits, seed: u64) -> Self {
        EndpointWatcher {
            // One more than the maximum of the table, for the release key.
            max_keys: limits.table.max_endpoints + 1,
            table: EndpointTable::new(keys.clone(), &limits.table),
            keys,
            state: WatchState::Connecting,
            cluster: None,
            revision: 0,
            has_snapshot: false,
            needs_snapshot: false,
            member: 0,
            backoff: Backoff::new(limits.backoff, seed),
            silence: Silence::new(&limits),
            staleness: Staleness::new(&limits),
            rollback: RollbackDetection::new(&limits),
            reported_phase: Phase::Listing,
        }
    }

    /// Returns the state for operators.
    pub fn status(&self, now: Millis) -> Status {
        Status {
            phase: self.phase(now),
            revision: self.revision,
            stale_since: self
                .staleness
                .stale_since(now)
                .filter(|_| self.has_snapshot),
            endpoints: self.table.counts(),
        }
    }

    /// Returns the endpoints of the list, in the order of their names.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.table.endpoints()
    }

    fn phase(&self, now: Millis) -> Phase {
        if !self.has_snapshot {
            return Phase::Listing;
        }
        if self.is_established() && self.staleness.is_in_sync() {
            return Phase::Watching;
        }
        if self.staleness.stale_since(now).is_some() {
            return Phase::Stale;
        }
        match self.state {
            WatchState::Listing(_) => Phase::Resyncing,
            _ => Phase::Behind,
        }
    }

    fn is_established(&self) -> bool {
        matches!(
            self.state,
            WatchState::Watching {
                established: true,
                ..
            }
        )
    }

    /// Returns the time at which [`Event::Timer`] is due, if no other event comes before.
    pub fn next_due(&self) -> Option<Millis> {
        let silence = match self.state {
            WatchState::Connecting => None,
            _ if self.is_established() => Some(
                self.silence
                    .progress_request_at()
                    .min(self.silence.timeout_at()),
            ),
            _ => Some(self.silence.timeout_at()),
        };
        let stale = self.staleness.next_due().filter(|_| self.has_snapshot);
        silence
            .into_iter()
            .chain(stale)
            .chain(self.table.next_due())
            .min()
    }

    /// Handles an event at its time, on the monotonic clock and in Unix time; appends the resulting commands.
    pub fn handle(&mut self, now: Millis, unix_ms: u64, event: Event, commands: &mut Vec<Command>) {
        let mut step = Step {
            time: EventTime { now, unix_ms },
            commands,
            effects: TableEffects::default(),
        };
        if event != Event::Timer {
            self.silence.record_event(now);
        }
        self.dispatch(event, &mut step);
        self.table.advance(step.time, &mut step.effects);
        let TableEffects { changes, notices } = std::mem::take(&mut step.effects);
        step.commands
            .extend(changes.into_iter().map(Command::Publish));
        for notice in notices {
            step.notice(Notice::Table(notice));
        }
        let phase = self.phase(now);
        if phase != self.reported_phase {
            self.reported_phase = phase;
            step.notice(Notice::Phase(phase));
        }
    }

    fn dispatch(&mut self, event: Event, step: &mut Step) {
        match event {
            Event::Timer => self.on_timer(step),
            Event::Connected => self.on_connected(step),
            Event::Page {
                header,
                key_values,
                more,
            } => self.on_page(header, key_values, more, step),
            Event::PageCompacted => self.on_page_compacted(step),
            Event::WatchEstablished(header) => self.on_watch_established(header, step),
            Event::Changes {
                header,
                changes,
                fragment,
            } => {
                if self.verify_cluster(header, step) {
                    self.on_changes(changes, fragment, step);
                }
            }
            Event::Progress(header) => self.on_progress(header, step),
            Event::Cancelled { compact_revision } => self.on_cancelled(compact_revision, step),
            Event::ConnectionLost => self.reconnect(step),
        }
    }

    fn on_timer(&mut self, step: &mut Step) {
        let now = step.time.now;
        if self.state == WatchState::Connecting {
            if self.silence.take_start() {
                let at = now + self.backoff.start_delay();
                step.command(Command::Connect {
                    member: self.member,
                    at,
                });
            }
        } else if now >= self.silence.timeout_at() {
            self.reconnect(step);
        } else if self.is_established() && now >= self.silence.progress_request_at() {
            self.silence.record_request(now);
            step.command(Command::RequestProgress);
        }
        if self.has_snapshot
            && let Some(since) = self.staleness.take_report(now)
        {
            step.notice(Notice::Stale(since));
        }
    }

    fn on_connected(&mut self, step: &mut Step) {
        if self.state != WatchState::Connecting {
            return;
        }
        self.silence.record_request(step.time.now);
        if self.has_snapshot && !self.needs_snapshot {
            self.start_watch(step);
        } else {
            self.start_snapshot(step);
        }
    }

    fn start_snapshot(&mut self, step: &mut Step) {
        self.state = WatchState::Listing(SnapshotPages::default());
        step.command(Command::List {
            start_key: self.keys.pool_prefix().as_bytes().to_vec(),
            revision: 0,
        });
    }

    fn start_watch(&mut self, step: &mut Step) {
        self.state = WatchState::Watching {
            established: false,
            fragments: Vec::new(),
        };
        step.command(Command::Watch(self.revision + 1));
    }

    /// Abandons the connection, and connects to the next member after the backoff.
    fn reconnect(&mut self, step: &mut Step) {
        self.staleness.out_of_sync(step.time.now);
        self.state = WatchState::Connecting;
        self.member += 1;
        let at = step.time.now + self.backoff.next_delay();
        step.command(Command::Connect {
            member: self.member,
            at,
        });
    }

    /// Returns true if an answer is from the watched store's cluster; otherwise reconnects.
    fn verify_cluster(&mut self, header: Header, step: &mut Step) -> bool {
        let expected = *self.cluster.get_or_insert(header.cluster);
        if expected == header.cluster {
            return true;
        }
        step.notice(Notice::OtherCluster(header.cluster));
        self.reconnect(step);
        false
    }

    fn on_page(&mut self, header: Header, page: Vec<KeyValue>, more: bool, step: &mut Step) {
        let is_listing = matches!(self.state, WatchState::Listing(_));
        if !is_listing || !self.verify_cluster(header, step) {
            return;
        }
        let WatchState::Listing(pages) = &mut self.state else {
            return;
        };
        if pages.revision() == 0 {
            pages.set_revision(header.revision);
            if header.revision < self.revision && !self.accept_older_snapshot(header, step) {
                return;
            }
        }
        let WatchState::Listing(pages) = &mut self.state else {
            return;
        };
        let revision = pages.revision();
        match pages.add(page, more, self.max_keys) {
            PageOutcome::Next(start_key) => step.command(Command::List {
                start_key,
                revision,
            }),
            PageOutcome::Complete(key_values) => self.apply_snapshot(revision, &key_values, step),
        }
    }

    /// Decides on a snapshot from an older state than the known one. It is accepted if the store was rolled back, but not
    /// from a lagging member, as it may contain endpoints that were deleted since.
    fn accept_older_snapshot(&mut self, header: Header, step: &mut Step) -> bool {
        let member_revision = header.revision;
        let known_revision = self.revision;
        match self.rollback.record_older_answer(step.time.now) {
            LagReaction::AcceptRollback => {
                step.notice(Notice::RolledBack {
                    member_revision,
                    known_revision,
                });
                self.table.store_rolled_back();
                true
            }
            LagReaction::Wait | LagReaction::SwitchMember => {
                step.notice(Notice::Lagging {
                    member_revision,
                    known_revision,
                });
                self.reconnect(step);
                false
            }
        }
    }

    fn apply_snapshot(&mut self, revision: i64, key_values: &[KeyValue], step: &mut Step) {
        self.table
            .apply_snapshot(step.time, revision, key_values, &mut step.effects);
        self.revision = revision;
        self.has_snapshot = true;
        self.needs_snapshot = false;
        self.rollback.reset();
        self.start_watch(step);
    }

    fn on_page_compacted(&mut self, step: &mut Step) {
        let WatchState::Listing(pages) = &self.state else {
            return;
        };
        if pages.revision() > 0 {
            self.start_snapshot(step);
        } else {
            // The current revision can't be compacted: the member is faulty.
            self.reconnect(step);
        }
    }

    fn on_watch_established(&mut self, header: Header, step: &mut Step) {
        if !self.verify_cluster(header, step) {
            return;
        }
        if let WatchState::Watching { established, .. } = &mut self.state {
            *established = true;
            self.backoff.reset();
            self.synchronize(header, step);
        }
    }

    fn on_progress(&mut self, header: Header, step: &mut Step) {
        let is_complete = matches!(
            &self.state,
            WatchState::Watching { established: true, fragments } if fragments.is_empty()
        );
        if !self.verify_cluster(header, step) || !is_complete {
            return;
        }
        if self.synchronize(header, step) {
            self.revision = header.revision;
        }
    }

    fn on_changes(&mut self, changes: Vec<KeyChange>, fragment: bool, step: &mut Step) {
        let WatchState::Watching {
            established: true,
            fragments,
        } = &mut self.state
        else {
            return;
        };
        fragments.extend(changes);
        if fragment {
            return;
        }
        let mut changes = std::mem::take(fragments);
        // A watch that was established again delivers known changes a second time.
        let known_revision = self.revision;
        changes.retain(|change| change.revision() > known_revision);
        let Some(newest) = changes.iter().map(KeyChange::revision).max() else {
            return;
        };
        self.table
            .apply_changes(step.time, &changes, &mut step.effects);
        // Not the header's revision: changes between the two may still come.
        self.revision = newest;
        self.enter_sync();
    }

    fn on_cancelled(&mut self, compact_revision: i64, step: &mut Step) {
        if !matches!(self.state, WatchState::Watching { .. }) {
            return;
        }
        if compact_revision > 0 {
            step.notice(Notice::Compacted(compact_revision));
        }
        self.staleness.out_of_sync(step.time.now);
        self.needs_snapshot = true;
        self.start_snapshot(step);
    }

    /// Marks the list as in sync if the member has applied everything that is known; returns true in this case.
    ///
    /// A lagging member may catch up; otherwise the watch connects to other members. If all of them lag for a long time,
    /// the store was rolled back, and a snapshot shows how far.
    fn synchronize(&mut self, header: Header, step: &mut Step) -> bool {
        if header.revision >= self.revision {
            self.enter_sync();
            return true;
        }
        self.staleness.out_of_sync(step.time.now);
        match self.rollback.record_older_answer(step.time.now) {
            LagReaction::Wait => {}
            LagReaction::SwitchMember => {
                step.notice(Notice::Lagging {
                    member_revision: header.revision,
                    known_revision: self.revision,
                });
                self.reconnect(step);
            }
            LagReaction::AcceptRollback => {
                self.needs_snapshot = true;
                self.start_snapshot(step);
            }
        }
        false
    }

    fn enter_sync(&mut self) {
        self.staleness.in_sync();
        self.rollback.reset();
    }
}
