//! Outlier detection: ejects endpoints that fail or stay silent, as a whole or for one class, and brings them back:
//! as a whole one request at a time, for a class at once.
//!
//! Health is judged from a mean of failures against a baseline: the fraction that fails at healthy endpoints too. An
//! ejection lasts for a backoff that doubles with each failed return. If nearly all endpoints look unhealthy, ejections
//! are not believed (panic threshold). Attempts and their timeouts are handled elsewhere.
//!
//! Where an endpoint is ejected and how it returns:
//!
//! | event | place | effect |
//! | --- | --- | --- |
//! | failure mean above its limit | `Health::record` | ejection, for all classes or for one |
//! | silent attempt that shows a hang | `stall_detection`, `HealthRecord::eject_hanging` | ejection for all classes |
//! | ejected by several peers, no response here | `gossip::peers_confirm_ejection` | not open, without an ejection here |
//! | end of the ejection | `Health::is_ejected` | open again on probation, one request at a time (`availability`) |
//! | late response, failure mean below its limit | `Health::record_success` | the ejection ends at once |
//! | failure mean well below its limit | `Health::record_success` | end of probation, least backoff |
//! | start of a new process | `endpoint_list`, `HealthRecord::reset` | failures and ejections are forgotten |
//! | panic | `OutlierDetector::review`, `availability` | ejections as a whole don't count, except for overload; probation and class ejections do |
//! | nearly all ejected for one class | `OutlierDetector::is_ejected_for` | ejections for that class don't count |

use crate::ewma::Ewma;
use crate::health_snapshot::Ejection;
use crate::types::{Millis, Outcome};

/// First backoff.
pub(crate) const MIN_BACKOFF: Millis = 250.0;
/// Longest backoff. An ejection may last longer: its length is the backoff, extended for rare requests, for a single
/// class and by a random factor.
pub(crate) const MAX_BACKOFF: Millis = 4000.0;

/// Longest ejection in intervals between two requests of this proxy to the endpoint, if that is longer.
const MAX_BACKOFF_INTERVALS: f64 = 4.0;
/// Least random factor on the length of an ejection.
const MIN_JITTER: f64 = 0.75;
/// Span of that factor.
const JITTER_SPAN: f64 = 0.5;
/// Factor by which an ejection for one class is longer, as each trial may cost a request.
const CLASS_EJECTION_FACTOR: f64 = 4.0;
/// Weight of a failed attempt in the failure mean: two in a row eject the endpoint.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a failed connection attempt: no process answers, so one ejects the endpoint.
const CONNECT_FAILURE_WEIGHT: f64 = 0.5;
/// Weight of a successful attempt.
const SUCCESS_WEIGHT: f64 = FAILURE_WEIGHT / 2.0;
/// Fraction of the limit for ejection below which the failure mean ends probation.
const PROBATION_LIMIT_FRACTION: f64 = 0.5;
/// Factor on the backoff for each further ejection.
const BACKOFF_FACTOR: f64 = 2.0;
/// Failure mean above which an endpoint is ejected where others hardly fail.
const MIN_FAILURE_LIMIT: f64 = 0.4;
/// Probability of a row of failures below which it is not taken for chance.
const CHANCE_LIMIT: f64 = 1e-4;
/// Largest baseline that excuses failures.
const MAX_BASELINE: f64 = 0.5;
/// Responses over which the fraction of failures is averaged.
const FAILURE_SAMPLES: f64 = 100.0;
/// Responses of an endpoint before it counts in the baseline.
const MIN_BASELINE_SAMPLES: f64 = 6.0;
/// Failure mean below which there is nothing to keep in a snapshot: what two responses leave of a failure.
const NOTABLE_FAILURE_MEAN: f64 = 0.2;
/// Fraction of ejected endpoints above which ejections are not believed.
const PANIC_FRACTION: f64 = 0.9;
/// The same while few attempts succeed.
const PANIC_FRACTION_LOW_SUCCESS: f64 = 0.5;
/// Fraction of successful attempts below which few succeed.
const PANIC_SUCCESS_MEAN: f64 = 0.5;
/// Attempts over which success is averaged.
const SUCCESS_SAMPLES: f64 = 100.0;
/// Baseline below which one silent attempt shows that the endpoint hangs.
const HANG_BASELINE: f64 = 0.003;
/// Least baseline in formulas.
const MIN_BASELINE: f64 = 1e-9;
/// Least arrival rate, per ms, in formulas.
const MIN_ARRIVAL_RATE: f64 = 1e-9;

/// Result of an attempt as a sample of its endpoint's health.
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

/// Frequency of the proxies' requests to an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Exposure {
    /// Interval between two requests of this proxy to one endpoint.
    pub interval: Millis,
    /// Number of proxies.
    pub proxy_count: u32,
}

impl Exposure {
    /// Computes the interval from the number of endpoints that accept requests and the arrival rate at this proxy.
    pub fn new(endpoints: u32, arrivals_per_ms: f64, proxy_count: u32) -> Self {
        let interval = f64::from(endpoints) / arrivals_per_ms.max(MIN_ARRIVAL_RATE);
        Exposure {
            interval: interval.min(MAX_BACKOFF),
            proxy_count,
        }
    }

    /// Extends an ejection by a proxy that rarely meets the endpoint: it would return with the very next request and
    /// lose that too. All proxies together still try the endpoint as often as one alone would, as the factor is at
    /// most the number of proxies.
    fn extend(self, ejection: Millis) -> Millis {
        let factor = (self.interval / MIN_BACKOFF)
            .min(f64::from(self.proxy_count))
            .max(1.0);
        (ejection * factor).min((MAX_BACKOFF_INTERVALS * self.interval).max(ejection))
    }
}

