//! A shared lease ends with its expiry and holds for one version.

use cluster::fence::Until;
use cluster_runtime::clock;
use cluster_runtime::lease::SharedLease;

#[test]
fn lease_ends_at_its_expiry_and_holds_for_one_version() {
    let lease = SharedLease::default();
    assert_eq!(lease.may_decide(0), None);
    lease.replace(Some((3, Until::Forever)));
    assert!(lease.may_decide(3).is_some() && lease.may_decide(2).is_none());
    lease.replace(Some((4, Until::Before(clock::now() + 60_000_000))));
    assert!(lease.may_decide(4).is_some() && lease.may_decide(3).is_none());
    lease.replace(Some((4, Until::Before(clock::now()))));
    assert_eq!(lease.may_decide(4), None);
    lease.replace(None);
    assert_eq!(lease.may_decide(4), None);
}
