//! A shared lease ends with its expiry and holds for one version.

use cluster::member_lease::{Lease, LeaseExpiry};
use cluster_runtime::clock;
use cluster_runtime::lease::SharedLease;

fn granted(version: u64, expiry: LeaseExpiry) -> Option<Lease> {
    Some(Lease { version, expiry })
}

#[test]
fn lease_ends_at_its_expiry_and_holds_for_one_version() {
    let lease = SharedLease::default();
    assert_eq!(lease.may_decide(0), None);
    lease.replace(granted(3, LeaseExpiry::Never));
    assert!(lease.may_decide(3).is_some() && lease.may_decide(2).is_none());
    lease.replace(granted(4, LeaseExpiry::At(clock::now() + 60_000_000)));
    assert!(lease.may_decide(4).is_some() && lease.may_decide(3).is_none());
    lease.replace(granted(4, LeaseExpiry::At(clock::now())));
    assert_eq!(lease.may_decide(4), None);
    lease.replace(None);
    assert_eq!(lease.may_decide(4), None);
}
