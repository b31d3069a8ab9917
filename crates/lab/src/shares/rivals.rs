//! The ways that are played against each other. What the product uses stands in `fair-share`; the others are here alone.

use fair_share::{ProcessorSharing, TenantId};

use super::{Gate, Holding, terms};

/// Lets all in.
pub struct Open;

impl Gate for Open {
    fn admit(&mut self, _: f64, _: usize) -> bool {
        true
    }

    fn charge(&mut self, _: f64, _: usize, _: f64) {}
}

/// A bucket a tenant, filled by its part of the rate; what overflows fills a common one that anybody borrows from.
pub struct Buckets {
    rates: Vec<f64>,
    tokens: Vec<f64>,
    common: f64,
    burst: f64,
    at: f64,
}

impl Buckets {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let sum: f64 = weights.iter().sum();
        let rates: Vec<f64> = weights.iter().map(|w| rate * w / sum).collect();
        Buckets {
            tokens: vec![burst; rates.len()],
            rates,
            common: burst,
            burst,
            at: 0.0,
        }
    }

    fn fill(&mut self, now: f64) {
        let passed = (now - self.at).max(0.0);
        self.at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(&self.rates) {
            *tokens += rate * passed;
            self.common += (*tokens - self.burst).max(0.0);
            *tokens = tokens.min(self.burst);
        }
        self.common = self.common.min(self.burst);
    }
}

impl Gate for Buckets {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.fill(now);
        self.tokens[tenant] > 0.0 || self.common > 0.0
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.fill(now);
        if self.tokens[tenant] > 0.0 || self.common <= 0.0 {
            self.tokens[tenant] = (self.tokens[tenant] - work).max(-3.0 * self.burst);
        } else {
            self.common -= work;
        }
    }
}

/// Deficit rounds without a queue: in each round the tenants that asked in the one before get their quanta; what a round
/// left over is anybody's in the next.
pub struct Rounds {
    weights: Vec<f64>,
    asked: Vec<bool>,
    deficits: Vec<f64>,
    spare: f64,
    used: f64,
    quantum: f64,
    round: f64,
    burst: f64,
}

/// The length of a round in ms.
const ROUND: f64 = 10.0;

impl Rounds {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let many = weights.len();
        let (asked, deficits) = (vec![false; many], vec![0.0; many]);
        let quantum = rate * ROUND;
        Rounds {
            weights: weights.to_vec(),
            asked,
            deficits,
            spare: quantum,
            used: 0.0,
            quantum,
            round: 0.0,
            burst,
        }
    }

    fn turn(&mut self, now: f64) {
        if now < self.round + ROUND {
            return;
        }
        let rounds = ((now - self.round) / ROUND).floor();
        self.round += rounds * ROUND;
        let sum: f64 = self
            .weights
            .iter()
            .zip(&self.asked)
            .filter(|(_, a)| **a)
            .map(|(w, _)| w)
            .sum();
        for (i, deficit) in self.deficits.iter_mut().enumerate() {
            if std::mem::take(&mut self.asked[i]) {
                let quantum = self.quantum * self.weights[i] / sum;
                *deficit = (*deficit + rounds * quantum).min(quantum);
            } else {
                *deficit = deficit.min(0.0);
            }
        }
        self.spare = (rounds * self.quantum - self.used).clamp(0.0, self.quantum);
        self.used = 0.0;
    }
}

impl Gate for Rounds {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.turn(now);
        self.asked[tenant] = true;
        self.deficits[tenant] > 0.0 || self.spare > 0.0
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.turn(now);
        self.used += work;
        if self.deficits[tenant] > 0.0 || self.spare <= 0.0 {
            self.deficits[tenant] = (self.deficits[tenant] - work).max(-3.0 * self.burst);
        } else {
            self.spare -= work;
        }
    }
}

/// Backlogs by virtual time, as the product does it.
pub struct Virtual(ProcessorSharing);

impl Virtual {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let mut server = ProcessorSharing::new(rate);
        weights
            .iter()
            .enumerate()
            .for_each(|(i, w)| server.set_quota(0.0, TenantId(i), terms(*w, burst)));
        Virtual(server)
    }
}

impl Gate for Virtual {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.0.admit(now, TenantId(tenant)).is_ok()
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.0.charge(now, TenantId(tenant), work);
    }
}

/// Whoever comes gets what there is.
pub struct Unbounded {
    free: u64,
}

impl Unbounded {
    pub fn new(all: u64) -> Self {
        Unbounded { free: all }
    }
}

impl Holding for Unbounded {
    fn take(&mut self, _: f64, _: usize) -> bool {
        let got = self.free > 0;
        self.free -= u64::from(got);
        got
    }

    fn give(&mut self, _: usize) {
        self.free += 1;
    }
}

/// To each its part, used or not.
pub struct Split {
    free: Vec<u64>,
}

impl Split {
    pub fn new(weights: &[f64], all: u64) -> Self {
        let sum: f64 = weights.iter().sum();
        Split {
            free: weights
                .iter()
                .map(|w| (all as f64 * w / sum) as u64)
                .collect(),
        }
    }
}

impl Holding for Split {
    fn take(&mut self, _: f64, tenant: usize) -> bool {
        let got = self.free[tenant] > 0;
        self.free[tenant] -= u64::from(got);
        got
    }

    fn give(&mut self, tenant: usize) {
        self.free[tenant] += 1;
    }
}

/// A tenant may hold as much as is free, times its weight beside the mean (a dynamic threshold with a constant of 1).
pub struct Moving {
    factors: Vec<f64>,
    held: Vec<u64>,
    free: u64,
}

impl Moving {
    pub fn new(weights: &[f64], all: u64) -> Self {
        let mean = weights.iter().sum::<f64>() / weights.len() as f64;
        let factors: Vec<f64> = weights.iter().map(|w| w / mean).collect();
        Moving {
            held: vec![0; factors.len()],
            factors,
            free: all,
        }
    }
}

impl Holding for Moving {
    fn take(&mut self, _: f64, tenant: usize) -> bool {
        let got =
            self.free > 0 && (self.held[tenant] as f64) < self.factors[tenant] * self.free as f64;
        self.held[tenant] += u64::from(got);
        self.free -= u64::from(got);
        got
    }

    fn give(&mut self, tenant: usize) {
        self.held[tenant] -= 1;
        self.free += 1;
    }
}
