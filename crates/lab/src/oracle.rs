//! Judges a run by its ledger: were the rules kept? Each broken rule names request, server, time and evidence.
//!
//! A rule is broken or it is not; how good the service was is counted elsewhere ([`crate::score`]).

use std::fmt;

use balancer::Millis;
use rustc_hash::FxHashMap;

use crate::ledger::{Attempt, AttemptEnd, ClientAttempt, Ledger, ResponseKind};
use crate::scenario::{Proxies, Rules};

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request taken gets one final answer, in time, and a served one is a server's own.
    OneAnswer,
    /// What must not run twice does not, and is refused only if it surely never ran.
    NeverTwice,
    /// Nothing new goes to a server for longer than the grace after its drain or end was told.
    Drain,
    /// No cold server is pushed over.
    ColdStart,
    /// Memory and descriptors stay within bounds.
    Bounds,
    /// No process ends unasked.
    NoCrash,
    /// No request reaches a server that no client sent.
    NoStranger,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When.
    pub at: Millis,
    /// The try that it concerns.
    pub request: Option<usize>,
    /// The server that it concerns.
    pub server: Option<usize>,
    /// What shows it.
    pub evidence: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {:.3} s", self.rule, self.at / 1000.0)?;
        if let Some(request) = self.request {
            write!(f, ", request {request}")?;
        }
        if let Some(server) = self.server {
            write!(f, ", server {server}")?;
        }
        write!(f, ": {}", self.evidence)
    }
}

/// All that is violations, in the order of time.
pub fn check_rules(ledger: &Ledger, rules: &Rules, bounds: &Proxies) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, t) in ledger.client_attempts.iter().enumerate() {
        one_answer(ledger, rules, id, t, &mut violations);
        never_twice(id, t, &mut violations);
    }
    drains(ledger, rules, &mut violations);
    cold_starts(ledger, &mut violations);
    for u in &ledger.usage {
        let over = [
            ("MiB of memory", u.memory_mb, bounds.memory_mb as f64),
            ("descriptors", u.descriptors as f64, bounds.sockets as f64),
        ];
        for (what, value, most) in over.into_iter().filter(|(_, value, most)| value > most) {
            let evidence = format!(
                "proxy {} held {value:.0} {what}, {most:.0} are allowed",
                u.proxy
            );
            violations.push(Violation {
                rule: Rule::Bounds,
                at: u.at,
                request: None,
                server: None,
                evidence,
            });
        }
    }
    for e in ledger.process_exits.iter().filter(|e| !e.expected) {
        let evidence = format!("proxy {} ended by itself", e.proxy);
        violations.push(Violation {
            rule: Rule::NoCrash,
            at: e.at,
            request: None,
            server: None,
            evidence,
        });
    }
    for (server, at, what) in &ledger.unknown_requests {
        let (server, evidence) = (Some(*server), what.clone());
        violations.push(Violation {
            rule: Rule::NoStranger,
            at: *at,
            request: None,
            server,
            evidence,
        });
    }
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}

fn one_answer(
    ledger: &Ledger,
    rules: &Rules,
    id: usize,
    t: &ClientAttempt,
    violations: &mut Vec<Violation>,
) {
    let mut tell = |at, evidence: String| {
        violations.push(Violation {
            rule: Rule::OneAnswer,
            at,
            request: Some(id),
            server: None,
            evidence,
        });
    };
    let Some(taken) = t.taken else { return };
    if let [_, (at, second), ..] = t.answers[..] {
        tell(
            at,
            format!("a second answer, {second:?}, after {:?}", t.answers[0].1),
        );
    }
    let late = t.due + rules.answer_slack.0;
    match t.answers.first() {
        Some((at, code)) if *at > late => tell(
            *at,
            format!("{code:?} came {:.1} ms after its time", at - t.due),
        ),
        Some((at, ResponseKind::Served { genuine: false })) => {
            tell(*at, "served with what no server made for it".into());
        }
        Some(_) => {}
        // A client that leaves early is owed nothing; a proxy that was killed owes what it held to nobody.
        None => {
            let left = t.left.is_some_and(|left| left < t.due);
            let dead = ledger.end_of(t.proxy, taken).is_some_and(|end| end <= late);
            let open = ledger.ended_at < late;
            if !left && !dead && !open {
                tell(
                    late,
                    format!("no answer from proxy {} by {:.3} s", t.proxy, late / 1000.0),
                );
            }
        }
    }
}

