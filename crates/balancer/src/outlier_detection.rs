//! Outlier detection: ejects endpoints that fail or don't respond, either for all classes or for one class, and returns
//! them to service: after an ejection for all classes one request at a time, after an ejection for one class
//! immediately.
//!
//! Health is a moving average of failures, compared with a baseline: the fraction of attempts that fail at healthy
//! endpoints too. The backoff that determines the length of an ejection doubles with each further ejection. If nearly
//! all endpoints seem unhealthy, ejections are ignored (panic threshold). `attempts` and `stall_detection` handle
//! attempts and their timeouts.
//!
//! Events that eject an endpoint or end an ejection:
//!
//! | event | place | effect |
//! | --- | --- | --- |
//! | failure mean above its limit | `Health::record` | ejection, for all classes or for one |
//! | silent attempt that indicates a hang | `stall_detection`, `HealthRecord::eject_hanging` | ejection for all classes |
//! | ejected by several peers, no recent response to this proxy | `gossip::peers_confirm_ejection` | not open, without an ejection by this proxy |
//! | end of the ejection | `Health::is_ejected` | open again on probation, one request at a time (`availability`) |
//! | late response, failure mean below its limit | `Health::record_success` | the ejection ends immediately |
//! | failure mean well below its limit | `Health::record_success` | probation ends, backoff returns to its minimum |
//! | start of a new process | `endpoint_list`, `HealthRecord::reset` | failures and ejections are dropped |
//! | panic | `OutlierDetector::review`, `availability` | ejections for all classes are ignored, except for overload; probation and ejections for one class stay in effect |
//! | nearly all endpoints ejected for one class | `OutlierDetector::is_ejected_for` | ejections for that class are ignored |

use crate::ewma::Ewma;
use crate::health_snapshot::Ejection;
use crate::types::{Millis, Outcome};

/// Initial backoff.
pub(crate) const MIN_BACKOFF: Millis = 250.0;
/// Maximum backoff. An ejection may last longer: the backoff is extended if requests are rare, for an ejection for one
/// class, and by a random factor.
pub(crate) const MAX_BACKOFF: Millis = 4000.0;

/// Maximum length of an extended ejection, in intervals between two requests of this proxy to the endpoint.
const MAX_BACKOFF_INTERVALS: f64 = 4.0;
/// Minimum random factor on the length of an ejection.
const MIN_JITTER: f64 = 0.75;
/// Range of the random factor above its minimum.
const JITTER_RANGE: f64 = 0.5;
/// Factor by which an ejection for one class is longer, as each probe may cost a request.
const CLASS_EJECTION_FACTOR: f64 = 4.0;
/// Weight of a failed attempt in the failure mean: two consecutive failures eject the endpoint.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a failed connection attempt in the failure mean: no process is listening, so one failure ejects the
/// endpoint.
const CONNECT_FAILURE_WEIGHT: f64 = 0.5;
/// Weight of a successful attempt in the failure mean.
const SUCCESS_WEIGHT: f64 = FAILURE_WEIGHT / 2.0;
/// Failure mean below which probation ends, as a fraction of the limit for ejection.
const PROBATION_LIMIT_FRACTION: f64 = 0.5;
/// Growth factor of the backoff per further ejection.
const BACKOFF_FACTOR: f64 = 2.0;
/// Failure mean above which an endpoint is ejected if other endpoints hardly fail.
const MIN_FAILURE_LIMIT: f64 = 0.4;
/// Probability below which consecutive failures are not attributed to chance.
const CHANCE_LIMIT: f64 = 1e-4;
/// Upper bound on the baseline in the calculation of the failure limit.
const MAX_BASELINE: f64 = 0.5;
/// Number of attempts over which the fraction of failures is averaged.
const FAILURE_SAMPLES: f64 = 100.0;
/// Minimum number of attempts of an endpoint before it counts in the baseline.
const MIN_BASELINE_SAMPLES: f64 = 6.0;
/// Failure mean above which a snapshot includes the endpoint's health; two successes after a failure leave about this
/// value.
const MIN_SNAPSHOT_FAILURE_MEAN: f64 = 0.2;
/// Fraction of ejected endpoints above which ejections are ignored.
const PANIC_FRACTION: f64 = 0.9;
/// Fraction of ejected endpoints above which ejections are ignored while few attempts succeed.
const PANIC_FRACTION_LOW_SUCCESS: f64 = 0.5;
/// Fraction of successful attempts below which few attempts succeed.
const PANIC_SUCCESS_MEAN: f64 = 0.5;
/// Number of attempts over which success is averaged.
const SUCCESS_SAMPLES: f64 = 100.0;
/// Baseline below which one silent attempt indicates that the endpoint hangs.
const HANG_BASELINE: f64 = 0.003;
/// Minimum baseline whose logarithm is taken.
const MIN_BASELINE: f64 = 1e-9;
/// Minimum arrival rate per millisecond, used as a divisor.
const MIN_ARRIVAL_RATE: f64 = 1e-9;

