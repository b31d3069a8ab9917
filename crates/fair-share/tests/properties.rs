//! Properties of fair shares for any tenants, weights and order of events.

use fair_share::{DenialReason, ProcessorSharing, RateQuota, ResourcePool, TenantId};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Acquire(usize, u64),
    Release(usize, u64),
    Wait(f64),
    SetLimit(usize, u64),
    Remove(usize),
    SetWeight(usize, f64),
}

fn step(tenants: usize) -> impl Strategy<Value = Step> {
    let tenant = 0..tenants;
    prop_oneof![
        8 => (tenant.clone(), 1..20u64).prop_map(|(t, n)| Step::Acquire(t, n)),
        6 => (tenant.clone(), 1..30u64).prop_map(|(t, n)| Step::Release(t, n)),
        2 => (1.0..9000.0).prop_map(Step::Wait),
        1 => (tenant.clone(), 0..60u64).prop_map(|(t, n)| Step::SetLimit(t, n)),
        1 => tenant.clone().prop_map(Step::Remove),
        1 => (tenant, 0.1..10.0).prop_map(|(t, w)| Step::SetWeight(t, w)),
    ]
}

const TENANTS: usize = 5;

/// Expected state of a tenant.
#[derive(Clone, Copy, Default)]
struct Account {
    allocated: u64,
    limit: u64,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares a pool with a plain account of the same steps: allocations match, no limit or capacity is exceeded, and
    /// a tenant within its fair share is denied only while others borrow.
    #[test]
    fn pool_allocations_match_a_reference_account(
        steps in prop::collection::vec(step(TENANTS), 1..400),
        capacity in 1..200u64,
        idle_reserve_ratio in 0.0..0.3,
    ) {
        let mut pool = ResourcePool::new(capacity, idle_reserve_ratio);
        let mut accounts = [Account::default(); TENANTS];
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Acquire(tenant, amount) => {
                    let allocated: u64 = accounts.iter().map(|account| account.allocated).sum();
                    let acquired = pool.acquire(now, TenantId(tenant), amount);
                    let fair_share = |tenant: usize| pool.fair_share(TenantId(tenant));
                    let new_allocation = accounts[tenant].allocated + amount;
                    let within_share = new_allocation <= fair_share(tenant);
                    let others_borrow = (0..TENANTS).any(|other| {
                        other != tenant && accounts[other].allocated > fair_share(other)
                    });
                    let over_limit = new_allocation > accounts[tenant].limit;
                    let exhausted = amount > capacity - allocated;
                    match acquired {
                        Ok(()) => {
                            prop_assert!(!over_limit && !exhausted);
                            accounts[tenant].allocated += amount;
                        }
                        Err(DenialReason::LimitExceeded) => prop_assert!(over_limit),
                        Err(DenialReason::Exhausted) => prop_assert!(exhausted),
                        Err(DenialReason::FairShareExceeded) => {
                            prop_assert!((!within_share || others_borrow) && !exhausted);
                        }
                    }
                }
                Step::Release(tenant, amount) => {
                    pool.release(TenantId(tenant), amount);
                    accounts[tenant].allocated -= amount.min(accounts[tenant].allocated);
                }
                Step::Wait(duration) => now += duration,
                Step::SetLimit(tenant, limit) => {
                    pool.set_quota(TenantId(tenant), 1.0, limit);
                    accounts[tenant].limit = limit;
                }
                Step::Remove(tenant) => {
                    pool.remove(TenantId(tenant));
                    accounts[tenant].limit = 0;
                }
                Step::SetWeight(tenant, weight) => {
                    pool.set_quota(TenantId(tenant), weight, u64::MAX);
                    accounts[tenant].limit = u64::MAX;
                }
            }
            for (tenant, account) in accounts.iter().enumerate() {
                prop_assert_eq!(pool.allocated_to(TenantId(tenant)), account.allocated);
            }
            let allocated = accounts.iter().map(|account| account.allocated).sum::<u64>();
            prop_assert_eq!(pool.allocated(), allocated);
            prop_assert!(pool.allocated() <= capacity);
        }
    }

    /// A tenant that stays within its fair share and its recent peak is never rejected, whatever the others demand. It
    /// holds its allocation before the others arrive, and then varies below it.
    #[test]
    fn a_steady_tenant_is_never_rejected(
        weights in prop::collection::vec(0.2..5.0, 2..8),
        capacity in 40..400u64,
        seed in any::<u64>(),
    ) {
        let mut pool = ResourcePool::new(capacity, 1.0 / 16.0);
        for (tenant, weight) in weights.iter().enumerate() {
            pool.set_quota(TenantId(tenant), *weight, u64::MAX);
        }
        let steady = TenantId(0);
        let total_weight: f64 = weights.iter().sum();
        let demand = (capacity as f64 * 15.0 / 16.0 * weights[0] / total_weight) as u64;
        let mut state = seed | 1;
        let mut random_below = |bound: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % bound.max(1)
        };
        prop_assume!(demand > 0);
        (0..demand).for_each(|_| pool.acquire(0.0, steady, 1).unwrap());
        let mut allocated = demand;
        let mut now = 0.0;
        for _ in 0..3000 {
            now += 1.0;
            for other in 1..weights.len() {
                if random_below(3) == 0 {
                    pool.release(TenantId(other), 1 + random_below(3));
                }
                for _ in 0..4 {
                    // The other tenants acquire as much as they can.
                    let _ = pool.acquire(now, TenantId(other), 1 + random_below(3));
                }
            }
            // The steady tenant releases some and acquires as much again within the peak window.
            let released = random_below(allocated) / 2;
            pool.release(steady, released);
            allocated -= released;
            for other in 1..weights.len() {
                while pool.acquire(now, TenantId(other), 1).is_ok() {}
            }
            prop_assert_eq!(pool.acquire(now, steady, released), Ok(()), "at {}", now);
            allocated += released;
        }
    }

    /// For any weights and demands, in each second after the first each tenant gets its weighted max-min fair share
    /// within 5 % and a burst, and the rate is used up while a tenant is rejected.
    #[test]
    fn work_is_divided_by_weight_in_every_second(
        tenants in prop::collection::vec(demand(), 2..10),
    ) {
        const WORK: f64 = 0.04;
        const BURST: f64 = 0.2;
        let mut server = ProcessorSharing::new(1.0);
        for (tenant, Demand { weight, .. }) in tenants.iter().enumerate() {
            let quota = RateQuota { weight: *weight, burst: BURST, max_rate_ratio: 1.0 };
            server.set_quota(0.0, TenantId(tenant), quota);
        }
        let total_demand = tenants.iter().map(|tenant| tenant.rate).sum::<f64>();
        let fair_shares = max_min_fair_shares(&tenants);
        let mut next: Vec<f64> = vec![0.0; tenants.len()];
        let mut done = vec![0.0; tenants.len()];
        let mut second = 1;
        loop {
            let earliest = next.iter().copied().enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
            let (tenant, now) = earliest.unwrap();
            if now >= 1000.0 * f64::from(second) {
                if second > 1 {
                    let total: f64 = done.iter().sum();
                    prop_assert!(total <= 1000.0 * 1.01);
                    prop_assert!(total >= 0.99 * total_demand.min(1.0) * 1000.0, "left over: {}", total);
                    for (work, fair_share) in done.iter().zip(&fair_shares) {
                        let deviation = (work - fair_share * 1000.0).abs();
                        let tolerance = 0.05 * fair_share * 1000.0 + BURST + WORK;
                        prop_assert!(deviation < tolerance, "{:?} in second {}, {:?}", done, second, fair_share);
                    }
                }
                done.fill(0.0);
                second += 1;
                if second > 4 {
                    break;
                }
            }
            next[tenant] += WORK / tenants[tenant].rate;
            if server.admit(now, TenantId(tenant)).is_ok() {
                server.charge(now, TenantId(tenant), WORK);
                done[tenant] += WORK;
            }
        }
    }
}

/// A tenant's weight and the fraction of the rate that it demands.
#[derive(Clone, Debug)]
struct Demand {
    weight: f64,
    rate: f64,
}

fn demand() -> impl Strategy<Value = Demand> {
    (0.2..5.0f64, 0.02..3.0f64).prop_map(|(weight, rate)| Demand { weight, rate })
}

/// Weighted max-min fair shares of a rate of 1, by filling the smallest demands first.
fn max_min_fair_shares(tenants: &[Demand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..tenants.len()).collect();
    let normalized = |tenant: &usize| tenants[*tenant].rate / tenants[*tenant].weight;
    order.sort_by(|a, b| normalized(a).total_cmp(&normalized(b)));
    let mut remaining_weight: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
    let mut remaining_rate = 1.0;
    let mut shares = vec![0.0; tenants.len()];
    for tenant in order {
        let Demand { weight, rate } = tenants[tenant];
        shares[tenant] = rate.min(remaining_rate * weight / remaining_weight);
        remaining_rate -= shares[tenant];
        remaining_weight -= weight;
    }
    shares
}
