//! The oracle has to report each kind of rule violation: in runs with an injected defect, and in hand-written ledgers.
use std::collections::BTreeSet;
use std::sync::Arc;

use lab::ledger::{
    Attempt, AttemptEnd, ClientAttempt, ColdOverload, Ledger, ProcessExit, ResponseKind,
    ServerNotification, Usage,
};
use lab::oracle::{Rule, check_rules};
use lab::scenario::{Proxies, Rules, Scenario};
use lab::shipped;
use lab::sim::Sim;
use lab::sim::decider::InjectedDefect;

fn broken_rules(scenario: &str, defect: Option<InjectedDefect>) -> BTreeSet<Rule> {
    let s = Arc::new(Scenario::parse(scenario, shipped::text(scenario).unwrap()).unwrap());
    let played = Sim::new(s.clone(), 7, defect).run();
    check_rules(&played.ledger, &s.rules, &s.proxies)
        .iter()
        .map(|b| b.rule)
        .collect()
}

#[test]
fn oracle_detects_each_injected_defect_by_its_rule() {
    for (defect, scenario, rule) in [
        (InjectedDefect::LosesRequests, "quiet", Rule::OneAnswer),
        (InjectedDefect::RepeatsAll, "reset-storm", Rule::NeverTwice),
        (InjectedDefect::RefusesAll, "reset-storm", Rule::NeverTwice),
        (InjectedDefect::IgnoresDrains, "shrink", Rule::Drain),
        (InjectedDefect::FloodsNewest, "evening", Rule::ColdStart),
    ] {
        assert_eq!(
            broken_rules(scenario, None),
            BTreeSet::new(),
            "{scenario} without a defect"
        );
        let broken = broken_rules(scenario, Some(defect));
        assert!(
            broken.contains(&rule),
            "{defect:?} on {scenario}: {broken:?}"
        );
    }
}

/// An attempt at a server: send time, time and outcome known to the proxy, completion time.
type Sent = (f64, Option<(f64, AttemptEnd)>, Option<f64>);

/// Returns a request that must not run twice, accepted at 1 ms and answered at 20 ms, with these attempts.
fn unsafe_request(attempts: &[Sent], code: ResponseKind) -> ClientAttempt {
    ClientAttempt {
        request: 0,
        number: 1,
        class: 0,
        at_most_once: true,
        proxy: 0,
        intended: 0.0,
        sent: 0.0,
        timeout_at: 1000.0,
        accepted_at: Some(1.0),
        responses: vec![(20.0, code)],
        disconnected_at: None,
        attempts: attempts
            .iter()
            .enumerate()
            .map(|(server, &(sent, ended, completed_at))| Attempt {
                server,
                sent,
                ended,
                completed_at,
            })
            .collect(),
    }
}

const SERVED: ResponseKind = ResponseKind::Served { genuine: true };
const REJECTED: ResponseKind = ResponseKind::Refused { retry_after: None };

fn violations(ledger: Ledger) -> Vec<(Rule, String)> {
    let ledger = Ledger {
        ended_at: 10_000.0,
        ..ledger
    };
    let broken = check_rules(&ledger, &Rules::default(), &Proxies::default());
    broken
        .into_iter()
        .map(|b| (b.rule, b.to_string()))
        .collect()
}

fn violations_of(t: ClientAttempt) -> Vec<(Rule, String)> {
    violations(Ledger {
        client_attempts: vec![t],
        ..Ledger::default()
    })
}

#[test]
fn oracle_checks_count_time_and_origin_of_responses() {
    let done = [(2.0, Some((19.0, AttemptEnd::Answered)), Some(18.0))];
    assert_eq!(violations_of(unsafe_request(&done, SERVED)), []);
    let mut twice = unsafe_request(&done, SERVED);
    twice.responses.push((30.0, ResponseKind::Failed));
    let late = ClientAttempt {
        responses: vec![(1009.0, ResponseKind::Failed)],
        ..unsafe_request(&done, SERVED)
    };
    let none = ClientAttempt {
        responses: vec![],
        ..unsafe_request(&done, SERVED)
    };
    let invented = unsafe_request(&done, ResponseKind::Served { genuine: false });
    for (t, word) in [
        (twice, "second answer"),
        (late, "9.0 ms after"),
        (none.clone(), "no answer"),
        (invented, "no server made"),
    ] {
        let broken = violations_of(t);
        assert!(
            matches!(&broken[..], [(Rule::OneAnswer, text)] if text.contains(word)),
            "{word}: {broken:?}"
        );
    }
    // No response is due if the client disconnected early, its proxy was killed, or no proxy accepted the request.
    assert_eq!(
        violations_of(ClientAttempt {
            disconnected_at: Some(500.0),
            ..none.clone()
        }),
        []
    );
    assert_eq!(
        violations_of(ClientAttempt {
            accepted_at: None,
            ..none.clone()
        }),
        []
    );
    let process_exits = vec![ProcessExit {
        proxy: 0,
        at: 400.0,
        expected: true,
    }];
    assert_eq!(
        violations(Ledger {
            client_attempts: vec![none],
            process_exits,
            ..Ledger::default()
        }),
        []
    );
}

