//! Weighted sharing of work that cannot be given back, such as event-loop time.
//!
//! Each tenant's work is accounted as if an ideal server processed it at a fixed rate, divided by weight among the
//! tenants with unfinished work (generalized processor sharing; Parekh and Gallager, 1993). Virtual time is that of
//! weighted fair queueing (Demers, Keshav and Shenker, 1989). A tenant's *backlog* is the work that the ideal server
//! has not yet processed.
//!
//! Nothing is queued: a tenant whose backlog exceeds its burst is rejected until the backlog has shrunk. So each tenant
//! gets its share, unused shares go to the others by weight, and a tenant that was idle may use a burst at once.

use std::collections::BTreeSet;

use crate::{Millis, TenantId};

/// Virtual time above which it restarts from 0 once no tenant has a backlog; below it, `f64` resolves a thousandth
/// of a microsecond.
const MAX_VIRTUAL_TIME: f64 = 1e9;
/// Bound of a tenant's backlog, in bursts, so that a rejected flood ends within a bounded time.
const MAX_BACKLOG_BURSTS: f64 = 4.0;
/// Lower bound of the rate and of a tenant's cap, which are divisors.
const MIN_RATE: f64 = 1e-6;
/// Lower bound of a tenant's weight, which is a divisor.
const MIN_WEIGHT: f64 = 1e-9;

/// A tenant's weight, burst and cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateQuota {
    /// Weight of the tenant's share of the rate, relative to the other tenants' weights.
    pub weight: f64,
    /// Maximum backlog with which the tenant is admitted, in ms of work.
    pub burst: Millis,
    /// Maximum fraction of the rate, from 0 to 1, that the tenant may use while the others are idle.
    pub max_rate_ratio: f64,
}

#[derive(Clone, Debug)]
struct TenantBacklog {
    quota: RateQuota,
    /// Virtual time at which the tenant's work is finished.
    finish_time: f64,
    /// Work beyond what `max_rate_ratio` has allowed; stays 0 for a tenant without a cap.
    work_over_cap: Millis,
    /// Time up to which `work_over_cap` has been reduced.
    cap_updated_at: Millis,
}

impl TenantBacklog {
    fn reduce_work_over_cap(&mut self, now: Millis, rate: f64) {
        let elapsed = (now - self.cap_updated_at).max(0.0);
        let allowed = elapsed * self.quota.max_rate_ratio * rate;
        self.work_over_cap = (self.work_over_cap - allowed).max(0.0);
        self.cap_updated_at = self.cap_updated_at.max(now);
    }
}

/// A finish time as a key that sorts in the same order: the bits of an `f64` that is neither NaN nor negative.
fn sort_key(finish_time: f64) -> u64 {
    finish_time.to_bits()
}

/// The backlogs of all tenants at an ideal processor-sharing server.
///
/// An operation costs O(log n) for n tenants with a backlog. An idle tenant costs nothing.
#[derive(Clone, Debug)]
pub struct ProcessorSharing {
    /// Work processed per ms, in ms.
    rate: f64,
    tenants: Vec<Option<TenantBacklog>>,
    /// Tenants with a backlog, by the sort key of their finish time.
    backlogged: BTreeSet<(u64, usize)>,
    /// Sum of the weights of `backlogged`.
    backlogged_weight: f64,
    virtual_time: f64,
    updated_at: Millis,
}

impl ProcessorSharing {
    /// Creates a server with a rate in ms of work per ms.
    pub fn new(rate: f64) -> Self {
        ProcessorSharing {
            rate: rate.max(MIN_RATE),
            tenants: Vec::new(),
            backlogged: BTreeSet::new(),
            backlogged_weight: 0.0,
            virtual_time: 0.0,
            updated_at: 0.0,
        }
    }

    /// Adds a tenant or changes its quota; its backlog is kept.
    pub fn set_quota(&mut self, now: Millis, tenant: TenantId, quota: RateQuota) {
        self.advance(now);
        if self.tenants.len() <= tenant.0 {
            self.tenants.resize(tenant.0 + 1, None);
        }
        let backlog = self.backlog(tenant);
        self.clear_backlog(tenant.0);
        let work_over_cap = self.tenants[tenant.0]
            .as_ref()
            .map_or(0.0, |former| former.work_over_cap);
        self.tenants[tenant.0] = Some(TenantBacklog {
            quota: RateQuota {
                weight: quota.weight.max(MIN_WEIGHT),
                burst: quota.burst.max(0.0),
                max_rate_ratio: quota.max_rate_ratio.clamp(MIN_RATE, 1.0),
            },
            finish_time: self.virtual_time,
            work_over_cap,
            cap_updated_at: now,
        });
        self.set_backlog(tenant.0, backlog);
    }

