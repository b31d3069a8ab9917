//! A shared lease is valid until its expiry and for one version only.

use cluster::member_lease::{Lease, LeaseExpiry};
use cluster_runtime::clock;
use cluster_runtime::lease::SharedLease;

fn lease_until(version: u64, expiry: LeaseExpiry) -> Option<Lease> {
    Some(Lease { version, expiry })
}

#[test]
fn a_lease_is_valid_until_its_expiry_and_for_one_version_only() {
    let lease = SharedLease::default();
    assert_eq!(lease.may_decide(0), None);
    lease.replace(lease_until(3, LeaseExpiry::Never));
    assert!(lease.may_decide(3).is_some() && lease.may_decide(2).is_none());
    lease.replace(lease_until(4, LeaseExpiry::At(clock::now() + 60_000_000)));
    assert!(lease.may_decide(4).is_some() && lease.may_decide(3).is_none());
    lease.replace(lease_until(4, LeaseExpiry::At(clock::now())));
    assert_eq!(lease.may_decide(4), None);
    lease.replace(None);
    assert_eq!(lease.may_decide(4), None);
}
