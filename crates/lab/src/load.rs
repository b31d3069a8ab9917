//! The load: all first tries of a run, drawn ahead, so that a stalled proxy delays no arrival; and what a client does
//! after a try.

use balancer::Millis;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

use crate::random::{Purpose, stream};
use crate::scenario::{Effect, FaultKind, Scenario};

/// A request as a client wants it, whatever tries it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// When the first try is sent.
    pub at: Millis,
    /// Its class, a place in the scenario's.
    pub class: usize,
    /// Its tenant, if there are any.
    pub tenant: Option<usize>,
    /// The client's zone.
    pub zone: usize,
    /// What it is about.
    pub key: u64,
    /// Its work on a standard core.
    pub work: Millis,
    /// Whether its client waits as long as a refusal says.
    pub honours: bool,
}

/// How much of the plain rate is asked for at a time, by waves, steps and launches.
fn factor(s: &Scenario, at: Millis) -> f64 {
    let wave = 1.0 + s.load.swing.0 * (std::f64::consts::TAU * at / s.load.period.0).sin();
    let steps = s
        .faults
        .iter()
        .filter(|f| f.kind == FaultKind::LoadStep && f.holds(at));
    wave * steps.filter_map(|f| f.factor).product::<f64>()
}

/// A place in a list of weights.
fn weighted(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

/// Draws all first tries of a run, in the order of their times.
pub fn draw_requests(s: &Scenario, seed: u64) -> Vec<ClientRequest> {
    let mut rng = stream(seed, Purpose::Load);
    let zipf = Zipf::new(s.load.keys as f64, s.load.zipf).expect("the range has been checked");
    let works: Vec<LogNormal<f64>> = s
        .classes
        .iter()
        .map(|c| LogNormal::from_mean_cv(c.work.0, c.spread).expect("the range has been checked"))
        .collect();
    let classes: Vec<f64> = s.classes.iter().map(|c| c.share.0).collect();
    let tenants: Vec<f64> = s.tenants.iter().map(|t| t.share.0 * t.usage).collect();
    let launches: Vec<_> = s
        .faults
        .iter()
        .filter(|f| f.kind == FaultKind::Launch)
        .collect();
    // Arrivals at the highest rate, each kept with the chance that the rate of its moment has.
    let steps = s
        .faults
        .iter()
        .filter(|f| f.kind == FaultKind::LoadStep)
        .filter_map(|f| f.factor);
    let most = (1.0 + s.load.swing.0) * steps.map(|f| f.max(1.0)).product::<f64>();
    let rate = s.rate() * most;
    let (mut requests, mut at) = (Vec::new(), 0.0);
    loop {
        let gap: f64 = rng.sample(Exp1);
        at += gap / rate;
        if at >= s.length.0 {
            return requests;
        }
        if rng.random::<f64>() * most >= factor(s, at) {
            continue;
        }
        let mut key = zipf.sample(&mut rng) as u64;
        // The new title is a key that nobody asked for before.
        for (n, launch) in launches.iter().enumerate().filter(|(_, l)| l.holds(at)) {
            if rng.random::<f64>() < launch.share.map_or(0.0, |s| s.0) {
                key = s.load.keys + 1 + n as u64;
            }
        }
        let class = weighted(&mut rng, &classes);
        requests.push(ClientRequest {
            at,
            class,
            tenant: (!tenants.is_empty()).then(|| weighted(&mut rng, &tenants)),
            zone: rng.random_range(0..s.fleet.zones.len()),
            key,
            work: works[class].sample(&mut rng),
            honours: rng.random::<f64>() < s.clients.honour.0,
        });
    }
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAttemptOutcome {
    /// Served whole.
    Served,
    /// Refused: trying again is harmless, after this span if one is named.
    Refused(Option<Millis>),
    /// Failed, or an answer that broke: it may have run.
    Failed,
    /// No answer within the client's patience.
    GaveUp,
    /// No proxy took it.
    Unreachable,
}

/// What a client does after a try: the span after which it tries again, or `None` when it is done.
///
/// A request that must not run twice goes again only after a refusal, or where no proxy took it.
pub fn retry_delay(
    s: &Scenario,
    ask: &ClientRequest,
    tries: u32,
    now: Millis,
    end: ClientAttemptOutcome,
) -> Option<Millis> {
    let class = &s.classes[ask.class];
    let harmless = match end {
        ClientAttemptOutcome::Served => return None,
        ClientAttemptOutcome::Refused(_) | ClientAttemptOutcome::Unreachable => true,
        ClientAttemptOutcome::Failed | ClientAttemptOutcome::GaveUp => class.effect == Effect::Safe,
    };
    let impatient = s
        .faults
        .iter()
        .any(|f| f.kind == FaultKind::Impatient && f.holds(now));
    let wait = match end {
        _ if impatient => 0.0,
        ClientAttemptOutcome::Refused(Some(after)) if ask.honours => after.max(s.clients.backoff.0),
        _ => s.clients.backoff.0,
    };
    let in_time = now + wait < ask.at + class.deadline.0;
    (harmless && in_time && tries <= s.clients.retries).then_some(wait)
}

/// How long a try waits for its answer: the client's patience, within what is left of the deadline.
pub fn patience(s: &Scenario, ask: &ClientRequest, now: Millis) -> Millis {
    let class = &s.classes[ask.class];
    (s.clients.patience.0 * class.deadline.0).min(ask.at + class.deadline.0 - now)
}

/// The proxy that the front before them picks: one of the client's zone that it holds for alive, else any such one,
/// else any at all.
pub fn pick_proxy(
    rng: &mut impl Rng,
    proxies: usize,
    zones: usize,
    zone: usize,
    alive: impl Fn(usize) -> bool,
) -> usize {
    let any: Vec<usize> = (0..proxies).filter(|p| alive(*p)).collect();
    let near: Vec<usize> = any.iter().copied().filter(|p| p % zones == zone).collect();
    let among = if near.is_empty() { any } else { near };
    if among.is_empty() {
        rng.random_range(0..proxies)
    } else {
        among[rng.random_range(0..among.len())]
    }
}
