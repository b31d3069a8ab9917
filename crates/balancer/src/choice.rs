//! Every decision of one proxy, in the order in which a request meets them: queue and threshold; speeds
//! and slots; health; attempts, time-outs, final answers; cold starts and drains; discovery and peers.
//!
//! Types, settings, events and actions: `src/types.rs`, `src/settings.rs`, `src/event.rs`, `src/action.rs`. Records: `src/records.rs`. Plumbing that decides
//! nothing: `src/state.rs`, `src/bands.rs`, `src/message.rs`. Mechanism and extensions: `docs/design.md`;
//! formula numbers are those of the paper named there. Times are in ms.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::action::*;
use crate::bands::Bands;
use crate::event::*;
use crate::hash::draw;
use crate::health_snapshot::*;
use crate::message::{HEAD, MESSAGE, pack, unpack};
use crate::records::{Attempt, Health, Kind, Peer, Request, Server, Start, average};
use crate::settings::*;
use crate::state::Balancer;
use crate::types::*;

const TICK: Millis = 20.0; // how often waiting and running requests are looked over: within a rule's slack
const REVIEW: u64 = 5; // ticks between looks at all servers
const LEAST: Millis = 6.0; // a running request is answered for this long before it is of no more use
const MARGIN: Millis = 2.0 * TICK + 5.0; // a final answer goes out this long before it is due
const BANDS: usize = 48; // speed bands: servers of like speed tie, and ties are broken at random
const BAND_RATIO: f64 = 1.2; // speeds within this ratio tie: finer differences are noise
const SAMPLES: f64 = 12.0; // answers over which a server's latency is averaged
const OUTLIER: f64 = 2.0; // times its mean to which an answer counts in the mean of a kind
const KIND_WEIGHT: f64 = 6.0; // a server with fewer answers than this is judged mostly by its kind's mean
const CLASS_SAMPLES: f64 = 100.0; // answers over which a class's or a kind's latency is averaged
const SPREAD_SAMPLES: f64 = 1000.0; // answers over which their spread is averaged: tails are rare
const RATE_SPAN: Millis = 2000.0; // span over which the arrival rate is averaged
const LOOK: usize = 6; // requests looked at before a decision gives up on finding one that may go
const CROWDED: f64 = 1.6; // latency over its calm level at which a kind counts as crowded
const CALM_CREEP: f64 = 1.001; // by which the calm level may rise in a review: a tenth in ten seconds
const ALONE_CREEP: f64 = 1.1; // and while its servers hold one request each: twice as much in 0.8 s
const THROTTLE_MIN: f64 = 0.3; // the least part of its slots that a crowded kind keeps
const THROTTLE_MOST: f64 = 4.0; // and the most that one gets whose servers stay calm while requests wait
const THROTTLE_STEP: f64 = 1.1; // by which it gets more in a review: twice as much in 0.8 s
const UNMEASURED: f64 = 0.5; // part of a new kind's slots, lest a jam from the start pass for calm
const LATE: f64 = 0.5; // part of the aim past which an answer says that the pooled servers are crowded
const CALM: f64 = 4.0; // and times the latency of calm servers past which it says so
const CROWD: f64 = CALM / std::f64::consts::LN_2; // requests a core holds where half of them take that long
const WINDOW_CUT: f64 = 0.9; // by which such an answer shrinks the in-flight window
const WINDOW_FIRST: f64 = 4.0; // requests that a proxy may have out at its start
const WINDOW_LEAST: f64 = 1.0; // and always
const WINDOW_STEP: f64 = 0.5; // by which a good answer widens it, by less under the first one
const HOPELESS: f64 = 0.5; // part of its aim beyond which a safe request's turn at pooled servers is too late
const OWN_LEAST: f64 = 8.0; // own slots under which proxies share all, for answers of exponential spread
const FULLNESS: f64 = 1.1; // requests a core may hold: a little over one keeps it busy between answers
const BORROW: usize = 3; // bands by which another proxy's slot counts slower: both may take it at once
const PULL: f64 = 3.0; // a crossing's price, as a delay, is counted this many times: aims leave slack
const SLACK_SCALE: f64 = 0.5; // part of the aim over which slack takes a request's urgency away
const FAIL_GAIN: f64 = 0.3; // weight of a failure in a server's failure mean: two in a row close it
const DIAL_GAIN: f64 = 0.5; // and of a connection that did not come about: no process answers, one closes it
const FAIL_CLOSE: f64 = 0.4; // failure mean above which a server is closed, where others hardly fail
const FAIL_CHANCE: f64 = 1e-4; // a row of failures as rare as this is no chance, however many fail elsewhere
const FAIL_COMMON: f64 = 0.5; // more than this part failing everywhere excuses no server further
const FAULT_SAMPLES: f64 = 100.0; // answers over which a server's part of failures is averaged
const BACKOFF: Millis = 250.0; // first closing; doubles with each failed trial
const BACKOFF_MAX: Millis = 4000.0; // longest closing: a mended server is found again within this
const MEETINGS_MAX: f64 = 4.0; // or within this many of its meetings with this proxy, if that is longer
const HANG: f64 = 5.0; // silence of this many expected latencies marks a server as hung
const HANG_RARE: f64 = 0.003; // part lost at sound servers too from which one silent attempt proves no hang
const LOST: f64 = 0.5; // part of silent attempts never answered above which silence means a lost answer
const LOST_SAMPLES: f64 = 20.0; // silent attempts over which that part is averaged
const LOST_WATCHED: f64 = 0.1; // part of attempts waited for all the same, to see whether it still holds
const CLASS_BACKOFF: f64 = 4.0; // times as long a server stays closed to a class alone
const ALL_ILL: f64 = 0.9; // with more than this part closed, as a whole or to a class, it is not believed
const DISTRUST: f64 = 0.5; // nor with more than this part, if as few attempts are served
const RETRY_SHARE: f64 = 0.15; // further attempts per arrival: what a proxy may add in a storm
const COLD_SHARE: f64 = 0.6; // part of what pushes a cold server over that the proxies together send it
const MOST_SLOTS: u32 = 1024; // of a server: a bound on work, whatever a list says
const COLD_RIPE: f64 = 0.5; // part of its span for which a send is kept: saved ones could all come at once
const COLD_COST: (f64, f64) = (0.25, 8.0); // what a request takes of it at least and at most, in mean ones
const COLD_PART: f64 = 0.25; // part of a cold server's budget that one request may take
const NEWS: f64 = 0.3; // part of a request's time within which others' word must come to show idleness
const TELL_SHARE: f64 = 0.6; // full messages a proxy may spend for each request it gets
const STALE: Millis = 500.0; // what a peer told longer ago no longer counts

/// The largest τ in 0..=m(R−1) for which (3.3) is negative.
///
/// τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k. That form
/// divides by nothing and holds at ρ = 1 too, so ρ needs no nudge.
pub fn threshold(m: f64, rho: f64, ratio: f64) -> u32 {
    let top = m * (ratio - 1.0);
    let (mut blocked, load) = (1.0, m * rho); // Erlang-B by its stable recursion
    for k in 1..=(m.round() as u32).max(1) {
        blocked = load * blocked / (f64::from(k) + load * blocked);
    }
    let (mut tau, mut sum, mut g) = (0, 0.0, 0.0);
    while f64::from(tau + 1) <= top {
        sum += g;
        g = 1.0 + rho * g;
        if f64::from(tau + 1) + top * (rho - 1.0) + blocked * rho * (sum - top) >= 0.0 {
            break;
        }
        tau += 1;
    }
    tau
}

