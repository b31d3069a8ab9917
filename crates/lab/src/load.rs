//! Generates the load: the first attempts of all client requests are drawn before the run, so a stalled proxy delays no
//! arrival. Also decides when a client retries.

use balancer::Millis;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

use crate::random::{Purpose, stream};
use crate::scenario::{Effect, FaultKind, Scenario};

/// A logical client request, which may take several client attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Time of the first client attempt.
    pub at: Millis,
    /// Index of the class in the scenario.
    pub class: usize,
    /// Index of the tenant in the scenario, if it has tenants.
    pub tenant: Option<usize>,
    /// Index of the client's zone.
    pub zone: usize,
    /// Request key.
    pub key: u64,
    /// Work in ms on a standard core.
    pub work: Millis,
    /// Whether the client honours `Retry-After`.
    pub honours_retry_after: bool,
}

/// Returns the load at a time relative to the base rate, from the periodic swing and the load steps.
fn load_factor(s: &Scenario, at: Millis) -> f64 {
    let wave = 1.0 + s.load.swing.0 * (std::f64::consts::TAU * at / s.load.period.0).sin();
    let steps = s
        .faults
        .iter()
        .filter(|f| f.kind == FaultKind::LoadStep && f.is_active(at));
    wave * steps.filter_map(|f| f.factor).product::<f64>()
}

/// Draws an index with probability proportional to its weight.
fn weighted_index(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        remaining -= w;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

/// Draws the first attempts of all client requests of a run, ordered by time.
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
    // Thinning: arrivals are drawn at the maximum rate, and each is kept with the ratio of the current to the maximum
    // rate.
    let steps = s
        .faults
        .iter()
        .filter(|f| f.kind == FaultKind::LoadStep)
        .filter_map(|f| f.factor);
    let max_factor = (1.0 + s.load.swing.0) * steps.map(|f| f.max(1.0)).product::<f64>();
    let rate = s.rate() * max_factor;
    let (mut requests, mut at) = (Vec::new(), 0.0);
    loop {
        let gap: f64 = rng.sample(Exp1);
        at += gap / rate;
        if at >= s.length.0 {
            return requests;
        }
        if rng.random::<f64>() * max_factor >= load_factor(s, at) {
            continue;
        }
        let mut key = zipf.sample(&mut rng) as u64;
        // During a launch, part of the requests are for a key that has not been requested before.
        for (n, launch) in launches.iter().enumerate().filter(|(_, l)| l.is_active(at)) {
            if rng.random::<f64>() < launch.share.map_or(0.0, |s| s.0) {
                key = s.load.keys + 1 + n as u64;
            }
        }
        let class = weighted_index(&mut rng, &classes);
        requests.push(ClientRequest {
            at,
            class,
            tenant: (!tenants.is_empty()).then(|| weighted_index(&mut rng, &tenants)),
            zone: rng.random_range(0..s.fleet.zones.len()),
            key,
            work: works[class].sample(&mut rng),
            honours_retry_after: rng.random::<f64>() < s.clients.honour.0,
        });
    }
}

/// Outcome of an attempt for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAttemptOutcome {
    /// Complete successful response.
    Served,
    /// Rejected, with the `Retry-After` span if there is one. A retry is safe.
    Rejected(Option<Millis>),
    /// Failed or incomplete response; the request may have run.
    Failed,
    /// No response within the client's timeout.
    GaveUp,
    /// No proxy accepted the request.
    Unreachable,
}

/// Returns the delay after which the client retries, or `None` if it does not retry.
///
/// A request that must not run twice is retried only after a rejection or if no proxy accepted it.
pub fn retry_delay(
    s: &Scenario,
    request: &ClientRequest,
    attempts: u32,
    now: Millis,
    outcome: ClientAttemptOutcome,
) -> Option<Millis> {
    let class = &s.classes[request.class];
    let safe_to_retry = match outcome {
        ClientAttemptOutcome::Served => return None,
        ClientAttemptOutcome::Rejected(_) | ClientAttemptOutcome::Unreachable => true,
        ClientAttemptOutcome::Failed | ClientAttemptOutcome::GaveUp => class.effect == Effect::Safe,
    };
    let impatient = s
        .faults
        .iter()
        .any(|f| f.kind == FaultKind::Impatient && f.is_active(now));
    let wait = match outcome {
        _ if impatient => 0.0,
        ClientAttemptOutcome::Rejected(Some(after)) if request.honours_retry_after => {
            after.max(s.clients.backoff.0)
        }
        _ => s.clients.backoff.0,
    };
    let in_time = now + wait < request.at + class.deadline.0;
    (safe_to_retry && in_time && attempts <= s.clients.retries).then_some(wait)
}

/// Returns the client's timeout for an attempt, limited to the remaining deadline.
pub fn attempt_timeout(s: &Scenario, request: &ClientRequest, now: Millis) -> Millis {
    let class = &s.classes[request.class];
    (s.clients.patience.0 * class.deadline.0).min(request.at + class.deadline.0 - now)
}

/// Selects a proxy as the load balancer in front of the proxies does: an available one in the client's zone, else any
/// available one, else any.
pub fn pick_proxy(
    rng: &mut impl Rng,
    proxies: usize,
    zones: usize,
    zone: usize,
    is_available: impl Fn(usize) -> bool,
) -> usize {
    let available: Vec<usize> = (0..proxies).filter(|p| is_available(*p)).collect();
    let same_zone: Vec<usize> = available
        .iter()
        .copied()
        .filter(|p| p % zones == zone)
        .collect();
    let candidates = if same_zone.is_empty() {
        available
    } else {
        same_zone
    };
    if candidates.is_empty() {
        rng.random_range(0..proxies)
    } else {
        candidates[rng.random_range(0..candidates.len())]
    }
}