/// Whether an attempt may have run, as far as its proxy could know at a time.
fn in_doubt(a: &Attempt, at: Millis) -> bool {
    a.ended
        .is_none_or(|(when, end)| when > at || end != AttemptEnd::NeverRan)
}

fn never_twice(id: usize, t: &ClientAttempt, violations: &mut Vec<Violation>) {
    let mut tell = |at, server: Option<usize>, evidence: String| {
        violations.push(Violation {
            rule: Rule::NeverTwice,
            at,
            request: Some(id),
            server,
            evidence,
        });
    };
    for (i, a) in t.attempts.iter().enumerate().skip(1) {
        let before = &t.attempts[..i];
        if let Some(out) = before
            .iter()
            .find(|b| b.ended.is_none_or(|(when, _)| when > a.sent))
        {
            tell(
                a.sent,
                Some(a.server),
                format!("a second attempt while one is out at server {}", out.server),
            );
        } else if let Some(first) = before.iter().find(|b| t.once && in_doubt(b, a.sent)) {
            let evidence = format!(
                "sent again though it may have run at server {}",
                first.server
            );
            tell(a.sent, Some(a.server), evidence);
        }
    }
    if !t.once {
        return;
    }
    let mut ran = t
        .attempts
        .iter()
        .filter_map(|a| a.ran.map(|at| (at, a.server)));
    if let (Some((_, first)), Some((at, second))) = (ran.next(), ran.next()) {
        tell(
            at,
            Some(second),
            format!("it ran at server {first} already"),
        );
    }
    if let Some((at, ResponseKind::Refused { .. })) = t.answers.first()
        && let Some(a) = t.attempts.iter().find(|a| in_doubt(a, *at))
    {
        tell(
            *at,
            Some(a.server),
            "refused though it may have run, so that the client tries again".into(),
        );
    }
}

fn drains(ledger: &Ledger, rules: &Rules, violations: &mut Vec<Violation>) {
    // For each proxy and server: since when it has been told that nothing new may go there.
    let mut told: FxHashMap<(usize, usize), Vec<(Millis, bool)>> = FxHashMap::default();
    for t in &ledger.notifications {
        told.entry((t.proxy, t.server))
            .or_default()
            .push((t.at, t.up));
    }
    told.values_mut()
        .for_each(|news| news.sort_by(|a, b| a.0.total_cmp(&b.0)));
    for (id, t) in ledger.client_attempts.iter().enumerate() {
        for a in &t.attempts {
            let Some(news) = told.get(&(t.proxy, a.server)) else {
                continue;
            };
            let last_up = news.iter().rposition(|(at, up)| *up && *at <= a.sent);
            let down = news[last_up.map_or(0, |i| i + 1)..]
                .iter()
                .find(|(at, up)| !up && *at <= a.sent);
            let Some((since, _)) = down else { continue };
            if a.sent > since + rules.drain_grace.0 {
                let evidence = format!(
                    "proxy {} sends {:.1} ms after it was told that the server drains or is gone",
                    t.proxy,
                    a.sent - since
                );
                let (request, server) = (Some(id), Some(a.server));
                violations.push(Violation {
                    rule: Rule::Drain,
                    at: a.sent,
                    request,
                    server,
                    evidence,
                });
            }
        }
    }
}

/// Two thirds of what pushed a server over must have come from proxies that had been told of its start.
const TOLD_PART: f64 = 2.0 / 3.0;

fn cold_starts(ledger: &Ledger, violations: &mut Vec<Violation>) {
    for fall in &ledger.cold_overloads {
        let (mut all, mut told) = (0.0f64, 0.0f64);
        for t in &ledger.client_attempts {
            for a in t
                .attempts
                .iter()
                .filter(|a| a.server == fall.server && a.sent <= fall.at)
            {
                let knew = |n: &&crate::ledger::ServerNotification| {
                    n.proxy == t.proxy && n.server == a.server && n.at <= a.sent
                };
                all += 1.0;
                told += f64::from(u8::from(ledger.notifications.iter().any(|n| knew(&n))));
            }
        }
        if told >= TOLD_PART * all {
            let evidence = format!(
                "it fell over at {:.0} % of its capacity; {told:.0} of {all:.0} attempts came from proxies that knew \
                 of its start",
                100.0 * fall.warmth
            );
            let (at, server) = (fall.at, Some(fall.server));
            violations.push(Violation {
                rule: Rule::ColdStart,
                at,
                request: None,
                server,
                evidence,
            });
        }
    }
}
