//! Where a process stands between its start and its end, and what follows from it for `/up`, for accepting, for
//! keeping connections and for the operators' door. One state machine without I/O; time is passed in.

use std::cell::RefCell;

use tokio::sync::Notify;
use wharfhitch::Millis;

use crate::clock::Clock;

/// For so long new connections are still taken after SIGTERM, where the listener is the process's own: the front
/// sends them for up to 0.4 s.
const LINGER: Millis = 500.0;
/// A connection that is no longer kept closes once it has been idle for this span: one that its client still uses
/// gets its next request before that, and closes with the answer, so that no request crosses the closing.
const QUIET: Millis = 300.0;
/// One that has had no request yet is waited for this long: its first may be on the way.
const FIRST: Millis = 1000.0;

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
    Leaving,
}

/// A connection of a client, between two of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
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
        Lifecycle { shared, listed: false, lame: None, left: None }
    }

    /// It has a list of servers to send to.
    pub fn listed(&mut self) {
        self.listed = true;
    }

    /// Clients are sent away, or no longer. To say the same again changes nothing, and a process that leaves can't be
    /// called back: then the answer is `false`.
    pub fn lame_duck(&mut self, now: Millis, on: bool) -> bool {
        if self.left.is_some() {
            return on; // it sends them away already
        }
        self.lame = on.then(|| self.lame.unwrap_or(now));
        true
    }

    /// SIGTERM, also during a drain.
    pub fn leave(&mut self, now: Millis) {
        self.left = self.left.or(Some(now));
    }

    /// Where it stands. A drain before the list is there holds, and so does the start: it is not up either way.
    pub fn phase(&self) -> Phase {
        match (self.left, self.lame, self.listed) {
            (Some(_), ..) => Phase::Leaving,
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
    pub fn accepts(&self, now: Millis) -> bool {
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
    pub fn keeps(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Serving)
    }

    /// Whether an idle connection closes now.
    pub fn may_close(&self, now: Millis, idle: Idle) -> bool {
        let Some(turned) = self.left.into_iter().chain(self.lame).reduce(f64::min) else { return false };
        now - idle.since.max(turned) >= if idle.used { QUIET } else { FIRST }
    }
}

/// A process's lifecycle with its clock, for the parts that follow it.
pub struct Life {
    clock: Clock,
    state: RefCell<Lifecycle>,
    changed: Notify,
}

impl Life {
    /// The lifecycle of a process that has just started.
    pub fn new(clock: Clock, shared: bool) -> Self {
        Life { clock, state: RefCell::new(Lifecycle::new(shared)), changed: Notify::new() }
    }

    /// The state as it is now, and the time.
    pub fn ask<T>(&self, about: impl FnOnce(&Lifecycle, Millis) -> T) -> T {
        about(&self.state.borrow(), self.clock.now())
    }

    /// Changes the state, and tells those who wait.
    pub fn tell<T>(&self, news: impl FnOnce(&mut Lifecycle, Millis) -> T) -> T {
        let said = news(&mut self.state.borrow_mut(), self.clock.now());
        self.changed.notify_waiters();
        said
    }

    /// Whether it takes clients.
    pub fn is_up(&self) -> bool {
        self.state.borrow().is_up()
    }

    /// The time of an instant on the process's clock.
    pub fn time(&self, at: tokio::time::Instant) -> Millis {
        self.clock.at(at)
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn serving(shared: bool) -> Lifecycle {
        let mut life = Lifecycle::new(shared);
        life.listed();
        life
    }

    fn used(since: Millis) -> Idle {
        Idle { since, used: true }
    }

    #[test]
    fn it_is_up_from_its_list_to_a_drain_and_again_after() {
        let mut life = Lifecycle::new(false);
        assert!(!life.is_up() && life.accepts(0.0) && life.keeps());
        life.listed();
        assert!(life.is_up() && life.keeps() && !life.may_close(1e9, used(0.0)));
        assert!(life.lame_duck(10.0, true));
        assert_eq!(life.phase(), Phase::LameDuck);
        assert!(!life.is_up() && !life.keeps() && life.accepts(1e9), "the front still asks");
        assert!(life.lame_duck(500.0, true), "said again");
        assert!(life.may_close(311.0, used(0.0)), "the first call counts");
        assert!(life.lame_duck(900.0, false));
        assert!(life.is_up() && life.keeps() && !life.may_close(1e9, used(0.0)));
        assert!(life.lame_duck(901.0, false), "off without on");
        assert!(life.is_up());
    }

    #[test]
    fn idle_connections_close_within_a_second_and_those_in_use_do_not_cross() {
        let mut life = serving(false);
        life.lame_duck(1000.0, true);
        assert!(!life.may_close(1200.0, used(0.0)), "its client may be about to use it");
        assert!(life.may_close(1300.0, used(0.0)));
        assert!(!life.may_close(1400.0, used(1200.0)));
        let fresh = Idle { since: 1100.0, used: false };
        assert!(!life.may_close(2000.0, fresh) && life.may_close(2100.0, fresh));
    }

    #[test]
    fn a_process_that_leaves_stays_away_whatever_is_said() {
        let mut life = serving(false);
        life.lame_duck(0.0, true);
        life.leave(100.0);
        life.leave(5000.0);
        assert_eq!(life.phase(), Phase::Leaving);
        assert!(life.accepts(599.0) && !life.accepts(600.0), "from the first signal");
        assert!(life.may_close(300.0, used(0.0)), "from the drain");
        assert!(life.lame_duck(200.0, true), "that it does");
        assert!(!life.lame_duck(200.0, false), "it can't be called back");
        assert!(!life.is_up());
    }

    #[test]
    fn on_a_shared_listener_only_one_that_can_serve_takes_connections() {
        let mut life = Lifecycle::new(true);
        assert!(!life.accepts(0.0));
        life.listed();
        assert!(life.accepts(0.0));
        life.lame_duck(1.0, true);
        assert!(life.accepts(2.0), "who else would tell the front?");
        life.leave(3.0);
        assert!(!life.accepts(3.0));
    }

    #[test]
    fn a_drain_before_the_list_holds_when_it_comes() {
        let mut life = Lifecycle::new(false);
        life.lame_duck(1.0, true);
        life.listed();
        assert_eq!(life.phase(), Phase::LameDuck);
    }
}
