//! The oracle notices each broken rule: a proxy built to break it, and ledgers written by hand.
use std::collections::BTreeSet;
use std::sync::Arc;

use lab::ledger::{Attempt, AttemptEnd, Code, End, Fall, Ledger, Told, Try, Usage};
use lab::oracle::{Rule, judge};
use lab::scenario::{Proxies, Rules, Scenario};
use lab::shipped;
use lab::sim::Sim;
use lab::sim::decider::Sabotage;

fn broken_rules(scenario: &str, sabotage: Option<Sabotage>) -> BTreeSet<Rule> {
    let s = Arc::new(Scenario::parse(scenario, shipped::text(scenario).unwrap()).unwrap());
    let played = Sim::new(s.clone(), 7, sabotage).play();
    judge(&played.ledger, &s.rules, &s.proxies)
        .iter()
        .map(|b| b.rule)
        .collect()
}

#[test]
fn a_proxy_built_to_break_a_rule_is_caught_at_that_rule() {
    for (sabotage, scenario, rule) in [
        (Sabotage::LosesRequests, "quiet", Rule::OneAnswer),
        (Sabotage::RepeatsAll, "reset-storm", Rule::NeverTwice),
        (Sabotage::RefusesAll, "reset-storm", Rule::NeverTwice),
        (Sabotage::IgnoresDrains, "shrink", Rule::Drain),
        (Sabotage::FloodsNewest, "evening", Rule::ColdStart),
    ] {
        assert_eq!(
            broken_rules(scenario, None),
            BTreeSet::new(),
            "{scenario} with the module as it is"
        );
        let broken = broken_rules(scenario, Some(sabotage));
        assert!(
            broken.contains(&rule),
            "{sabotage:?} on {scenario}: {broken:?}"
        );
    }
}

/// An attempt: when it was sent, when and how its proxy knew it ended, when it ran.
type Sent = (f64, Option<(f64, AttemptEnd)>, Option<f64>);

/// A checkout that was taken at 1 ms, answered at 20 ms, and has these attempts.
fn checkout(attempts: &[Sent], code: Code) -> Try {
    Try {
        ask: 0,
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

const SERVED: Code = Code::Served { genuine: true };
const REFUSED: Code = Code::Refused { retry_after: None };

fn judged(ledger: Ledger) -> Vec<(Rule, String)> {
    let ledger = Ledger {
        closed: 10_000.0,
        ..ledger
    };
    let broken = judge(&ledger, &Rules::default(), &Proxies::default());
    broken
        .into_iter()
        .map(|b| (b.rule, b.to_string()))
        .collect()
}

fn of(t: Try) -> Vec<(Rule, String)> {
    judged(Ledger {
        tries: vec![t],
        ..Ledger::default()
    })
}

#[test]
fn answers_are_judged_by_count_time_and_origin() {
    let done = [(2.0, Some((19.0, AttemptEnd::Answered)), Some(18.0))];
    assert_eq!(of(checkout(&done, SERVED)), []);
    let mut twice = checkout(&done, SERVED);
    twice.answers.push((30.0, Code::Failed));
    let late = Try {
        answers: vec![(1009.0, Code::Failed)],
        ..checkout(&done, SERVED)
    };
    let none = Try {
        answers: vec![],
        ..checkout(&done, SERVED)
    };
    let made_up = checkout(&done, Code::Served { genuine: false });
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
        of(Try {
            left: Some(500.0),
            ..none.clone()
        }),
        []
    );
    assert_eq!(
        of(Try {
            taken: None,
            ..none.clone()
        }),
        []
    );
    let ends = vec![End {
        proxy: 0,
        at: 400.0,
        wanted: true,
    }];
    assert_eq!(
        judged(Ledger {
            tries: vec![none],
            ends,
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
    let lookup = Try {
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
    assert_eq!(of(checkout(&out, Code::Failed)), []);
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
            Code::Broken
        )),
        []
    );
}

#[test]
fn sends_after_a_drain_count_from_when_it_was_told_to_that_proxy() {
    let told = |proxy, at, up| Told {
        proxy,
        server: 0,
        at,
        up,
        born: None,
    };
    let sent = |at: f64| {
        checkout(
            &[(at, Some((at + 1.0, AttemptEnd::Answered)), Some(at))],
            SERVED,
        )
    };
    let ledger = |told: Vec<Told>, at: f64| {
        let t = Try {
            due: 9000.0,
            answers: vec![(at + 2.0, SERVED)],
            ..sent(at)
        };
        judged(Ledger {
            tries: vec![t],
            told,
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
    let t = Try {
        proxy: 0,
        ..checkout(
            &[(500.0, Some((501.0, AttemptEnd::MayHaveRun)), None)],
            Code::Failed,
        )
    };
    let falls = vec![Fall {
        server: 0,
        at: 502.0,
        warmth: 0.2,
    }];
    let told = vec![Told {
        proxy: 0,
        server: 0,
        at: 400.0,
        up: true,
        born: Some(300.0),
    }];
    let t = Try {
        answers: vec![(600.0, Code::Failed)],
        ..t
    };
    let knew = Ledger {
        tries: vec![t.clone()],
        falls: falls.clone(),
        told,
        ..Ledger::default()
    };
    assert!(matches!(&judged(knew)[..], [(Rule::ColdStart, text)] if text.contains("20 %")));
    assert_eq!(
        judged(Ledger {
            tries: vec![t],
            falls,
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
    let ends = vec![End {
        proxy: 1,
        at: 2.0,
        wanted: false,
    }];
    let strangers = vec![(3, 3.0, "id x-1 was never sent".to_owned())];
    let broken = judged(Ledger {
        usage,
        ends,
        strangers,
        ..Ledger::default()
    });
    let rules: Vec<Rule> = broken.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(
        rules,
        [Rule::Bounds, Rule::Bounds, Rule::NoCrash, Rule::NoStranger]
    );
}