    /// Removes a tenant and its backlog.
    pub fn remove(&mut self, tenant: TenantId) {
        self.clear_backlog(tenant.0);
        if let Some(entry) = self.tenants.get_mut(tenant.0) {
            *entry = None;
        }
    }

    /// Returns a tenant's backlog in ms of work, as of the last call with a time.
    pub fn backlog(&self, tenant: TenantId) -> Millis {
        let Some(Some(entry)) = self.tenants.get(tenant.0) else {
            return 0.0;
        };
        (entry.finish_time - self.virtual_time).max(0.0) * entry.quota.weight
    }

    /// Returns the sum of the weights of all tenants with a backlog.
    pub fn backlogged_weight(&self) -> f64 {
        self.backlogged_weight
    }

    /// Admits a tenant that is within its share.
    ///
    /// # Errors
    /// The estimated time until the tenant is within its share again, if the others go on as now; infinite for an
    /// unknown tenant.
    pub fn admit(&mut self, now: Millis, tenant: TenantId) -> Result<(), Millis> {
        self.advance(now);
        let backlog = self.backlog(tenant);
        let Some(Some(entry)) = self.tenants.get_mut(tenant.0) else {
            return Err(f64::INFINITY);
        };
        entry.reduce_work_over_cap(now, self.rate);
        let RateQuota {
            weight,
            burst,
            max_rate_ratio,
        } = entry.quota;
        let share_wait =
            (backlog - burst).max(0.0) * self.backlogged_weight.max(weight) / (weight * self.rate);
        let cap_wait = (entry.work_over_cap - burst).max(0.0) / (max_rate_ratio * self.rate);
        let wait = share_wait.max(cap_wait);
        if wait > 0.0 { Err(wait) } else { Ok(()) }
    }

    /// Charges a tenant for work in ms that it has caused, admitted or not.
    pub fn charge(&mut self, now: Millis, tenant: TenantId, work: Millis) {
        self.advance(now);
        let backlog = self.backlog(tenant);
        let Some(Some(entry)) = self.tenants.get_mut(tenant.0) else {
            return;
        };
        entry.reduce_work_over_cap(now, self.rate);
        let max_backlog = MAX_BACKLOG_BURSTS * entry.quota.burst.max(work);
        if entry.quota.max_rate_ratio < 1.0 {
            entry.work_over_cap = (entry.work_over_cap + work).min(max_backlog);
        }
        let new_backlog = (backlog + work).min(max_backlog.max(backlog));
        self.clear_backlog(tenant.0);
        self.set_backlog(tenant.0, new_backlog);
    }

    /// Removes a tenant from the backlogged ones.
    fn clear_backlog(&mut self, index: usize) {
        let Some(Some(entry)) = self.tenants.get(index) else {
            return;
        };
        if self
            .backlogged
            .remove(&(sort_key(entry.finish_time), index))
        {
            self.backlogged_weight -= entry.quota.weight;
        }
        if self.backlogged.is_empty() {
            // Drops the rounding error that the sum has accumulated.
            self.backlogged_weight = 0.0;
        }
    }

    /// Schedules work of a tenant that has no backlog.
    fn set_backlog(&mut self, index: usize, work: Millis) {
        let start_time = self.virtual_time;
        let Some(Some(entry)) = self.tenants.get_mut(index) else {
            return;
        };
        entry.finish_time = start_time + work / entry.quota.weight;
        if entry.finish_time > start_time {
            self.backlogged.insert((sort_key(entry.finish_time), index));
            self.backlogged_weight += entry.quota.weight;
        }
    }

    /// Processes the work of the time that has passed.
    fn advance(&mut self, now: Millis) {
        let mut work = (now - self.updated_at).max(0.0) * self.rate;
        self.updated_at = self.updated_at.max(now);
        while let Some((key, index)) = self.backlogged.first().copied() {
            let finish_time = f64::from_bits(key);
            let work_until_finish = (finish_time - self.virtual_time) * self.backlogged_weight;
            if work_until_finish > work {
                self.virtual_time += work / self.backlogged_weight;
                return;
            }
            work -= work_until_finish.max(0.0);
            self.virtual_time = finish_time;
            self.clear_backlog(index);
        }
        if self.virtual_time > MAX_VIRTUAL_TIME {
            self.restart_virtual_time();
        }
    }

    /// Restarts virtual time from 0. No tenant may have a backlog.
    fn restart_virtual_time(&mut self) {
        self.virtual_time = 0.0;
        for entry in self.tenants.iter_mut().flatten() {
            entry.finish_time = 0.0;
        }
    }
}
