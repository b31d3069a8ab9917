//! The gate of a process that acts as one with others: whether a request may be decided now, and under which version of the
//! policy. Who holds the right to decide, and until when, is found elsewhere; here it is asked for each decision.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balancer::Millis;
use hyper::header::{HeaderMap, HeaderName};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Tells on answers, and on requests to servers, what they were decided under: the version, and the moment in us.
pub const DECISION_HEADER: HeaderName = HeaderName::from_static("x-canvascart-decided");

/// The moment of a decision under a version, if one may be made now.
pub type DecisionClock = Box<dyn Fn(u64) -> Option<u64>>;

/// What a request was decided under, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionStamp {
    /// The version.
    pub version: u64,
    /// The moment, by the clock of whoever gives the right.
    pub at: u64,
}

/// How a gate does what it does.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// A request waits for so long at most for a change to take hold; one that comes later meanwhile is refused at once.
    pub max_wait: Duration,
    /// A refused client is asked to come again after so long.
    pub retry_after: Millis,
    /// Whether answers and requests to servers tell what they were decided under.
    pub send_stamps: bool,
    /// What chance is drawn from.
    pub seed: u64,
}

/// The gate.
pub struct Gate {
    decision_clock: DecisionClock,
    settings: GateSettings,
    version: Cell<Option<u64>>,
    /// Since when nothing is decided, as a change is about to take hold.
    closed_since: Cell<Option<Instant>>,
    /// When the last version opened.
    opened_at: Cell<Option<Instant>>,
    changed: Arc<Notify>,
    counts: Cell<[u64; 2]>,
    rng: RefCell<fastrand::Rng>,
}

impl Gate {
    /// A gate that is closed. `changed` tells that the right to decide has changed.
    pub fn new(
        decision_clock: DecisionClock,
        changed: Arc<Notify>,
        settings: GateSettings,
    ) -> Rc<Self> {
        Rc::new(Gate {
            decision_clock,
            settings,
            version: Cell::new(None),
            closed_since: Cell::new(None),
            opened_at: Cell::new(None),
            changed,
            counts: Cell::new([0; 2]),
            rng: RefCell::new(fastrand::Rng::with_seed(settings.seed)),
        })
    }

    /// Nothing is decided from here on, as a change is about to take hold.
    pub fn close(&self) {
        self.closed_since
            .set(self.closed_since.get().or(Some(Instant::now())));
    }

    /// This version is served from here on.
    pub fn open(&self, version: u64) {
        self.version.set(Some(version));
        self.closed_since.set(None);
        self.opened_at.set(Some(Instant::now()));
        self.changed.notify_waiters();
    }

    /// The decision that may be made now.
    pub fn decide(&self) -> Option<DecisionStamp> {
        let version = self
            .version
            .get()
            .filter(|_| self.closed_since.get().is_none())?;
        let at = (self.decision_clock)(version)?;
        Some(DecisionStamp { version, at })
    }

    /// Whether decisions are made.
    pub fn is_open(&self) -> bool {
        self.decide().is_some()
    }

    /// Requests that have waited here, and those that were refused.
    pub fn counts(&self) -> [u64; 2] {
        self.counts.get()
    }

    pub(crate) fn send_stamps(&self) -> bool {
        self.settings.send_stamps
    }

    fn count(&self, index: usize) {
        let mut counts = self.counts.get();
        counts[index] += 1;
        self.counts.set(counts);
    }

    /// Waits until decisions are made, where that is a matter of moments.
    ///
    /// # Errors
    /// The request is refused: the span in ms after which to come again.
    pub async fn wait_until_open(&self) -> Result<(), Millis> {
        if self.is_open() {
            return Ok(());
        }
        // A version that has just opened may lack its right for a moment; one that is cut off lacks it for long, and refuses at once.
        let deadline = match (self.closed_since.get(), self.opened_at.get()) {
            (Some(since), _) => since + self.settings.max_wait,
            (None, Some(opened_at)) => opened_at + self.settings.max_wait / 4,
            (None, None) => Instant::now(),
        };
        self.wait_until(deadline).await
    }

    async fn wait_until(&self, deadline: Instant) -> Result<(), Millis> {
        self.count(0);
        loop {
            let changed = self.changed.notified();
            if self.is_open() {
                return Ok(());
            }
            if Instant::now() >= deadline || timeout_at(deadline, changed).await.is_err() {
                self.count(1);
                // Spread, so that those who are refused together do not come again together.
                return Err(self.settings.retry_after * (0.75 + 0.5 * self.rng.borrow_mut().f64()));
            }
        }
    }
}

/// A pool's place at the gate.
pub struct PoolGate {
    gate: Rc<Gate>,
    /// Whether the pool serves the present version; one of a former version decides nothing new.
    active: Cell<bool>,
}

impl PoolGate {
    pub(crate) fn new(gate: Rc<Gate>) -> Rc<Self> {
        Rc::new(PoolGate {
            gate,
            active: Cell::new(true),
        })
    }

    pub(crate) fn deactivate(&self) {
        self.active.set(false);
    }

    pub(crate) fn decide(&self) -> Option<DecisionStamp> {
        if self.active.get() {
            self.gate.decide()
        } else {
            None
        }
    }

    pub(crate) fn send_stamps(&self) -> bool {
        self.gate.send_stamps()
    }
}

/// Tells what a request was decided under.
pub(crate) fn insert_stamp(headers: &mut HeaderMap, decided: DecisionStamp) {
    if let Ok(value) = format!("{} {}", decided.version, decided.at).parse() {
        headers.insert(DECISION_HEADER, value);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: GateSettings = GateSettings {
        max_wait: Duration::from_millis(100),
        retry_after: 1000.0,
        send_stamps: false,
        seed: 1,
    };

    #[tokio::test(start_paused = true)]
    async fn requests_wait_briefly_for_a_new_version_and_are_then_rejected_at_once() {
        let has_lease = Rc::new(Cell::new(true));
        let lease = has_lease.clone();
        let gate = Gate::new(
            Box::new(move |_| lease.get().then_some(7)),
            Arc::default(),
            SETTINGS,
        );
        assert!(
            gate.wait_until_open().await.is_err(),
            "it has no version yet"
        );
        gate.open(3);
        assert_eq!(gate.decide(), Some(DecisionStamp { version: 3, at: 7 }));
        gate.close();
        let started = Instant::now();
        let (result, ()) = tokio::join!(gate.wait_until_open(), async {
            tokio::time::sleep(Duration::from_millis(40)).await;
            gate.open(4);
        });
        assert!(result.is_ok() && started.elapsed() == Duration::from_millis(40));
        gate.close();
        tokio::time::sleep(Duration::from_millis(99)).await;
        let started = Instant::now();
        let retry_after = gate.wait_until_open().await.expect_err("it is refused");
        assert!(
            (750.0..=1250.0).contains(&retry_after)
                && started.elapsed() <= Duration::from_millis(2)
        );
        let started = Instant::now();
        assert!(
            gate.wait_until_open().await.is_err() && started.elapsed().is_zero(),
            "later ones are refused at once"
        );
        gate.open(5);
        has_lease.set(false);
        assert!(
            gate.wait_until_open().await.is_err() && !gate.is_open(),
            "without the right nothing is decided"
        );
    }

    #[test]
    fn the_pool_of_an_earlier_version_decides_nothing() {
        let gate = Gate::new(Box::new(|_| Some(1)), Arc::default(), SETTINGS);
        gate.open(1);
        let pool_gate = PoolGate::new(gate);
        assert!(pool_gate.decide().is_some());
        pool_gate.deactivate();
        assert_eq!(pool_gate.decide(), None);
    }
}
