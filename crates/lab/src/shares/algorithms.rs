//! Algorithms that are compared. Those used by the proxy are in `fair-share`; the others exist only here.

use fair_share::{ProcessorSharing, TenantId};

use super::{PoolAlgorithm, RateAlgorithm, rate_quota};

/// Admits every request.
pub struct AdmitAll;

impl RateAlgorithm for AdmitAll {
    fn admit(&mut self, _: f64, _: usize) -> bool {
        true
    }

    fn charge(&mut self, _: f64, _: usize, _: f64) {}
}

/// Token bucket per tenant, filled with its share of the rate; overflow fills a shared bucket that any tenant can use.
pub struct TokenBuckets {
    rates: Vec<f64>,
    tokens: Vec<f64>,
    shared: f64,
    burst: f64,
    updated_at: f64,
}

impl TokenBuckets {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let sum: f64 = weights.iter().sum();
        let rates: Vec<f64> = weights.iter().map(|w| rate * w / sum).collect();
        TokenBuckets {
            tokens: vec![burst; rates.len()],
            rates,
            shared: burst,
            burst,
            updated_at: 0.0,
        }
    }

    fn fill(&mut self, now: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        self.updated_at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(&self.rates) {
            *tokens += rate * elapsed;
            self.shared += (*tokens - self.burst).max(0.0);
            *tokens = tokens.min(self.burst);
        }
        self.shared = self.shared.min(self.burst);
    }
}

impl RateAlgorithm for TokenBuckets {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.fill(now);
        self.tokens[tenant] > 0.0 || self.shared > 0.0
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.fill(now);
        if self.tokens[tenant] > 0.0 || self.shared <= 0.0 {
            self.tokens[tenant] = (self.tokens[tenant] - work).max(-3.0 * self.burst);
        } else {
            self.shared -= work;
        }
    }
}

/// Deficit round robin without a queue: in each round, tenants that were active in the previous one get their quanta; unused
/// time of a round is available to all in the next.
pub struct DeficitRoundRobin {
    weights: Vec<f64>,
    active: Vec<bool>,
    deficits: Vec<f64>,
    spare: f64,
    used: f64,
    quantum: f64,
    round: f64,
    burst: f64,
}

/// Length of a round.
const ROUND_MS: f64 = 10.0;

impl DeficitRoundRobin {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let count = weights.len();
        let (active, deficits) = (vec![false; count], vec![0.0; count]);
        let quantum = rate * ROUND_MS;
        DeficitRoundRobin {
            weights: weights.to_vec(),
            active,
            deficits,
            spare: quantum,
            used: 0.0,
            quantum,
            round: 0.0,
            burst,
        }
    }

    fn advance(&mut self, now: f64) {
        if now < self.round + ROUND_MS {
            return;
        }
        let rounds = ((now - self.round) / ROUND_MS).floor();
        self.round += rounds * ROUND_MS;
        let sum: f64 = self
            .weights
            .iter()
            .zip(&self.active)
            .filter(|(_, a)| **a)
            .map(|(w, _)| w)
            .sum();
        for (i, deficit) in self.deficits.iter_mut().enumerate() {
            if std::mem::take(&mut self.active[i]) {
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

impl RateAlgorithm for DeficitRoundRobin {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.advance(now);
        self.active[tenant] = true;
        self.deficits[tenant] > 0.0 || self.spare > 0.0
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.advance(now);
        self.used += work;
        if self.deficits[tenant] > 0.0 || self.spare <= 0.0 {
            self.deficits[tenant] = (self.deficits[tenant] - work).max(-3.0 * self.burst);
        } else {
            self.spare -= work;
        }
    }
}

/// Backlogs in virtual time, as in the proxy.
pub struct VirtualTime(ProcessorSharing);

impl VirtualTime {
    pub fn new(weights: &[f64], rate: f64, burst: f64) -> Self {
        let mut server = ProcessorSharing::new(rate);
        weights
            .iter()
            .enumerate()
            .for_each(|(i, w)| server.set_quota(0.0, TenantId(i), rate_quota(*w, burst)));
        VirtualTime(server)
    }
}

impl RateAlgorithm for VirtualTime {
    fn admit(&mut self, now: f64, tenant: usize) -> bool {
        self.0.admit(now, TenantId(tenant)).is_ok()
    }

    fn charge(&mut self, now: f64, tenant: usize, work: f64) {
        self.0.charge(now, TenantId(tenant), work);
    }
}

/// Grants units in order of arrival while any are free.
pub struct FirstComeFirstServed {
    free: u64,
}

impl FirstComeFirstServed {
    pub fn new(capacity: u64) -> Self {
        FirstComeFirstServed { free: capacity }
    }
}

impl PoolAlgorithm for FirstComeFirstServed {
    fn acquire(&mut self, _: f64, _: usize) -> bool {
        let acquired = self.free > 0;
        self.free -= u64::from(acquired);
        acquired
    }

    fn release(&mut self, _: usize) {
        self.free += 1;
    }
}

/// Reserves a fixed part for each tenant, whether used or not.
pub struct FixedPartition {
    free: Vec<u64>,
}

impl FixedPartition {
    pub fn new(weights: &[f64], capacity: u64) -> Self {
        let sum: f64 = weights.iter().sum();
        FixedPartition {
            free: weights
                .iter()
                .map(|w| (capacity as f64 * w / sum) as u64)
                .collect(),
        }
    }
}

impl PoolAlgorithm for FixedPartition {
    fn acquire(&mut self, _: f64, tenant: usize) -> bool {
        let acquired = self.free[tenant] > 0;
        self.free[tenant] -= u64::from(acquired);
        acquired
    }

    fn release(&mut self, tenant: usize) {
        self.free[tenant] += 1;
    }
}

/// Limits a tenant to the free amount times its weight relative to the mean weight (dynamic threshold with a constant of 1).
pub struct DynamicThreshold {
    factors: Vec<f64>,
    held: Vec<u64>,
    free: u64,
}

impl DynamicThreshold {
    pub fn new(weights: &[f64], capacity: u64) -> Self {
        let mean = weights.iter().sum::<f64>() / weights.len() as f64;
        let factors: Vec<f64> = weights.iter().map(|w| w / mean).collect();
        DynamicThreshold {
            held: vec![0; factors.len()],
            factors,
            free: capacity,
        }
    }
}

impl PoolAlgorithm for DynamicThreshold {
    fn acquire(&mut self, _: f64, tenant: usize) -> bool {
        let acquired =
            self.free > 0 && (self.held[tenant] as f64) < self.factors[tenant] * self.free as f64;
        self.held[tenant] += u64::from(acquired);
        self.free -= u64::from(acquired);
        acquired
    }

    fn release(&mut self, tenant: usize) {
        self.held[tenant] -= 1;
        self.free += 1;
    }
}
