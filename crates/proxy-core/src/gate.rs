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
pub const DECIDED: HeaderName = HeaderName::from_static("x-canvascart-decided");

/// The moment of a decision under a version, if one may be made now.
pub type Right = Box<dyn Fn(u64) -> Option<u64>>;

/// What a request was decided under, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decided {
    /// The version.
    pub version: u64,
    /// The moment, by the clock of whoever gives the right.
    pub at: u64,
}

/// How a gate does what it does.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A request waits for so long at most for a change to take hold; one that comes later meanwhile is refused at once.
    pub hold: Duration,
    /// A refused client is asked to come again after so long.
    pub retry: Millis,
    /// Whether answers and requests to servers tell what they were decided under.
    pub stamps: bool,
    /// What chance is drawn from.
    pub seed: u64,
}

/// The gate.
pub struct Gate {
    right: Right,
    terms: Terms,
    version: Cell<Option<u64>>,
    /// Since when nothing is decided, as a change is about to take hold.
    closing: Cell<Option<Instant>>,
    /// When the last version opened.
    opened: Cell<Option<Instant>>,
    changed: Arc<Notify>,
    counts: Cell<[u64; 2]>,
    chance: RefCell<fastrand::Rng>,
}

impl Gate {
    /// A gate that is closed. `changed` tells that the right to decide has changed.
    pub fn new(right: Right, changed: Arc<Notify>, terms: Terms) -> Rc<Self> {
        Rc::new(Gate {
            right,
            terms,
            version: Cell::new(None),
            closing: Cell::new(None),
            opened: Cell::new(None),
            changed,
            counts: Cell::new([0; 2]),
            chance: RefCell::new(fastrand::Rng::with_seed(terms.seed)),
        })
    }

    /// Nothing is decided from here on, as a change is about to take hold.
    pub fn close(&self) {
        self.closing
            .set(self.closing.get().or(Some(Instant::now())));
    }

    /// This version is served from here on.
    pub fn open(&self, version: u64) {
        self.version.set(Some(version));
        self.closing.set(None);
        self.opened.set(Some(Instant::now()));
        self.changed.notify_waiters();
    }

    /// The decision that may be made now.
    pub fn decide(&self) -> Option<Decided> {
        let version = self
            .version
            .get()
            .filter(|_| self.closing.get().is_none())?;
        let at = (self.right)(version)?;
        Some(Decided { version, at })
    }

    /// Whether decisions are made.
    pub fn is_open(&self) -> bool {
        self.decide().is_some()
    }

    /// Requests that have waited here, and those that were refused.
    pub fn counts(&self) -> [u64; 2] {
        self.counts.get()
    }

    pub(crate) fn stamps(&self) -> bool {
        self.terms.stamps
    }

    fn count(&self, which: usize) {
        let mut counts = self.counts.get();
        counts[which] += 1;
        self.counts.set(counts);
    }

    /// Waits until decisions are made, where that is a matter of moments.
    ///
    /// # Errors
    /// The request is refused: the span in ms after which to come again.
    pub async fn pass(&self) -> Result<(), Millis> {
        if self.is_open() {
            return Ok(());
        }
        // A version that has just opened may lack its right for a moment; one that is cut off lacks it for long, and refuses at once.
        let end = match (self.closing.get(), self.opened.get()) {
            (Some(since), _) => since + self.terms.hold,
            (None, Some(opened)) => opened + self.terms.hold / 4,
            (None, None) => Instant::now(),
        };
        self.wait(end).await
    }

    async fn wait(&self, end: Instant) -> Result<(), Millis> {
        self.count(0);
        loop {
            let changed = self.changed.notified();
            if self.is_open() {
                return Ok(());
            }
            if Instant::now() >= end || timeout_at(end, changed).await.is_err() {
                self.count(1);
                // Spread, so that those who are refused together do not come again together.
                return Err(self.terms.retry * (0.75 + 0.5 * self.chance.borrow_mut().f64()));
            }
        }
    }
}

/// A pool's place at the gate.
pub struct Ticket {
    gate: Rc<Gate>,
    /// Whether the pool serves the present version; one of a former version decides nothing new.
    current: Cell<bool>,
}

impl Ticket {
    pub(crate) fn new(gate: Rc<Gate>) -> Rc<Self> {
        Rc::new(Ticket {
            gate,
            current: Cell::new(true),
        })
    }

    pub(crate) fn end(&self) {
        self.current.set(false);
    }

    pub(crate) fn decide(&self) -> Option<Decided> {
        if self.current.get() {
            self.gate.decide()
        } else {
            None
        }
    }

    pub(crate) fn stamps(&self) -> bool {
        self.gate.stamps()
    }
}

/// Tells what a request was decided under.
pub(crate) fn stamp(headers: &mut HeaderMap, decided: Decided) {
    if let Ok(value) = format!("{} {}", decided.version, decided.at).parse() {
        headers.insert(DECIDED, value);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: Terms = Terms {
        hold: Duration::from_millis(100),
        retry: 1000.0,
        stamps: false,
        seed: 1,
    };

    #[tokio::test(start_paused = true)]
    async fn requests_wait_for_a_change_for_a_moment_and_are_then_refused_at_once() {
        let held = Rc::new(Cell::new(true));
        let right = held.clone();
        let gate = Gate::new(
            Box::new(move |_| right.get().then_some(7)),
            Arc::default(),
            TERMS,
        );
        assert!(gate.pass().await.is_err(), "it has no version yet");
        gate.open(3);
        assert_eq!(gate.decide(), Some(Decided { version: 3, at: 7 }));
        gate.close();
        let begun = Instant::now();
        let (passed, ()) = tokio::join!(gate.pass(), async {
            tokio::time::sleep(Duration::from_millis(40)).await;
            gate.open(4);
        });
        assert!(passed.is_ok() && begun.elapsed() == Duration::from_millis(40));
        gate.close();
        tokio::time::sleep(Duration::from_millis(99)).await;
        let begun = Instant::now();
        let wait = gate.pass().await.expect_err("it is refused");
        assert!((750.0..=1250.0).contains(&wait) && begun.elapsed() <= Duration::from_millis(2));
        let begun = Instant::now();
        assert!(
            gate.pass().await.is_err() && begun.elapsed().is_zero(),
            "later ones are refused at once"
        );
        gate.open(5);
        held.set(false);
        assert!(
            gate.pass().await.is_err() && !gate.is_open(),
            "without the right nothing is decided"
        );
    }

    #[test]
    fn a_pool_of_a_former_version_decides_nothing() {
        let gate = Gate::new(Box::new(|_| Some(1)), Arc::default(), TERMS);
        gate.open(1);
        let ticket = Ticket::new(gate);
        assert!(ticket.decide().is_some());
        ticket.end();
        assert_eq!(ticket.decide(), None);
    }
}
