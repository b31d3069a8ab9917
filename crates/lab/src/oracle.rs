//! Checks the ledger of a run against the rules. Each violation names the request, server, time and evidence.
//!
//! Rules are either kept or violated; the quality of service is computed in [`crate::score`].

use std::fmt;

use balancer::Millis;
use rustc_hash::FxHashMap;

use crate::ledger::{Attempt, AttemptEnd, ClientAttempt, Ledger, ResponseKind};
use crate::scenario::{Proxies, Rules};

/// Rules that every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted request gets exactly one final response in time, and a successful one comes from a server.
    OneAnswer,
    /// A request that must not run twice does not, and it is rejected only if it certainly did not run.
    NeverTwice,
    /// No new attempt is sent to a server after the grace period that follows notification of its drain or removal.
    Drain,
    /// No cold server is overloaded until it crashes.
    ColdStart,
    /// Memory and file descriptors stay within the limits.
    Bounds,
    /// No process exits without being told to.
    NoCrash,
    /// No request reaches a server unless a client sent it.
    NoStranger,
}

/// A rule violation.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Millis,
    /// Client attempt concerned.
    pub request: Option<usize>,
    /// Server concerned.
    pub server: Option<usize>,
    /// Description of the evidence.
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

/// Returns all rule violations, ordered by time.
pub fn check_rules(ledger: &Ledger, rules: &Rules, bounds: &Proxies) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, t) in ledger.client_attempts.iter().enumerate() {
        check_responses(ledger, rules, id, t, &mut violations);
        check_executions(id, t, &mut violations);
    }
    check_drains(ledger, rules, &mut violations);
    check_cold_starts(ledger, &mut violations);
    for u in &ledger.usage {
        let over = [
            ("MiB of memory", u.memory_mb, bounds.memory_mb as f64),
            ("descriptors", u.descriptors as f64, bounds.sockets as f64),
        ];
        for (what, value, limit) in over.into_iter().filter(|(_, value, limit)| value > limit) {
            let evidence = format!(
                "proxy {} held {value:.0} {what}, {limit:.0} are allowed",
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

fn check_responses(
    ledger: &Ledger,
    rules: &Rules,
    id: usize,
    t: &ClientAttempt,
    violations: &mut Vec<Violation>,
) {
    let mut report = |at, evidence: String| {
        violations.push(Violation {
            rule: Rule::OneAnswer,
            at,
            request: Some(id),
            server: None,
            evidence,
        });
    };
    let Some(accepted_at) = t.accepted_at else {
        return;
    };
    if let [_, (at, second), ..] = t.responses[..] {
        report(
            at,
            format!("a second answer, {second:?}, after {:?}", t.responses[0].1),
        );
    }
    let late = t.timeout_at + rules.answer_slack.0;
    match t.responses.first() {
        Some((at, code)) if *at > late => report(
            *at,
            format!("{code:?} came {:.1} ms after its time", at - t.timeout_at),
        ),
        Some((at, ResponseKind::Served { genuine: false })) => {
            report(*at, "served with what no server made for it".into());
        }
        Some(_) => {}
        // No response is due to a client that disconnected early or whose proxy was killed.
        None => {
            let disconnected = t.disconnected_at.is_some_and(|at| at < t.timeout_at);
            let exited = ledger
                .first_exit(t.proxy, accepted_at)
                .is_some_and(|end| end <= late);
            let still_running = ledger.ended_at < late;
            if !disconnected && !exited && !still_running {
                report(
                    late,
                    format!("no answer from proxy {} by {:.3} s", t.proxy, late / 1000.0),
                );
            }
        }
    }
}

/// Returns whether an attempt may have run, as far as its proxy could know at a time.
fn may_have_run(a: &Attempt, at: Millis) -> bool {
    a.ended
        .is_none_or(|(when, end)| when > at || end != AttemptEnd::NeverRan)
}

fn check_executions(id: usize, t: &ClientAttempt, violations: &mut Vec<Violation>) {
    let mut report = |at, server: Option<usize>, evidence: String| {
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
            report(
                a.sent,
                Some(a.server),
                format!("a second attempt while one is out at server {}", out.server),
            );
        } else if let Some(first) = before
            .iter()
            .find(|b| t.at_most_once && may_have_run(b, a.sent))
        {
            let evidence = format!(
                "sent again though it may have run at server {}",
                first.server
            );
            report(a.sent, Some(a.server), evidence);
        }
    }
    if !t.at_most_once {
        return;
    }
    let mut ran = t
        .attempts
        .iter()
        .filter_map(|a| a.completed_at.map(|at| (at, a.server)));
    if let (Some((_, first)), Some((at, second))) = (ran.next(), ran.next()) {
        report(
            at,
            Some(second),
            format!("it ran at server {first} already"),
        );
    }
    if let Some((at, ResponseKind::Refused { .. })) = t.responses.first()
        && let Some(a) = t.attempts.iter().find(|a| may_have_run(a, *at))
    {
        report(
            *at,
            Some(a.server),
            "refused though it may have run, so that the client tries again".into(),
        );
    }
}

fn check_drains(ledger: &Ledger, rules: &Rules, violations: &mut Vec<Violation>) {
    // Notifications by proxy and server: time and whether the server accepts new requests.
    let mut notifications: FxHashMap<(usize, usize), Vec<(Millis, bool)>> = FxHashMap::default();
    for t in &ledger.notifications {
        notifications
            .entry((t.proxy, t.server))
            .or_default()
            .push((t.at, t.up));
    }
    notifications
        .values_mut()
        .for_each(|updates| updates.sort_by(|a, b| a.0.total_cmp(&b.0)));
    for (id, t) in ledger.client_attempts.iter().enumerate() {
        for a in &t.attempts {
            let Some(updates) = notifications.get(&(t.proxy, a.server)) else {
                continue;
            };
            let last_up = updates.iter().rposition(|(at, up)| *up && *at <= a.sent);
            let down = updates[last_up.map_or(0, |i| i + 1)..]
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

/// A crash counts if at least this part of the attempts came from proxies notified of the server's start.
const MIN_NOTIFIED_FRACTION: f64 = 2.0 / 3.0;

fn check_cold_starts(ledger: &Ledger, violations: &mut Vec<Violation>) {
    for crash in &ledger.cold_overloads {
        let (mut all, mut notified) = (0.0f64, 0.0f64);
        for t in &ledger.client_attempts {
            for a in t
                .attempts
                .iter()
                .filter(|a| a.server == crash.server && a.sent <= crash.at)
            {
                let is_notified = |n: &&crate::ledger::ServerNotification| {
                    n.proxy == t.proxy && n.server == a.server && n.at <= a.sent
                };
                all += 1.0;
                notified += f64::from(u8::from(
                    ledger.notifications.iter().any(|n| is_notified(&n)),
                ));
            }
        }
        if notified >= MIN_NOTIFIED_FRACTION * all {
            let evidence = format!(
                "it fell over at {:.0} % of its capacity; {notified:.0} of {all:.0} attempts came from proxies that knew \
                 of its start",
                100.0 * crash.warmth
            );
            let (at, server) = (crash.at, Some(crash.server));
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
