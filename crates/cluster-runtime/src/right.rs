//! A member's right to decide, as the thread that serves requests looks at it for each decision.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cluster::member_lease::{Lease, LeaseExpiry};
use cluster::rules::Micros;
use cluster::state_machine::Version;
use tokio::sync::Notify;

use crate::clock;

/// Shared by the thread that drives the member, which writes it, and the one that serves, which reads it.
#[derive(Debug, Default)]
pub struct Right {
    /// The moment from which on nothing may be decided, by [`clock::now`].
    until: AtomicU64,
    version: AtomicU64,
    changed: Arc<Notify>,
}

impl Right {
    /// Told when it has changed.
    pub fn changed(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// The member's right is this from now on.
    pub fn set(&self, right: Option<Lease>) {
        if right.is_none() && kept() {
            return;
        }
        self.put(right);
        self.changed.notify_waiters();
    }

    fn put(&self, right: Option<Lease>) {
        // While the version changes there is no right at all: a reader that sees the new moment sees the new version, too.
        let (version, until) = match right {
            None => return self.until.store(0, Ordering::SeqCst),
            Some(Lease {
                version,
                expiry: LeaseExpiry::Never,
            }) => (version, u64::MAX),
            Some(Lease {
                version,
                expiry: LeaseExpiry::At(until),
            }) => (version, until),
        };
        if self.version.load(Ordering::SeqCst) != version {
            self.until.store(0, Ordering::SeqCst);
            self.version.store(version, Ordering::SeqCst);
        }
        self.until.store(until, Ordering::SeqCst);
    }

    /// Whether something may be decided under a version now; the moment of the decision, if so.
    pub fn may_decide(&self, version: Version) -> Option<Micros> {
        let until = self.until.load(Ordering::SeqCst);
        // In this order: the right is read before the clock, so that it held at the moment that is told.
        let right = until > 0 && self.version.load(Ordering::SeqCst) == version;
        let now = clock::now();
        (right && (now < until || ignored())).then_some(now)
    }
}

/// A fault that tests plant, to see the judge notice: the lease is not looked at.
fn ignored() -> bool {
    fail::fail_point!("lease-ignored", |_| true);
    false
}

/// Another: a right that was taken away is kept.
fn kept() -> bool {
    fail::fail_point!("right-kept", |_| true);
    false
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease(version: Version, expiry: LeaseExpiry) -> Option<Lease> {
        Some(Lease { version, expiry })
    }

    #[test]
    fn it_ends_with_its_moment_and_is_for_one_version() {
        let right = Right::default();
        assert_eq!(right.may_decide(0), None);
        right.set(lease(3, LeaseExpiry::Never));
        assert!(right.may_decide(3).is_some() && right.may_decide(2).is_none());
        right.set(lease(4, LeaseExpiry::At(clock::now() + 60_000_000)));
        assert!(right.may_decide(4).is_some() && right.may_decide(3).is_none());
        right.set(lease(4, LeaseExpiry::At(clock::now())));
        assert_eq!(right.may_decide(4), None);
        right.set(None);
        assert_eq!(right.may_decide(4), None);
    }
}