/// Sample of an endpoint's health: the result of one attempt.
pub(crate) struct HealthSample {
    /// Index of the class.
    pub class: usize,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Time of the result.
    pub now: Millis,
    /// Random number in [0, 1) for the length of an ejection.
    pub jitter: f64,
}

/// Traffic of this proxy and its peers to one endpoint, which determines how often an ejected endpoint is probed.
#[derive(Clone, Copy)]
pub(crate) struct EndpointTraffic {
    /// Mean interval between two requests of this proxy to one endpoint, limited by the maximum backoff.
    pub interval: Millis,
    /// Number of proxies.
    pub proxy_count: u32,
}

impl EndpointTraffic {
    /// Computes the interval from the number of endpoints that accept requests and the arrival rate at this proxy.
    pub fn new(endpoints: u32, arrivals_per_ms: f64, proxy_count: u32) -> Self {
        let interval = f64::from(endpoints) / arrivals_per_ms.max(MIN_ARRIVAL_RATE);
        EndpointTraffic {
            interval: interval.min(MAX_BACKOFF),
            proxy_count,
        }
    }

    /// Extends an ejection if this proxy rarely sends requests to the endpoint: otherwise the next request would
    /// already probe the endpoint and be lost too. The factor is at most the number of proxies, so that all proxies
    /// together still probe the endpoint as often as a single proxy would.
    fn extend(self, ejection: Millis) -> Millis {
        let factor = (self.interval / MIN_BACKOFF)
            .min(f64::from(self.proxy_count))
            .max(1.0);
        (ejection * factor).min((MAX_BACKOFF_INTERVALS * self.interval).max(ejection))
    }
}

/// Health of an endpoint, for all classes or for one class.
#[derive(Clone)]
pub(crate) struct Health {
    failure_mean: f64,
    failure_fraction: Ewma,
    ejected_until: Millis,
    backoff: Millis,
    on_probation: bool,
}

impl Health {
    /// Creates the health of an endpoint without failures.
    pub fn new(now: Millis) -> Self {
        Health {
            failure_mean: 0.0,
            failure_fraction: Ewma::new(0.0, 0.0),
            ejected_until: now,
            backoff: MIN_BACKOFF,
            on_probation: false,
        }
    }

