//! What a leader keeps of each member's right to decide, and what follows from it: whom it may grant, and when a change may
//! close, open or be given up. It is kept for one term of leading and never handed on: a new leader takes the worst for granted.

use std::collections::BTreeMap;

use crate::fence::{Grant, Report, Span, Until, reason};
use crate::machine::{Change, Command, Machine, Micros, Phase, Reason, Rules, Version, WhenCutOff};

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Book {
    /// Until when, by this leader's clock, the member may decide at most; none if it surely may not.
    bound: Option<Until>,
    /// The number of its newest report.
    newest: u64,
    heard: Option<Micros>,
    version: Option<Version>,
    checked: Option<(String, Option<String>)>,
    closed: Option<String>,
    /// It is on its way out, and gets no grants.
    leaving: bool,
}

/// What a leader keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Warden {
    rules: Rules,
    since: Micros,
    books: BTreeMap<u64, Book>,
    /// Reports to be answered once it is confirmed that this leader still leads.
    asked: BTreeMap<u64, u64>,
    /// The change that is being decided, and since when.
    deciding: Option<(String, Micros)>,
    /// What was proposed to the log and has not come back yet.
    proposed: Option<Command>,
}

/// A member that a change waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Wait {
    /// Its name.
    pub name: String,
    /// When it was last heard, by the leader's clock.
    pub heard: Option<Micros>,
    /// Until when it may decide at most.
    pub bound: Option<Until>,
}

impl Warden {
    /// A leader begins: it has applied all that was agreed on before it.
    pub fn new(now: Micros, machine: &Machine, rules: &Rules) -> Self {
        let mut warden = Warden {
            rules: rules.clone(),
            since: now,
            books: BTreeMap::new(),
            asked: BTreeMap::new(),
            deciding: None,
            proposed: None,
        };
        warden.members(machine);
        warden
    }

    /// The worst that a member may hold that this leader knows nothing of.
    ///
    /// A leader before this one answered no report that was made after this one was elected: it asked a majority after each report,
    /// and that majority had not voted yet. So leases that it granted end within a lease of then. Grants without an end are no
    /// more once a change closes, as each member said before that it could take it.
    fn worst(&self, machine: &Machine) -> Option<Until> {
        let closing = machine
            .change
            .as_ref()
            .is_some_and(|c| c.phase == Phase::Closing);
        match self.rules.when_cut_off {
            WhenCutOff::Serve if !closing => Some(Until::Forever),
            _ => Some(Until::Before(
                self.since + self.rules.surely(self.rules.lease),
            )),
        }
    }

    /// Members have come or gone.
    pub fn members(&mut self, machine: &Machine) {
        let worst = self.worst(machine);
        let now: BTreeMap<u64, ()> = machine.members.values().map(|m| (m.id, ())).collect();
        self.books.retain(|id, _| now.contains_key(id));
        for id in now.keys() {
            let book = Book {
                bound: worst,
                newest: 0,
                heard: None,
                version: None,
                checked: None,
                closed: None,
                leaving: false,
            };
            self.books.entry(*id).or_insert(book);
        }
    }

    /// A member has just come, under a number that was never given before: it holds nothing yet.
    pub fn came(&mut self, id: u64) {
        if let Some(book) = self.books.get_mut(&id).filter(|b| b.heard.is_none()) {
            book.bound = None;
        }
    }

    /// A member reports.
    pub fn report(&mut self, now: Micros, id: u64, report: &Report, machine: &Machine) {
        let short = self.rules.surely(self.rules.short);
        let Some(book) = self.books.get_mut(&id) else {
            return;
        };
        if report.seq <= book.newest {
            return; // it has said something newer since
        }
        book.newest = report.seq;
        book.heard = Some(now);
        book.version = report.version;
        book.checked.clone_from(&report.checked);
        book.closed.clone_from(&report.closed);
        if report.holds_nothing {
            book.bound = None;
        } else if let Some(change) = &machine.change
            && is_ready(book, change)
        {
            // It has bound itself to a short lease from before this report on, and gets no longer ones.
            book.bound = book.bound.map(|b| b.min(Until::Before(now + short)));
        }
        self.asked.insert(id, report.seq);
    }

    /// The reports that a confirmation that begins now allows to be answered.
    pub fn ask(&mut self) -> BTreeMap<u64, u64> {
        std::mem::take(&mut self.asked)
    }

    /// Whether some report waits for its answer.
    pub fn is_asked(&self) -> bool {
        !self.asked.is_empty()
    }

    /// It was confirmed, after these reports had come, that this leader leads.
    pub fn confirmed(
        &mut self,
        now: Micros,
        asked: &BTreeMap<u64, u64>,
        machine: &Machine,
    ) -> Vec<(u64, Grant)> {
        let closing = machine
            .change
            .as_ref()
            .is_some_and(|c| c.phase == Phase::Closing);
        if closing || matches!(self.proposed, Some(Command::Close { .. })) {
            return Vec::new();
        }
        let long = match (self.rules.when_cut_off, &machine.change) {
            (WhenCutOff::Serve, None) => Span::Forever,
            _ => Span::Lease,
        };
        let rules = &self.rules;
        let mut grants = Vec::new();
        for (id, seq) in asked {
            let Some(book) = self.books.get_mut(id) else {
                continue;
            };
            if book.leaving || book.version != Some(machine.version) {
                continue;
            }
            let ready = machine
                .change
                .as_ref()
                .is_some_and(|change| is_ready(book, change));
            let span = if ready { Span::Short } else { long };
            let until = match span {
                Span::Short => Until::Before(now + rules.surely(rules.short)),
                Span::Lease => Until::Before(now + rules.surely(rules.lease)),
                Span::Forever => Until::Forever,
            };
            book.bound = Some(book.bound.map_or(until, |b| b.max(until)));
            grants.push((
                *id,
                Grant {
                    seq: *seq,
                    version: machine.version,
                    span,
                },
            ));
        }
        grants
    }

