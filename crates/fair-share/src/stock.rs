//! A bounded stock of things that tenants hold for a while and give back: sockets, requests in flight, bytes.
//!
//! There is no queue and nothing is taken away, so that a tenant that comes when all is held would have to wait for
//! others to give back. Therefore a tenant gets no more than its fair share where others may want theirs:
//!
//! - *Fair share*: the capacity, less a part for newcomers while some tenants are idle, divided by weight among the
//!   tenants that have held something lately. Up to it a tenant gets whatever is free and not claimed.
//! - *Claim*: what is kept free for an active tenant: its peak of late and a quarter more, at most its fair share, less
//!   what it holds. It grows only out of what is free and not claimed, so that each claim can be met.
//! - Beyond its fair share a tenant borrows, of what neither newcomers nor others' rights need.
//!
//! So a steady tenant finds what it had, whatever the others do, and what nobody has used lately is lent out. The idea
//! of a threshold that moves with what is free is that of dynamic thresholds for shared-memory switches (Choudhury and
//! Hahne, 1998); the claims take the place of their constant.

use crate::{Millis, Tenant};

/// A peak is remembered for one to two of these spans.
const WINDOW: Millis = 5_000.0;

/// Why a tenant did not get what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// It would hold more than its own cap.
    Cap,
    /// It holds its share, and the rest is others'.
    Share,
    /// Nothing is free.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    weight: f64,
    cap: u64,
    held: u64,
    /// The most it held in this window and in the one before.
    peaks: [u64; 2],
    active: bool,
    /// What is kept free for it, and what of its right to more could not be met yet; counted in the stock's sums.
    claim: u64,
    lacks: u64,
    /// Its place is taken.
    there: bool,
}

impl Holder {
    fn peak(&self) -> u64 {
        self.peaks[0].max(self.peaks[1])
    }
}

/// A stock shared by tenants. Taking and giving cost a few operations; when a tenant becomes active or idle the claims
/// of all active ones are counted anew.
#[derive(Clone, Debug)]
pub struct Stock {
    capacity: u64,
    newcomers: u64,
    holders: Vec<Holder>,
    /// Places of the active tenants.
    active: Vec<usize>,
    /// How many tenants there are.
    tenants: usize,
    weight: f64,
    held: u64,
    claims: u64,
    lacking: u64,
    window: Millis,
}

impl Stock {
    /// A stock of so many, with a part of it (from 0 to 1) that borrowers leave to newcomers.
    pub fn new(capacity: u64, newcomers: f64) -> Self {
        let newcomers = (capacity as f64 * newcomers.clamp(0.0, 1.0)).round() as u64;
        Stock {
            capacity,
            newcomers,
            holders: Vec::new(),
            active: Vec::new(),
            tenants: 0,
            weight: 0.0,
            held: 0,
            claims: 0,
            lacking: 0,
            window: 0.0,
        }
    }

    /// Adds a tenant or changes its terms. One that holds more than a new cap keeps it and gets nothing more.
    pub fn set(&mut self, tenant: Tenant, weight: f64, cap: u64) {
        if self.holders.len() <= tenant.0 {
            self.holders.resize_with(tenant.0 + 1, Holder::default);
        }
        let holder = &mut self.holders[tenant.0];
        self.tenants += usize::from(!holder.there);
        (holder.there, holder.weight, holder.cap) = (true, weight.max(f64::MIN_POSITIVE), cap);
        self.count();
    }

    /// Adds a tenant that holds some already, as when a stock is made anew.
    pub(crate) fn inherit(&mut self, tenant: Tenant, weight: f64, held: u64) {
        self.set(tenant, weight, u64::MAX);
        let holder = &mut self.holders[tenant.0];
        (holder.held, holder.peaks, holder.active) = (held, [held, 0], held > 0);
        self.held += held;
        if held > 0 {
            self.active.push(tenant.0);
            self.count();
        }
    }

    /// Forgets a tenant; what it still holds is given back as ever.
    pub fn remove(&mut self, tenant: Tenant) {
        let Some(holder) = self.holders.get_mut(tenant.0).filter(|h| h.there) else {
            return;
        };
        (holder.there, holder.cap) = (false, 0);
        self.tenants -= 1;
        if holder.held == 0 && holder.active {
            holder.active = false;
            self.active.retain(|i| *i != tenant.0);
        }
        self.count();
    }

    /// How many there are.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// How many are held in all.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// How many a tenant holds.
    pub fn held_by(&self, tenant: Tenant) -> u64 {
        self.holders.get(tenant.0).map_or(0, |h| h.held)
    }

