//! How an instance of a cluster starts: in named phases, each with what it waits for, how long at most, and what it does then.
//!
//! - [`Start`]: the phases. It takes requests only under a policy and lists that it knows to be current, or says what it does not know.
//! - [`Facts`]: what is known at a moment, as whoever drives it has seen.
//! - [`Report`]: how far it is, for operators.
//!
//! Nothing here has sockets, a disk or a clock, and it decides nothing about requests. What it does not do yet: budgets over the fleet,
//! and what was learnt before the start.

use serde::{Deserialize, Serialize};

/// A span or a moment of some clock, in microseconds.
pub type Micros = u64;

/// Names that are told of what is waited for.
const NAMED: usize = 5;

/// Where a start is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Its store is opened and read.
    Store,
    /// It looks for the other members, and for one that leads.
    Members,
    /// It waits for the word that the policy which it has, or gets, is the one in effect.
    Policy,
    /// It waits for tenants' lists of servers that are followed elsewhere.
    List,
    /// It takes requests.
    Serving,
}

impl Phase {
    /// All of them, in their order.
    pub const ALL: [Phase; 5] = [
        Phase::Store,
        Phase::Members,
        Phase::Policy,
        Phase::List,
        Phase::Serving,
    ];

    /// What it is called.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Store => "store",
            Phase::Members => "members",
            Phase::Policy => "policy",
            Phase::List => "list",
            Phase::Serving => "serving",
        }
    }
}

/// What an instance does that still lacks some tenants' lists when it has waited for long enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenUnknown {
    /// It takes requests; those of tenants whose list is not known are refused by their own pools. One tenant's lost list keeps no
    /// other's requests away.
    #[default]
    Serve,
    /// It refuses all until the last list is known.
    Refuse,
}

/// What a start goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long lists are waited for.
    pub list_wait: Micros,
    /// What then.
    pub when_list_unknown: WhenUnknown,
}

/// What is known at a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// It belongs to the cluster.
    pub joined: bool,
    /// It knows who leads.
    pub led: bool,
    /// The policy that it has is known to be the one in effect.
    pub current: bool,
    /// Tenants, and the names of those whose list is not known to be current.
    pub tenants: usize,
    /// As above.
    pub unknown: Vec<String>,
}

/// Whether requests may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not yet.
    Wait,
    /// They may; under a policy, and under lists, that are known to be current.
    Take,
    /// They may, though some lists are not known.
    TakeUnsure,
}

/// A start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    terms: Terms,
    phase: Phase,
    since: Micros,
    /// How long each phase that is over took.
    took: Vec<(Phase, Micros)>,
    facts: Facts,
    unsure: Vec<String>,
}

/// How far a start is, as operators are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Where it is.
    pub phase: Phase,
    /// For how long, in ms.
    pub for_ms: u64,
    /// What it waits for.
    pub waits_for: String,
    /// How long it waits at most, in ms; none where it waits until it is so.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub at_most_ms: Option<u64>,
    /// What it does then.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub then: Option<String>,
    /// How long each phase that is over took, in ms.
    pub took: Vec<Took>,
    /// Tenants whose list was not known when it began to take requests.
    pub unsure: Vec<String>,
}

/// A phase that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Took {
    /// Which.
    pub phase: Phase,
    /// How long, in ms.
    pub ms: u64,
}

impl Start {
    /// A process starts at this moment.
    pub fn new(now: Micros, terms: Terms) -> Self {
        Start {
            terms,
            phase: Phase::Store,
            since: now,
            took: Vec::new(),
            facts: Facts::default(),
            unsure: Vec::new(),
        }
    }

    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The store has been read.
    pub fn stored(&mut self, now: Micros) {
        if self.phase == Phase::Store {
            self.enter(now, Phase::Members);
        }
    }

    /// Looks at what is known. Once requests are taken it takes no more part: from then on the lease says who may decide.
    pub fn look(&mut self, now: Micros, facts: Facts) -> Verdict {
        self.facts = facts;
        if matches!(self.phase, Phase::Store) {
            return Verdict::Wait;
        }
        if self.phase == Phase::Members && self.facts.joined && self.facts.led {
            self.enter(now, Phase::Policy);
        }
        if self.phase == Phase::Policy && self.facts.current {
            self.enter(now, Phase::List);
        }
        // What was known to be current may not be any more, while lists are waited for.
        if self.phase == Phase::List && !self.facts.current {
            self.enter(now, Phase::Policy);
        }
        if self.phase == Phase::List {
            let late = now >= self.since.saturating_add(self.terms.list_wait);
            let unsure = late && self.terms.when_list_unknown == WhenUnknown::Serve;
            if self.facts.unknown.is_empty() || unsure {
                self.unsure.clone_from(&self.facts.unknown);
                self.enter(now, Phase::Serving);
            }
        }
        match self.phase {
            Phase::Serving if self.unsure.is_empty() => Verdict::Take,
            Phase::Serving => Verdict::TakeUnsure,
            _ => Verdict::Wait,
        }
    }

    fn enter(&mut self, now: Micros, phase: Phase) {
        let span = now.saturating_sub(self.since);
        // A phase that it comes back to goes on where it was.
        match self.took.iter_mut().find(|(known, _)| *known == self.phase) {
            Some((_, took)) => *took += span,
            None => self.took.push((self.phase, span)),
        }
        (self.phase, self.since) = (phase, now);
    }

