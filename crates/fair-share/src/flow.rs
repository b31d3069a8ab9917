//! Work that tenants cause and that cannot be given back: time of the event loop.
//!
//! The work that each tenant has caused is laid out as if an ideal server did it at the given rate, dividing itself by
//! weight among the tenants whose work is not done yet (generalized processor sharing; Parekh and Gallager, 1993; the
//! virtual time is that of weighted fair queueing, Demers, Keshav and Shenker, 1989). A tenant's *backlog* is its work
//! that this server would still have before it. Nothing waits: a tenant whose backlog is over its burst is turned away
//! until it has shrunk, so that each gets its share, the unused part of others' shares goes to whoever asks, by weight,
//! and a tenant that was idle may at once cause a burst. An idle tenant costs nothing.

use std::collections::BTreeSet;

use crate::{Millis, Tenant};

/// A tenant's terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Its part of the rate, beside the others' weights.
    pub weight: f64,
    /// Backlog up to which it is let in, in ms of work.
    pub burst: Millis,
    /// The most it may use of the rate, from 0 to 1, however idle the others are.
    pub cap: f64,
}

/// A tag or a virtual time: not NaN, not negative, so that its bits sort as it does.
fn bits(tag: f64) -> u64 {
    tag.to_bits()
}

#[derive(Clone, Debug)]
struct Payer {
    terms: Terms,
    /// The virtual time at which its work is done.
    finish: f64,
    /// Its own account where it is capped below the whole rate: work caused, less what the cap allowed since.
    over_cap: Millis,
    at: Millis,
}

/// The work of all tenants. An operation costs O(log n) for n tenants that have a backlog.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Work that is done in a ms, in ms.
    rate: f64,
    payers: Vec<Option<Payer>>,
    /// Those with a backlog, by when it is done.
    busy: BTreeSet<(u64, usize)>,
    weight: f64,
    virtual_time: f64,
    at: Millis,
}

/// Beyond this, virtual time starts anew when nobody has a backlog: here a thousandth of a us still counts.
const COARSE: f64 = 1e9;
/// A backlog is counted up to so many bursts: turning away costs work too, and a flood must end some time.
const MOST_BURSTS: f64 = 4.0;

impl Flow {
    /// A flow at a rate, in ms of work per ms.
    pub fn new(rate: f64) -> Self {
        Flow {
            rate: rate.max(1e-6),
            payers: Vec::new(),
            busy: BTreeSet::new(),
            weight: 0.0,
            virtual_time: 0.0,
            at: 0.0,
        }
    }

    /// Adds a tenant or changes its terms; its backlog stays.
    pub fn set(&mut self, now: Millis, tenant: Tenant, terms: Terms) {
        self.advance(now);
        if self.payers.len() <= tenant.0 {
            self.payers.resize(tenant.0 + 1, None);
        }
        let weight = terms.weight.max(1e-9);
        let terms = Terms {
            weight,
            burst: terms.burst.max(0.0),
            cap: terms.cap.clamp(1e-6, 1.0),
        };
        let backlog = self.backlog(tenant);
        self.leave(tenant.0);
        let over_cap = self.payers[tenant.0].as_ref().map_or(0.0, |p| p.over_cap);
        let payer = Payer {
            terms,
            finish: self.virtual_time,
            over_cap,
            at: now,
        };
        self.payers[tenant.0] = Some(payer);
        self.join(tenant.0, backlog);
    }

    /// Forgets a tenant and its backlog.
    pub fn remove(&mut self, tenant: Tenant) {
        self.leave(tenant.0);
        if let Some(payer) = self.payers.get_mut(tenant.0) {
            *payer = None;
        }
    }

    /// Takes a tenant out of the busy ones.
    fn leave(&mut self, place: usize) {
        let Some(Some(payer)) = self.payers.get(place) else {
            return;
        };
        if self.busy.remove(&(bits(payer.finish), place)) {
            self.weight -= payer.terms.weight;
        }
        if self.busy.is_empty() {
            self.weight = 0.0; // and with it what sums of fractions left behind
        }
    }

    /// Lays out work for a tenant that is not among the busy ones.
    fn join(&mut self, place: usize, work: Millis) {
        let start = self.virtual_time;
        let Some(Some(payer)) = self.payers.get_mut(place) else {
            return;
        };
        payer.finish = start + work / payer.terms.weight;
        if payer.finish > start {
            self.busy.insert((bits(payer.finish), place));
            self.weight += payer.terms.weight;
        }
    }

    /// Does the work of the time that has passed.
    fn advance(&mut self, now: Millis) {
        let mut work = (now - self.at).max(0.0) * self.rate;
        self.at = self.at.max(now);
        while let Some((finish, place)) = self.busy.first().copied() {
            let finish = f64::from_bits(finish);
            let until = (finish - self.virtual_time) * self.weight;
            if until > work {
                self.virtual_time += work / self.weight;
                return;
            }
            work -= until.max(0.0);
            self.virtual_time = finish;
            self.leave(place);
        }
        // Nobody has a backlog: virtual time may start anew, lest it grow so large that it turns coarse.
        if self.virtual_time > COARSE {
            self.virtual_time = 0.0;
            self.payers
                .iter_mut()
                .flatten()
                .for_each(|p| p.finish = 0.0);
        }
    }

    /// A tenant's backlog in ms of work, as of the last call with a time.
    pub fn backlog(&self, tenant: Tenant) -> Millis {
        let Some(Some(payer)) = self.payers.get(tenant.0) else {
            return 0.0;
        };
        (payer.finish - self.virtual_time).max(0.0) * payer.terms.weight
    }

