//! Where a process stands between its start and its end, and what follows from it for `/up`, for accepting, for
//! keeping connections and for the operators' door. One state machine without I/O; time is passed in.

use std::cell::RefCell;
use std::time::Duration;

use balancer::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;

/// For so long new connections are still taken after SIGTERM, where the listener is the process's own: the front
/// sends them for up to 0.4 s.
const LINGER: Millis = 500.0;
/// A connection that is no longer kept closes once it has been idle for this span: one that its client still uses
/// gets its next request before that, and closes with the answer, so that no request crosses the closing.
const QUIET: Millis = 300.0;
/// One that has had no request yet is waited for this long: its first may be on the way.
const FIRST: Millis = 1000.0;
/// Whatever is still idle so long after SIGTERM closes: clients use each connection that stays open.
const LAST_CALL: Millis = 650.0;
/// SIGKILL comes no sooner after SIGTERM than this and the longest deadline, counted as [`LONGEST`] where it is longer. What it
/// finds unanswered is lost, if that came more than this span after SIGTERM.
const KILL: Millis = 700.0;
const LONGEST: Millis = 3000.0;
/// A request that comes later than this after SIGTERM may be one of those: it has its answer [`SPARE`] before the kill.
const LATE: Millis = 550.0;
const SPARE: Millis = 150.0;

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It takes clients.
    Serving,
    /// An operator sends clients away; nothing restarts.
    LameDuck,
    /// It has had SIGTERM, and ends what it has.
    ShuttingDown,
}

/// A connection of a client, between two of its requests.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Since when.
    pub since: Millis,
    /// It has had an answer.
    pub used: bool,
}

/// The state machine.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Another process listens on the same socket, or may.
    shared: bool,
    listed: bool,
    lame: Option<Millis>,
    left: Option<Millis>,
}

impl Lifecycle {
    /// A process that has just started.
    pub fn new(shared: bool) -> Self {
        Lifecycle {
            shared,
            listed: false,
            lame: None,
            left: None,
        }
    }

    /// It has a list of servers to send to.
    pub fn mark_list_received(&mut self) {
        self.listed = true;
    }

    /// Clients are sent away, or no longer. To say the same again changes nothing, and a process that leaves can't be
    /// called back: then the answer is `false`.
    pub fn set_lame_duck(&mut self, now: Millis, on: bool) -> bool {
        if self.left.is_some() {
            return on; // it sends them away already
        }
        self.lame = on.then(|| self.lame.unwrap_or(now));
        true
    }

    /// SIGTERM, also during a drain.
    pub fn begin_shutdown(&mut self, now: Millis) {
        self.left = self.left.or(Some(now));
    }

    /// Where it stands. A drain before the list is there holds, and so does the start: it is not up either way.
    pub fn phase(&self) -> Phase {
        match (self.left, self.lame, self.listed) {
            (Some(_), ..) => Phase::ShuttingDown,
            (_, Some(_), _) => Phase::LameDuck,
            (.., false) => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    /// What `/up` and `/_ready` say.
    pub fn is_up(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether new connections are taken. On a listener that other processes share, a process without a list leaves
    /// them to those, and so does one that leaves; on its own it answers that it is not up.
    pub fn accepts_connections(&self, now: Millis) -> bool {
        match self.left {
            Some(left) => !self.shared && now - left < LINGER,
            None => !self.shared || self.listed,
        }
    }

    /// Whether others may take the connections that this process does not.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Whether a connection outlives its answer.
    pub fn keeps_connections(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Serving)
    }

    /// How long a request that has come now is waited for, whose client would wait so long, where the longest deadline is this
    /// one.
    pub fn request_timeout(&self, now: Millis, wanted: Duration, longest: Duration) -> Duration {
        let Some(left) = self.left.filter(|left| now - left > LATE) else {
            return wanted;
        };
        let end = left + KILL - SPARE + (longest.as_secs_f64() * 1000.0).min(LONGEST);
        wanted.min(Duration::from_secs_f64((end - now).max(0.0) / 1000.0))
    }

    /// Whether an idle connection closes now.
    pub fn should_close(&self, now: Millis, idle: IdleConnection) -> bool {
        let Some(turned) = self.left.into_iter().chain(self.lame).reduce(f64::min) else {
            return false;
        };
        if self.left.is_some_and(|left| now - left >= LAST_CALL) {
            return true;
        }
        now - idle.since.max(turned) >= if idle.used { QUIET } else { FIRST }
    }
}

/// A process's lifecycle with its clock, for the parts that follow it.
pub struct SharedLifecycle {
    clock: Clock,
    state: RefCell<Lifecycle>,
    changed: Notify,
}

impl SharedLifecycle {
    /// The lifecycle of a process that has just started.
    pub fn new(clock: Clock, shared: bool) -> Self {
        SharedLifecycle {
            clock,
            state: RefCell::new(Lifecycle::new(shared)),
            changed: Notify::new(),
        }
    }

    /// The state as it is now, and the time.
    pub fn read<T>(&self, about: impl FnOnce(&Lifecycle, Millis) -> T) -> T {
        about(&self.state.borrow(), self.clock.now())
    }

    /// Changes the state, and tells those who wait.
    pub fn update<T>(&self, news: impl FnOnce(&mut Lifecycle, Millis) -> T) -> T {
        let said = news(&mut self.state.borrow_mut(), self.clock.now());
        self.changed.notify_waiters();
        said
    }

    /// Whether it takes clients.
    pub fn is_up(&self) -> bool {
        self.state.borrow().is_up()
    }

    /// The time of an instant on the process's clock.
    pub fn clock_time(&self, at: tokio::time::Instant) -> Millis {
        self.clock.time_of(at)
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