    /// Returns true if the endpoint is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until > now
    }

    /// Returns true from an ejection until responses have lowered the failure mean enough.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    fn eject(&mut self, now: Millis, length: Millis) {
        self.ejected_until = now + length;
        self.backoff = (BACKOFF_FACTOR * self.backoff).min(MAX_BACKOFF);
        self.on_probation = true;
    }

    fn record_success(&mut self, now: Millis, limit: f64) {
        self.failure_mean *= 1.0 - SUCCESS_WEIGHT;
        self.on_probation &= self.failure_mean > PROBATION_LIMIT_FRACTION * limit;
        if !self.on_probation {
            self.backoff = MIN_BACKOFF;
        }
        if self.failure_mean < limit {
            // The response shows that the endpoint was only slow.
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    fn record(
        &mut self,
        sample: &HealthSample,
        baseline: f64,
        ejection: impl Fn(Millis) -> Millis,
    ) {
        let failed = sample.outcome != Outcome::Served;
        let limit = failure_limit(baseline);
        self.failure_fraction
            .add(f64::from(u8::from(failed)), FAILURE_SAMPLES);
        if !failed {
            return self.record_success(sample.now, limit);
        }
        let weight = if sample.outcome == Outcome::ConnectFailed {
            CONNECT_FAILURE_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.failure_mean += weight * (1.0 - self.failure_mean);
        if self.failure_mean > limit && !self.is_ejected(sample.now) {
            self.eject(sample.now, ejection(self.backoff));
        }
    }

    /// Returns the state for a snapshot, if it differs significantly from that of a healthy endpoint.
    fn snapshot(&self, now: Millis) -> Option<Ejection> {
        let differs = self.is_ejected(now)
            || self.on_probation
            || self.failure_mean > MIN_SNAPSHOT_FAILURE_MEAN;
        differs.then_some(Ejection {
            failure_mean: self.failure_mean,
            ejected_until: self.ejected_until,
            backoff: self.backoff,
            on_probation: self.on_probation,
        })
    }

    fn restore(&mut self, ejection: &Ejection) {
        self.failure_mean = ejection.failure_mean;
        self.ejected_until = ejection.ejected_until;
        self.backoff = ejection.backoff;
        self.on_probation = ejection.on_probation;
    }
}

/// Returns the failure mean above which an endpoint is ejected, given the fraction `baseline` of attempts that fail at
/// healthy endpoints too: the mean after more consecutive failures than chance explains. Thus connection resets on a
/// network path that all endpoints share don't eject single endpoints.
fn failure_limit(baseline: f64) -> f64 {
    let consecutive_failures = CHANCE_LIMIT.ln() / baseline.clamp(MIN_BASELINE, MAX_BASELINE).ln();
    MIN_FAILURE_LIMIT.max(1.0 - (1.0 - FAILURE_WEIGHT).powf(consecutive_failures))
}

/// Health of an endpoint, for all classes and for each class. An endpoint may fail or ignore one class and serve the
/// others, for example if a build breaks that class or a dependency that only this class uses fails.
pub(crate) struct HealthRecord {
    overall: Health,
    by_class: Vec<Health>,
    overloaded: bool,
    last_progress: Millis,
}

impl HealthRecord {
    /// Creates the record of an endpoint without failures.
    pub fn new(classes: usize, now: Millis) -> Self {
        HealthRecord {
            overall: Health::new(now),
            by_class: vec![Health::new(now); classes],
            overloaded: false,
            last_progress: now,
        }
    }

    /// Adds records for new classes.
    pub fn resize(&mut self, classes: usize, now: Millis) {
        self.by_class.resize(classes, Health::new(now));
    }

    /// Drops failures and ejections, but keeps the flag of a rejection for overload.
    pub fn reset(&mut self, now: Millis) {
        self.overall = Health::new(now);
        self.by_class.fill(Health::new(now));
    }

    /// Returns the health for all classes.
    pub fn overall(&self) -> &Health {
        &self.overall
    }

    /// Returns the health for each class, by class index.
    pub fn by_class(&self) -> &[Health] {
        &self.by_class
    }

    /// Returns true if the last failure was a rejection for overload.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns true if the endpoint is ejected for failures other than overload.
    fn is_ejected_for_failures(&self, now: Millis) -> bool {
        self.overall.is_ejected(now) && !self.overloaded
    }

    /// Returns the time since the endpoint last served a response, or since the attempt that ended an idle period.
    pub fn stalled_for(&self, now: Millis) -> Millis {
        now - self.last_progress
    }

    /// Records a send to the endpoint while this proxy had no attempts in flight there.
    pub fn end_idleness(&mut self, now: Millis) {
        self.last_progress = now;
    }

    /// Ejects a hanging endpoint for at least `min_length`.
    pub fn eject_hanging(
        &mut self,
        now: Millis,
        endpoint_traffic: EndpointTraffic,
        min_length: Millis,
    ) {
        let length = endpoint_traffic
            .extend(self.overall.backoff)
            .max(min_length);
        self.overall.eject(now, length);
    }

    /// Returns the ejection for all classes for a snapshot.
    pub fn overall_snapshot(&self, now: Millis) -> Option<Ejection> {
        self.overall.snapshot(now)
    }

    /// Returns the ejections for single classes for a snapshot, by class index.
    pub fn class_snapshots(&self, now: Millis) -> impl Iterator<Item = (usize, Ejection)> {
        let snapshot =
            move |(class, health): (usize, &Health)| Some((class, health.snapshot(now)?));
        self.by_class.iter().enumerate().filter_map(snapshot)
    }

    /// Restores the ejection for all classes.
    pub fn restore_overall(&mut self, ejection: &Ejection) {
        self.overall.restore(ejection);
    }

    /// Restores the ejection for a class, if a class with this index still exists.
    pub fn restore_class(&mut self, class: usize, ejection: &Ejection) {
        if let Some(health) = self.by_class.get_mut(class) {
            health.restore(ejection);
        }
    }
}

/// Outlier detection over all endpoints.
pub(crate) struct OutlierDetector {
    baseline: f64,
    baseline_by_class: Vec<f64>,
    ejected_fraction_by_class: Vec<f64>,
    success_mean: f64,
    panic: bool,
}

impl OutlierDetector {
    /// Creates a detector that has seen no failures.
    pub fn new(classes: usize) -> Self {
        OutlierDetector {
            baseline: 0.0,
            baseline_by_class: vec![0.0; classes],
            ejected_fraction_by_class: vec![0.0; classes],
            success_mean: 1.0,
            panic: false,
        }
    }

    /// Adds state for new classes.
    pub fn resize(&mut self, classes: usize) {
        self.baseline_by_class.resize(classes, 0.0);
        self.ejected_fraction_by_class.resize(classes, 0.0);
    }

    /// Returns true if so many endpoints are ejected that ejections are ignored.
    pub fn is_panicking(&self) -> bool {
        self.panic
    }

    /// Returns the fraction of the endpoints accepting requests that is ejected for a class.
    pub fn ejected_fraction(&self, class: usize) -> f64 {
        self.ejected_fraction_by_class[class]
    }

    /// Returns true if an endpoint is ejected for a class and ejections for that class are in effect.
    pub fn is_ejected_for(&self, record: &HealthRecord, class: usize, now: Millis) -> bool {
        record.by_class[class].is_ejected(now)
            && self.ejected_fraction_by_class[class] <= PANIC_FRACTION
    }

    /// Returns true if one silent attempt indicates that its endpoint hangs. Without other attempts in flight at the
    /// endpoint, a response lost on a network path that all endpoints share looks the same, so that the silent attempt
    /// is no evidence unless the baseline is low.
    pub fn silence_indicates_hang(&self, in_flight: u32) -> bool {
        in_flight > 1 || self.baseline < HANG_BASELINE
    }

    /// Records the end of an attempt in the success mean of all attempts, on which the panic state depends. Every
    /// outcome other than served counts as a failure here, including cancelled and unsent attempts.
    pub fn record_attempt(&mut self, served: bool) {
        self.success_mean += (f64::from(u8::from(served)) - self.success_mean) / SUCCESS_SAMPLES;
    }

    /// Updates an endpoint's health by the result of an attempt.
    pub fn record(
        &self,
        record: &mut HealthRecord,
        sample: &HealthSample,
        endpoint_traffic: EndpointTraffic,
    ) {
        if sample.outcome == Outcome::Served {
            record.last_progress = sample.now;
        } else {
            record.overloaded = sample.outcome == Outcome::Overloaded;
        }
        let jitter = MIN_JITTER + JITTER_RANGE * sample.jitter;
        let ejection =
            |factor: f64| move |backoff: Millis| endpoint_traffic.extend(factor * backoff) * jitter;
        record.overall.record(sample, self.baseline, ejection(1.0));
        record.by_class[sample.class].record(
            sample,
            self.baseline_by_class[sample.class],
            ejection(CLASS_EJECTION_FACTOR),
        );
    }

    /// Recomputes baselines, ejected fractions and the panic state from the endpoints that accept requests.
    pub fn review(&mut self, accepting: &[&HealthRecord], now: Millis) {
        for (class, baseline) in self.baseline_by_class.iter_mut().enumerate() {
            *baseline = baseline_of(accepting.iter().map(|record| &record.by_class[class]));
        }
        self.baseline = baseline_of(accepting.iter().map(|record| &record.overall));
        let count = accepting.len() as f64 + 0.01;
        for (class, fraction) in self.ejected_fraction_by_class.iter_mut().enumerate() {
            let ejected = |record: &&&HealthRecord| record.by_class[class].is_ejected(now);
            *fraction = accepting.iter().filter(ejected).count() as f64 / count;
        }
        let failing = accepting
            .iter()
            .filter(|record| record.is_ejected_for_failures(now))
            .count() as f64;
        let low_success = self.success_mean < PANIC_SUCCESS_MEAN;
        self.panic = failing > PANIC_FRACTION * count
            || low_success && failing > PANIC_FRACTION_LOW_SUCCESS * count;
    }
}

/// Returns the fraction of attempts that fails at healthy endpoints: the lower quartile over endpoints with enough
/// attempts, so that a few unhealthy endpoints have no influence.
fn baseline_of<'a>(health: impl Iterator<Item = &'a Health>) -> f64 {
    let mut fractions: Vec<f64> = health
        .map(|health| health.failure_fraction)
        .filter(|fraction| fraction.weight >= MIN_BASELINE_SAMPLES)
        .map(|fraction| fraction.mean)
        .collect();
    fractions.sort_by(f64::total_cmp);
    fractions.get(fractions.len() / 4).copied().unwrap_or(0.0)
}
