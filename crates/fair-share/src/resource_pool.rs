//! Weighted fair sharing of a bounded resource that tenants acquire and release: connections, requests, bytes.
//!
//! There is no queue and no preemption, so a tenant that arrives while everything is allocated would have to wait for
//! others to release. Therefore an allocation beyond a tenant's fair share is bounded:
//!
//! - *Fair share*: the capacity, less the idle reserve while some tenants are idle, divided by weight among the active
//!   tenants. A tenant within its fair share gets any amount that is free and not reserved.
//! - *Reservation*: an amount kept free for an active tenant: its recent peak plus a quarter, at most its fair share,
//!   less its allocation. It grows only out of what is free and not reserved, so each reservation can be met.
//! - Beyond its fair share a tenant borrows what neither the idle reserve nor other tenants' reservations need.
//!
//! So a tenant with steady demand is never rejected, and capacity that no tenant has used recently is lent out. The borrowing limit
//! that moves with the free amount follows the dynamic thresholds for shared-memory switches (Choudhury and Hahne,
//! 1998); the reservations replace their constant.
//!
//! Invariants: `allocated`, `reserved` and `shortfall` of the pool are the sums over its tenants, and
//! `allocated + reserved` does not exceed the capacity unless tenants were added with allocations beyond it.

use crate::{Millis, TenantId};

/// Divisor of the recent peak that gives the headroom of a reservation above it.
const PEAK_HEADROOM_DIVISOR: u64 = 4;

/// Reason why a tenant was denied a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// The tenant would exceed its own limit, or it is unknown.
    LimitExceeded,
    /// The tenant would exceed its fair share, and the rest is reserved for others.
    FairShareExceeded,
    /// Too little is free.
    Exhausted,
}

#[derive(Clone, Debug, Default)]
struct TenantAllocation {
    weight: f64,
    limit: u64,
    allocated: u64,
    current_window_peak: u64,
    previous_window_peak: u64,
    /// True if the tenant has requested or held the resource recently.
    is_active: bool,
    /// Amount kept free for the tenant.
    reserved: u64,
    /// Amount that the reservation lacks because too little was free.
    shortfall: u64,
    /// False after the tenant was removed, while it may still hold an allocation.
    is_registered: bool,
}

impl TenantAllocation {
    fn recent_peak(&self) -> u64 {
        self.current_window_peak.max(self.previous_window_peak)
    }

    fn target_reservation(&self, fair_share: u64) -> u64 {
        if !self.is_active || !self.is_registered {
            return 0;
        }
        let peak = self.recent_peak();
        let expected = peak + peak / PEAK_HEADROOM_DIVISOR + 1;
        expected
            .min(fair_share)
            .min(self.limit)
            .saturating_sub(self.allocated)
    }
}

/// A bounded resource shared by tenants.
///
/// Acquiring and releasing cost a few operations. When a tenant becomes active or idle, the reservations of all active
/// tenants are recomputed.
#[derive(Clone, Debug)]
pub struct ResourcePool {
    capacity: u64,
    /// Amount that borrowers leave to idle tenants.
    idle_reserve: u64,
    tenants: Vec<TenantAllocation>,
    /// Indices of the active tenants.
    active: Vec<usize>,
    registered_count: usize,
    active_weight: f64,
    allocated: u64,
    reserved: u64,
    shortfall: u64,
    window_start: Millis,
}

impl ResourcePool {
    /// Length of the window over which peaks are taken; a peak counts for one to two windows.
    pub const PEAK_WINDOW: Millis = 5_000.0;

    /// Creates a pool with a capacity, of which borrowers leave a fraction (from 0 to 1) to idle tenants.
    pub fn new(capacity: u64, idle_reserve_ratio: f64) -> Self {
        let idle_reserve = (capacity as f64 * idle_reserve_ratio.clamp(0.0, 1.0)).round() as u64;
        ResourcePool {
            capacity,
            idle_reserve,
            tenants: Vec::new(),
            active: Vec::new(),
            registered_count: 0,
            active_weight: 0.0,
            allocated: 0,
            reserved: 0,
            shortfall: 0,
            window_start: 0.0,
        }
    }

