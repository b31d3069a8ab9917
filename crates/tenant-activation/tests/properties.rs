//! Properties of activation for any order of requests: limits hold, no tenant with work is evicted, and every tenant that
//! retries is activated.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tenant_activation::{Activation, ActivationLimits, ActiveTenants, Millis};

const LIMITS: ActivationLimits = ActivationLimits {
    max_active: 8,
    idle_timeout: 5_000.0,
    min_active_time: 250.0,
    retry_grace_period: 2_000.0,
    max_waiting: 32,
};

#[derive(Clone, Debug)]
enum Step {
    Request(u16),
    /// An active tenant has work for this time in ms.
    Work(u16, u16),
    Wait(u16),
    DeactivateIdle,
    Remove(u16),
    Pin(u16),
    Unpin(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..60u16).prop_map(Step::Request),
        3 => (0..60u16, 1..2000u16).prop_map(|(tenant, ms)| Step::Work(tenant, ms)),
        4 => (1..1500u16).prop_map(Step::Wait),
        1 => Just(Step::DeactivateIdle),
        1 => (0..60u16).prop_map(Step::Remove),
        1 => (0..60u16).prop_map(Step::Pin),
        1 => (0..60u16).prop_map(Step::Unpin),
    ]
}

proptest! {
    #[test]
    fn the_limit_holds_and_no_tenant_with_work_is_evicted(steps in prop::collection::vec(step(), 1..400)) {
        let mut tenants = ActiveTenants::new(LIMITS);
        let mut now = 0.0;
        let mut active = BTreeSet::new();
        let mut pinned = BTreeSet::new();
        let mut busy_until: BTreeMap<u16, Millis> = BTreeMap::new();
        let mut activated_at: BTreeMap<u16, Millis> = BTreeMap::new();
        for step in steps {
            let is_busy = |tenant: &u16, now: Millis| busy_until.get(tenant).is_some_and(|until| *until > now);
            match step {
                Step::Request(tenant) => {
                    let was_active = active.contains(&tenant) || pinned.contains(&tenant);
                    match tenants.activate(now, &tenant, |other| !is_busy(other, now)) {
                        Ok(Activation::AlreadyActive) => prop_assert!(was_active),
                        Ok(Activation::Activated) => prop_assert!(!was_active && active.insert(tenant)),
                        Ok(Activation::ActivatedByEvicting(other)) => {
                            prop_assert!(!was_active && active.remove(&other) && active.insert(tenant));
                            prop_assert!(!is_busy(&other, now), "{other} had work");
                            prop_assert!(now - activated_at[&other] >= LIMITS.min_active_time, "{other} was activated too recently");
                        }
                        Err(deferral) => {
                            prop_assert!(!was_active && deferral.retry_after >= 1.0 && deferral.retry_after <= 10_000.0);
                            // All capacity is in use or due to tenants earlier in the queue.
                            prop_assert!(active.len() + tenants.waiting_count() > tenants.unpinned_capacity(), "capacity is free");
                        }
                    }
                    if !was_active && active.contains(&tenant) {
                        activated_at.insert(tenant, now);
                    }
                }
                Step::Work(tenant, ms) => {
                    if active.contains(&tenant) {
                        busy_until.insert(tenant, now + f64::from(ms));
                    }
                }
                Step::Wait(ms) => now += f64::from(ms),
                Step::DeactivateIdle => {
                    for tenant in tenants.deactivate_idle(now, 4, |other| !is_busy(other, now)) {
                        prop_assert!(active.remove(&tenant) && !is_busy(&tenant, now));
                    }
                }
                Step::Remove(tenant) => {
                    tenants.remove(&tenant);
                    active.remove(&tenant);
                    pinned.remove(&tenant);
                    busy_until.remove(&tenant);
                }
                Step::Pin(tenant) => {
                    tenants.pin(&tenant);
                    active.remove(&tenant);
                    pinned.insert(tenant);
                }
                Step::Unpin(tenant) => {
                    tenants.unpin(now, &tenant);
                    if pinned.remove(&tenant) {
                        active.insert(tenant);
                        activated_at.insert(tenant, now);
                    }
                }
            }
            prop_assert_eq!(tenants.len(), active.len() + pinned.len());
            prop_assert!(active.iter().chain(&pinned).all(|tenant| tenants.contains(tenant)));
            prop_assert!(tenants.waiting_count() <= LIMITS.max_waiting);
        }
    }

    /// Guards against starvation: no tenant is pinned, and each active one is idle at some time in every 300 ms. Then a
    /// tenant that retries at its retry time is activated after at most as many turnovers as there are tenants before it
    /// for each unit of capacity, and one more, even if other tenants ignore their retry times.
    #[test]
    fn every_tenant_that_retries_on_time_is_activated_in_bounded_time(
        seed in 0..u64::MAX, patient in 1..24usize, greedy in 1..40usize, max_active in 1..6usize
    ) {
        let limits = ActivationLimits { max_active, max_waiting: 256, ..LIMITS };
        let mut tenants = ActiveTenants::new(limits);
        let mut state = seed | 1;
        let mut random_below = move |bound: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % bound
        };
        let mut retry_at: BTreeMap<usize, Millis> = (0..patient).map(|tenant| (tenant, 0.0)).collect();
        let mut activated = BTreeSet::new();
        let is_busy = |tenant: &usize, now: Millis| (now as u64 + *tenant as u64 * 37) % 300 < 200;
        // Upper bound of one turnover: minimum active time, end of the work, and retry of the next tenant.
        let turnover = limits.min_active_time + 300.0;
        let ahead = (patient + greedy).div_ceil(max_active) as f64 + 1.0;
        let bound = ahead * (turnover + limits.retry_grace_period) + 10_000.0;
        let mut now = 0.0;
        while now < bound && activated.len() < patient {
            // Greedy tenants request all the time, in any order.
            for _ in 0..8 {
                let tenant = 1000 + random_below(greedy as u64) as usize;
                let _ = tenants.activate(now, &tenant, |other| !is_busy(other, now));
            }
            for (tenant, at) in &mut retry_at {
                if *at > now || activated.contains(tenant) {
                    continue;
                }
                match tenants.activate(now, tenant, |other| !is_busy(other, now)) {
                    Ok(_) => _ = activated.insert(*tenant),
                    // It retries at its retry time or a little later.
                    Err(deferral) => *at = now + deferral.retry_after + random_below(200) as f64,
                }
            }
            now += 10.0;
            prop_assert!(tenants.len() <= max_active);
        }
        prop_assert_eq!(activated.len(), patient, "after {} ms", bound);
    }
}

