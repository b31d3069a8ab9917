//! A scenario as a decision module is told it.

use balancer::{Class, Discovery, Effect, Limits, Prices, Rating, Settings, Tenant, ZoneId};

use crate::scenario::{self, Scenario};

/// The settings of one of a scenario's proxies.
pub fn of(s: &Scenario, proxy: usize) -> Settings {
    let capacity_per_s = 1000.0 * s.capacity() / s.mean_work().max(1e-9);
    Settings {
        me: proxy as u32,
        proxies: s.proxies.count as u32,
        zone: Some(ZoneId((proxy % s.fleet.zones.len()) as u32)),
        classes: s.classes.iter().map(class).collect(),
        tenants: s
            .tenants
            .iter()
            .map(|t| Tenant {
                allowance_per_s: t.share.0 * capacity_per_s,
            })
            .collect(),
        over_share_worth: 0.2,
        worth_by_work: false,
        discovery: Discovery::Pushed,
        rating: Rating::Size,
        warm_keys: s.fleet.key_gain.0 > 0.0,
        may_tell: false,
        retry_after: (s.proxies.retry_after.0 > 0.0).then_some(s.proxies.retry_after.0),
        prices: Prices { cross_zone: 0.02 },
        limits: Limits {
            start_capacity: s.fleet.cold_from.0,
            cold: s.fleet.cold.0,
            fall_multiple: s.rules.fall_multiple,
            fall: s.rules.fall.0,
            max_attempts: s.rules.max_attempts,
        },
    }
}

fn class(c: &scenario::Class) -> Class {
    Class {
        aim: c.aim.0,
        deadline: c.deadline.0,
        aim_stretch: 0.0,
        worth: c.worth,
        late_worth: c.late_worth.0,
        effect: match c.effect {
            scenario::Effect::Safe => Effect::Safe,
            scenario::Effect::Unsafe => Effect::Unsafe,
        },
    }
}