    /// Whether a member surely may not decide any more.
    fn is_over(book: &Book, now: Micros) -> bool {
        book.bound.is_none_or(|bound| bound <= Until::Before(now))
    }

    /// The members that a change waits for now.
    pub fn waits(&self, now: Micros, machine: &Machine) -> Vec<Wait> {
        let Some(change) = &machine.change else {
            return Vec::new();
        };
        let waits = |(name, id): (&String, u64)| {
            let book = self.books.get(&id)?;
            let done = match change.phase {
                Phase::Checking => is_ready(book, change),
                Phase::Closing => book.closed.as_ref() == Some(&change.proposal.id),
            };
            let waits = !done && !Self::is_over(book, now);
            waits.then(|| Wait {
                name: name.clone(),
                heard: book.heard,
                bound: book.bound,
            })
        };
        machine
            .members
            .iter()
            .map(|(name, m)| (name, m.id))
            .filter_map(waits)
            .collect()
    }

    /// What is to be agreed on next, if something is. Each answer is given once: it comes back by the log, or
    /// [`Warden::refused`] says that it will not.
    pub fn step(&mut self, now: Micros, machine: &Machine) -> Option<Command> {
        let Some(change) = &machine.change else {
            self.deciding = None;
            self.proposed = None;
            return None;
        };
        let id = &change.proposal.id;
        if self.deciding.as_ref().is_none_or(|(of, _)| of != id) {
            self.deciding = Some((id.clone(), now));
            self.proposed = None;
        }
        match (&self.proposed, change.phase) {
            (Some(Command::Close { .. } | Command::GiveUp { .. }), Phase::Checking) => return None,
            (Some(Command::Open { .. }), Phase::Closing) => return None,
            _ => {}
        }
        let next = self.decide(now, machine, change)?;
        self.proposed = Some(next.clone());
        Some(next)
    }

    fn decide(&self, now: Micros, machine: &Machine, change: &Change) -> Option<Command> {
        let id = change.proposal.id.clone();
        let waits = self.waits(now, machine);
        if change.phase == Phase::Closing {
            return waits.is_empty().then_some(Command::Open { change: id });
        }
        let faults = self.faults(now, machine, change);
        if !faults.is_empty() {
            return Some(Command::GiveUp {
                change: id,
                why: faults,
            });
        }
        let ready = self.books.values().any(|b| is_ready(b, change));
        if waits.is_empty() && ready {
            return Some(Command::Close { change: id });
        }
        let since = self.deciding.as_ref().map_or(now, |(_, since)| *since);
        if now < since + self.rules.deadline {
            return None;
        }
        let silent = |w: &Wait| reason(&w.name, "it has not said in time whether it can take it");
        let mut why: Vec<Reason> = waits.iter().map(silent).collect();
        if why.is_empty() {
            why.push(reason(
                "",
                "no instance has said in time that it can take it",
            ));
        }
        Some(Command::GiveUp { change: id, why })
    }

    /// What those find wrong with a change that may decide. One that is fenced keeps nobody from going on.
    fn faults(&self, now: Micros, machine: &Machine, change: &Change) -> Vec<Reason> {
        let may = |id| self.books.get(&id).filter(|book| !Self::is_over(book, now));
        let fault = |(name, id): (&String, u64)| match &may(id)?.checked {
            Some((of, Some(why))) if *of == change.proposal.id => Some(reason(name, why)),
            _ => None,
        };
        machine
            .members
            .iter()
            .map(|(name, m)| (name, m.id))
            .filter_map(fault)
            .collect()
    }

    /// The log did not take what [`Warden::step`] said; it will be said again.
    pub fn refused(&mut self) {
        self.proposed = None;
    }

    /// A member is to leave: it gets no grants from here on. Returns whether it surely decides nothing any more, so that it may.
    /// Where an instance that is cut off serves on, its leaving is an operator's word that it has ended.
    pub fn leave(&mut self, now: Micros, id: u64) -> bool {
        let Some(book) = self.books.get_mut(&id) else {
            return true;
        };
        book.leaving = true;
        Self::is_over(book, now) || book.bound == Some(Until::Forever)
    }

    /// Whether a member has not been heard for so long that a lease which it had has surely run out.
    pub fn is_silent(&self, now: Micros, id: u64) -> bool {
        let wait = self.rules.surely(self.rules.lease);
        self.books
            .get(&id)
            .is_none_or(|b| b.heard.unwrap_or(self.since) + wait <= now)
    }

    /// When a member was last heard, and until when it may decide at most.
    pub fn seen(&self, id: u64) -> Option<(Option<Micros>, Option<Until>, Option<Version>)> {
        self.books.get(&id).map(|b| (b.heard, b.bound, b.version))
    }
}

fn is_ready(book: &Book, change: &Change) -> bool {
    matches!(&book.checked, Some((of, None)) if *of == change.proposal.id)
}
