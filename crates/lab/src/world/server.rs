//! Model of one emulated server: cores shared evenly by the active requests, a queue, a cold start, and a cache of warm
//! keys.
//!
//! It has no clock: every call passes the time, which never decreases. Work is in ms of a standard core.

use std::collections::VecDeque;

use balancer::Millis;
use rustc_hash::FxHashMap;

use crate::scenario::Cancels;

/// Properties of a server machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core; 1 is a standard core.
    pub speed: f64,
    /// Maximum number of active requests.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Maximum number of connections.
    pub connections: u32,
    /// Fraction of the capacity at process start, and the warm-up time to full capacity.
    pub cold: (f64, Millis),
    /// Number of requests per core above which the server slows down, and the slowdown per additional one.
    pub crowding: (f64, f64),
    /// Fraction of the work that a warm key saves, maximum number of warm keys, and their lifetime.
    pub keys: (f64, usize, Millis),
    /// A cold server crashes above this multiple of its current capacity, averaged over this span.
    pub overload: (f64, Millis),
}

/// A request at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Id of the attempt, assigned by the driver.
    pub attempt: u64,
    /// Work without the savings of a warm key.
    pub work: f64,
    /// Request key.
    pub key: u64,
}

/// State of a server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Running.
    Up,
    /// Completes its requests and rejects new ones.
    Draining,
    /// The process has exited.
    Down,
    /// The process crashed under overload while cold and stays down.
    Crashed,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Active or queued.
    Accepted,
    /// Rejected without processing.
    Rejected,
    /// Overloaded the cold server, which crashed; all its requests are lost.
    Crashed,
}

struct ActiveJob {
    job: Job,
    /// Value of `Server::pace` at which the request completes.
    until: f64,
}

/// A server.
pub struct Server {
    machine: Machine,
    /// Start time of the process; `None` if it was running long before the run.
    started_at: Option<Millis>,
    state: ServerState,
    /// Cumulative work that an active request has received since the process start.
    pace: f64,
    /// Time up to which `pace` is computed.
    pace_at: Millis,
    active: Vec<ActiveJob>,
    queued: VecDeque<Job>,
    /// Slowdown factor.
    slowdown: f64,
    hung: bool,
    connections: u32,
    keys: FxHashMap<u64, Millis>,
    key_order: VecDeque<(u64, Millis)>,
    /// Recent work in excess of the overload budget.
    excess_work: f64,
    excess_work_at: Millis,
}