/// The failure mean above which a server is closed, where `common` of the attempts fail at sound servers too:
/// what a row of failures too long for chance brings it to. Resets on a path that all servers share say
/// nothing against one of them.
fn fail_limit(common: f64) -> f64 {
    let row = FAIL_CHANCE.ln() / common.clamp(1e-9, FAIL_COMMON).ln();
    FAIL_CLOSE.max(1.0 - (1.0 - FAIL_GAIN).powf(row))
}

/// Closes a server for a while, longer each time; it comes back by one request at a time.
fn close(h: &mut Health, now: Millis, span: Millis) {
    (h.closed, h.backoff, h.trial) = (now + span, (2.0 * h.backoff).min(BACKOFF_MAX), true);
}

/// A closing by one of `proxies`, which meets the server each `meeting` ms. One that meets it seldom would
/// come back from each closing with its very next request, and lose that too. All of them together still try
/// the server as often as one alone would, as a closing grows by the number of proxies at most.
fn stretch(span: Millis, meeting: Millis, proxies: u32) -> Millis {
    let factor = (meeting / BACKOFF).min(f64::from(proxies)).max(1.0);
    (span * factor).min((MEETINGS_MAX * meeting).max(span))
}

#[allow(clippy::too_many_arguments)]
impl Balancer {
    /// Starts a proxy that knows nothing yet; `seed` is the only source of chance.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let longest_aim = cfg
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .fold(0.0, f64::max);
        let first_guess = (longest_aim / 4.0).max(1.0);
        Balancer {
            start: Start {
                backoff: BACKOFF,
                throttle: UNMEASURED,
            },
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            index: FxHashMap::default(),
            names: FxHashMap::default(),
            bands: Bands::new(BANDS, BAND_RATIO),
            requests: FxHashMap::default(),
            queues: vec![VecDeque::new(); cfg.classes.len() * 2],
            waiting: 0,
            running: Vec::new(),
            lost: (0.0, 5.0),
            silent: 0,
            budgeted: 0,
            helpers: 0,
            ghosts: VecDeque::new(),
            class_ms: cfg
                .classes
                .iter()
                .map(|c| (c.latency_objective / 4.0, 0.0))
                .collect(),
            kinds: vec![Kind::new(UNMEASURED)],
            mean: first_guess,
            pace: first_guess,
            slowest: 0.0,
            longest_aim,
            mean_room: 1.0,
            listed: 0,
            blocked: vec![0.0; cfg.classes.len()],
            common: vec![0.0; cfg.classes.len() + 1],
            spread: (2.0, 0.2 * SPREAD_SAMPLES),
            window: WINDOW_FIRST,
            rating: 0.0,
            gain: if cfg.key_affinity { 2.0 } else { 1.0 },
            temper: [(1.0, 1.0), (1.0, 1.0)],
            arrivals: 0.0,
            rate: 0.0,
            rate_at: 0.0,
            allowance: vec![1.0; cfg.tenants.len()],
            retries: 2.0,
            hints: vec![(1.0, 0.0); cfg.classes.len()],
            doubt: false,
            safe_at: f64::NEG_INFINITY,
            success: 1.0,
            ticks: 0,
            peers: (0..cfg.proxy_count).map(|_| None).collect(),
            zones: vec![None; cfg.proxy_count as usize],
            credit: 0.0,
            told_at: 0.0,
            news: STALE,
            subscribed: false,
            ask_at: 0.0,
            cfg,
        }
    }

    /// Takes in one event and appends what is to be done, in order. `now` never runs backwards.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            (self.ticks, self.rate_at, self.told_at) = (1, now, now);
            out.push(Action::Timer {
                token: 0,
                at: now + self.rng.f64() * TICK,
            });
        }
        match event {
            Event::EndpointUpdate {
                scope,
                endpoints: entries,
            } => self.list(now, scope, entries),
            Event::Request {
                id,
                class,
                tenant,
                key,
                timeout: budget,
                expected_work: hint,
                body_complete: whole,
            } => {
                self.arrive(now, id, class.0, tenant, key, budget, hint, whole, out);
            }
            Event::BodyComplete {
                id,
                timeout: budget,
            } => self.whole(now, id, budget),
            Event::BodyDiscarded(id) => self.spend(id),
            Event::Settings(cfg) => self.settle_on(now, *cfg),
            Event::ProxyCount {
                proxy_index: me,
                proxy_count: proxies,
            } => self.divide(now, me, proxies),
            Event::HealthRestored(known) => {
                self.resume(&known)
                    .into_iter()
                    .for_each(|k| self.rate(k, self.warmth(k, now), now));
            }
            Event::QuotaRejected {
                id,
                retry_after: wait,
            } => return self.turn_away(id, wait, out),
            Event::ResponseStarted {
                request,
                attempt,
                processing_done: worked,
            } => {
                self.started(now, request, attempt as usize, worked, out);
            }
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                request_finished: closed,
                ..
            } => {
                self.ended(
                    now,
                    request,
                    attempt as usize,
                    latency,
                    outcome,
                    closed,
                    out,
                );
            }
            Event::LoadReport {
                request,
                attempt,
                load,
            } => return self.note(request, attempt as usize, load),
            Event::ClientGone(id) => self.finish(id),
            Event::Timer(0) => self.tick(now, out),
            Event::Timer(token) => self.answer(RequestId(token - 1), out), // its time is up
            Event::Gossip { from, bytes } => return self.hear(now, from as usize, &bytes),
        }
        self.pump(now, out);
    }

    // ---- queue and threshold ----

    fn arrive(
        &mut self,
        now: Millis,
        id: RequestId,
        class: usize,
        tenant: Option<TenantId>,
        key: Option<Key>,
        budget: Millis,
        hint: Option<Millis>,
        whole: bool,
        out: &mut Vec<Action>,
    ) {
        self.arrivals += 1.0;
        self.retries = (self.retries + RETRY_SHARE).min(20.0);
        self.credit = (self.credit + TELL_SHARE * MESSAGE as f64 / f64::from(self.cfg.proxy_count))
            .min(2.0 * MESSAGE as f64);
        let over_share = tenant.is_some_and(|t| !self.within_share(t.0));
        let home = key
            .filter(|_| self.cfg.key_affinity)
            .and_then(|key| self.home(key, now));
        let (size, aim) = self.size_and_aim(class, hint);
        let (effect, most) = (
            self.cfg.classes[class].idempotency,
            self.cfg.limits.max_attempts,
        );
        self.safe_at = if effect == Idempotency::Idempotent {
            now
        } else {
            self.safe_at
        };
        let mut request = Request::new(class, effect, most, size, key.map_or(0, |k| k.0), home);
        (request.over_share, request.whole) = (over_share, whole);
        (request.aim, request.due) = (now + aim.min(budget), now + budget);
        self.requests.insert(id, request);
        if budget < MARGIN {
            return self.answer(id, out); // the next look could come too late for an answer in time
        }
        let turn = self.waiting as f64 * self.pace / self.window;
        if self.pools()
            && effect == Idempotency::Idempotent
            && turn > HOPELESS * self.cfg.classes[class].latency_objective
        {
            return self.answer(id, out); // others go first, and it would only be refused later
        }
        self.enqueue(id, false);
    }

    /// Takes one request off a tenant's allowance, if there is any left.
    fn within_share(&mut self, tenant: usize) -> bool {
        let Some(left) = self.allowance.get_mut(tenant) else {
            return true;
        };
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// A request's expected work relative to its class, and its aim as a span.
    fn size_and_aim(&mut self, class: usize, hint: Option<Millis>) -> (f64, Millis) {
        let c = &self.cfg.classes[class];
        let Some(hint) = hint.filter(|h| h.is_finite() && *h > 0.0) else {
            return (1.0, c.latency_objective);
        };
        let (mean, weight) = self.hints[class];
        average(
            &mut self.hints[class],
            if weight > 0.0 {
                hint.min(10.0 * mean)
            } else {
                hint
            },
            100.0,
        );
        (
            (hint / self.hints[class].0).clamp(0.05, 50.0),
            (c.latency_objective + c.objective_work_multiple * hint).min(c.deadline),
        )
    }

    /// The server that a key's requests prefer: the same at every proxy, without a word between them.
    fn home(&mut self, key: Key, now: Millis) -> Option<usize> {
        let up = |s: &Server| s.told.is_none() && (s.health.closed <= now || self.doubt);
        let near = |a: &usize, b: &usize| self.score(*a, key.0).total_cmp(&self.score(*b, key.0));
        (0..self.servers.len())
            .filter(|&k| up(&self.servers[k]))
            .min_by(near)
    }

    /// Weighted rendezvous hashing; the exponent and mantissa of a float stand in for its logarithm.
    fn score(&self, k: usize, key: u64) -> f64 {
        let u = draw(self.servers[k].info.id.0, key) + 1e-12;
        (1023.0 - u.to_bits() as f64 / (1u64 << 52) as f64) * self.servers[k].weight
    }

    /// Sends waiting requests while the threshold lets them go, the most pressing first.
    fn pump(&mut self, now: Millis, out: &mut Vec<Action>) {
        // A queue whose head must wait is passed over: those behind it are no more pressing. Only with homes
        // or after an attempt do requests differ in where they may go, and a few more are looked at.
        let (mut skip, mut looks) = (vec![0usize; self.queues.len()], LOOK);
        while self.waiting > 0 && looks > 0 {
            let full = self.out() >= self.most_out();
            if full && self.helpers == 0 {
                return;
            }
            let mut best: Option<(f64, usize, RequestId)> = None;
            for (q, &skipped) in skip.iter().enumerate() {
                let Some(id) = self.waiting_at(q, skipped) else {
                    continue;
                };
                let press = self.press(&self.requests[&id], now);
                if best.is_none_or(|b| press > b.0) {
                    best = Some((press, q, id));
                }
            }
            let Some((_, q, id)) = best else { return };
            if let Some(k) = self.choose(now, id, full) {
                self.queues[q].remove(skip[q]);
                self.send(now, id, k, out);
            } else {
                let r = &self.requests[&id];
                skip[q] = if r.home.is_some() || !r.attempts.is_empty() {
                    skip[q] + 1
                } else {
                    usize::MAX
                };
                looks -= 1;
            }
        }
    }

    /// How pressing a request is: its worth for the time it takes, discounted by its slack. Worth decides
    /// under overload, urgency else.
    fn press(&self, r: &Request, now: Millis) -> f64 {
        let (c, work) = (
            &self.cfg.classes[r.class],
            self.class_ms[r.class].0.max(0.1) * r.size,
        );
        let worth = if self.cfg.weight_by_work {
            c.priority_weight * r.size
        } else {
            c.priority_weight
        };
        let slack = r.aim - now - work;
        let part = if r.over_share {
            self.cfg.over_quota_weight_fraction
        } else {
            1.0
        };
        let part = if slack < 0.0 {
            part * c.late_weight_fraction
        } else {
            part
        };
        part * worth / work * (-slack.max(0.0) / (SLACK_SCALE * c.latency_objective.max(1.0))).exp()
    }

    /// Gives a server's free slots to those who wait for it as their home, the most pressing first.
    fn serve(&mut self, now: Millis, k: usize, out: &mut Vec<Action>) {
        while self.servers[k].wanted > 0 && self.servers[k].free && self.out() < self.most_out() {
            let requests = &self.requests;
            self.servers[k]
                .line
                .retain(|id| requests.get(id).is_some_and(|r| r.waiting));
            let press = |id: &RequestId| self.press(&requests[id], now);
            let fits = |r: &Request| !r.may_have_run() && self.suits(k, r, now);
            let line = self.servers[k].line.iter().filter(|id| fits(&requests[id]));
            let Some(&id) = line.max_by(|a, b| press(a).total_cmp(&press(b))) else {
                return;
            };
            self.send(now, id, k, out);
        }
    }

    /// The server to which a request goes now, or `None` to hold it: the paper's D policy. With a `full`
    /// window pooled servers are busy, and only those are open whose budget lets them be.
    fn choose(&mut self, now: Millis, id: RequestId, full: bool) -> Option<usize> {
        let r = self.requests.get(&id)?;
        if let Some((first, group, until)) = self.bound(r) {
            // Resent only where its repeat is dropped, and only while it is remembered.
            let (all, first) = (&self.servers, &self.servers[first]);
            let open = |k: &usize| self.bands.is_open(*k) && (!full || all[*k].budgeted());
            let near = |k: &usize| all[*k].drops_repeats_of(first, group) && open(k);
            let fits = |k: &usize| near(k) && self.suits(*k, r, now);
            let best = (0..all.len())
                .filter(fits)
                .min_by(|a, b| all[*a].cost.total_cmp(&all[*b].cost));
            return best.filter(|_| now < until);
        }
        // A server back from a closing is tried with what may be repeated, if such requests come at all.
        let safe_class = |c: &Class| c.idempotency == Idempotency::Idempotent;
        let safe = r.effect == Idempotency::Idempotent || now - self.safe_at > BACKOFF_MAX;
        let home = r.home.filter(|&h| !r.tried(h));
        // Near its aim a request goes to any open server: holding it further would cost its worth.
        let urgent = r.aim - now < 1.5 * self.usual(r) + 2.0 * TICK;
        let (mut m, mut sum) = (0.0, 0.0);
        for band in &self.bands.bands {
            let n = band.open.len();
            let start = if n > 1 { self.rng.usize(0..n) } else { 0 };
            let fits = |k: &usize| {
                let s = &self.servers[*k];
                // ... or where what may be repeated is what it leaves unanswered.
                let mute = || {
                    self.cfg
                        .classes
                        .iter()
                        .zip(&s.by_class)
                        .any(|(c, h)| safe_class(c) && h.trial)
                };
                let sound = safe || !s.health.trial || self.doubt || mute();
                let open = !full || s.budgeted();
                open && sound && (urgent || s.free || home.is_some()) && self.suits(*k, r, now)
            };
            // Ties are broken at random; with a key, by its hash, so that its overflow too meets it again.
            let near =
                |a: &usize, b: &usize| self.score(*a, r.key).total_cmp(&self.score(*b, r.key));
            let found = match home {
                Some(_) => band
                    .open
                    .iter()
                    .map(|&k| k as usize)
                    .filter(fits)
                    .min_by(near),
                None => (0..n.min(8))
                    .map(|i| band.open[(start + i) % n] as usize)
                    .find(fits),
            };
            let Some(k) = found else {
                (m, sum) = (m + band.slots, sum + band.slots * band.speed);
                continue;
            };
            let Some((h, s)) = home.filter(|_| !full).map(|h| (h, &self.servers[h])) else {
                // Of all the pooled slots the window's are those that come free for this proxy.
                let part = if full {
                    (self.window / m).min(1.0)
                } else {
                    1.0
                };
                let (m, sum) = (m * part, sum * part);
                // Of the faster servers those closed to this class won't come free for it.
                let (m, sum) = (
                    m * (1.0 - self.blocked[r.class]),
                    sum * (1.0 - self.blocked[r.class]),
                );
                let go = m < 0.01 || urgent || {
                    let tau = threshold(m, self.rate * self.mean / sum, sum / m / band.speed);
                    self.waiting > tau as usize
                };
                return go.then_some(k);
            };
            let warm = self.gain / s.cost; // for its key the home is a faster server
            // One slower than elsewhere by more than its gain, warm as it is, is crowded by its keys or ill.
            // Yet to leave it makes work: not while requests wait for want of room.
            let crowded = self.waiting <= 1 && warm * self.gain < band.speed;
            if crowded || s.free {
                return Some(if crowded { k } else { h });
            }
            // The home's slots are the faster ones, and those who wait for it over all proxies the queue.
            let n = f64::from(self.cfg.proxy_count);
            let rho = self.rate * n * s.info.weight / self.rating * self.mean / (s.room * warm);
            let tau = threshold(s.room, rho, warm / band.speed);
            let go = urgent || f64::from(s.wanted) * n > f64::from(tau);
            return go.then_some(k);
        }
        home.filter(|&h| self.servers[h].free && (!full || self.servers[h].budgeted()))
    }

    /// Whether a server may get a request: first time there, its class not closed there (some servers leave
    /// one class unanswered and serve the rest), and nothing heavy while it is cold.
    fn suits(&self, k: usize, r: &Request, now: Millis) -> bool {
        let (s, l) = (&self.servers[k], &self.cfg.limits);
        let closed = s.by_class[r.class].closed > now && self.blocked[r.class] <= ALL_ILL;
        let heavy = s.fresh
            && self.usual(r) > COLD_PART * l.overload_multiple * s.warmth * l.overload_window;
        // A send is for mean work, and to save up for more takes one of many proxies too long: what is c
        // times as heavy may go with a chance of 1/c.
        let costly = || s.budgeted() && self.cost(k, r) > s.tokens.max(s.grant);
        !r.tried(k) && !closed && !heavy && !costly()
    }

    /// What a request takes of a cold server's budget, in requests of mean work.
    fn cost(&self, k: usize, r: &Request) -> f64 {
        let kind = &self.kinds[self.servers[k].kind];
        (self.usual(r) * kind.slow.0.max(0.2) / self.unit(kind)).clamp(COLD_COST.0, COLD_COST.1)
    }

    // ---- speeds and slots ----

    /// Judges anew how fast a server is, crossings counted as a delay.
    fn rate(&mut self, k: usize, warmth: f64, now: Millis) {
        let s = &self.servers[k];
        let kind = self.kinds[s.kind].slow.0;
        let slow = (s.slow.0 * s.slow.1 + kind * KIND_WEIGHT) / (s.slow.1 + KIND_WEIGHT);
        // A cold server's budget keeps it from crowding, so its like in a crowd say nothing of it.
        let calm = self.kinds[s.kind].core / self.mean;
        let slow = if s.fresh && warmth < 1.0 {
            slow.min(calm)
        } else {
            slow
        };
        let crosses = s.info.zone.is_some() && s.info.zone != self.cfg.zone;
        let cross = PULL * self.cfg.costs.cross_zone * self.longest_aim / self.mean;
        let cost = slow / warmth + if crosses { cross } else { 0.0 };
        let s = &mut self.servers[k];
        (s.cost, s.warmth, s.band) = (cost, warmth, self.bands.of(cost));
        self.place(k, now);
    }

    /// The part of its capacity that a server surely has: it warms at least evenly.
    fn warmth(&self, k: usize, now: Millis) -> f64 {
        let l = &self.cfg.limits;
        let age = self.servers[k]
            .info
            .started_at
            .map_or(1.0, |since| ((now - since) / l.warm_up).clamp(0.0, 1.0));
        l.initial_capacity_fraction + (1.0 - l.initial_capacity_fraction) * age
    }

    /// Judges anew whether a server is open, and to whom.
    fn place(&mut self, k: usize, now: Millis) {
        let (s, ticks) = (&self.servers[k], self.ticks / REVIEW);
        let (band, warmth) = (s.band, s.warmth);
        let ill = s.health.closed > now || s.blame > 1 && now - s.progress > STALE;
        // Doubt opens servers that look ill, not those that are merely full.
        let usable = s.told.is_none() && (!ill || self.doubt && !s.full);
        let cold = s.budgeted();
        let allowed = usable && (!s.health.trial || s.own == 0) && (!cold || s.tokens >= 1.0);
        let (held, room) = (f64::from(s.held()), s.room * warmth);
        let own =
            allowed && f64::from(s.own) < s.mine.max(if self.cfg.key_affinity { 1.0 } else { 0.0 });
        let (free, open) = if !self.cfg.gossip_enabled {
            (own, own.then_some(band)) // no word from others: only what is surely this proxy's
        } else if own && held < room && s.mine > 0.0 {
            (true, Some(band))
        } else {
            // All proxies see the same idle slots of others. Each may borrow at a random part of the servers
            // only, drawn anew every few ticks, so that about one proxy comes for each idle slot.
            let chance = (room - held) / f64::from(self.cfg.proxy_count);
            let lucky = draw(s.info.id.0 ^ ticks, u64::from(self.cfg.proxy_index)) < chance;
            let free = allowed && held + 0.5 < room;
            (
                free,
                (free && lucky).then(|| (band + BORROW).min(BANDS - 1)),
            )
        };
        let slots = if usable { s.mine * warmth } else { 0.0 };
        let (s, helps) = (&mut self.servers[k], cold && open.is_some());
        self.helpers = self.helpers - usize::from(s.helps) + usize::from(helps);
        (s.free, s.helps) = (free, helps);
        self.bands.file(k, band, slots, open);
    }

    /// Whether this proxy's part of all slots is too small to do without the others': a few servers of one's
    /// own leave long waits, in proportion to (1 + cv²) / slots (Pollaczek and Khinchine).
    fn pools(&self) -> bool {
        let own = self.mean_room * f64::from(self.listed) / f64::from(self.cfg.proxy_count);
        !self.cfg.gossip_enabled
            && self.cfg.proxy_count > 1
            && own < OWN_LEAST * self.spread.0 / 2.0
    }

    /// Requests that this proxy has out, those left out that are silent: they are lost, and no load. Nor are
    /// those at cold servers counted: what holds them is a budget.
    fn out(&self) -> usize {
        self.running.len() - self.silent - self.budgeted
    }

    /// Requests that this proxy may have out.
    fn most_out(&self) -> usize {
        if self.pools() {
            self.window as usize
        } else {
            usize::MAX
        }
    }

    /// An answer from a warm server fits the window: one that eats up its aim, or took far longer than on
    /// calm servers, narrows it. The aim alone lets many proxies crowd few servers until they hold several
    /// times what they work on, and then do less. A server that is slow by itself says nothing of others.
    fn heed(&mut self, k: usize, class: usize, latency: Millis, size: f64, load: LoadReport) {
        let kind = &self.kinds[self.servers[k].kind];
        let calm = kind.core / self.mean * self.class_ms[class].0 * size;
        // Calm may have been learnt in a crowd: what the server tells of itself goes before it.
        let crowded = load
            .per_core(self.servers[k].cores)
            .is_some_and(|n| n > CROWD);
        let good = !crowded
            && latency < (CALM * calm).min(LATE * self.cfg.classes[class].latency_objective);
        if good || self.servers[k].slow.0 <= OUTLIER * kind.slow.0 {
            self.fit_window(good);
        }
    }

    /// Widens or narrows that window.
    fn fit_window(&mut self, good: bool) {
        let used = self.out() as f64 + 2.0 > self.window;
        let step = if used {
            WINDOW_STEP * (self.window / WINDOW_FIRST).min(1.0)
        } else {
            0.0
        };
        let window = if good {
            self.window + step
        } else {
            self.window * WINDOW_CUT
        };
        self.window = window.clamp(WINDOW_LEAST, self.servers.len().max(4) as f64);
    }

    /// How many of a server's slots are this proxy's own: each has one owner among the proxies of the
    /// server's zone, or among all where there is none, by a hash that all of them share. To count them asks
    /// every proxy for every slot, so the count is kept.
    fn owned(&mut self, k: usize, slots: u32) -> u32 {
        if let Some((_, count)) = self.servers[k].owned.filter(|o| o.0 == slots) {
            return count;
        }
        let info = &self.servers[k].info;
        let near =
            |i: &u32| self.zones[*i as usize].is_none() || self.zones[*i as usize] == info.zone;
        let any = (0..self.cfg.proxy_count).any(|i| near(&i));
        let score = |slot: u32, i: u32| draw(info.id.0 ^ u64::from(slot), u64::from(i));
        let owner = |slot: &u32| {
            let proxies = (0..self.cfg.proxy_count).filter(|i| near(i) || !any);
            proxies.max_by(|&a, &b| score(*slot, a).total_cmp(&score(*slot, b)))
                == Some(self.cfg.proxy_index)
        };
        let count = (0..slots.min(MOST_SLOTS)).filter(owner).count() as u32;
        self.servers[k].owned = Some((slots, count));
        count
    }

    /// How many slots a server has, and which of them are this proxy's own.
    fn size(&mut self, k: usize) {
        let s = &self.servers[k];
        // A rating is cores times speed; on the slowest kind a core has about the speed of the yardstick.
        let rating = if self.cfg.weight_meaning == WeightMeaning::Capacity {
            s.info.weight
        } else {
            1.0
        };
        let (which, kind) = (s.kind, &self.kinds[s.kind]);
        let cores = rating * (kind.core / self.slowest).min(1.0);
        let room = (FULLNESS * kind.throttle * cores).max(1.0);
        let slots = (room + draw(s.info.id.0, 0)).floor() as u32;
        let mine = if self.pools() {
            1.0 // one slot on every server
        } else {
            // Each slot belongs to one proxy, of the server's zone if there is one: no two see it open.
            f64::from(self.owned(k, slots))
        };
        self.kinds[which].cores = cores.max(1.0);
        let s = &mut self.servers[k];
        (s.cores, s.room, s.mine) = (cores.max(1.0), room, mine);
        s.weight = 1.0 / (s.info.weight * s.warmth).max(1e-6);
    }

    /// Learns from an answer how slow a server is; failures and cold servers prove nothing of their like.
    fn learn(&mut self, k: usize, class: usize, latency: Millis, home: bool, lone: bool) {
        self.learn_gain(k, class, latency, home, CLASS_SAMPLES);
        let s = &mut self.servers[k];
        let warmth = s.warmth;
        let factor = if home { 1.0 / self.gain } else { 1.0 } / warmth;
        let sample = (latency / (self.class_ms[class].0.max(0.01) * factor)).min(20.0);
        let relative = (sample / s.slow.0.max(0.05)).min(HANG); // more counts as silence
        average(&mut self.spread, relative * relative, SPREAD_SAMPLES);
        average(&mut s.slow, sample, SAMPLES);
        if warmth >= 1.0 {
            average(
                &mut self.class_ms[class],
                latency / (s.slow.0.max(0.05) * factor),
                CLASS_SAMPLES,
            );
            let kind = &mut self.kinds[s.kind];
            let usual = sample.min(OUTLIER * kind.slow.0); // a few slow servers are not the kind
            average(&mut kind.slow, usual, CLASS_SAMPLES);
            if lone {
                average(&mut kind.lone, usual * self.mean, CLASS_SAMPLES);
            }
        }
    }

    /// What is the gain of a warm server? Compares answers from homes with the others, each for its
    /// server's speed.
    fn learn_gain(&mut self, k: usize, class: usize, latency: Millis, home: bool, samples: f64) {
        if self.cfg.key_affinity {
            let s = &self.servers[k];
            let sample = latency * s.warmth / (s.slow.0.max(0.05) * self.class_ms[class].0);
            average(
                &mut self.temper[usize::from(home)],
                sample.min(20.0),
                samples,
            );
            self.gain = (self.temper[0].0 / self.temper[1].0.max(0.01)).clamp(1.1, 8.0);
        }
    }

    /// How long a request usually takes.
    fn usual(&self, r: &Request) -> Millis {
        self.class_ms[r.class].0 * r.size
    }

    /// The mean latency over all classes, by their answers.
    fn mean_latency(&self) -> Millis {
        let all = |(s, w): (f64, f64), c: &(f64, f64)| (s + c.0 * (c.1 + 0.01), w + c.1 + 0.01);
        let (sum, weight) = self.class_ms.iter().fold((0.0, 0.0), all);
        if weight > 0.0 {
            (sum / weight).max(0.01)
        } else {
            1.0
        }
    }

    // ---- health ----

    /// Notes which part of attempts fails at sound servers too, by class and in all: the lower quartile over
    /// the listed ones that `least` answers or more tell of, so that a few ill servers don't count.
    fn note_common(&mut self, least: f64) {
        for class in 0..self.common.len() {
            let health = |s: &Server| s.by_class.get(class).unwrap_or(&s.health).faulty;
            let known = self
                .servers
                .iter()
                .filter(|s| s.told.is_none())
                .map(health)
                .filter(|f| f.1 >= least);
            let mut parts: Vec<f64> = known.map(|f| f.0).collect();
            parts.sort_by(f64::total_cmp);
            self.common[class] = parts.get(parts.len() / 4).copied().unwrap_or(0.0);
        }
    }

    /// Counts the listed servers and those of them that are closed as ill, and notes for each class the part
    /// that is closed to it.
    fn census(&mut self, now: Millis) -> (f64, f64) {
        let listed: Vec<&Server> = self.servers.iter().filter(|s| s.told.is_none()).collect();
        let up = listed.len() as f64 + 0.01;
        for (class, part) in self.blocked.iter_mut().enumerate() {
            *part = listed
                .iter()
                .filter(|s| s.by_class[class].closed > now)
                .count() as f64
                / up;
        }
        (
            up,
            listed
                .iter()
                .filter(|s| s.health.closed > now && !s.full)
                .count() as f64,
        )
    }

    /// How long it takes until this proxy has been asked for as much as there are servers: about the span
    /// between two of its requests to one of them; the longest closing at most.
    fn meeting(&self) -> Millis {
        (f64::from(self.listed) / self.rate.max(1e-9)).min(BACKOFF_MAX)
    }

    /// Judges a server by how an attempt ended or that it is silent, as a whole and for the class alone: some
    /// fail or ignore one class and look well by the others. Should help too where a build breaks one class
    /// or a class's own dependency fails; harms where a kind is slow by nature at one class. A class's
    /// closing is longer, as each trial may cost a request.
    fn judge(&mut self, k: usize, class: usize, outcome: Outcome, now: Millis) {
        let (good, full) = (outcome == Outcome::Served, outcome == Outcome::Overloaded);
        let (meeting, proxies) = (self.meeting(), self.cfg.proxy_count);
        let gain = if outcome == Outcome::ConnectFailed {
            DIAL_GAIN
        } else {
            FAIL_GAIN
        };
        let s = &mut self.servers[k];
        (s.progress, s.full) = if good {
            (now, s.full)
        } else {
            (s.progress, full)
        };
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let (all, of_class) = (self.common[self.common.len() - 1], self.common[class]);
        for (h, common, longer) in [
            (&mut s.health, all, 1.0),
            (&mut s.by_class[class], of_class, CLASS_BACKOFF),
        ] {
            let limit = fail_limit(common);
            average(&mut h.faulty, f64::from(u8::from(!good)), FAULT_SAMPLES);
            if good {
                h.fails *= 1.0 - FAIL_GAIN / 2.0;
                h.trial &= h.fails > limit / 2.0;
                h.backoff = if h.trial { h.backoff } else { BACKOFF };
                // An answer also lifts a closing that was mere slowness.
                h.closed = if h.fails < limit {
                    h.closed.min(now)
                } else {
                    h.closed
                };
            } else {
                h.fails += gain * (1.0 - h.fails);
                if h.fails > limit && h.closed <= now {
                    close(
                        h,
                        now,
                        stretch(longer * h.backoff, meeting, proxies) * jitter,
                    );
                }
            }
        }
    }

    // ---- attempts, time-outs, final answers ----

    fn send(&mut self, now: Millis, id: RequestId, k: usize, out: &mut Vec<Action>) {
        // Did it find the server idle? Only others' word tells.
        let lone =
            self.cfg.gossip_enabled && self.news < NEWS * self.mean && self.servers[k].held() == 0;
        let begin_by = self.bound(&self.requests[&id]).map(|(.., until)| until);
        self.begin(now, id, k, lone);
        let cost = self.servers[k]
            .budgeted()
            .then(|| self.cost(k, &self.requests[&id]));
        let s = &mut self.servers[k];
        s.progress = if s.own == 0 { now } else { s.progress };
        s.own += 1;
        if let Some(cost) = cost {
            s.tokens -= if s.tokens < cost { cost.min(1.0) } else { cost };
            s.grant = 1.0 / (self.rng.f64() + 1e-9);
        }
        let backend = s.info.id;
        let timeout = self.give_up(now, id, k);
        out.push(Action::Forward {
            request: id,
            endpoint: backend,
            timeout,
            start_by: begin_by,
        });
        self.place(k, now);
    }

    /// How long a silent server is listened to before a request is tried elsewhere: where answers get lost,
    /// as long as it takes to tell, if it may be repeated and that can still be in time.
    fn give_up(&mut self, now: Millis, id: RequestId, k: usize) -> Option<Millis> {
        let r = &self.requests[&id];
        let usual = self.usual(r);
        let patience = HANG * usual * self.servers[k].slow.0 / self.warmth(k, now) + TICK;
        let safe = r.effect == Idempotency::Idempotent && r.whole;
        let again = r.attempts.len() < r.most;
        let in_time = now + patience + 2.0 * usual < r.aim.min(r.due - MARGIN);
        let lost = self.lost.0 > LOST && self.rng.f64() >= LOST_WATCHED;
        (safe && again && in_time && lost).then_some(patience)
    }

    /// A request that was still coming in has gone out whole: its time begins, and its server's work.
    fn whole(&mut self, now: Millis, id: RequestId, budget: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.whole) else {
            return;
        };
        r.whole = true;
        (r.aim, r.due) = (
            now + self.cfg.classes[r.class].latency_objective.min(budget),
            now + budget,
        );
        r.attempts
            .iter_mut()
            .filter(|a| !a.over)
            .for_each(|a| a.sent = now);
    }

    /// The client owns an answer that has begun. Where its server has done its work, it is judged by that and
    /// is free for others; how fast a client reads says nothing of it.
    fn started(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: usize,
        worked: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.started = true;
        if let Some(a) = r.attempts.get(attempt).filter(|a| worked && !a.over) {
            let latency = now - a.sent;
            self.credit(now, id, attempt, latency, Outcome::Served, out);
        }
    }

    /// Takes in what an answer tells of its server's load.
    fn note(&mut self, id: RequestId, attempt: usize, load: LoadReport) {
        let attempt = self
            .requests
            .get_mut(&id)
            .and_then(|r| r.attempts.get_mut(attempt));
        attempt.into_iter().for_each(|a| a.load = load);
    }

    fn ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: usize,
        latency: Millis,
        outcome: Outcome,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get(attempt) else {
            return;
        };
        let (over, k, class) = (a.over, a.server, r.class);
        r.done |= closed;
        if over {
            if r.started && !matches!(outcome, Outcome::Served | Outcome::Cancelled) {
                self.judge(k, class, outcome, now); // it broke off what it had begun
                self.place(k, now);
            }
            if closed {
                self.finish(id);
            }
            return;
        }
        self.credit(now, id, attempt, latency, outcome, out);
        let r = &self.requests[&id];
        if r.done {
            return self.finish(id);
        }
        let time = now + self.usual(r) < r.due - MARGIN;
        // No storms: further attempts come out of a budget that arrivals fill.
        if time && self.may_repeat(r, now) && self.retries >= 1.0 {
            self.retries -= 1.0;
            self.enqueue(id, true);
        } else {
            self.answer(id, out);
        }
    }

    /// Learns from how an attempt ended, and gives its slot to another.
    fn credit(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: usize,
        latency: Millis,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt) else {
            return;
        };
        (a.over, a.ran) = (true, outcome.may_have_run());
        let (k, lone, load, silent, budgeted) = (a.server, a.lone, a.load, a.silent, a.budgeted);
        let (class, size, home) = (r.class, r.size, r.home);
        self.running.retain(|o| *o != id);
        self.silent -= usize::from(silent);
        self.budgeted -= usize::from(budgeted && !silent);
        if silent && matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            average(
                &mut self.lost,
                f64::from(u8::from(outcome == Outcome::TimedOut)),
                LOST_SAMPLES,
            );
        }
        if !silent && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            // Given up, yet it may still occupy the server: its slot stays taken until it plausibly ends.
            self.ghosts
                .push_back((now + 2.0 * self.class_ms[class].0, k));
        } else {
            self.servers[k].own -= u32::from(!silent); // a silent one gave it back before
        }
        self.success +=
            (f64::from(u8::from(outcome == Outcome::Served)) - self.success) / CLASS_SAMPLES;
        match outcome {
            Outcome::Served => {
                if !budgeted {
                    self.heed(k, class, latency, size, load);
                }
                self.learn(k, class, latency / size, home == Some(k), lone);
                self.judge(k, class, outcome, now);
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::TimedOut if silent => {} // blamed already
            _ => self.judge(k, class, outcome, now),
        }
        if outcome == Outcome::Overloaded {
            self.fit_window(false);
        }
        self.place(k, now);
        self.serve(now, k, out);
    }

    /// Gives the final answer: a refusal where it surely had no effect, else a failure.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.started) else {
            return;
        };
        let harmless = matches!(
            r.effect,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let harmless = harmless || !r.may_have_run();
        let retry_after = self
            .cfg
            .max_retry_after
            .map(|most| self.queueing().clamp(self.mean.min(most), most));
        let refuse = Action::Reject {
            request: id,
            retry_after,
        };
        out.push(if harmless { refuse } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Refuses a request that the process has no room for, and asks those turned away together back at
    /// different times.
    fn turn_away(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        let spread = 1.0 + self.rng.f64();
        let retry_after = self
            .cfg
            .max_retry_after
            .map(|most| wait.max(1.0).min(0.5 * most) * spread);
        out.push(Action::Reject {
            request: id,
            retry_after,
        });
    }

    /// How long those who wait now will take to go out: a client that comes back sooner only lengthens it.
    fn queueing(&self) -> Millis {
        let slots: f64 = self.bands.bands.iter().map(|b| b.slots).sum();
        self.waiting as f64 * self.mean / slots.max(1.0)
    }

    /// When a request stops being of use: at its aim, unless a late answer earns something and has room.
    fn end(&self, r: &Request) -> Millis {
        let late = self.cfg.classes[r.class].late_weight_fraction > 0.0;
        let crowded = r.waiting && self.waiting > self.out();
        if late && !crowded {
            r.due
        } else {
            r.aim.min(r.due)
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer {
            token: 0,
            at: now + TICK,
        });
        self.ticks += 1;
        self.settle(now, TICK);
        for q in 0..self.queues.len() {
            let late = |r: &Request| now + MARGIN.max(0.5 * self.usual(r)) > self.end(r);
            let useless =
                |id: &RequestId| self.requests.get(id).is_some_and(|r| r.waiting && late(r));
            let ids: Vec<RequestId> = self.queues[q].iter().copied().filter(useless).collect();
            ids.into_iter().for_each(|id| self.answer(id, out));
        }
        for i in (0..self.running.len()).rev() {
            self.watch(now, self.running[i], out);
        }
        if self.ticks % REVIEW == 0 {
            self.review(now);
        }
        if self.cfg.discovery == Discovery::OnRequest && !self.subscribed && now >= self.ask_at {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
        self.tell(now, out);
    }

    /// Looks after a running request: is its server hung, is it still of use?
    fn watch(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.whole) else {
            return;
        }; // else none has begun it
        let usual = self.usual(r);
        let patience = |a: &Attempt| {
            HANG * usual * self.servers[a.server].slow.0.max(1.0) / self.warmth(a.server, now)
        };
        let silent = |a: &Attempt| !a.over && !a.silent && now - a.sent > patience(a);
        if let Some(i) = r.attempts.iter().position(silent) {
            let (k, class, s) = (
                r.attempts[i].server,
                r.class,
                &self.servers[r.attempts[i].server],
            );
            // With nothing else there, its silence is all there is to go by: answers lost on a path that all
            // servers share look the same.
            let proves = s.own > 1 || self.common[self.common.len() - 1] < HANG_RARE;
            let meeting = self.meeting();
            let hung =
                proves && s.health.closed <= now && now - s.progress > patience(&r.attempts[i]);
            self.judge(k, class, Outcome::TimedOut, now);
            let s = &mut self.servers[k];
            if hung {
                let span = stretch(s.health.backoff, meeting, self.cfg.proxy_count);
                let span = span.max(HANG * usual); // nothing else has moved there
                close(&mut s.health, now, span);
            }
            s.own -= 1; // the slot is free for other classes
            self.silent += 1; // and so is its place in the window
            let attempt = &mut self.requests.get_mut(&id).expect("just seen").attempts[i];
            attempt.silent = true;
            self.budgeted -= usize::from(attempt.budgeted);
            self.place(k, now);
        }
        let r = &self.requests[&id];
        if !r.done && !r.started && now + 1.5 * TICK > self.end(r) {
            out.push(Action::Timer {
                token: id.0 + 1,
                at: self.end(r) - LEAST,
            });
        }
    }

    /// For a keyed request that may have run: the server tried first, who drops repeats, and until when.
    fn bound(&self, r: &Request) -> Option<(usize, DeduplicationScope, Millis)> {
        let Idempotency::IdempotencyKey {
            scope: group,
            window,
        } = r.effect
        else {
            return None;
        };
        r.attempts
            .iter()
            .find(|a| a.ran)
            .map(|a| (a.server, group, a.sent + window))
    }

    /// Whether another attempt is allowed, by the request's effect and the count of attempts.
    fn may_repeat(&self, r: &Request, now: Millis) -> bool {
        let harmless = r.effect == Idempotency::Idempotent || !r.may_have_run();
        let dropped = || self.bound(r).is_some_and(|(.., until)| now < until);
        (harmless || dropped()) && !r.spent && r.attempts.len() < r.most
    }

    // ---- cold starts and drains ----

    /// Brings counters up to date: arrival rate, allowances, slots of attempts given up, silent peers.
    fn settle(&mut self, now: Millis, tick: Millis) {
        let span = now - self.rate_at;
        if span >= 10.0 * tick {
            let gain = if self.rate == 0.0 {
                1.0
            } else {
                1.0 - (-span / RATE_SPAN).exp()
            };
            self.rate += gain * (self.arrivals / span - self.rate);
            (self.arrivals, self.rate_at) = (0.0, now);
        }
        for (left, tenant) in self.allowance.iter_mut().zip(&self.cfg.tenants) {
            let rate = tenant.quota_per_second / 1000.0 / f64::from(self.cfg.proxy_count);
            *left = (*left + rate * tick).min(rate * 1000.0 + 1.0);
        }
        while self.ghosts.front().is_some_and(|g| g.0 <= now) {
            let (_, k) = self.ghosts.pop_front().expect("just seen");
            self.servers[k].own -= 1;
            self.place(k, now);
        }
        for from in 0..self.peers.len() {
            if self.peers[from]
                .as_ref()
                .is_some_and(|p| now - p.heard > STALE)
            {
                self.unhear(from)
                    .into_iter()
                    .for_each(|k| self.place(k, now));
            }
        }
    }

    /// What a request of mean work takes on a calm server of a kind, as waits in a crowd are not work: the
    /// unit of a cold server's budget.
    fn unit(&self, kind: &Kind) -> Millis {
        kind.core.min(self.mean * kind.slow.0.max(0.2))
    }

    /// Looks over all servers: slots, budgets of cold ones, closings that end, how many look ill.
    fn review(&mut self, now: Millis) {
        self.mean = self.mean_latency();
        let listed = self.servers.iter().filter(|s| s.told.is_none());
        let add = |(rooms, slow), s: &Server| (rooms + s.room, slow + self.kinds[s.kind].slow.0);
        let (rooms, slow) = listed.fold((0.0, 0.0), add);
        let many = f64::from(self.listed.max(1));
        (self.mean_room, self.pace) = (rooms / many, self.mean * slow / many);
        let pools = self.pools();
        let short = self.waiting > 0 && !pools;
        for kind in self
            .kinds
            .iter_mut()
            .filter(|k| k.slow.1 >= 3.0 * KIND_WEIGHT)
        {
            // Overfilled servers are slow all alike and look as if they had more cores: against that jam a
            // kind whose latency has left its calm level gets fewer slots until it is back.
            let latency = kind.slow.0 * self.mean;
            kind.throttle = if kind.calm.is_finite() {
                kind.throttle
            } else {
                1.0
            }; // at last measured
            // What ends first is short and may pass for calm. With one slot on each server no request crowds
            // another: what they take then is calm.
            let alone = !pools && FULLNESS * kind.throttle * kind.cores <= 1.0;
            kind.calm = latency.min(kind.calm * if alone { ALONE_CREEP } else { CALM_CREEP });
            kind.core = if kind.lone.1 >= KIND_WEIGHT {
                kind.lone.0
            } else {
                kind.calm
            };
            let calm = kind.calm.max(kind.core * (1.0 + 0.5 / kind.cores));
            let grow = if short { THROTTLE_STEP } else { 1.02 };
            let step = (CROWDED * calm / latency).clamp(0.95, grow);
            // A size tells little of how many requests a machine can hold. While some wait here and its
            // kind is calm, it is given more; what it has been given it keeps while it stays calm.
            let most = if short {
                THROTTLE_MOST
            } else {
                kind.throttle.max(1.0)
            };
            kind.throttle = (kind.throttle * step).clamp(THROTTLE_MIN, most);
        }
        self.slowest = self
            .kinds
            .iter()
            .map(|k| k.core)
            .filter(|c| c.is_finite())
            .fold(0.0, f64::max);
        self.note_common(KIND_WEIGHT);
        let (up, ill) = self.census(now);
        self.doubt = ill > ALL_ILL * up || ill > DISTRUST * up && self.success < DISTRUST;
        for k in 0..self.servers.len() {
            if k as u64 % 8 == self.ticks / REVIEW % 8 {
                self.size(k); // slots change slowly: an eighth of the servers each time
            }
            let warmth = self.warmth(k, now);
            let unit = self.unit(&self.kinds[self.servers[k].kind]);
            let s = &mut self.servers[k];
            if s.fresh && warmth < 1.0 {
                // An equal part of what its like can do, cut to what it surely can: so it stands in any case.
                let kind = &self.kinds[s.kind];
                let room = s.room / kind.throttle.max(1.0); // by its size: more is for warm ones
                let capacity = room / FULLNESS / unit;
                let rate = COLD_SHARE * self.cfg.limits.overload_multiple * warmth * capacity
                    / f64::from(self.cfg.proxy_count);
                s.tokens += rate * (now - s.tokens_at);
                let excess = s.tokens - 1.0 - rate * COLD_RIPE * self.cfg.limits.overload_window;
                if excess > 0.0 {
                    s.tokens -= excess.ceil(); // sends that nobody wanted in time
                    s.grant = 1.0 / (self.rng.f64() + 1e-9);
                }
                s.tokens_at = now;
            }
            self.rate(k, warmth, now);
        }
    }

    // ---- settings, discovery and peers ----

    /// Takes over new settings. What is known of servers and classes stays, and so do the requests under way.
    fn settle_on(&mut self, now: Millis, cfg: Settings) {
        let old = &self.cfg;
        let (me, proxies, zone) = (old.proxy_index, old.proxy_count, old.zone);
        let (discovery, rating, warm_keys, may_tell) = (
            old.discovery,
            old.weight_meaning,
            old.key_affinity,
            old.gossip_enabled,
        );
        if cfg.classes.len() < old.classes.len() || cfg.tenants.len() < old.tenants.len() {
            return; // numbers would change their meaning under requests that have them
        }
        self.cfg = Settings {
            proxy_index: me,
            proxy_count: proxies,
            zone,
            discovery,
            weight_meaning: rating,
            key_affinity: warm_keys,
            gossip_enabled: may_tell,
            ..cfg
        };
        self.longest_aim = self
            .cfg
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .fold(0.0, f64::max);
        self.resize(now);
    }

    /// So many proxies share the servers from here on. A cold server's budget is divided from this moment on.
    fn divide(&mut self, now: Millis, me: u32, proxies: u32) {
        if me >= proxies || (me, proxies) == (self.cfg.proxy_index, self.cfg.proxy_count) {
            return;
        }
        for from in proxies as usize..self.peers.len() {
            self.unhear(from)
                .into_iter()
                .for_each(|k| self.place(k, now));
        }
        self.peers.resize_with(proxies as usize, || None);
        self.zones.resize(proxies as usize, None);
        let part = f64::from(self.cfg.proxy_count) / f64::from(proxies);
        (self.cfg.proxy_index, self.cfg.proxy_count) = (me, proxies);
        for k in 0..self.servers.len() {
            let s = &mut self.servers[k];
            (s.owned, s.tokens) = (None, s.tokens * part.min(1.0));
            self.size(k);
            self.rate(k, self.warmth(k, now), now);
        }
    }

    fn list(&mut self, now: Millis, scope: UpdateScope, entries: Vec<Endpoint>) {
        if scope == UpdateScope::Failed {
            // Ask again, but not all proxies at once.
            (self.subscribed, self.ask_at) = (false, now + 500.0 + 1500.0 * self.rng.f64());
            return;
        }
        for k in self.record_all(now, scope == UpdateScope::Full, entries) {
            let s = &mut self.servers[k];
            if s.restarted {
                // A new process: cold, and nothing known against it. The random start of its budget keeps
                // the proxies from all sending their first request at once.
                (s.restarted, s.fresh, s.tokens, s.tokens_at) = (false, true, self.rng.f64(), now);
                s.grant = 1.0 / (self.rng.f64() + 1e-9);
                s.forgive(now, BACKOFF);
            }
            self.size(k);
            self.rate(k, self.warmth(k, now), now);
        }
    }

    /// Takes in what another proxy tells.
    fn hear(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        let Some((zone, blames, holds)) =
            unpack(bytes, &self.names).filter(|_| from < self.peers.len())
        else {
            return;
        };
        let before = self.unhear(from);
        blames.iter().for_each(|&k| self.servers[k].blame += 1);
        holds.iter().for_each(|&k| self.servers[k].peers += 1);
        for &k in before.iter().chain(&holds) {
            self.place(k, now);
        }
        if std::mem::replace(&mut self.zones[from], zone) != zone {
            self.servers.iter_mut().for_each(|s| s.owned = None);
        }
        self.peers[from] = Some(Peer {
            heard: now,
            holds,
            blames,
        });
    }

    /// Takes back what a peer told before; returns the servers where it held something.
    fn unhear(&mut self, from: usize) -> Vec<usize> {
        let Some(p) = self.peers[from].take() else {
            return Vec::new();
        };
        p.blames.iter().for_each(|&k| self.servers[k].blame -= 1);
        p.holds.iter().for_each(|&k| self.servers[k].peers -= 1);
        p.holds
    }

    /// Tells the other proxies what this one holds where, as often as its budget of bytes allows.
    fn tell(&mut self, now: Millis, out: &mut Vec<Action>) {
        let cost = (HEAD + 2 * (self.running.len() + self.ghosts.len())) as f64;
        let due = self.credit >= cost || now - self.told_at > STALE / 2.0;
        if self.cfg.gossip_enabled && self.cfg.proxy_count > 1 && due {
            self.news += 0.1 * (now - self.told_at - self.news); // others tell about as often
            (self.credit, self.told_at) = (self.credit - cost, now);
            out.push(Action::Broadcast(pack(self.cfg.zone, &self.servers, now)));
        }
    }
}