    /// A tenant's fair share now, were it active.
    pub fn fair(&self, tenant: Tenant) -> u64 {
        let Some(holder) = self.holders.get(tenant.0) else {
            return 0;
        };
        let joins = if holder.active { 0.0 } else { holder.weight };
        let actives = self.active.len() + usize::from(!holder.active);
        self.part(holder.weight, self.weight + joins, actives)
    }

    /// The share of one of so many active tenants.
    fn part(&self, weight: f64, sum: f64, actives: usize) -> u64 {
        let kept = if actives < self.tenants {
            self.newcomers
        } else {
            0
        };
        ((self.capacity - kept) as f64 * weight / sum.max(weight)) as u64
    }

    /// Takes some for a tenant.
    ///
    /// # Errors
    /// Why it may not have them now; nothing has changed then.
    pub fn take(&mut self, now: Millis, tenant: Tenant, amount: u64) -> Result<(), Lack> {
        self.roll(now);
        // Who asks is active, whether it gets something or not: otherwise one that is shut out stays shut out.
        if let Some(holder) = self
            .holders
            .get_mut(tenant.0)
            .filter(|h| h.there && !h.active)
        {
            holder.active = true;
            self.active.push(tenant.0);
            self.count();
        }
        self.check(now, tenant, amount)?;
        let holder = &mut self.holders[tenant.0];
        let claimed = amount.min(holder.claim);
        holder.claim -= claimed;
        self.claims -= claimed;
        holder.held += amount;
        holder.peaks[0] = holder.peaks[0].max(holder.held);
        self.held += amount;
        self.claim(tenant.0);
        Ok(())
    }

    /// Whether a tenant would get some now. To ask this makes nobody active, and changes nobody's share.
    ///
    /// # Errors
    /// Why it would not.
    pub fn check(&mut self, now: Millis, tenant: Tenant, amount: u64) -> Result<(), Lack> {
        self.roll(now);
        let Some(holder) = self.holders.get(tenant.0).filter(|h| h.there) else {
            return Err(Lack::Cap);
        };
        let held = holder.held.saturating_add(amount);
        if held > holder.cap {
            return Err(Lack::Cap);
        }
        let free = self.capacity.saturating_sub(self.held);
        if amount > free {
            return Err(Lack::Full);
        }
        // Its own claim first. With nobody beyond its share, shares and claims fit into the capacity, so that one within
        // its own is only turned away while others still hold what they have borrowed.
        let claimed = amount.min(self.holders[tenant.0].claim);
        let borrows = held > self.fair(tenant);
        // Borrowers leave alone what others have a right to and lack, and what newcomers will need.
        let newcomers = if self.active.len() < self.tenants {
            self.newcomers
        } else {
            0
        };
        let left = if borrows { newcomers + self.lacking } else { 0 };
        if amount - claimed > self.unclaimed().saturating_sub(left) {
            return Err(Lack::Share);
        }
        Ok(())
    }

    /// Gives back what was taken; at most what the tenant holds.
    pub fn give(&mut self, tenant: Tenant, amount: u64) {
        let Some(holder) = self.holders.get_mut(tenant.0) else {
            return;
        };
        let amount = amount.min(holder.held);
        holder.held -= amount;
        self.held -= amount;
        self.claim(tenant.0);
    }

    /// What is free and nobody has a claim to.
    fn unclaimed(&self) -> u64 {
        (self.capacity - self.held).saturating_sub(self.claims)
    }

    /// Brings one tenant's claim to what it has a right to; it grows only by what nobody else has a claim to.
    fn claim(&mut self, place: usize) {
        let (fair, unclaimed) = (self.fair(Tenant(place)), self.unclaimed());
        let holder = &mut self.holders[place];
        let wanted = if holder.active && holder.there {
            let wanted = holder.peak() + holder.peak() / 4 + 1;
            wanted.min(fair).min(holder.cap).saturating_sub(holder.held)
        } else {
            0
        };
        self.claims -= holder.claim;
        holder.claim = wanted.min(holder.claim + unclaimed);
        self.claims += holder.claim;
        self.lacking -= holder.lacks;
        holder.lacks = wanted - holder.claim;
        self.lacking += holder.lacks;
    }

    /// Counts the weights and all claims anew, after a change of who is active.
    fn count(&mut self) {
        self.weight = self.active.iter().map(|i| self.holders[*i].weight).sum();
        for place in 0..self.holders.len() {
            if !self.holders[place].active
                && self.holders[place].claim + self.holders[place].lacks > 0
            {
                self.claim(place);
            }
        }
        // Twice: what the first round gave up, the second hands on, whatever the order.
        for at in (0..self.active.len()).chain(0..self.active.len()) {
            self.claim(self.active[at]);
        }
    }

