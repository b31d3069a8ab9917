//! What must hold of the shares for any tenants, weights and order of events.

use fair_share::{Flow, FlowTerms, Lack, Stock, Tenant};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Take(usize, u64),
    Give(usize, u64),
    Wait(f64),
    Cap(usize, u64),
    Remove(usize),
    Add(usize, f64),
}

fn step(tenants: usize) -> impl Strategy<Value = Step> {
    let tenant = 0..tenants;
    prop_oneof![
        8 => (tenant.clone(), 1..20u64).prop_map(|(t, n)| Step::Take(t, n)),
        6 => (tenant.clone(), 1..30u64).prop_map(|(t, n)| Step::Give(t, n)),
        2 => (1.0..9000.0).prop_map(Step::Wait),
        1 => (tenant.clone(), 0..60u64).prop_map(|(t, n)| Step::Cap(t, n)),
        1 => tenant.clone().prop_map(Step::Remove),
        1 => (tenant, 0.1..10.0).prop_map(|(t, w)| Step::Add(t, w)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Against a plain account of the same steps: nothing is lost or made up, no cap or capacity is broken, and who is
    /// within its share gets what is free.
    #[test]
    fn a_stock_keeps_its_accounts(
        steps in prop::collection::vec(step(5), 1..400), capacity in 1..200u64, newcomers in 0.0..0.3,
    ) {
        let mut stock = Stock::new(capacity, newcomers);
        let mut account = [(0u64, 0u64); 5]; // what each holds, its cap
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Take(t, n) => {
                    let sum: u64 = account.iter().map(|a| a.0).sum();
                    let got = stock.take(now, Tenant(t), n);
                    let fair = |t: usize| stock.fair(Tenant(t));
                    let within = account[t].0 + n <= fair(t);
                    let borrowed = (0..5).any(|o| o != t && account[o].0 > fair(o));
                    let (capped, full) = (account[t].0 + n > account[t].1, n > capacity - sum);
                    match got {
                        Ok(()) => {
                            prop_assert!(!capped && !full);
                            account[t].0 += n;
                        }
                        Err(Lack::Cap) => prop_assert!(capped),
                        Err(Lack::Full) => prop_assert!(full),
                        Err(Lack::Share) => prop_assert!((!within || borrowed) && !full),
                    }
                }
                Step::Give(t, n) => {
                    stock.give(Tenant(t), n);
                    account[t].0 -= n.min(account[t].0);
                }
                Step::Wait(span) => now += span,
                Step::Cap(t, cap) => {
                    stock.set(Tenant(t), 1.0, cap);
                    account[t].1 = cap;
                }
                Step::Remove(t) => {
                    stock.remove(Tenant(t));
                    account[t].1 = 0;
                }
                Step::Add(t, weight) => {
                    stock.set(Tenant(t), weight, u64::MAX);
                    account[t].1 = u64::MAX;
                }
            }
            for (t, a) in account.iter().enumerate() {
                prop_assert_eq!(stock.held_by(Tenant(t)), a.0);
            }
            prop_assert_eq!(stock.held(), account.iter().map(|a| a.0).sum::<u64>());
            prop_assert!(stock.held() <= capacity);
        }
    }

    /// A tenant that stays within its fair share and within what it used of late is never turned away, whatever the
    /// others ask for. It holds for steady use: first alone, then beside the greedy.
    #[test]
    fn a_steady_tenant_is_never_turned_away(
        weights in prop::collection::vec(0.2..5.0, 2..8), capacity in 40..400u64, seed in any::<u64>(),
    ) {
        let mut stock = Stock::new(capacity, 1.0 / 16.0);
        weights.iter().enumerate().for_each(|(i, w)| stock.set(Tenant(i), *w, u64::MAX));
        let steady = Tenant(0);
        let sum: f64 = weights.iter().sum();
        let part = (capacity as f64 * 15.0 / 16.0 * weights[0] / sum) as u64;
        let mut dice = seed | 1;
        let mut roll = |n: u64| { dice ^= dice << 13; dice ^= dice >> 7; dice ^= dice << 17; dice % n.max(1) };
        prop_assume!(part > 0);
        (0..part).for_each(|_| stock.take(0.0, steady, 1).unwrap());
        let mut held = part;
        let mut now = 0.0;
        for _ in 0..3000 {
            now += 1.0;
            for other in 1..weights.len() {
                if roll(3) == 0 {
                    stock.give(Tenant(other), 1 + roll(3));
                }
                for _ in 0..4 {
                    let _ = stock.take(now, Tenant(other), 1 + roll(3)); // as much as they can get
                }
            }
            // The steady one gives some back and takes as much again, its peak never long past.
            let some = roll(held) / 2;
            stock.give(steady, some);
            held -= some;
            for other in 1..weights.len() {
                while stock.take(now, Tenant(other), 1).is_ok() {}
            }
            prop_assert_eq!(stock.take(now, steady, some), Ok(()), "at {}", now);
            held += some;
        }
    }

    /// Tenants with any weights and any demands: over each second (after the first) each gets within 5 % and a burst of
    /// what max-min fairness by weight gives it, and nothing is left over while someone is turned away.
    #[test]
    fn a_flow_is_divided_by_weight_in_every_second(
        tenants in prop::collection::vec((0.2..5.0f64, 0.02..3.0f64), 2..10),
    ) {
        const WORK: f64 = 0.04;
        const BURST: f64 = 0.2;
        let mut flow = Flow::new(1.0);
        for (i, (weight, _)) in tenants.iter().enumerate() {
            flow.set(0.0, Tenant(i), FlowTerms { weight: *weight, burst: BURST, cap: 1.0 });
        }
        let demands: Vec<f64> = tenants.iter().map(|t| t.1).collect();
        let fair = max_min(&tenants);
        let mut next: Vec<f64> = vec![0.0; tenants.len()];
        let mut done = vec![0.0; tenants.len()];
        let mut second = 1;
        loop {
            let (i, at) = next.iter().copied().enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).unwrap();
            if at >= 1000.0 * f64::from(second) {
                if second > 1 {
                    let all: f64 = done.iter().sum();
                    prop_assert!(all <= 1000.0 * 1.01);
                    prop_assert!(all >= 0.99 * demands.iter().sum::<f64>().min(1.0) * 1000.0, "left over: {}", all);
                    for (got, fair) in done.iter().zip(&fair) {
                        let off = (got - fair * 1000.0).abs();
                        let most = 0.05 * fair * 1000.0 + BURST + WORK;
                        prop_assert!(off < most, "{:?} in second {}, {:?}", done, second, fair);
                    }
                }
                done.fill(0.0);
                second += 1;
                if second > 4 {
                    break;
                }
            }
            next[i] += WORK / demands[i];
            if flow.admit(at, Tenant(i)).is_ok() {
                flow.charge(at, Tenant(i), WORK);
                done[i] += WORK;
            }
        }
    }
}

/// The parts of a rate of 1 that max-min fairness by weight gives, by filling up the smallest demands first.
fn max_min(tenants: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..tenants.len()).collect();
    order.sort_by(|a, b| {
        (tenants[*a].1 / tenants[*a].0).total_cmp(&(tenants[*b].1 / tenants[*b].0))
    });
    let mut weight: f64 = tenants.iter().map(|t| t.0).sum();
    let (mut left, mut parts) = (1.0, vec![0.0; tenants.len()]);
    for i in order {
        parts[i] = tenants[i].1.min(left * tenants[i].0 / weight);
        left -= parts[i];
        weight -= tenants[i].0;
    }
    parts
}