    /// Adds a tenant or changes its weight and limit. A tenant above its new limit keeps its allocation.
    pub fn set_quota(&mut self, tenant: TenantId, weight: f64, limit: u64) {
        if self.tenants.len() <= tenant.0 {
            self.tenants
                .resize_with(tenant.0 + 1, TenantAllocation::default);
        }
        let entry = &mut self.tenants[tenant.0];
        self.registered_count += usize::from(!entry.is_registered);
        entry.is_registered = true;
        entry.weight = weight.max(f64::MIN_POSITIVE);
        entry.limit = limit;
        self.recompute_reservations();
    }

    /// Adds a tenant without a limit that already holds an allocation in a former pool.
    pub(crate) fn add_with_allocation(&mut self, tenant: TenantId, weight: f64, allocated: u64) {
        self.set_quota(tenant, weight, u64::MAX);
        let entry = &mut self.tenants[tenant.0];
        entry.allocated = allocated;
        entry.current_window_peak = allocated;
        entry.previous_window_peak = 0;
        entry.is_active = allocated > 0;
        self.allocated += allocated;
        if allocated > 0 {
            self.active.push(tenant.0);
            self.recompute_reservations();
        }
    }

    /// Removes a tenant. Its remaining allocation is released as usual.
    pub fn remove(&mut self, tenant: TenantId) {
        let Some(entry) = self.registered_mut(tenant) else {
            return;
        };
        entry.is_registered = false;
        entry.limit = 0;
        let became_idle = entry.allocated == 0 && entry.is_active;
        if became_idle {
            entry.is_active = false;
            self.active.retain(|index| *index != tenant.0);
        }
        self.registered_count -= 1;
        self.recompute_reservations();
    }

    /// Returns the capacity.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the amount allocated to all tenants.
    pub fn allocated(&self) -> u64 {
        self.allocated
    }

    /// Returns the amount allocated to a tenant.
    pub fn allocated_to(&self, tenant: TenantId) -> u64 {
        self.tenants
            .get(tenant.0)
            .map_or(0, |entry| entry.allocated)
    }

    /// Returns a tenant's current fair share, as if it were active.
    pub fn fair_share(&self, tenant: TenantId) -> u64 {
        let Some(entry) = self.tenants.get(tenant.0) else {
            return 0;
        };
        let joining_weight = if entry.is_active { 0.0 } else { entry.weight };
        let active_count = self.active.len() + usize::from(!entry.is_active);
        let total_weight = self.active_weight + joining_weight;
        let shared = self.capacity - self.effective_idle_reserve(active_count);
        (shared as f64 * entry.weight / total_weight.max(entry.weight)) as u64
    }

    /// Allocates an amount to a tenant.
    ///
    /// # Errors
    /// The reason for the denial; allocations are unchanged.
    pub fn acquire(
        &mut self,
        now: Millis,
        tenant: TenantId,
        amount: u64,
    ) -> Result<(), DenialReason> {
        self.advance_window(now);
        // A denied tenant becomes active too; otherwise the shares of the other tenants would never shrink in its favor.
        self.activate(tenant);
        self.check(now, tenant, amount)?;
        let entry = &mut self.tenants[tenant.0];
        let from_reservation = amount.min(entry.reserved);
        entry.reserved -= from_reservation;
        entry.allocated += amount;
        entry.current_window_peak = entry.current_window_peak.max(entry.allocated);
        self.reserved -= from_reservation;
        self.allocated += amount;
        self.update_reservation(tenant.0);
        Ok(())
    }