    /// Lets peaks age, and tenants that held nothing for a whole window become idle. No timer does it: whoever asks next.
    fn roll(&mut self, now: Millis) {
        if now < self.window + WINDOW {
            return;
        }
        let both = now >= self.window + 2.0 * WINDOW;
        self.window = now;
        for place in std::mem::take(&mut self.active) {
            let holder = &mut self.holders[place];
            holder.peaks = [
                holder.held,
                if both { holder.held } else { holder.peaks[0] },
            ];
            holder.active = holder.peak() > 0;
            if holder.active {
                self.active.push(place);
            }
        }
        self.count();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Tenant = Tenant(0);
    const B: Tenant = Tenant(1);

    fn greedy(stock: &mut Stock, now: Millis, tenant: Tenant) -> Lack {
        loop {
            if let Err(lack) = stock.take(now, tenant, 1) {
                return lack;
            }
        }
    }

    #[test]
    fn one_alone_gets_all_but_the_newcomers_part() {
        let mut stock = Stock::new(160, 1.0 / 16.0);
        stock.set(A, 1.0, u64::MAX);
        stock.set(B, 1.0, u64::MAX);
        assert_eq!(greedy(&mut stock, 0.0, A), Lack::Share);
        assert_eq!(stock.held_by(A), 150);
        // The newcomer starts at once with what was left to it, and grows as the other gives back.
        assert_eq!(greedy(&mut stock, 1.0, B), Lack::Full);
        assert_eq!(stock.held_by(B), 10);
        for _ in 0..150 {
            stock.give(A, 1);
            let _ = stock.take(2.0, A, 1); // as greedy as ever
            let _ = stock.take(2.0, B, 1);
        }
        assert_eq!((stock.held_by(A), stock.held_by(B)), (80, 80));
    }

    #[test]
    fn with_no_tenant_idle_nothing_is_left_unused() {
        let mut stock = Stock::new(100, 0.1);
        stock.set(A, 1.0, u64::MAX);
        assert_eq!(greedy(&mut stock, 0.0, A), Lack::Full);
        assert_eq!(stock.held(), 100);
    }

    #[test]
    fn a_steady_tenant_finds_what_it_had_of_late_and_what_it_never_used_is_lent() {
        let mut stock = Stock::new(100, 0.0);
        stock.set(A, 1.0, u64::MAX);
        stock.set(B, 1.0, u64::MAX);
        (0..20).for_each(|_| stock.take(0.0, B, 1).unwrap());
        (0..20).for_each(|_| stock.give(B, 1));
        assert_eq!(greedy(&mut stock, 1.0, A), Lack::Share);
        assert_eq!(
            stock.held_by(A),
            74,
            "26 are kept: a quarter more than the 20, and one"
        );
        (0..26).for_each(|_| stock.take(2.0, B, 1).unwrap());
        (0..26).for_each(|_| stock.give(B, 1));
        // Two windows later nothing is known of it any more.
        let later = 3.0 * WINDOW;
        stock.take(WINDOW + 1.0, A, 1).unwrap_err();
        assert_eq!(greedy(&mut stock, later, A), Lack::Full);
    }

    #[test]
    fn a_cap_holds_and_may_be_lowered_below_what_is_held() {
        let mut stock = Stock::new(100, 0.0);
        stock.set(A, 1.0, 10);
        assert_eq!(greedy(&mut stock, 0.0, A), Lack::Cap);
        stock.set(A, 1.0, 4);
        stock.give(A, 5);
        assert_eq!(
            (stock.held_by(A), stock.take(0.0, A, 1)),
            (5, Err(Lack::Cap))
        );
        stock.give(A, 2);
        assert_eq!(stock.take(0.0, A, 1), Ok(()));
    }

    #[test]
    fn a_removed_tenant_gives_back_and_gets_nothing() {
        let mut stock = Stock::new(10, 0.0);
        stock.set(A, 1.0, u64::MAX);
        stock.take(0.0, A, 4).unwrap();
        stock.remove(A);
        assert_eq!(stock.take(0.0, A, 1), Err(Lack::Cap));
        stock.give(A, 9);
        assert_eq!(stock.held(), 0);
        assert_eq!(
            stock.take(0.0, Tenant(7), 1),
            Err(Lack::Cap),
            "nobody knows it"
        );
    }
}