/// Health of an endpoint, as a whole or for one class.
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

    fn eject(&mut self, now: Millis, span: Millis) {
        self.ejected_until = now + span;
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
            // The endpoint was only slow.
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

    /// Returns what a snapshot keeps, if anything.
    fn snapshot(&self, now: Millis) -> Option<Ejection> {
        let notable =
            self.is_ejected(now) || self.on_probation || self.failure_mean > NOTABLE_FAILURE_MEAN;
        notable.then_some(Ejection {
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

/// Returns the failure mean above which an endpoint is ejected, if `baseline` of the attempts fail at healthy endpoints
/// too: the mean after a row of failures too long for chance. So resets on a path that all endpoints share say
/// nothing against one of them.
fn failure_limit(baseline: f64) -> f64 {
    let row = CHANCE_LIMIT.ln() / baseline.clamp(MIN_BASELINE, MAX_BASELINE).ln();
    MIN_FAILURE_LIMIT.max(1.0 - (1.0 - FAILURE_WEIGHT).powf(row))
}

/// Health of an endpoint, as a whole and for each class: some endpoints fail or ignore one class and serve the rest,
/// for instance if a build breaks that class or its own dependency fails.
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

    /// Forgets failures and ejections. The last rejection for overload stays.
    pub fn reset(&mut self, now: Millis) {
        self.overall = Health::new(now);
        self.by_class.fill(Health::new(now));
    }

    /// Returns the health as a whole.
    pub fn overall(&self) -> &Health {
        &self.overall
    }

    /// Returns the health for each class.
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

    /// Returns the time since the last response, or since the send that ended its idleness.
    pub fn stalled_for(&self, now: Millis) -> Millis {
        now - self.last_progress
    }

    /// Notes a send to the idle endpoint.
    pub fn end_idleness(&mut self, now: Millis) {
        self.last_progress = now;
    }

    /// Ejects a hanging endpoint for `least` at least.
    pub fn eject_hanging(&mut self, now: Millis, exposure: Exposure, least: Millis) {
        let span = exposure.extend(self.overall.backoff).max(least);
        self.overall.eject(now, span);
    }

    /// Returns the ejection as a whole for a snapshot.
    pub fn overall_snapshot(&self, now: Millis) -> Option<Ejection> {
        self.overall.snapshot(now)
    }

    /// Returns the ejections of classes for a snapshot, by class index.
    pub fn class_snapshots(&self, now: Millis) -> impl Iterator<Item = (usize, Ejection)> {
        let snapshot =
            move |(class, health): (usize, &Health)| Some((class, health.snapshot(now)?));
        self.by_class.iter().enumerate().filter_map(snapshot)
    }

    /// Restores the ejection as a whole.
    pub fn restore_overall(&mut self, ejection: &Ejection) {
        self.overall.restore(ejection);
    }

    /// Restores the ejection of a class, if there still is one of that index.
    pub fn restore_class(&mut self, class: usize, ejection: &Ejection) {
        if let Some(health) = self.by_class.get_mut(class) {
            health.restore(ejection);
        }
    }
}

/// Judgement over all endpoints.
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

    /// Adds new classes.
    pub fn resize(&mut self, classes: usize) {
        self.baseline_by_class.resize(classes, 0.0);
        self.ejected_fraction_by_class.resize(classes, 0.0);
    }

    /// Returns true if so many endpoints are ejected that ejections are not believed.
    pub fn is_panicking(&self) -> bool {
        self.panic
    }

    /// Returns the fraction of endpoints accepting requests that are ejected for a class.
    pub fn ejected_fraction(&self, class: usize) -> f64 {
        self.ejected_fraction_by_class[class]
    }

    /// Returns true if an endpoint is ejected for a class, and ejections for that class are believed.
    pub fn is_ejected_for(&self, record: &HealthRecord, class: usize, now: Millis) -> bool {
        record.by_class[class].is_ejected(now)
            && self.ejected_fraction_by_class[class] <= PANIC_FRACTION
    }

    /// Returns true if silence of one attempt shows that its endpoint hangs. With nothing else in flight there, it
    /// is all there is to judge by, and responses lost on a path that all endpoints share look the same.
    pub fn silence_shows_hang(&self, in_flight: u32) -> bool {
        in_flight > 1 || self.baseline < HANG_BASELINE
    }

    /// Counts an ended attempt in the mean success of all attempts, on which panic depends. Every outcome but a served
    /// one counts as no success, cancelled and unsent attempts included.
    pub fn record_attempt(&mut self, served: bool) {
        self.success_mean += (f64::from(u8::from(served)) - self.success_mean) / SUCCESS_SAMPLES;
    }

    /// Judges an endpoint by the result of an attempt.
    pub fn record(&self, record: &mut HealthRecord, sample: &HealthSample, exposure: Exposure) {
        if sample.outcome == Outcome::Served {
            record.last_progress = sample.now;
        } else {
            record.overloaded = sample.outcome == Outcome::Overloaded;
        }
        let jitter = MIN_JITTER + JITTER_SPAN * sample.jitter;
        let ejection =
            |factor: f64| move |backoff: Millis| exposure.extend(factor * backoff) * jitter;
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
/// responses, so that a few unhealthy ones don't count.
fn baseline_of<'a>(health: impl Iterator<Item = &'a Health>) -> f64 {
    let mut fractions: Vec<f64> = health
        .map(|health| health.failure_fraction)
        .filter(|fraction| fraction.weight >= MIN_BASELINE_SAMPLES)
        .map(|fraction| fraction.mean)
        .collect();
    fractions.sort_by(f64::total_cmp);
    fractions.get(fractions.len() / 4).copied().unwrap_or(0.0)
}