    fn waits_for(&self) -> String {
        match self.phase {
            Phase::Store => "its store".into(),
            Phase::Members if !self.facts.joined => "the cluster, to join it".into(),
            Phase::Members => "an instance that leads".into(),
            Phase::Policy => "the word that its policy is the one in effect".into(),
            Phase::List => {
                let named = self
                    .facts
                    .unknown
                    .iter()
                    .take(NAMED)
                    .cloned()
                    .collect::<Vec<_>>()
                    .join(", ");
                let more = self.facts.unknown.len().saturating_sub(NAMED);
                let more = if more > 0 {
                    format!(" and {more} more")
                } else {
                    String::new()
                };
                format!("the lists of {named}{more}")
            }
            Phase::Serving => "nothing".into(),
        }
    }

    /// How far it is.
    pub fn report(&self, now: Micros) -> Report {
        let lists = self.phase == Phase::List;
        let then = match (self.phase, self.terms.when_list_unknown) {
            (Phase::List, WhenUnknown::Serve) => {
                Some("it takes requests; those of these tenants are refused")
            }
            (Phase::List, WhenUnknown::Refuse) => Some("it goes on waiting, and refuses"),
            _ => None,
        };
        Report {
            phase: self.phase,
            for_ms: now.saturating_sub(self.since) / 1000,
            waits_for: self.waits_for(),
            at_most_ms: lists.then_some(self.terms.list_wait / 1000),
            then: then.map(str::to_owned),
            took: self
                .took
                .iter()
                .map(|(phase, us)| Took {
                    phase: *phase,
                    ms: us / 1000,
                })
                .collect(),
            unsure: self.unsure.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const TERMS: Terms = Terms {
        list_wait: 1000,
        when_list_unknown: WhenUnknown::Serve,
    };

    fn facts(joined: bool, led: bool, current: bool, unknown: &[&str]) -> Facts {
        let unknown = unknown.iter().map(|n| (*n).to_owned()).collect();
        Facts {
            joined,
            led,
            current,
            tenants: 3,
            unknown,
        }
    }

    #[test]
    fn phases_follow_what_is_known_and_a_lost_list_keeps_nobody_else_out_for_ever() {
        let mut start = Start::new(0, TERMS);
        assert_eq!(
            start.look(5, facts(true, true, true, &[])),
            Verdict::Wait,
            "its store first"
        );
        start.stored(10);
        assert_eq!(
            start.look(20, facts(true, false, false, &[])),
            Verdict::Wait
        );
        assert_eq!(
            (start.phase(), start.report(20).waits_for.as_str()),
            (Phase::Members, "an instance that leads")
        );
        assert_eq!(start.look(30, facts(true, true, false, &[])), Verdict::Wait);
        assert_eq!(start.phase(), Phase::Policy);
        assert_eq!(
            start.look(40, facts(true, true, true, &["a", "b"])),
            Verdict::Wait
        );
        assert_eq!(start.report(40).waits_for, "the lists of a, b");
        assert_eq!(
            start.look(50, facts(true, true, false, &["a"])),
            Verdict::Wait
        );
        assert_eq!(start.phase(), Phase::Policy, "its lease ran out meanwhile");
        assert_eq!(
            start.look(60, facts(true, true, true, &["a"])),
            Verdict::Wait
        );
        assert_eq!(
            start.look(1059, facts(true, true, true, &["a"])),
            Verdict::Wait
        );
        assert_eq!(
            start.look(1060, facts(true, true, true, &["a"])),
            Verdict::TakeUnsure
        );
        assert_eq!(start.report(1060).unsure, ["a"]);
        let took: Vec<_> = start.took.iter().map(|(p, us)| (p.name(), *us)).collect();
        assert_eq!(
            took,
            [
                ("store", 10),
                ("members", 20),
                ("policy", 20),
                ("list", 1010)
            ]
        );
    }

    #[test]
    fn where_the_file_says_so_it_refuses_until_the_last_list_is_known() {
        let mut start = Start::new(
            0,
            Terms {
                when_list_unknown: WhenUnknown::Refuse,
                ..TERMS
            },
        );
        start.stored(0);
        for now in [1, 1_000, 1_000_000] {
            assert_eq!(
                start.look(now, facts(true, true, true, &["a"])),
                Verdict::Wait
            );
        }
        assert_eq!(
            start.look(1_000_001, facts(true, true, true, &[])),
            Verdict::Take
        );
    }

    proptest! {
        /// Whatever happens in whatever order, requests are first taken at a look at which the policy is known to be current.
        #[test]
        fn requests_are_never_taken_first_under_a_policy_that_is_not_known(
            looks in proptest::collection::vec((any::<[bool; 4]>(), 0..3000u64), 1..60), refuses in any::<bool>(),
        ) {
            let when_list_unknown = if refuses { WhenUnknown::Refuse } else { WhenUnknown::Serve };
            let mut start = Start::new(0, Terms { when_list_unknown, ..TERMS });
            start.stored(0);
            let (mut now, mut taken) = (0, false);
            for ([joined, led, current, listed], span) in looks {
                now += span;
                let unknown: &[&str] = if listed { &[] } else { &["a"] };
                let verdict = start.look(now, facts(joined, led, current, unknown));
                if verdict != Verdict::Wait && !taken {
                    prop_assert!(current);
                    prop_assert!(listed || !refuses);
                    taken = true;
                }
                prop_assert!(!taken || verdict != Verdict::Wait);
                let spent: u64 = start.took.iter().map(|(_, us)| us).sum();
                prop_assert_eq!(spent + now - start.since, now);
            }
        }
    }
}
