//! What outlasts a module that is put to rest: taken out of its records, and put into those of the next one. It decides nothing.

use crate::interface::*;
use crate::records::Health;
use crate::state::Balancer;

/// A mean of failures below this says nothing: it is what two good answers leave of one failure.
const SOME: f64 = 0.2;

fn ejection(h: &Health, now: Millis) -> Option<Ejection> {
    let something = h.closed > now || h.trial || h.fails > SOME;
    something.then_some(Ejection {
        fails: h.fails,
        until: h.closed,
        backoff: h.backoff,
        trial: h.trial,
    })
}

fn put(h: &mut Health, e: &Ejection) {
    (h.fails, h.closed, h.backoff, h.trial) = (e.fails, e.until, e.backoff, e.trial);
}

impl Balancer {
    /// What is held against servers now, and what cold ones may still be sent.
    pub fn standing(&self, now: Millis) -> Standing {
        let listed = self.servers.iter().filter(|s| s.info.state != State::Gone);
        let server = |s: &crate::records::Server| {
            let of_class = |(c, h)| Some((ClassId(c), ejection(h, now)?));
            let classes: Vec<_> = s.by_class.iter().enumerate().filter_map(of_class).collect();
            let whole = ejection(&s.health, now);
            let age = s.info.since.map(|since| now - since);
            let cold = age.filter(|age| s.fresh && *age < self.cfg.limits.cold);
            let cold = cold.map(|_| ColdBudget {
                tokens: s.tokens,
                at: s.tokens_at,
                grant: s.grant,
            });
            let some = whole.is_some() || !classes.is_empty() || cold.is_some();
            some.then_some(ServerStanding {
                id: s.info.id,
                since: s.info.since,
                whole,
                classes,
                cold,
            })
        };
        Standing {
            proxies: self.cfg.proxies,
            servers: listed.filter_map(server).collect(),
        }
    }

    /// Takes over what another module knew of servers that this one has just been told of; returns these.
    pub(crate) fn resume(&mut self, standing: &Standing) -> Vec<usize> {
        // A cold server's budget is divided: where there are more proxies by now, each has less of it.
        let part = f64::from(standing.proxies.max(1)) / f64::from(self.cfg.proxies.max(1));
        let mut told = Vec::new();
        for known in &standing.servers {
            let Some(&k) = self.index.get(&known.id) else {
                continue;
            };
            let s = &mut self.servers[k];
            if s.info.since != known.since {
                continue; // another process: nothing is known of it
            }
            if let Some(e) = &known.whole {
                put(&mut s.health, e);
            }
            for (class, e) in &known.classes {
                if let Some(h) = s.by_class.get_mut(class.0) {
                    put(h, e);
                }
            }
            if let (Some(cold), true) = (known.cold, s.fresh) {
                (s.tokens, s.tokens_at, s.grant) =
                    (cold.tokens * part.min(1.0), cold.at, cold.grant);
            }
            told.push(k);
        }
        told
    }
}