#[test]
fn unsafe_request_is_resent_only_if_it_certainly_did_not_run() {
    use AttemptEnd::{Answered, MayHaveRun, NeverRan};
    let second = (10.0, Some((19.0, Answered)), Some(18.0));
    assert_eq!(
        violations_of(unsafe_request(
            &[(2.0, Some((5.0, NeverRan)), None), second],
            SERVED
        )),
        []
    );
    for (first, word) in [
        (
            (2.0, Some((5.0, MayHaveRun)), None),
            "may have run at server 0",
        ),
        ((2.0, None, None), "while one is out"),
        ((2.0, Some((12.0, NeverRan)), None), "while one is out"),
    ] {
        let broken = violations_of(unsafe_request(&[first, second], SERVED));
        assert!(
            matches!(&broken[..], [(Rule::NeverTwice, text)] if text.contains(word)),
            "{word}: {broken:?}"
        );
    }
    let twice = violations_of(unsafe_request(
        &[(2.0, Some((5.0, MayHaveRun)), Some(4.0)), second],
        SERVED,
    ));
    assert_eq!(
        twice.len(),
        2,
        "both the resend and the second execution: {twice:?}"
    );
    // A request that is safe to repeat may be resent.
    let lookup = ClientAttempt {
        at_most_once: false,
        ..unsafe_request(&[(2.0, Some((5.0, MayHaveRun)), Some(4.0)), second], SERVED)
    };
    assert_eq!(violations_of(lookup), []);
}

#[test]
fn unsafe_request_that_may_have_run_is_not_rejected() {
    let out = [(2.0, Some((5.0, AttemptEnd::MayHaveRun)), None)];
    assert!(matches!(
        &violations_of(unsafe_request(&out, REJECTED))[..],
        [(Rule::NeverTwice, _)]
    ));
    assert_eq!(
        violations_of(unsafe_request(&out, ResponseKind::Failed)),
        []
    );
    assert_eq!(
        violations_of(unsafe_request(
            &[(2.0, Some((5.0, AttemptEnd::NeverRan)), None)],
            REJECTED
        )),
        []
    );
    // A response that breaks on its way to the client after execution is neither a duplicate nor missing.
    assert_eq!(
        violations_of(unsafe_request(
            &[(2.0, Some((5.0, AttemptEnd::Answered)), Some(4.0))],
            ResponseKind::Broken
        )),
        []
    );
}

#[test]
fn drain_grace_starts_with_the_notification_of_the_sending_proxy() {
    let notification = |proxy, at, up| ServerNotification {
        proxy,
        server: 0,
        at,
        up,
        started_at: None,
    };
    let sent = |at: f64| {
        unsafe_request(
            &[(at, Some((at + 1.0, AttemptEnd::Answered)), Some(at))],
            SERVED,
        )
    };
    let ledger = |notifications: Vec<ServerNotification>, at: f64| {
        let t = ClientAttempt {
            timeout_at: 9000.0,
            responses: vec![(at + 2.0, SERVED)],
            ..sent(at)
        };
        violations(Ledger {
            client_attempts: vec![t],
            notifications,
            ..Ledger::default()
        })
    };
    assert_eq!(ledger(vec![notification(0, 100.0, false)], 1100.0), []);
    assert!(matches!(
        &ledger(vec![notification(0, 100.0, false)], 1101.0)[..],
        [(Rule::Drain, _)]
    ));
    // A repeated notification does not extend the grace period, a server that is up again accepts requests, and a
    // notification of another proxy does not count.
    let again = vec![
        notification(0, 100.0, false),
        notification(0, 1000.0, false),
    ];
    assert!(matches!(&ledger(again, 1101.0)[..], [(Rule::Drain, _)]));
    assert_eq!(
        ledger(
            vec![notification(0, 100.0, false), notification(0, 1000.0, true)],
            5000.0
        ),
        []
    );
    assert_eq!(ledger(vec![notification(1, 100.0, false)], 5000.0), []);
}

#[test]
fn cold_crash_counts_if_most_attempts_came_from_notified_proxies() {
    let t = ClientAttempt {
        proxy: 0,
        ..unsafe_request(
            &[(500.0, Some((501.0, AttemptEnd::MayHaveRun)), None)],
            ResponseKind::Failed,
        )
    };
    let cold_overloads = vec![ColdOverload {
        server: 0,
        at: 502.0,
        warmth: 0.2,
    }];
    let notifications = vec![ServerNotification {
        proxy: 0,
        server: 0,
        at: 400.0,
        up: true,
        started_at: Some(300.0),
    }];
    let t = ClientAttempt {
        responses: vec![(600.0, ResponseKind::Failed)],
        ..t
    };
    let notified = Ledger {
        client_attempts: vec![t.clone()],
        cold_overloads: cold_overloads.clone(),
        notifications,
        ..Ledger::default()
    };
    assert!(
        matches!(&violations(notified)[..], [(Rule::ColdStart, text)] if text.contains("20 %"))
    );
    assert_eq!(
        violations(Ledger {
            client_attempts: vec![t],
            cold_overloads,
            ..Ledger::default()
        }),
        []
    );
}

#[test]
fn oracle_reports_excess_resources_crashes_and_unknown_requests() {
    let usage = vec![Usage {
        proxy: 0,
        at: 1.0,
        memory_mb: 129.0,
        descriptors: 1025,
    }];
    let process_exits = vec![ProcessExit {
        proxy: 1,
        at: 2.0,
        expected: false,
    }];
    let unknown_requests = vec![(3, 3.0, "id x-1 was never sent".to_owned())];
    let broken = violations(Ledger {
        usage,
        process_exits,
        unknown_requests,
        ..Ledger::default()
    });
    let rules: Vec<Rule> = broken.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(
        rules,
        [Rule::Bounds, Rule::Bounds, Rule::NoCrash, Rule::NoStranger]
    );
}
