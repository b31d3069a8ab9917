//! Phases of a startup: they follow the conditions, and requests are accepted only when the conditions allow it.

use proptest::prelude::*;
use startup::{
    Conditions, Membership, Phase, Readiness, StartupSequence, StartupSettings, UnknownListPolicy,
};

const SETTINGS: StartupSettings = StartupSettings {
    list_timeout: 1000,
    unknown_list_policy: UnknownListPolicy::Serve,
};

fn conditions(joined: bool, led: bool, current: bool, unknown: &[&str]) -> Conditions {
    Conditions {
        membership: Membership::new(joined, led),
        is_policy_current: current,
        unknown_lists: unknown.iter().map(|name| (*name).to_owned()).collect(),
    }
}

#[test]
fn phases_follow_the_conditions_and_a_missing_list_blocks_only_until_the_timeout() {
    let mut start = StartupSequence::new(0, SETTINGS);
    assert_eq!(
        start.update(5, conditions(true, true, true, &[])),
        Readiness::NotReady,
        "the store is not open yet"
    );
    start.store_opened(10);
    assert_eq!(
        start.update(20, conditions(true, false, false, &[])),
        Readiness::NotReady
    );
    assert_eq!(
        (start.phase(), start.report(20).waits_for.as_str()),
        (Phase::Members, "an instance that leads")
    );
    assert_eq!(
        start.update(30, conditions(true, true, false, &[])),
        Readiness::NotReady
    );
    assert_eq!(start.phase(), Phase::Policy);
    assert_eq!(
        start.update(40, conditions(true, true, true, &["a", "b"])),
        Readiness::NotReady
    );
    assert_eq!(start.report(40).waits_for, "the lists of a, b");
    assert_eq!(
        start.update(50, conditions(true, true, false, &["a"])),
        Readiness::NotReady
    );
    assert_eq!(start.phase(), Phase::Policy, "the policy became outdated");
    assert_eq!(
        start.update(60, conditions(true, true, true, &["a"])),
        Readiness::NotReady
    );
    assert_eq!(
        start.update(1059, conditions(true, true, true, &["a"])),
        Readiness::NotReady
    );
    assert_eq!(
        start.update(1060, conditions(true, true, true, &["a"])),
        Readiness::ReadyWithUnknownLists
    );
    assert_eq!(start.report(1060).unknown_lists, ["a"]);
    let durations: Vec<_> = start
        .completed()
        .iter()
        .map(|completed| (completed.phase.name(), completed.duration))
        .collect();
    assert_eq!(
        durations,
        [
            ("store", 10),
            ("members", 20),
            ("policy", 20),
            ("list", 1010)
        ]
    );
}

#[test]
fn under_the_reject_policy_requests_wait_until_the_last_list_is_known() {
    let mut start = StartupSequence::new(
        0,
        StartupSettings {
            unknown_list_policy: UnknownListPolicy::Reject,
            ..SETTINGS
        },
    );
    start.store_opened(0);
    for now in [1, 1_000, 1_000_000] {
        assert_eq!(
            start.update(now, conditions(true, true, true, &["a"])),
            Readiness::NotReady
        );
    }
    assert_eq!(
        start.update(1_000_001, conditions(true, true, true, &[])),
        Readiness::Ready
    );
}

#[test]
fn the_report_keeps_the_names_of_the_administration_api() {
    let mut start = StartupSequence::new(0, SETTINGS);
    start.store_opened(4_000);
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    start.update(10_000, conditions(true, true, true, &names));
    let report = start.report(10_500);
    assert_eq!(
        serde_json::to_value(&report).expect("JSON"),
        serde_json::json!({
            "phase": "list",
            "for-ms": 0,
            "waits-for": "the lists of a, b, c, d, e and 2 more",
            "at-most-ms": 1,
            "then": "it takes requests; those of these tenants are refused",
            "took": [
                { "phase": "store", "ms": 4 },
                { "phase": "members", "ms": 6 },
                { "phase": "policy", "ms": 0 }
            ],
            "unsure": []
        })
    );
}

proptest! {
    /// Guards against an instance that starts to serve under an outdated policy: for any sequence of conditions, requests are first
    /// accepted at an update at which the policy is known to be current.
    #[test]
    fn requests_are_first_accepted_only_under_a_current_policy(
        updates in proptest::collection::vec((any::<[bool; 4]>(), 0..3000u64), 1..60), rejects in any::<bool>(),
    ) {
        let unknown_list_policy = if rejects { UnknownListPolicy::Reject } else { UnknownListPolicy::Serve };
        let mut start = StartupSequence::new(0, StartupSettings { unknown_list_policy, ..SETTINGS });
        start.store_opened(0);
        let (mut now, mut is_ready) = (0, false);
        for ([joined, led, current, is_list_known], elapsed) in updates {
            now += elapsed;
            let unknown: &[&str] = if is_list_known { &[] } else { &["a"] };
            let readiness = start.update(now, conditions(joined, led, current, unknown));
            if readiness != Readiness::NotReady && !is_ready {
                prop_assert!(current);
                prop_assert!(is_list_known || !rejects);
                is_ready = true;
            }
            prop_assert!(!is_ready || readiness != Readiness::NotReady);
            let completed_duration: u64 = start.completed().iter().map(|completed| completed.duration).sum();
            prop_assert_eq!(completed_duration + now - start.phase_entered_at(), now);
        }
    }
}
