//! Converts a scenario into the settings of a decision module.

use balancer::{
    Class, Costs, Discovery, Idempotency, Limits, Settings, Tenant, WeightMeaning, ZoneId,
};

use crate::scenario::{self, Scenario};

/// Returns the settings of one proxy of a scenario.
pub fn for_proxy(s: &Scenario, proxy: usize) -> Settings {
    let capacity_per_s = 1000.0 * s.capacity() / s.mean_work().max(1e-9);
    Settings {
        proxy_index: proxy as u32,
        proxy_count: s.proxies.count as u32,
        zone: Some(ZoneId((proxy % s.fleet.zones.len()) as u32)),
        classes: s.classes.iter().map(class).collect(),
        tenants: s
            .tenants
            .iter()
            .map(|t| Tenant {
                quota_per_second: t.share.0 * capacity_per_s,
            })
            .collect(),
        over_quota_weight_fraction: 0.2,
        weight_by_work: false,
        discovery: Discovery::Pushed,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: s.fleet.key_gain.0 > 0.0,
        gossip_enabled: false,
        max_retry_after: (s.proxies.retry_after.0 > 0.0).then_some(s.proxies.retry_after.0),
        costs: Costs { cross_zone: 0.02 },
        limits: Limits {
            initial_capacity_fraction: s.fleet.cold_from.0,
            warm_up: s.fleet.cold.0,
            overload_multiple: s.rules.fall_multiple,
            overload_window: s.rules.fall.0,
            max_attempts: s.rules.max_attempts,
        },
    }
}

fn class(c: &scenario::Class) -> Class {
    Class {
        latency_objective: c.aim.0,
        deadline: c.deadline.0,
        objective_work_multiple: 0.0,
        priority_weight: c.worth,
        late_weight_fraction: c.late_worth.0,
        idempotency: match c.effect {
            scenario::Effect::Safe => Idempotency::Idempotent,
            scenario::Effect::Unsafe => Idempotency::NonIdempotent,
        },
    }
}
