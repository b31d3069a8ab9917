//! Which tenants of a process are resident: of many that may be asked for, those few that it holds in full.
//!
//! [`ResidentSet`] is the resident set with its bound. It says who may wake, whom that puts to rest (the least recently used of those
//! that have nothing under way: eviction), and who has to wait for a place (admission). It starts and ends nothing itself, holds no
//! clock and no lock: whoever carries it out passes the time in ms, and says who has nothing under way.
//!
//! Who finds no place waits in a line, in the order of first asking, each tenant once. It is told when to come again, and its
//! turn is kept for it for a bounded time after that.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on a clock that never runs backwards.
pub type Millis = f64;

/// Residents looked at for one that may rest, beyond those whose places are others' already.
const LOOKS: usize = 64;
/// The longest wait that one without a place is told.
const LONGEST_WAIT: Millis = 10_000.0;
/// One in so many places is never taken by those that are pinned.
const KEPT_FREE: usize = 8;

/// The bounds of a resident set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Residents at most.
    pub most: usize,
    /// A resident that was idle for so long may rest though nobody wants its place.
    pub rest_after: Millis,
    /// A resident keeps its place for so long at least, lest tenants put each other out all the time.
    pub least_stay: Millis,
    /// How long a turn in the line is kept beyond the time at which its tenant was told to come.
    pub hold: Millis,
    /// Tenants that wait in the line at most; who comes beyond that is told to come later and gets no turn.
    pub most_waiting: usize,
}

/// A tenant is resident, or is to be from here on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<K> {
    /// It was already.
    Resident,
    /// It is to wake, in a place that was free.
    Woken,
    /// It is to wake in the place of this one, which is to be put to rest.
    InPlaceOf(K),
}

/// There is no place now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// When to come again, in ms.
    pub span: Millis,
    /// Whether it has a turn in the line, which is kept if it comes by then.
    pub in_line: bool,
}

/// What has come of it so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tenants that were woken.
    pub wakes: u64,
    /// Tenants that were put to rest, for want of use or for others.
    pub rests: u64,
    /// Those of them that were put out for others.
    pub evictions: u64,
    /// Requests that found no place.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Resident {
    /// Its place in the order of use.
    used: u64,
    since: Millis,
    last: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    come_by: Millis,
}

/// The residents, and those that wait.
#[derive(Clone, Debug)]
pub struct ResidentSet<K> {
    terms: Terms,
    residents: BTreeMap<K, Resident>,
    /// The same, least recently used first.
    order: BTreeMap<u64, K>,
    /// Residents that stay, whatever happens. They are in neither of the above.
    pinned: BTreeSet<K>,
    waiting: BTreeMap<K, Waiting>,
    line: BTreeMap<u64, K>,
    /// The turns by when they end: times are not negative, so that their bits sort as they do.
    ends: BTreeSet<(u64, u64)>,
    next: u64,
    counts: Counts,
}

