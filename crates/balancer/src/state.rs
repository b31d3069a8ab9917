//! All that one proxy knows, and the bookkeeping that leaves nothing to decide: queues, attempts, the list.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::action::*;
use crate::bands::Bands;
use crate::event::*;
use crate::health_snapshot::*;
use crate::message::short;
use crate::records::{Attempt, Health, Kind, Peer, Request, Server, Start};
use crate::settings::*;
use crate::types::*;

/// Waiting requests, by class and by whether they are beyond their tenant's share, oldest first.
pub(crate) type Queues = Vec<VecDeque<RequestId>>;

/// The decisions of one proxy: feed it with [`Balancer::handle`].
pub struct Balancer {
    pub(crate) cfg: Settings,
    pub(crate) start: Start,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Vec<Server>,
    pub(crate) index: FxHashMap<EndpointId, usize>,
    pub(crate) names: FxHashMap<u16, usize>,
    pub(crate) bands: Bands,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) queues: Queues,
    pub(crate) waiting: usize,
    pub(crate) running: Vec<RequestId>,
    pub(crate) silent: usize, // those of them that have been out for too long
    pub(crate) budgeted: usize, // those of the others whose server was cold
    pub(crate) helpers: usize, // open servers that are cold
    pub(crate) lost: (f64, f64), // part of silent attempts that was never answered, and its weight
    pub(crate) ghosts: VecDeque<(Millis, usize)>, // slots of attempts given up, and until when they stay taken
    pub(crate) class_ms: Vec<(f64, f64)>,         // mean latency by class, and its weight
    pub(crate) kinds: Vec<Kind>,
    pub(crate) longest_aim: Millis,
    pub(crate) blocked: Vec<f64>, // part of the servers that is closed to a class alone
    pub(crate) common: Vec<f64>, // part of attempts that fails at sound servers: of each class, then of all
    pub(crate) spread: (f64, f64), // mean square of latency over its expected value, and its weight
    pub(crate) window: f64, // requests that this proxy may have out where it shares all servers
    pub(crate) mean_room: f64, // slots of a mean listed server
    pub(crate) listed: u32, // servers that take work, as far as the list says
    pub(crate) pace: Millis, // mean latency at a mean listed server
    pub(crate) mean: Millis, // mean latency over all classes
    pub(crate) slowest: f64, // calm latency of the slowest kind
    pub(crate) rating: f64, // sum of the ratings of listed servers
    pub(crate) gain: f64,   // how much faster a warm server is
    pub(crate) temper: [(f64, f64); 2], // mean relative latency away from home and at home, and its weight
    pub(crate) arrivals: f64,
    pub(crate) rate: f64, // arrivals per ms
    pub(crate) rate_at: Millis,
    pub(crate) allowance: Vec<f64>, // requests that each tenant may still ask for within its share
    pub(crate) retries: f64,        // further attempts that the budget allows
    pub(crate) hints: Vec<(f64, f64)>, // mean hint by class, and its weight
    pub(crate) doubt: bool,         // so many servers look ill that health is not believed
    pub(crate) safe_at: Millis,     // when a request last came that may be repeated
    pub(crate) success: f64,        // running mean of attempts that were served
    pub(crate) ticks: u64,
    pub(crate) peers: Vec<Option<Peer>>,
    pub(crate) zones: Vec<Option<ZoneId>>, // where the proxies stand, as told
    pub(crate) credit: f64,                // bytes that may be told
    pub(crate) told_at: Millis,
    pub(crate) news: Millis, // mean span between this proxy's messages
    pub(crate) subscribed: bool,
    pub(crate) ask_at: Millis,
}

impl Balancer {
    pub(crate) fn enqueue(&mut self, id: RequestId, first: bool) {
        let r = self
            .requests
            .get_mut(&id)
            .expect("only known requests wait");
        r.waiting = true;
        self.waiting += 1;
        if let Some(h) = r.home {
            self.servers[h].wanted += 1;
            self.servers[h].line.push_back(id);
        }
        let queue = &mut self.queues[r.class * 2 + usize::from(r.over_share)];
        if first {
            queue.push_front(id)
        } else {
            queue.push_back(id)
        }
    }