    /// Whether a tenant may cause work now.
    ///
    /// # Errors
    /// It is over its share: in how many ms it will not be, if the others go on as now.
    pub fn admit(&mut self, now: Millis, tenant: Tenant) -> Result<(), Millis> {
        self.advance(now);
        let backlog = self.backlog(tenant);
        let Some(Some(payer)) = self.payers.get_mut(tenant.0) else {
            return Err(f64::INFINITY);
        };
        payer.age(now, self.rate);
        let Terms { weight, burst, cap } = payer.terms;
        let over = (backlog - burst).max(0.0) * self.weight.max(weight) / (weight * self.rate);
        let over_cap = (payer.over_cap - burst).max(0.0) / (cap * self.rate);
        let wait = over.max(over_cap);
        if wait > 0.0 { Err(wait) } else { Ok(()) }
    }

    /// Counts work that a tenant has caused, let in or not, in ms.
    pub fn charge(&mut self, now: Millis, tenant: Tenant, work: Millis) {
        self.advance(now);
        let backlog = self.backlog(tenant);
        let Some(Some(payer)) = self.payers.get_mut(tenant.0) else {
            return;
        };
        payer.age(now, self.rate);
        let most = MOST_BURSTS * payer.terms.burst.max(work);
        if payer.terms.cap < 1.0 {
            payer.over_cap = (payer.over_cap + work).min(most);
        }
        let backlog = (backlog + work).min(most.max(backlog));
        self.leave(tenant.0);
        self.join(tenant.0, backlog);
    }
}

impl Payer {
    /// Lets the account of a capped tenant shrink as its cap allows.
    fn age(&mut self, now: Millis, rate: f64) {
        let passed = (now - self.at).max(0.0);
        self.over_cap = (self.over_cap - passed * self.terms.cap * rate).max(0.0);
        self.at = self.at.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Tenant = Tenant(0);
    const B: Tenant = Tenant(1);

    fn flow(weights: &[f64]) -> Flow {
        let mut flow = Flow::new(1.0);
        for (i, &weight) in weights.iter().enumerate() {
            flow.set(
                0.0,
                Tenant(i),
                Terms {
                    weight,
                    burst: 10.0,
                    cap: 1.0,
                },
            );
        }
        flow
    }

    /// Each asks as often as it can, `every` ms; what each got done until `end`.
    fn race(flow: &mut Flow, every: &[f64], work: f64, end: f64) -> Vec<f64> {
        let (mut done, mut next) = (vec![0.0; every.len()], vec![0.0f64; every.len()]);
        loop {
            let (i, at) = next
                .iter()
                .copied()
                .enumerate()
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .unwrap();
            if at >= end {
                return done;
            }
            next[i] += every[i];
            if flow.admit(at, Tenant(i)).is_ok() {
                flow.charge(at, Tenant(i), work);
                done[i] += work;
            }
        }
    }

    #[test]
    fn greedy_tenants_get_their_weights_and_nothing_is_left() {
        let done = race(&mut flow(&[1.0, 3.0]), &[0.01, 0.01], 0.05, 4000.0);
        assert!(
            (done[0] / 1000.0 - 1.0).abs() < 0.02 && (done[1] / 3000.0 - 1.0).abs() < 0.02,
            "{done:?}"
        );
    }

    #[test]
    fn what_one_leaves_goes_to_the_others_by_weight() {
        // The third asks for a tenth of the rate and has a right to a third.
        let done = race(
            &mut flow(&[1.0, 2.0, 1.5]),
            &[0.01, 0.01, 0.5],
            0.05,
            4000.0,
        );
        assert!((done[2] / 400.0 - 1.0).abs() < 0.01, "{done:?}");
        assert!(
            (done[0] / 1200.0 - 1.0).abs() < 0.03 && (done[1] / 2400.0 - 1.0).abs() < 0.03,
            "{done:?}"
        );
    }

    #[test]
    fn one_that_was_idle_may_burst_and_is_told_when_to_come_back() {
        let mut flow = flow(&[1.0, 1.0]);
        race(&mut flow, &[0.01], 0.05, 1000.0);
        for _ in 0..90 {
            assert_eq!(flow.admit(1000.0, B), Ok(()));
            flow.charge(1000.0, B, 0.11);
        }
        flow.charge(1000.0, B, 1.1);
        let wait = flow.admit(1000.0, B).unwrap_err();
        assert!(
            (wait - 2.0).abs() < 0.1,
            "1 ms over, at half the rate: {wait}"
        );
        assert!(flow.admit(1000.0 + wait + 0.1, B).is_ok());
    }

    #[test]
    fn a_cap_holds_while_all_else_is_idle() {
        let mut flow = Flow::new(1.0);
        flow.set(
            0.0,
            A,
            Terms {
                weight: 1.0,
                burst: 5.0,
                cap: 0.25,
            },
        );
        let done = race(&mut flow, &[0.01], 0.05, 4000.0);
        assert!((done[0] - 1005.0).abs() < 1.0, "{done:?}");
    }

    #[test]
    fn a_flood_that_is_turned_away_ends_and_a_stranger_never_gets_in() {
        let mut flow = flow(&[1.0, 1.0]);
        (0..100_000).for_each(|_| flow.charge(0.0, A, 0.1));
        assert_eq!(flow.backlog(A), 40.0);
        assert!(flow.admit(41.0, A).is_ok());
        assert_eq!(flow.admit(0.0, Tenant(9)), Err(f64::INFINITY));
        flow.remove(A);
        assert_eq!((flow.backlog(A), flow.weight), (0.0, 0.0));
    }
}
