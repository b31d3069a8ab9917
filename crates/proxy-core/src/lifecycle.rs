//! Lifecycle of a process from start to shutdown. It determines the answers of `/up` and of the operations listener,
//! and whether connections are accepted and kept alive. The state machine does no I/O; the caller passes the time in.

use std::cell::RefCell;
use std::time::Duration;

use balancer::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;

/// Time after SIGTERM during which new connections are still accepted, if the process owns its listener: the load
/// balancer in front keeps sending them for up to 0.4 s.
const ACCEPT_GRACE_MS: Millis = 500.0;
/// Idle time after which a connection closes during a drain or a shutdown. A client that still uses the connection
/// sends its next request sooner, and the connection closes with that answer, so no request races with the close.
const IDLE_CLOSE_MS: Millis = 300.0;
/// The same for a connection that has had no request yet: its first one may be on the way.
const FIRST_REQUEST_GRACE_MS: Millis = 1000.0;
/// Time after SIGTERM at which every idle connection closes: clients go on using each connection that stays open.
const FORCED_IDLE_CLOSE_MS: Millis = 650.0;
/// Minimum time from SIGTERM to SIGKILL, without the longest deadline, which is added and counts as
/// [`MAX_COUNTED_DEADLINE_MS`] at most. A request that arrived more than this delay after SIGTERM and is unanswered at
/// SIGKILL is lost.
const MIN_KILL_DELAY_MS: Millis = 700.0;
const MAX_COUNTED_DEADLINE_MS: Millis = 3000.0;
/// A request that arrives later than this after SIGTERM could be unanswered at SIGKILL, so its timeout ends
/// [`KILL_MARGIN_MS`] before the earliest SIGKILL.
const LATE_REQUEST_MS: Millis = 550.0;
const KILL_MARGIN_MS: Millis = 150.0;

/// Phase of a process's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No endpoint list has been received yet.
    Starting,
    /// Clients are accepted.
    Serving,
    /// An operator drains clients from the process, which keeps running.
    LameDuck,
    /// SIGTERM has arrived; the remaining requests are being answered.
    ShuttingDown,
}

/// Client connection without a request in flight.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Time of its last activity.
    pub since: Millis,
    /// True once an answer has been sent on it.
    pub used: bool,
}

/// State machine of the lifecycle.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Other processes may listen on the same socket.
    shared: bool,
    list_received: bool,
    lame_duck_since: Option<Millis>,
    terminated_at: Option<Millis>,
}

impl Lifecycle {
    /// Creates the state of a process that has just started.
    pub fn new(shared: bool) -> Self {
        Lifecycle {
            shared,
            list_received: false,
            lame_duck_since: None,
            terminated_at: None,
        }
    }

    /// Records that the endpoint list has been received.
    pub fn mark_list_received(&mut self) {
        self.list_received = true;
    }

    /// Starts or ends the lame-duck drain. Repeating a call changes nothing. Returns `false` if a process that shuts
    /// down is asked to end its drain, which is impossible.
    pub fn set_lame_duck(&mut self, now: Millis, on: bool) -> bool {
        if self.terminated_at.is_some() {
            return on; // a process that shuts down already drains its clients
        }
        self.lame_duck_since = on.then(|| self.lame_duck_since.unwrap_or(now));
        true
    }

    /// Records SIGTERM, which may also arrive during a drain.
    pub fn begin_shutdown(&mut self, now: Millis) {
        self.terminated_at = self.terminated_at.or(Some(now));
    }