    /// The request at a place of a queue, those that no longer wait left out.
    pub(crate) fn waiting_at(&mut self, q: usize, place: usize) -> Option<RequestId> {
        let queue = &mut self.queues[q];
        while queue
            .get(place)
            .is_some_and(|id| self.requests.get(id).is_none_or(|r| !r.waiting))
        {
            queue.remove(place);
        }
        queue.get(place).copied()
    }

    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.waiting) else {
            return;
        };
        r.waiting = false;
        self.waiting -= 1;
        if let Some(h) = r.home {
            self.servers[h].wanted -= 1;
        }
    }

    /// Notes that a request goes to a server.
    pub(crate) fn begin(&mut self, now: Millis, id: RequestId, server: usize, lone: bool) {
        self.dequeue(id);
        let budgeted = self.servers[server].budgeted();
        let r = self
            .requests
            .get_mut(&id)
            .expect("only known requests are sent");
        let (over, ran, silent, load) = (false, true, false, LoadReport::default());
        r.attempts.push(Attempt {
            server,
            sent: now,
            over,
            ran,
            lone,
            load,
            budgeted,
            silent,
        });
        self.budgeted += usize::from(budgeted);
        self.running.push(id);
    }

    /// Forgets a request that has its answer, once all its attempts have been heard of.
    pub(crate) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.done = true;
        if !r.running() {
            self.requests.remove(&id);
        }
    }

    /// A request can't be sent again.
    pub(crate) fn spend(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.spent = true;
        }
    }

    /// Makes room for classes and tenants that are new; what is known of the others stays.
    pub(crate) fn resize(&mut self, now: Millis) {
        let (classes, backoff) = (self.cfg.classes.len(), self.start.backoff);
        self.queues.resize_with(classes * 2, VecDeque::new);
        let known = self.class_ms.len();
        self.class_ms.extend(
            self.cfg.classes[known..]
                .iter()
                .map(|c| (c.latency_objective / 4.0, 0.0)),
        );
        self.blocked.resize(classes, 0.0);
        let all = self.common.pop().unwrap_or(0.0);
        self.common.resize(classes, 0.0);
        self.common.push(all);
        self.hints.resize(classes, (1.0, 0.0));
        self.allowance.resize(self.cfg.tenants.len(), 1.0);
        for s in &mut self.servers {
            s.by_class.resize(classes, Health::clean(now, backoff));
        }
    }

    /// How many servers the list names, and how many of those that take work get none from here now, as they are closed.
    pub fn fleet(&self, now: Millis) -> (usize, usize) {
        let listed = || {
            self.servers
                .iter()
                .filter(|s| s.info.state != EndpointState::Removed)
        };
        let shut = |s: &&Server| s.told.is_none() && s.health.closed > now;
        (listed().count(), listed().filter(shut).count())
    }

    /// Notes a line of the server list; returns the server.
    fn record(&mut self, now: Millis, mut e: Endpoint) -> usize {
        e.weight = if e.weight.is_finite() && e.weight > 0.0 {
            e.weight
        } else {
            1.0
        };
        let k = *self.index.entry(e.id).or_insert(self.servers.len());
        if k == self.servers.len() {
            self.names.insert(short(e.id), k);
            self.servers.push(Server::new(
                e.clone(),
                self.cfg.classes.len(),
                now,
                self.start.backoff,
            ));
        }
        let s = &mut self.servers[k];
        s.told = if e.state == EndpointState::Up {
            None
        } else {
            s.told.or(Some(now))
        };
        s.restarted |= s.info.started_at != e.started_at || e.started_at.is_some() && !s.fresh;
        s.kind = e.machine_type.map_or(0, |k| k.0 as usize + 1);
        let kinds = self.kinds.len().max(s.kind + 1);
        let throttle = self.start.throttle;
        self.kinds.resize_with(kinds, || Kind::new(throttle));
        s.owned = s.owned.filter(|_| s.info.zone == e.zone);
        s.info = e;
        k
    }

    /// Notes the lines of a list; returns their servers, and with a full list those that have left too.
    pub(crate) fn record_all(
        &mut self,
        now: Millis,
        full: bool,
        entries: Vec<Endpoint>,
    ) -> Vec<usize> {
        let mut listed: Vec<usize> = entries.into_iter().map(|e| self.record(now, e)).collect();
        if full {
            let mut left = vec![true; self.servers.len()];
            listed.iter().for_each(|&k| left[k] = false);
            for k in (0..left.len()).filter(|&k| left[k]) {
                let s = &mut self.servers[k];
                (s.told, s.info.state) = (s.told.or(Some(now)), EndpointState::Removed);
                listed.push(k);
            }
        }
        let up = self.servers.iter().filter(|s| s.told.is_none());
        let (rating, many) = up.fold((0.0, 0u32), |(sum, n), s| (sum + s.info.weight, n + 1));
        (self.rating, self.listed) = (rating.max(1e-6), many);
        listed
    }
}
