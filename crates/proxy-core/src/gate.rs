//! Decision gate of a process that is a member of a cluster: whether a request may be decided now, and under which
//! version of the configuration. The lease that permits decisions is managed outside this module and is checked for each
//! decision.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balancer::Millis;
use hyper::header::{HeaderMap, HeaderName};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The header of responses and of requests to endpoints that carries the [`DecisionStamp`]: the version and the time
/// in us.
pub const DECISION_HEADER: HeaderName = HeaderName::from_static("x-canvascart-decided");

/// Returns the time of a decision under a version, if the lease permits one now.
pub type DecisionClock = Box<dyn Fn(u64) -> Option<u64>>;

/// The version and the time under which a request was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionStamp {
    /// The version of the configuration.
    pub version: u64,
    /// The time in us, on the clock of the lease.
    pub at: u64,
}

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// The longest time that requests wait for a version change; requests that arrive later during the same change
    /// are rejected at once.
    pub max_wait: Duration,
    /// The mean delay in ms after which a rejected client is to retry.
    pub retry_after: Millis,
    /// True if responses and requests to endpoints carry the decision stamp.
    pub send_stamps: bool,
    /// The seed of the retry jitter.
    pub seed: u64,
}

/// Admits requests while decisions are permitted.
pub struct Gate {
    decision_clock: DecisionClock,
    settings: GateSettings,
    version: Cell<Option<u64>>,
    /// The start of a version change that has stopped decisions.
    closed_since: Cell<Option<Instant>>,
    /// The time at which the last version was opened.
    opened_at: Cell<Option<Instant>>,
    changed: Arc<Notify>,
    counts: Cell<[u64; 2]>,
    rng: RefCell<fastrand::Rng>,
}

impl Gate {
    /// Creates a closed gate. `changed` is notified when the permission to decide changes.
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

    /// Stops decisions because a version change is about to take effect.
    pub fn close(&self) {
        self.closed_since
            .set(self.closed_since.get().or(Some(Instant::now())));
    }

    /// Serves this version from now on.
    pub fn open(&self, version: u64) {
        self.version.set(Some(version));
        self.closed_since.set(None);
        self.opened_at.set(Some(Instant::now()));
        self.changed.notify_waiters();
    }

    /// Returns the stamp for a decision made now, if one is permitted.
    pub fn decide(&self) -> Option<DecisionStamp> {
        let version = self
            .version
            .get()
            .filter(|_| self.closed_since.get().is_none())?;
        let at = (self.decision_clock)(version)?;
        Some(DecisionStamp { version, at })
    }

    /// Returns whether decisions are permitted now.
    pub fn is_open(&self) -> bool {
        self.decide().is_some()
    }

    /// Returns the numbers of requests that have waited here and that were rejected.
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

    /// Waits until decisions are permitted, if that can be expected soon.
    ///
    /// # Errors
    /// The request is rejected; the value is the retry delay in ms.
    pub async fn wait_until_open(&self) -> Result<(), Millis> {
        if self.is_open() {
            return Ok(());
        }
        // A version that has just opened may lack its lease for a moment. A member that is cut off lacks it for long,
        // so requests are rejected at once.
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
                // Jitter keeps clients that are rejected together from retrying together.
                return Err(self.settings.retry_after * (0.75 + 0.5 * self.rng.borrow_mut().f64()));
            }
        }
    }
}

/// The gate as seen by one pool.
pub struct PoolGate {
    gate: Rc<Gate>,
    /// True if the pool serves the current version; a pool of an earlier version makes no new decisions.
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

/// Adds the decision stamp to headers.
pub(crate) fn insert_stamp(headers: &mut HeaderMap, stamp: DecisionStamp) {
    if let Ok(value) = format!("{} {}", stamp.version, stamp.at).parse() {
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
            "there is no version yet"
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
        let retry_after = gate.wait_until_open().await.expect_err("it is rejected");
        assert!(
            (750.0..=1250.0).contains(&retry_after)
                && started.elapsed() <= Duration::from_millis(2)
        );
        let started = Instant::now();
        assert!(
            gate.wait_until_open().await.is_err() && started.elapsed().is_zero(),
            "later requests are rejected at once"
        );
        gate.open(5);
        has_lease.set(false);
        assert!(
            gate.wait_until_open().await.is_err() && !gate.is_open(),
            "nothing is decided without the lease"
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