    /// Returns the present phase. A drain that begins before the list is received lasts beyond it.
    pub fn phase(&self) -> Phase {
        match (self.terminated_at, self.lame_duck_since, self.list_received) {
            (Some(_), ..) => Phase::ShuttingDown,
            (_, Some(_), _) => Phase::LameDuck,
            (.., false) => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    /// Returns true if `/up` and `/_ready` report the process as up.
    pub fn is_up(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Returns true if new connections are accepted. On a shared listener, a process that has no list or is shutting
    /// down leaves them to the other processes; on its own listener it accepts them and answers that it is not up.
    pub fn accepts_connections(&self, now: Millis) -> bool {
        match self.terminated_at {
            Some(terminated_at) => !self.shared && now - terminated_at < ACCEPT_GRACE_MS,
            None => !self.shared || self.list_received,
        }
    }

    /// Returns true if other processes may accept the connections that this process does not.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Returns true if connections are kept alive after an answer.
    pub fn keeps_connections_alive(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Serving)
    }

    /// Returns the timeout of a request that arrives now: the time its client waits, or less if SIGKILL may come
    /// before. `longest_deadline` is that of all classes.
    pub fn request_timeout(
        &self,
        now: Millis,
        client_timeout: Duration,
        longest_deadline: Duration,
    ) -> Duration {
        if !self.is_late(now) {
            return client_timeout;
        }
        self.late_answer_due(longest_deadline)
            .map_or(client_timeout, |due| {
                client_timeout.min(Duration::from_secs_f64((due - now).max(0.0) / 1000.0))
            })
    }

    /// Returns true if a request that is complete now could be unanswered at the earliest SIGKILL.
    pub fn is_late(&self, now: Millis) -> bool {
        self.late_from().is_some_and(|late_from| now > late_from)
    }

    /// Returns the time from which a complete request is late; `None` before a shutdown.
    fn late_from(&self) -> Option<Millis> {
        Some(self.terminated_at? + LATE_REQUEST_MS)
    }

    /// Returns the time at which each request that is late must be answered; `None` before a shutdown.
    fn late_answer_due(&self, longest_deadline: Duration) -> Option<Millis> {
        let counted_deadline =
            (longest_deadline.as_secs_f64() * 1000.0).min(MAX_COUNTED_DEADLINE_MS);
        Some(self.terminated_at? + MIN_KILL_DELAY_MS - KILL_MARGIN_MS + counted_deadline)
    }

    /// Returns the time at which every request must be answered; `None` before a shutdown. The process exits soon
    /// after.
    fn last_answer_due(&self, longest_deadline: Duration) -> Option<Millis> {
        let deadline = longest_deadline.as_secs_f64() * 1000.0;
        Some(self.terminated_at? + MIN_KILL_DELAY_MS - KILL_MARGIN_MS + deadline)
    }

    /// Returns true if an idle connection has to close now.
    pub fn should_close(&self, now: Millis, idle: IdleConnection) -> bool {
        let Some(drain_start) = self
            .terminated_at
            .into_iter()
            .chain(self.lame_duck_since)
            .reduce(f64::min)
        else {
            return false;
        };
        if self
            .terminated_at
            .is_some_and(|terminated_at| now - terminated_at >= FORCED_IDLE_CLOSE_MS)
        {
            return true;
        }
        now - idle.since.max(drain_start)
            >= if idle.used {
                IDLE_CLOSE_MS
            } else {
                FIRST_REQUEST_GRACE_MS
            }
    }
}

/// Lifecycle shared by the parts of a process, with the clock.
pub struct SharedLifecycle {
    clock: Clock,
    state: RefCell<Lifecycle>,
    changed: Notify,
}

impl SharedLifecycle {
    /// Creates the lifecycle of a process that has just started.
    pub fn new(clock: Clock, shared: bool) -> Self {
        SharedLifecycle {
            clock,
            state: RefCell::new(Lifecycle::new(shared)),
            changed: Notify::new(),
        }
    }

    /// Calls a function with the state and the time.
    pub fn read<T>(&self, query: impl FnOnce(&Lifecycle, Millis) -> T) -> T {
        query(&self.state.borrow(), self.clock.now())
    }

    /// Calls a function that may change the state, and notifies the waiting tasks.
    pub fn update<T>(&self, change: impl FnOnce(&mut Lifecycle, Millis) -> T) -> T {
        let result = change(&mut self.state.borrow_mut(), self.clock.now());
        self.changed.notify_waiters();
        result
    }

    /// Returns true if the process accepts clients.
    pub fn is_up(&self) -> bool {
        self.state.borrow().is_up()
    }

    /// Converts an instant to the time of the process's clock.
    pub fn clock_time(&self, at: tokio::time::Instant) -> Millis {
        self.clock.time_of(at)
    }

    /// Waits until a request must be answered because the process is shutting down. `is_complete` tells whether the
    /// request's last byte has arrived.
    pub async fn answer_due(
        &self,
        longest_deadline: impl Fn() -> Duration,
        is_complete: impl Fn() -> bool,
    ) {
        self.reach(|lifecycle| lifecycle.late_from()).await;
        if is_complete() {
            self.reach(|lifecycle| lifecycle.last_answer_due(longest_deadline()))
                .await;
        } else {
            self.reach(|lifecycle| lifecycle.late_answer_due(longest_deadline()))
                .await;
        }
    }

    /// Waits for a time that is known once the shutdown has begun.
    async fn reach(&self, time: impl Fn(&Lifecycle) -> Option<Millis>) {
        loop {
            let changed = self.changed.notified();
            match self.read(|lifecycle, now| time(lifecycle).map(|at| at - now)) {
                Some(left) if left <= 0.0 => return,
                Some(left) => sleep(Duration::from_secs_f64(left / 1000.0)).await,
                None => changed.await,
            }
        }
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