    /// Checks that a tenant could acquire an amount now. This activates no tenant and changes no share.
    ///
    /// # Errors
    /// The reason for the denial.
    pub fn check(
        &mut self,
        now: Millis,
        tenant: TenantId,
        amount: u64,
    ) -> Result<(), DenialReason> {
        self.advance_window(now);
        let entry = self.tenants.get(tenant.0);
        let Some(entry) = entry.filter(|entry| entry.is_registered) else {
            return Err(DenialReason::LimitExceeded);
        };
        let new_allocation = entry.allocated.saturating_add(amount);
        if new_allocation > entry.limit {
            return Err(DenialReason::LimitExceeded);
        }
        if amount > self.capacity.saturating_sub(self.allocated) {
            return Err(DenialReason::Exhausted);
        }
        // While no tenant borrows, fair shares and reservations fit into the capacity. So a tenant within its fair share
        // is denied only while others still have borrowed capacity allocated.
        let is_borrowing = new_allocation > self.fair_share(tenant);
        let kept_for_others = if is_borrowing {
            self.effective_idle_reserve(self.active.len()) + self.shortfall
        } else {
            0
        };
        let from_unreserved = amount - amount.min(entry.reserved);
        if from_unreserved > self.unreserved().saturating_sub(kept_for_others) {
            return Err(DenialReason::FairShareExceeded);
        }
        Ok(())
    }

    /// Releases an amount, at most the tenant's allocation.
    pub fn release(&mut self, tenant: TenantId, amount: u64) {
        let Some(entry) = self.tenants.get_mut(tenant.0) else {
            return;
        };
        let released = amount.min(entry.allocated);
        entry.allocated -= released;
        self.allocated -= released;
        self.update_reservation(tenant.0);
    }

    fn registered_mut(&mut self, tenant: TenantId) -> Option<&mut TenantAllocation> {
        let entry = self.tenants.get_mut(tenant.0)?;
        entry.is_registered.then_some(entry)
    }

    fn activate(&mut self, tenant: TenantId) {
        let Some(entry) = self.registered_mut(tenant) else {
            return;
        };
        if entry.is_active {
            return;
        }
        entry.is_active = true;
        self.active.push(tenant.0);
        self.recompute_reservations();
    }

    /// Returns the amount kept for idle tenants while `active_count` tenants are active.
    fn effective_idle_reserve(&self, active_count: usize) -> u64 {
        if active_count < self.registered_count {
            self.idle_reserve
        } else {
            0
        }
    }

    /// Returns the amount that is free and not reserved.
    fn unreserved(&self) -> u64 {
        (self.capacity - self.allocated).saturating_sub(self.reserved)
    }

    /// Adjusts one tenant's reservation; it grows only out of what is free and not reserved.
    fn update_reservation(&mut self, index: usize) {
        let fair_share = self.fair_share(TenantId(index));
        let unreserved = self.unreserved();
        let entry = &mut self.tenants[index];
        let target = entry.target_reservation(fair_share);
        self.reserved -= entry.reserved;
        entry.reserved = target.min(entry.reserved + unreserved);
        self.reserved += entry.reserved;
        self.shortfall -= entry.shortfall;
        entry.shortfall = target - entry.reserved;
        self.shortfall += entry.shortfall;
    }

    /// Recomputes the weight sum and all reservations after the set of active tenants or their quotas changed.
    fn recompute_reservations(&mut self) {
        let active_weights = self.active.iter().map(|index| self.tenants[*index].weight);
        self.active_weight = active_weights.sum();
        for index in 0..self.tenants.len() {
            let entry = &self.tenants[index];
            if !entry.is_active && entry.reserved + entry.shortfall > 0 {
                self.update_reservation(index);
            }
        }
        // The second round distributes what the first one freed, so that the order of the tenants does not matter.
        for _round in 0..2 {
            for position in 0..self.active.len() {
                self.update_reservation(self.active[position]);
            }
        }
    }

    /// Starts a new peak window when the current one is over: former peaks age, and tenants without allocations become
    /// idle. It runs on the next call after the window's end; there is no timer.
    fn advance_window(&mut self, now: Millis) {
        if now < self.window_start + Self::PEAK_WINDOW {
            return;
        }
        let skipped_a_window = now >= self.window_start + 2.0 * Self::PEAK_WINDOW;
        self.window_start = now;
        for index in std::mem::take(&mut self.active) {
            let entry = &mut self.tenants[index];
            entry.previous_window_peak = if skipped_a_window {
                entry.allocated
            } else {
                entry.current_window_peak
            };
            entry.current_window_peak = entry.allocated;
            entry.is_active = entry.recent_peak() > 0;
            if entry.is_active {
                self.active.push(index);
            }
        }
        self.recompute_reservations();
    }
}
