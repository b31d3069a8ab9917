//! The oracle notices each broken rule: a proxy built to break it, and ledgers written by hand.
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
fn a_proxy_built_to_break_a_rule_is_caught_at_that_rule() {
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
            "{scenario} with the module as it is"
        );
        let broken = broken_rules(scenario, Some(defect));
        assert!(
            broken.contains(&rule),
            "{defect:?} on {scenario}: {broken:?}"
        );
    }
}

/// An attempt: when it was sent, when and how its proxy knew it ended, when it ran.
type Sent = (f64, Option<(f64, AttemptEnd)>, Option<f64>);

/// A checkout that was taken at 1 ms, answered at 20 ms, and has these attempts.
fn checkout(attempts: &[Sent], code: ResponseKind) -> ClientAttempt {
    ClientAttempt {
        request: 0,
        number: 1,
        class: 0,
        once: true,
        proxy: 0,
        intended: 0.0,
        sent: 0.0,
        due: 1000.0,
        taken: Some(1.0),
        answers: vec![(20.0, code)],
        left: None,
        attempts: attempts
            .iter()
            .enumerate()
            .map(|(server, &(sent, ended, ran))| Attempt {
                server,
                sent,
                ended,
                ran,
            })
            .collect(),
    }
}

const SERVED: ResponseKind = ResponseKind::Served { genuine: true };
const REFUSED: ResponseKind = ResponseKind::Refused { retry_after: None };

fn judged(ledger: Ledger) -> Vec<(Rule, String)> {
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

fn of(t: ClientAttempt) -> Vec<(Rule, String)> {
    judged(Ledger {
        client_attempts: vec![t],
        ..Ledger::default()
    })
}

#[test]
fn answers_are_judged_by_count_time_and_origin() {
    let done = [(2.0, Some((19.0, AttemptEnd::Answered)), Some(18.0))];
    assert_eq!(of(checkout(&done, SERVED)), []);
    let mut twice = checkout(&done, SERVED);
    twice.answers.push((30.0, ResponseKind::Failed));
    let late = ClientAttempt {
        answers: vec![(1009.0, ResponseKind::Failed)],
        ..checkout(&done, SERVED)
    };
    let none = ClientAttempt {
        answers: vec![],
        ..checkout(&done, SERVED)
    };
    let made_up = checkout(&done, ResponseKind::Served { genuine: false });
    for (t, word) in [
        (twice, "second answer"),
        (late, "9.0 ms after"),
        (none.clone(), "no answer"),
        (made_up, "no server made"),
    ] {
        let broken = of(t);
        assert!(
            matches!(&broken[..], [(Rule::OneAnswer, text)] if text.contains(word)),
            "{word}: {broken:?}"
        );
    }
    // Owed nothing: a client that left early, one whose proxy was killed, one that was never taken.
    assert_eq!(
        of(ClientAttempt {
            left: Some(500.0),
            ..none.clone()
        }),
        []
    );
    assert_eq!(
        of(ClientAttempt {
            taken: None,
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
        judged(Ledger {
            client_attempts: vec![none],
            process_exits,
            ..Ledger::default()
        }),
        []
    );
}

#[test]
fn a_checkout_goes_again_only_where_it_surely_never_ran() {
    use AttemptEnd::{Answered, MayHaveRun, NeverRan};
    let second = (10.0, Some((19.0, Answered)), Some(18.0));
    assert_eq!(
        of(checkout(
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
        let broken = of(checkout(&[first, second], SERVED));
        assert!(
            matches!(&broken[..], [(Rule::NeverTwice, text)] if text.contains(word)),
            "{word}: {broken:?}"
        );
    }
    let twice = of(checkout(
        &[(2.0, Some((5.0, MayHaveRun)), Some(4.0)), second],
        SERVED,
    ));
    assert_eq!(twice.len(), 2, "sent again, and run again: {twice:?}");
    // A lookup may.
    let lookup = ClientAttempt {
        once: false,
        ..checkout(&[(2.0, Some((5.0, MayHaveRun)), Some(4.0)), second], SERVED)
    };
    assert_eq!(of(lookup), []);
}

#[test]
fn a_checkout_that_may_have_run_is_not_refused() {
    let out = [(2.0, Some((5.0, AttemptEnd::MayHaveRun)), None)];
    assert!(matches!(
        &of(checkout(&out, REFUSED))[..],
        [(Rule::NeverTwice, _)]
    ));
    assert_eq!(of(checkout(&out, ResponseKind::Failed)), []);
    assert_eq!(
        of(checkout(
            &[(2.0, Some((5.0, AttemptEnd::NeverRan)), None)],
            REFUSED
        )),
        []
    );
    // An answer that broke on its way to the client after it ran is no double, and not lost.
    assert_eq!(
        of(checkout(
            &[(2.0, Some((5.0, AttemptEnd::Answered)), Some(4.0))],
            ResponseKind::Broken
        )),
        []
    );
}

#[test]
fn sends_after_a_drain_count_from_when_it_was_told_to_that_proxy() {
    let told = |proxy, at, up| ServerNotification {
        proxy,
        server: 0,
        at,
        up,
        started_at: None,
    };
    let sent = |at: f64| {
        checkout(
            &[(at, Some((at + 1.0, AttemptEnd::Answered)), Some(at))],
            SERVED,
        )
    };
    let ledger = |notifications: Vec<ServerNotification>, at: f64| {
        let t = ClientAttempt {
            due: 9000.0,
            answers: vec![(at + 2.0, SERVED)],
            ..sent(at)
        };
        judged(Ledger {
            client_attempts: vec![t],
            notifications,
            ..Ledger::default()
        })
    };
    assert_eq!(ledger(vec![told(0, 100.0, false)], 1100.0), []);
    assert!(matches!(
        &ledger(vec![told(0, 100.0, false)], 1101.0)[..],
        [(Rule::Drain, _)]
    ));
    // Told again changes nothing; taken back does; another proxy's news is not this one's.
    let again = vec![told(0, 100.0, false), told(0, 1000.0, false)];
    assert!(matches!(&ledger(again, 1101.0)[..], [(Rule::Drain, _)]));
    assert_eq!(
        ledger(vec![told(0, 100.0, false), told(0, 1000.0, true)], 5000.0),
        []
    );
    assert_eq!(ledger(vec![told(1, 100.0, false)], 5000.0), []);
}

#[test]
fn a_fall_counts_where_most_of_the_work_came_from_those_who_knew() {
    let t = ClientAttempt {
        proxy: 0,
        ..checkout(
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
        answers: vec![(600.0, ResponseKind::Failed)],
        ..t
    };
    let knew = Ledger {
        client_attempts: vec![t.clone()],
        cold_overloads: cold_overloads.clone(),
        notifications,
        ..Ledger::default()
    };
    assert!(matches!(&judged(knew)[..], [(Rule::ColdStart, text)] if text.contains("20 %")));
    assert_eq!(
        judged(Ledger {
            client_attempts: vec![t],
            cold_overloads,
            ..Ledger::default()
        }),
        []
    );
}

#[test]
fn processes_stay_within_bounds_and_end_only_when_told() {
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
    let broken = judged(Ledger {
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