impl<K: Ord + Clone> ResidentSet<K> {
    /// An empty one.
    pub fn new(terms: Terms) -> Self {
        ResidentSet {
            terms: Terms {
                most: terms.most.max(1),
                ..terms
            },
            residents: BTreeMap::new(),
            order: BTreeMap::new(),
            pinned: BTreeSet::new(),
            waiting: BTreeMap::new(),
            line: BTreeMap::new(),
            ends: BTreeSet::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    /// How many are resident, pinned ones included.
    pub fn len(&self) -> usize {
        self.residents.len() + self.pinned.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many stay whatever happens.
    pub fn pinned(&self) -> usize {
        self.pinned.len()
    }

    /// Its bound.
    pub fn most(&self) -> usize {
        self.terms.most
    }

    /// How many wait in the line.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Whether one is resident.
    pub fn has(&self, key: &K) -> bool {
        self.residents.contains_key(key) || self.pinned.contains(key)
    }

    /// What has come of it.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Places for those that are not pinned. These take up places, too, but never the last eighth: others must be served.
    pub fn places(&self) -> usize {
        let kept = (self.terms.most / KEPT_FREE).max(1);
        self.terms.most.saturating_sub(self.pinned.len()).max(kept)
    }

    /// A request for a tenant has come. `may_rest` says whether a resident has nothing under way.
    ///
    /// # Errors
    /// All places are taken, or others come first: when to come again.
    pub fn ask(
        &mut self,
        now: Millis,
        key: &K,
        mut may_rest: impl FnMut(&K) -> bool,
    ) -> Result<Admission<K>, Wait> {
        if self.pinned.contains(key) {
            return Ok(Admission::Resident);
        }
        if self.residents.contains_key(key) {
            self.touch(now, key);
            return Ok(Admission::Resident);
        }
        self.expire(now);
        let ticket = self.waiting.get(key).map_or(u64::MAX, |w| w.ticket);
        let most = self.places();
        // Whoever stands before it in the line has a right to a place first, whether it is here now or not.
        let ahead = self.line.range(..ticket).take(most).count();
        let free = most.saturating_sub(self.residents.len());
        if free > ahead {
            self.settle(now, key);
            return Ok(Admission::Woken);
        }
        if ahead < most
            && let Some(victim) = self.victim(now, ahead + 1 - free, &mut may_rest)
        {
            self.remove(&victim);
            self.counts.rests += 1;
            self.counts.evictions += 1;
            self.settle(now, key);
            return Ok(Admission::InPlaceOf(victim));
        }
        self.counts.refused += 1;
        Err(self.line_up(now, key))
    }

    /// The least recently used one that may rest, if that many may: the others' places are for those that stand first in the line.
    fn victim(
        &mut self,
        now: Millis,
        wanted: usize,
        may_rest: &mut impl FnMut(&K) -> bool,
    ) -> Option<K> {
        let stayed = |r: &Resident| now - r.since >= self.terms.least_stay;
        let (mut found, mut first, mut busy) = (0, None, Vec::new());
        for key in self.order.values().take(LOOKS + wanted) {
            if !self.residents.get(key).is_some_and(stayed) {
                continue;
            }
            if !may_rest(key) {
                busy.push(key.clone());
                continue;
            }
            first = first.or_else(|| Some(key.clone()));
            found += 1;
            if found == wanted {
                break;
            }
        }
        // One that has something under way is in use: it is not looked at again before all others.
        busy.iter().for_each(|key| self.touch(now, key));
        first.filter(|_| found == wanted)
    }

    /// Those that were idle for long enough to rest, this many at most: they are no longer resident.
    pub fn rest(
        &mut self,
        now: Millis,
        most: usize,
        mut may_rest: impl FnMut(&K) -> bool,
    ) -> Vec<K> {
        self.expire(now);
        // Beyond their places are some only after others were pinned.
        let over = self.residents.len().saturating_sub(self.places());
        let idle = |r: &Resident| now - r.last >= self.terms.rest_after;
        let old =
            |(at, key): &(usize, &K)| *at < over || self.residents.get(*key).is_some_and(idle);
        let old = self.order.values().enumerate().take_while(old).take(most);
        let old: Vec<K> = old.map(|(_, key)| key.clone()).collect();
        let (rests, busy): (Vec<K>, Vec<K>) = old.into_iter().partition(|key| may_rest(key));
        busy.iter().for_each(|key| self.touch(now, key));
        rests.iter().for_each(|key| self.remove(key));
        self.counts.rests += rests.len() as u64;
        rests
    }

    /// One is resident from here on whatever happens.
    pub fn pin(&mut self, key: &K) {
        self.leave_line(key);
        self.remove(key);
        self.pinned.insert(key.clone());
    }

    /// A pinned one is a resident like others.
    pub fn unpin(&mut self, now: Millis, key: &K) {
        if self.pinned.remove(key) {
            self.settle(now, key);
            self.counts.wakes -= 1; // it was awake
        }
    }

    /// One is no more: it neither waits nor is it resident.
    pub fn forget(&mut self, key: &K) {
        self.leave_line(key);
        self.remove(key);
        self.pinned.remove(key);
    }

    fn settle(&mut self, now: Millis, key: &K) {
        self.leave_line(key);
        self.residents.insert(
            key.clone(),
            Resident {
                used: self.next,
                since: now,
                last: now,
            },
        );
        self.order.insert(self.next, key.clone());
        self.next += 1;
        self.counts.wakes += 1;
    }

    fn touch(&mut self, now: Millis, key: &K) {
        let Some(resident) = self.residents.get_mut(key) else {
            return;
        };
        if let Some(key) = self.order.remove(&resident.used) {
            self.order.insert(self.next, key);
        }
        (resident.used, resident.last) = (self.next, now);
        self.next += 1;
    }

    fn remove(&mut self, key: &K) {
        if let Some(resident) = self.residents.remove(key) {
            self.order.remove(&resident.used);
        }
    }

    /// Gives a tenant a turn at the end of the line, or tells it anew of the one that it has.
    fn line_up(&mut self, now: Millis, key: &K) -> Wait {
        let places = self.places() as f64;
        let span = |ahead: usize| {
            (self.terms.least_stay * (1.0 + ahead as f64 / places)).clamp(1.0, LONGEST_WAIT)
        };
        let had = self.waiting.get(key).copied();
        if had.is_none() && self.line.len() >= self.terms.most_waiting {
            return Wait {
                span: span(self.line.len()),
                in_line: false,
            };
        }
        let ticket = had.map_or(self.next, |w| w.ticket);
        self.next += u64::from(had.is_none());
        let first = self
            .line
            .first_key_value()
            .map_or(ticket, |(first, _)| *first);
        // Tickets count asking and use alike: no more stand ahead than there are in the line.
        let span = span(self.line.len().min((ticket - first) as usize));
        let come_by = now + span + self.terms.hold;
        if let Some(had) = had {
            self.ends.remove(&(had.come_by.to_bits(), ticket));
        }
        self.ends.insert((come_by.to_bits(), ticket));
        self.line.insert(ticket, key.clone());
        self.waiting
            .insert(key.clone(), Waiting { ticket, come_by });
        Wait {
            span,
            in_line: true,
        }
    }

    fn leave_line(&mut self, key: &K) {
        if let Some(waiting) = self.waiting.remove(key) {
            self.line.remove(&waiting.ticket);
            self.ends
                .remove(&(waiting.come_by.to_bits(), waiting.ticket));
        }
    }

    /// Turns whose tenants have not come for them are others'.
    fn expire(&mut self, now: Millis) {
        while let Some((_, ticket)) = self
            .ends
            .first()
            .filter(|(end, _)| f64::from_bits(*end) < now)
            .copied()
        {
            match self.line.get(&ticket).cloned() {
                Some(key) => self.leave_line(&key),
                None => _ = self.ends.pop_first(),
            }
        }
    }
}