impl Server {
    /// Creates a server whose process started at `started_at`, or long ago if `None`.
    pub fn new(machine: Machine, started_at: Option<Millis>, now: Millis) -> Self {
        Server {
            machine,
            started_at,
            state: ServerState::Up,
            pace: 0.0,
            pace_at: now,
            active: Vec::new(),
            queued: VecDeque::new(),
            slowdown: 1.0,
            hung: false,
            connections: 0,
            keys: FxHashMap::default(),
            key_order: VecDeque::new(),
            excess_work: 0.0,
            excess_work_at: now,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the start time of the process; `None` if long ago.
    pub fn started_at(&self) -> Option<Millis> {
        self.started_at
    }

    /// Returns the numbers of active and queued requests.
    pub fn load_counts(&self) -> (usize, usize) {
        (self.active.len(), self.queued.len())
    }

    /// Returns the fraction of full capacity at a time; it rises linearly during warm-up.
    pub fn warmth(&self, at: Millis) -> f64 {
        let (from, span) = self.machine.cold;
        match self.started_at {
            Some(started_at) if span > 0.0 => {
                from + (1.0 - from) * ((at - started_at) / span).clamp(0.0, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns whether an attempt is active or queued.
    pub fn holds(&self, attempt: u64) -> bool {
        let mut held = self.active.iter().map(|w| &w.job).chain(&self.queued);
        held.any(|job| job.attempt == attempt)
    }

    /// Integrates the warmth over a time span.
    fn integrate_warmth(&self, from: Millis, to: Millis) -> f64 {
        let Some(started_at) = self.started_at else {
            return to - from;
        };
        let warm_at = (started_at + self.machine.cold.1).clamp(from, to);
        let mean = (self.warmth(from) + self.warmth(warm_at)) / 2.0;
        mean * (warm_at - from) + (to - warm_at)
    }

    /// Returns the work per ms that each active request receives on a warm server.
    fn rate(&self) -> f64 {
        let m = &self.machine;
        let (n, held) = (
            self.active.len() as f64,
            (self.active.len() + self.queued.len()) as f64,
        );
        if n == 0.0 || self.hung || matches!(self.state, ServerState::Down | ServerState::Crashed) {
            return 0.0;
        }
        let beyond = (held / m.cores - m.crowding.0).max(0.0);
        (m.cores / n).min(1.0) * m.speed / self.slowdown / (1.0 + m.crowding.1 * beyond)
    }

    fn advance(&mut self, now: Millis) {
        self.pace += self.rate() * self.integrate_warmth(self.pace_at, now);
        self.pace_at = now;
    }

    /// Returns the completion time of the next request, if nothing changes before.
    pub fn next(&self) -> Option<Millis> {
        let rate = self.rate();
        let first = self
            .active
            .iter()
            .map(|w| w.until)
            .min_by(f64::total_cmp)
            .filter(|_| rate > 0.0)?;
        let need = (first - self.pace).max(0.0) / rate;
        let warmth = self.warmth(self.pace_at);
        let (from, span) = self.machine.cold;
        let warm_at = self.started_at.map_or(self.pace_at, |started_at| {
            (started_at + span).max(self.pace_at)
        });
        let until_warm = self.integrate_warmth(self.pace_at, warm_at);
        Some(if need >= until_warm {
            warm_at + (need - until_warm)
        } else {
            // The warmth rises linearly: warmth·x + slope·x²/2 = need.
            let slope = (1.0 - from) / span;
            self.pace_at + 2.0 * need / (warmth + (warmth * warmth + 2.0 * slope * need).sqrt())
        })
    }

    /// Removes the requests completed by `now` and returns them in completion order.
    pub fn finished(&mut self, now: Millis) -> Vec<Job> {
        self.advance(now);
        let mut done = Vec::new();
        loop {
            let due = |w: &ActiveJob| w.until <= self.pace + 1e-6;
            let first = self.active.iter().enumerate().filter(|(_, w)| due(w));
            let first = first
                .min_by(|a, b| a.1.until.total_cmp(&b.1.until))
                .map(|(i, _)| i);
            let Some(i) = first else { return done };
            let job = self.active.remove(i).job;
            self.store_key(now, job.key);
            done.push(job);
            self.start_queued(now);
        }
    }

    /// Starts queued requests while slots are free.
    fn start_queued(&mut self, now: Millis) {
        while self.active.len() < self.machine.slots {
            let Some(job) = self.queued.pop_front() else {
                return;
            };
            let saved = if self.key_is_warm(now, job.key) {
                self.machine.keys.0
            } else {
                0.0
            };
            let until = self.pace + job.work * (1.0 - saved);
            self.active.push(ActiveJob { job, until });
        }
    }

    fn key_is_warm(&self, now: Millis, key: u64) -> bool {
        self.keys
            .get(&key)
            .is_some_and(|at| now - at <= self.machine.keys.2)
    }

    fn store_key(&mut self, now: Millis, key: u64) {
        if self.machine.keys.0 == 0.0 {
            return;
        }
        self.keys.insert(key, now);
        self.key_order.push_back((key, now));
        while self.keys.len() > self.machine.keys.1
            || self.key_order.len() > 4 * self.machine.keys.1
        {
            let Some((key, at)) = self.key_order.pop_front() else {
                return;
            };
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
    }

    /// Counts submitted work, including rejected requests, and returns whether the server crashes under overload. The
    /// budget is `multiple` times the current capacity over the span, plus two requests' work for random variation.
    fn exceeds_overload_budget(&mut self, now: Millis, work: f64) -> bool {
        let m = &self.machine;
        let allowed = m.overload.0 * self.warmth(now) * m.cores * m.speed;
        self.excess_work =
            (self.excess_work - allowed * (now - self.excess_work_at)).max(0.0) + work;
        self.excess_work_at = now;
        self.warmth(now) < 1.0 && self.excess_work > allowed * m.overload.1 + 2.0 * work
    }

    /// Submits a request.
    pub fn submit(&mut self, now: Millis, job: Job) -> Admission {
        self.advance(now);
        if matches!(self.state, ServerState::Down | ServerState::Crashed) {
            return Admission::Rejected;
        }
        if self.exceeds_overload_budget(now, job.work) {
            self.state = ServerState::Crashed;
            return Admission::Crashed;
        }
        if self.state == ServerState::Draining
            || self.queued.len() >= self.machine.queue.max(1) && self.is_full()
        {
            return Admission::Rejected;
        }
        self.queued.push_back(job);
        self.start_queued(now);
        Admission::Accepted
    }

    fn is_full(&self) -> bool {
        self.active.len() >= self.machine.slots
    }

    /// Cancels an attempt whose connection is closed; returns whether the server drops it.
    pub fn cancel(&mut self, now: Millis, attempt: u64, cancels: Cancels) -> bool {
        self.advance(now);
        if cancels == Cancels::Nothing {
            return false;
        }
        let before = self.queued.len() + self.active.len();
        self.queued.retain(|job| job.attempt != attempt);
        if cancels == Cancels::All {
            self.active.retain(|w| w.job.attempt != attempt);
            self.start_queued(now);
        }
        self.queued.len() + self.active.len() < before
    }

    /// Opens a connection; returns `false` if the server is at its connection limit.
    pub fn connect(&mut self) -> bool {
        let fits = self.connections < self.machine.connections;
        self.connections += u32::from(fits);
        fits
    }

    /// Closes a connection.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Rejects new requests and completes the current ones.
    pub fn drain(&mut self) {
        if self.state == ServerState::Up {
            self.state = ServerState::Draining;
        }
    }

    /// Ends the process and returns the attempts that it held.
    pub fn stop(&mut self, now: Millis) -> Vec<u64> {
        self.advance(now);
        if self.state != ServerState::Crashed {
            self.state = ServerState::Down;
        }
        self.lose_all()
    }

    /// Removes and returns all attempts.
    pub fn lose_all(&mut self) -> Vec<u64> {
        self.connections = 0;
        let working = self.active.drain(..).map(|w| w.job.attempt);
        working
            .chain(self.queued.drain(..).map(|j| j.attempt))
            .collect()
    }

    /// Sets the slowdown factor.
    pub fn set_slow(&mut self, now: Millis, slowdown: f64) {
        self.advance(now);
        self.slowdown = slowdown;
    }

    /// Hangs or resumes the server; a hung server makes no progress.
    pub fn set_hung(&mut self, now: Millis, hung: bool) {
        self.advance(now);
        self.hung = hung;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine() -> Machine {
        Machine {
            cores: 2.0,
            speed: 1.0,
            slots: 2,
            queue: 2,
            connections: 3,
            cold: (0.2, 1000.0),
            crowding: (100.0, 0.0),
            keys: (0.5, 2, 1000.0),
            overload: (3.0, 1000.0),
        }
    }

    fn job(attempt: u64, work: f64) -> Job {
        Job {
            attempt,
            work,
            key: attempt,
        }
    }

    fn ids(jobs: Vec<Job>) -> Vec<u64> {
        jobs.into_iter().map(|j| j.attempt).collect()
    }

    #[test]
    fn requests_beyond_the_slots_are_queued_and_beyond_the_queue_rejected() {
        let mut s = Server::new(machine(), None, 0.0);
        for n in 0..4 {
            assert_eq!(s.submit(0.0, job(n, 10.0)), Admission::Accepted);
        }
        assert_eq!(s.submit(0.0, job(4, 10.0)), Admission::Rejected);
        assert_eq!(s.next(), Some(10.0));
        assert_eq!(ids(s.finished(10.0)), [0, 1]);
        assert_eq!(s.next(), Some(20.0));
        assert_eq!(ids(s.finished(25.0)), [2, 3]);
        assert_eq!(s.next(), None);
    }

    #[test]
    fn active_requests_share_the_cores() {
        let mut s = Server::new(
            Machine {
                slots: 4,
                ..machine()
            },
            None,
            0.0,
        );
        for n in 0..4 {
            s.submit(0.0, job(n, 10.0));
        }
        assert_eq!(s.next(), Some(20.0));
    }

    #[test]
    fn a_cold_server_warms_up_linearly() {
        let mut s = Server::new(machine(), Some(0.0), 0.0);
        s.submit(0.0, job(1, 60.0));
        // 0.2·x + 0.0004·x² = 60 at x ≈ 211.1
        let at = s.next().expect("it works");
        assert!((0.2 * at + 0.0004 * at * at - 60.0).abs() < 1e-9, "{at}");
        assert_eq!(ids(s.finished(at)), [1]);
        let mut s = Server::new(machine(), Some(0.0), 0.0);
        s.submit(0.0, job(1, 700.0)); // 600 of the work is done when it is warm, the rest at full speed
        assert!((s.next().expect("it works") - 1100.0).abs() < 1e-9);
    }

    #[test]
    fn a_cold_server_crashes_above_its_overload_budget_and_a_warm_one_does_not() {
        for (started_at, fate) in [(Some(0.0), Admission::Crashed), (None, Admission::Rejected)] {
            let mut s = Server::new(machine(), started_at, 0.0);
            let admissions: Vec<Admission> =
                (0..200).map(|n| s.submit(0.0, job(n, 10.0))).collect();
            assert_eq!(
                *admissions.last().expect("some"),
                if started_at.is_some() {
                    Admission::Rejected
                } else {
                    fate
                }
            );
            assert_eq!(
                admissions.contains(&Admission::Crashed),
                started_at.is_some()
            );
        }
    }

    #[test]
    fn a_warm_key_saves_work_until_it_expires() {
        let mut s = Server::new(machine(), None, 0.0);
        s.submit(0.0, job(1, 10.0));
        assert_eq!(s.finished(10.0).len(), 1);
        s.submit(10.0, job(1, 10.0));
        assert_eq!(s.next(), Some(15.0));
        assert_eq!(s.finished(15.0).len(), 1);
        s.submit(2000.0, job(1, 10.0));
        assert_eq!(s.next(), Some(2010.0));
    }

    #[test]
    fn cancellation_removes_the_configured_requests() {
        for (cancels, left) in [
            (Cancels::Nothing, (2, 1)),
            (Cancels::Waiting, (2, 0)),
            (Cancels::All, (1, 0)),
        ] {
            let mut s = Server::new(machine(), None, 0.0);
            for n in 0..3 {
                s.submit(0.0, job(n, 10.0));
            }
            s.cancel(1.0, 0, cancels);
            s.cancel(1.0, 2, cancels);
            assert_eq!(s.load_counts(), left, "{cancels:?}");
        }
    }

    #[test]
    fn a_hung_server_makes_no_progress_until_it_resumes() {
        let mut s = Server::new(machine(), None, 0.0);
        s.submit(0.0, job(1, 10.0));
        s.set_hung(5.0, true);
        assert_eq!(s.next(), None);
        s.set_hung(105.0, false);
        assert_eq!(s.next(), Some(110.0));
        s.set_slow(105.0, 2.0);
        assert_eq!(s.next(), Some(115.0));
    }

    #[test]
    fn a_stopped_server_returns_its_attempts() {
        let mut s = Server::new(machine(), None, 0.0);
        s.submit(0.0, job(1, 10.0));
        s.drain();
        assert_eq!(s.submit(0.0, job(2, 10.0)), Admission::Rejected);
        assert_eq!(s.stop(5.0), [1]);
        assert_eq!((s.state(), s.next()), (ServerState::Down, None));
    }

    #[test]
    fn connections_are_limited() {
        let mut s = Server::new(machine(), None, 0.0);
        assert!((0..3).all(|_| s.connect()) && !s.connect());
        s.disconnect();
        assert!(s.connect());
    }
}
