//! Lease of a member, shared between the thread that drives the member and the thread that serves requests.
//!
//! [`SharedLease`] is written by the member's event loop and read without a lock for each decision. Leases are granted in the `cluster`
//! package.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cluster::member_lease::{Lease, LeaseExpiry};
use cluster::rules::Micros;
use cluster::state_machine::Version;
use tokio::sync::Notify;

use crate::clock;

/// Stored expiry of a member without a lease.
const NO_LEASE: Micros = 0;
/// Stored expiry of an unlimited lease.
const NEVER_EXPIRES: Micros = u64::MAX;

/// Lease for one version of the configuration.
#[derive(Debug, Default)]
pub struct SharedLease {
    /// Time of expiry according to [`clock::now`]; the lease is not valid at this time any more.
    expires_at: AtomicU64,
    version: AtomicU64,
    changed: Arc<Notify>,
}

impl SharedLease {
    /// Returns the handle that is notified of each change of the lease.
    pub fn changed(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Replaces the lease; `None` revokes it.
    pub fn replace(&self, lease: Option<Lease>) {
        if lease.is_none() && ignores_revocation() {
            return;
        }
        match lease {
            None => self.expires_at.store(NO_LEASE, Ordering::SeqCst),
            Some(lease) => self.store(lease),
        }
        self.changed.notify_waiters();
    }

    /// Invariant: no lease is stored while the version changes, so a reader that sees the new expiry also sees the new version.
    fn store(&self, lease: Lease) {
        if self.version.load(Ordering::SeqCst) != lease.version {
            self.expires_at.store(NO_LEASE, Ordering::SeqCst);
            self.version.store(lease.version, Ordering::SeqCst);
        }
        let expires_at = match lease.expiry {
            LeaseExpiry::At(expires_at) => expires_at,
            LeaseExpiry::Never => NEVER_EXPIRES,
        };
        self.expires_at.store(expires_at, Ordering::SeqCst);
    }

    /// Returns the current time if the member may decide under `version`, or `None` if it may not.
    pub fn may_decide(&self, version: Version) -> Option<Micros> {
        let expires_at = self.expires_at.load(Ordering::SeqCst);
        let is_granted = expires_at > NO_LEASE && self.version.load(Ordering::SeqCst) == version;
        // The clock is read after the lease, so that the lease was valid at the returned time.
        let now = clock::now();
        let is_valid = is_granted && (now < expires_at || ignores_expiry());
        is_valid.then_some(now)
    }
}

/// Fault injected by tests: an expired lease counts as valid.
fn ignores_expiry() -> bool {
    fail::fail_point!("lease-ignored", |_| true);
    false
}

/// Fault injected by tests: a lease is not revoked.
fn ignores_revocation() -> bool {
    fail::fail_point!("right-kept", |_| true);
    false
}
