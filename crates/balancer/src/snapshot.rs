//! What outlasts a module that is put to rest: taken out of its records, and put into those of the next one. It decides nothing.

use crate::action::*;
use crate::event::*;
use crate::health_snapshot::*;
use crate::records::Health;
use crate::settings::*;
use crate::state::Balancer;
use crate::types::*;

/// A mean of failures below this says nothing: it is what two good answers leave of one failure.
const SOME: f64 = 0.2;

fn ejection(h: &Health, now: Millis) -> Option<Ejection> {
    let something = h.closed > now || h.trial || h.fails > SOME;
    something.then_some(Ejection {
        failure_mean: h.fails,
        ejected_until: h.closed,
        backoff: h.backoff,
        on_probation: h.trial,
    })
}

fn put(h: &mut Health, e: &Ejection) {
    (h.fails, h.closed, h.backoff, h.trial) =
        (e.failure_mean, e.ejected_until, e.backoff, e.on_probation);
}

impl Balancer {
    /// What is held against servers now, and what cold ones may still be sent.
    pub fn standing(&self, now: Millis) -> HealthSnapshot {
        let listed = self
            .servers
            .iter()
            .filter(|s| s.info.state != EndpointState::Removed);
        let server = |s: &crate::records::Server| {
            let of_class = |(c, h)| Some((ClassId(c), ejection(h, now)?));
            let classes: Vec<_> = s.by_class.iter().enumerate().filter_map(of_class).collect();
            let whole = ejection(&s.health, now);
            let age = s.info.started_at.map(|since| now - since);
            let cold = age.filter(|age| s.fresh && *age < self.cfg.limits.warm_up);
            let cold = cold.map(|_| SlowStartBudget {
                tokens: s.tokens,
                updated_at: s.tokens_at,
                max_cost: s.grant,
            });
            let some = whole.is_some() || !classes.is_empty() || cold.is_some();
            some.then_some(EndpointHealth {
                id: s.info.id,
                started_at: s.info.started_at,
                overall: whole,
                by_class: classes,
                slow_start: cold,
            })
        };
        HealthSnapshot {
            proxy_count: self.cfg.proxy_count,
            endpoints: listed.filter_map(server).collect(),
        }
    }

    /// Takes over what another module knew of servers that this one has just been told of; returns these.
    pub(crate) fn resume(&mut self, standing: &HealthSnapshot) -> Vec<usize> {
        // A cold server's budget is divided: where there are more proxies by now, each has less of it.
        let part = f64::from(standing.proxy_count.max(1)) / f64::from(self.cfg.proxy_count.max(1));
        let mut told = Vec::new();
        for known in &standing.endpoints {
            let Some(&k) = self.index.get(&known.id) else {
                continue;
            };
            let s = &mut self.servers[k];
            if s.info.started_at != known.started_at {
                continue; // another process: nothing is known of it
            }
            if let Some(e) = &known.overall {
                put(&mut s.health, e);
            }
            for (class, e) in &known.by_class {
                if let Some(h) = s.by_class.get_mut(class.0) {
                    put(h, e);
                }
            }
            if let (Some(cold), true) = (known.slow_start, s.fresh) {
                (s.tokens, s.tokens_at, s.grant) =
                    (cold.tokens * part.min(1.0), cold.updated_at, cold.max_cost);
            }
            told.push(k);
        }
        told
    }
}