#[test]
fn the_least_recently_used_is_evicted_first_and_the_first_queued_is_activated_first() {
    let limits = ActivationLimits {
        max_active: 2,
        ..LIMITS
    };
    let mut tenants = ActiveTenants::new(limits);
    let idle = |_: &&str| true;
    assert_eq!(tenants.activate(0.0, &"a", idle), Ok(Activation::Activated));
    assert_eq!(tenants.activate(1.0, &"b", idle), Ok(Activation::Activated));
    assert_eq!(
        tenants.activate(2.0, &"a", idle),
        Ok(Activation::AlreadyActive)
    );
    // Both were activated too recently to be evicted.
    let first = tenants.activate(10.0, &"c", idle).unwrap_err();
    assert!(first.is_queued && first.retry_after >= 240.0, "{first:?}");
    assert_eq!(
        tenants.activate(11.0, &"c", idle).unwrap_err().retry_after,
        first.retry_after,
        "its position is the same"
    );
    tenants.activate(20.0, &"d", idle).unwrap_err();
    tenants.activate(30.0, &"e", idle).unwrap_err();
    assert_eq!(
        (tenants.waiting_count(), tenants.counters().deferrals),
        (3, 4)
    );
    // The capacity of two is due to the two tenants before it, even though they are not retrying.
    assert_eq!(
        tenants
            .activate(300.0, &"e", idle)
            .map_err(|deferral| deferral.is_queued),
        Err(true)
    );
    assert_eq!(
        tenants.activate(300.0, &"d", idle),
        Ok(Activation::ActivatedByEvicting("b"))
    );
    assert_eq!(
        tenants.activate(300.0, &"c", idle),
        Ok(Activation::ActivatedByEvicting("a"))
    );
    assert_eq!(tenants.waiting_count(), 1);
    // A tenant with work is not deactivated, however long ago its last request was.
    assert_eq!(
        tenants.activate(700.0, &"e", |tenant| *tenant != "d"),
        Ok(Activation::ActivatedByEvicting("c"))
    );
    assert_eq!(
        tenants.deactivate_idle(9_000.0, 9, |tenant| *tenant != "d"),
        ["e"]
    );
    assert_eq!(
        tenants.deactivate_idle(9_100.0, 9, idle),
        [""; 0],
        "it counts as used when it was found busy"
    );
    assert_eq!(tenants.deactivate_idle(14_001.0, 9, idle), ["d"]);
    assert_eq!(
        (
            tenants.counters().activations,
            tenants.counters().deactivations,
            tenants.counters().evictions
        ),
        (5, 5, 3)
    );
}

#[test]
fn an_unclaimed_queue_position_expires_in_favour_of_the_next() {
    let mut tenants = ActiveTenants::new(ActivationLimits {
        max_active: 1,
        ..LIMITS
    });
    let idle = |_: &u32| true;
    assert_eq!(tenants.activate(0.0, &0, idle), Ok(Activation::Activated));
    let retry_after = tenants.activate(1.0, &1, idle).unwrap_err().retry_after;
    tenants.activate(2.0, &2, idle).unwrap_err();
    // The first never retries: its position is kept for the grace period after its retry time.
    let expiry = 1.0 + retry_after + LIMITS.retry_grace_period;
    assert!(
        tenants.activate(expiry, &2, idle).is_err(),
        "the position of the first is still kept"
    );
    assert_eq!(
        tenants.activate(expiry + 1.0, &2, idle),
        Ok(Activation::ActivatedByEvicting(0))
    );
    assert!(
        tenants
            .activate(expiry + 2.0, &1, idle)
            .unwrap_err()
            .is_queued,
        "it is queued again"
    );
}

#[test]
fn pinned_tenants_leave_an_eighth_of_the_capacity_to_others() {
    let mut tenants = ActiveTenants::new(LIMITS);
    (100..120).for_each(|tenant| tenants.pin(&tenant));
    assert_eq!(
        (
            tenants.len(),
            tenants.pinned_count(),
            tenants.unpinned_capacity()
        ),
        (20, 20, 1)
    );
    assert_eq!(
        tenants.activate(0.0, &1, |_| true),
        Ok(Activation::Activated)
    );
    assert_eq!(
        tenants.activate(300.0, &2, |_| true),
        Ok(Activation::ActivatedByEvicting(1))
    );
    assert!(
        tenants.deactivate_idle(1e6, 99, |_| true) == [2] && tenants.len() == 20,
        "pinned tenants stay active"
    );
    (100..115).for_each(|tenant| tenants.unpin(1e6, &tenant));
    // More tenants are active than the capacity allows: the least recently used are deactivated.
    assert_eq!((tenants.unpinned_capacity(), tenants.len()), (3, 20));
    assert_eq!(tenants.deactivate_idle(1e6, 99, |_| true).len(), 12);
}
