//! Latency estimator: moving averages of latencies per class, machine type and endpoint.
//!
//! The latency of a class is a mean over all endpoints; the latency of an endpoint or machine type is relative to the
//! means of the requests' classes. Failures, and responses of endpoints that are warming up, don't count for a class or
//! machine type. Other modules decide by these estimates.

use crate::ewma::Ewma;
use crate::settings::Class;
use crate::types::Millis;

/// Multiple of the expected latency after which an attempt without a response counts as silent.
pub(crate) const SILENCE_MULTIPLE: f64 = 5.0;

/// Number of responses over which the latency of an endpoint is averaged.
const ENDPOINT_SAMPLES: f64 = 12.0;
/// Number of responses over which the latency of a class or machine type is averaged.
const CLASS_SAMPLES: f64 = 100.0;
/// Number of responses over which the squared latency is averaged; large, as tail latencies are rare.
const SQUARE_SAMPLES: f64 = 1000.0;
/// Initial mean square of relative latencies, which is that of an exponential distribution.
const INITIAL_MEAN_SQUARE: Ewma = Ewma::new(2.0, 0.2 * SQUARE_SAMPLES);
/// Upper bound on the relative latency of one sample.
const MAX_SAMPLE: f64 = 20.0;
/// Upper bound on a sample in the mean of its machine type, as a multiple of that mean.
const OUTLIER_MULTIPLE: f64 = 2.0;
/// Weight of the machine type's mean in the estimate of an endpoint, in responses.
const MACHINE_TYPE_WEIGHT: f64 = 6.0;
/// Minimum number of responses of a machine type before its latency is compared with a baseline.
const MIN_BASELINE_SAMPLES: f64 = 3.0 * MACHINE_TYPE_WEIGHT;
/// Maximum factor by which a baseline rises per review: 10 % in 10 s.
const BASELINE_RISE: f64 = 1.001;
/// Maximum factor by which a baseline rises per review while requests don't share cores, so that the latency equals the
/// service time: a factor of 2 in 0.8 s.
const BASELINE_RISE_ISOLATED: f64 = 1.1;
/// Minimum relative latency of a machine type in estimates of the service time.
const MIN_RELATIVE_LATENCY: f64 = 0.2;
/// Assumed latency of a class without responses, as a fraction of its latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 1.0 / 4.0;
/// Minimum relative latency of an endpoint used as a divisor.
const MIN_ENDPOINT_LATENCY: f64 = 0.05;
/// Minimum mean latency used as a divisor.
const MIN_MEAN: Millis = 0.01;
/// Minimum work of a request relative to the mean of its class.
const MIN_RELATIVE_WORK: f64 = 0.05;
/// Maximum work of a request relative to the mean of its class.
const MAX_RELATIVE_WORK: f64 = 50.0;
/// Weight of a class without responses in the mean over classes.
const UNSEEN_CLASS_WEIGHT: f64 = 0.01;
/// Number of requests over which the expected work of a class is averaged.
const WORK_SAMPLES: f64 = 100.0;
/// Upper bound on a request's expected work in the mean of its class, as a multiple of that mean.
const MAX_WORK_SAMPLE: f64 = 10.0;

/// Latency of a response with the properties of the attempt that the estimator needs.
pub(crate) struct LatencySample {
    /// Index of the class.
    pub class: usize,
    /// Index of the endpoint's machine type.
    pub machine_type: usize,
    /// Latency divided by the request's relative work.
    pub latency: Millis,
    /// Fraction of its capacity that the endpoint was guaranteed to have.
    pub capacity_fraction: f64,
    /// True if the endpoint is the home of the request's key.
    pub at_home: bool,
    /// True if the endpoint was idle when the attempt was sent.
    pub found_idle: bool,
}

/// Latency of a machine type.
pub(crate) struct MachineTypeLatency {
    /// Mean latency relative to the classes' means.
    pub relative: Ewma,
    /// Mean latency of requests sent to an idle endpoint.
    when_idle: Ewma,
    /// Mean latency of a request that doesn't share a core; infinite until known.
    service_time: Millis,
    /// Lowest recent mean latency; infinite until known.
    baseline: Millis,
}

impl MachineTypeLatency {
    fn new() -> Self {
        MachineTypeLatency {
            relative: Ewma::new(1.0, 0.0),
            when_idle: Ewma::new(0.0, 0.0),
            service_time: f64::INFINITY,
            baseline: f64::INFINITY,
        }
    }

    /// Returns true if there are enough responses to compare the latency with a baseline.
    pub fn is_sampled(&self) -> bool {
        self.relative.weight >= MIN_BASELINE_SAMPLES
    }

    /// Returns true if a baseline is known.
    pub fn has_baseline(&self) -> bool {
        self.baseline.is_finite()
    }

    /// Returns the mean latency of an uncongested endpoint with `cores` cores. Waiting adds half a service time with
    /// one core, and less with more cores.
    pub fn uncongested_latency(&self, cores: f64) -> Millis {
        let waiting_fraction = 0.5 / cores;
        self.baseline
            .max(self.service_time * (1.0 + waiting_fraction))
    }

    fn update_baseline(&mut self, latency: Millis, isolated: bool) {
        let rise = if isolated {
            BASELINE_RISE_ISOLATED
        } else {
            BASELINE_RISE
        };
        self.baseline = latency.min(self.baseline * rise);
        self.service_time = if self.when_idle.weight >= MACHINE_TYPE_WEIGHT {
            self.when_idle.mean
        } else {
            self.baseline
        };
    }
}

/// Speed-up of requests at the home of their key.
struct AffinityGain {
    enabled: bool,
    away: Ewma,
    at_home: Ewma,
    /// Mean relative latency away from home divided by that at home.
    ratio: f64,
}

impl AffinityGain {
    /// Minimum ratio.
    const MIN_RATIO: f64 = 1.1;
    /// Maximum ratio.
    const MAX_RATIO: f64 = 8.0;
    /// Ratio before any response.
    const INITIAL_RATIO: f64 = 2.0;
    /// Minimum mean used as a divisor in the ratio.
    const MIN_MEAN: f64 = 0.01;

    fn new(enabled: bool) -> Self {
        AffinityGain {
            enabled,
            away: Ewma::new(1.0, 1.0),
            at_home: Ewma::new(1.0, 1.0),
            ratio: if enabled { Self::INITIAL_RATIO } else { 1.0 },
        }
    }

    fn add(&mut self, relative_latency: f64, at_home: bool) {
        let mean = if at_home {
            &mut self.at_home
        } else {
            &mut self.away
        };
        mean.add(relative_latency.min(MAX_SAMPLE), CLASS_SAMPLES);
        let ratio = self.away.mean / self.at_home.mean.max(Self::MIN_MEAN);
        self.ratio = ratio.clamp(Self::MIN_RATIO, Self::MAX_RATIO);
    }
}

/// Latency estimates of all classes and machine types.
pub(crate) struct LatencyEstimator {
    by_class: Vec<Ewma>,
    work_by_class: Vec<Ewma>,
    machine_types: Vec<MachineTypeLatency>,
    squared_relative: Ewma,
    affinity: AffinityGain,
    mean: Millis,
    mean_endpoint: Millis,
    max_service_time: Millis,
}

impl LatencyEstimator {
    /// Creates an estimator that derives initial latencies from the classes' latency objectives.
    pub fn new(classes: &[Class], max_latency_objective: Millis, key_affinity: bool) -> Self {
        let mean = (max_latency_objective * INITIAL_OBJECTIVE_FRACTION).max(1.0);
        let mut estimator = LatencyEstimator {
            by_class: Vec::new(),
            work_by_class: Vec::new(),
            machine_types: vec![MachineTypeLatency::new()],
            squared_relative: INITIAL_MEAN_SQUARE,
            affinity: AffinityGain::new(key_affinity),
            mean,
            mean_endpoint: mean,
            max_service_time: 0.0,
        };
        estimator.add_classes(classes);
        estimator
    }

    /// Adds new classes; `classes` contains the existing classes too.
    pub fn add_classes(&mut self, classes: &[Class]) {
        let initial =
            |class: &Class| Ewma::new(class.latency_objective * INITIAL_OBJECTIVE_FRACTION, 0.0);
        let known = self.by_class.len();
        self.by_class.extend(classes[known..].iter().map(initial));
        self.work_by_class
            .resize(classes.len(), Ewma::new(1.0, 0.0));
    }

    /// Adds machine types up to an index.
    pub fn add_machine_type(&mut self, index: usize) {
        let count = self.machine_types.len().max(index + 1);
        self.machine_types
            .resize_with(count, MachineTypeLatency::new);
    }

    /// Returns the number of machine types.
    pub fn machine_types(&self) -> usize {
        self.machine_types.len()
    }

    /// Returns the mean latency of a class for a request of mean work.
    pub fn of_class(&self, class: usize) -> Millis {
        self.by_class[class].mean
    }

    /// Returns the latency of a machine type.
    pub fn of_machine_type(&self, machine_type: usize) -> &MachineTypeLatency {
        &self.machine_types[machine_type]
    }

    /// Returns the mean latency over all classes, as of the last review.
    pub fn mean(&self) -> Millis {
        self.mean
    }

    /// Returns the mean latency at a mean listed endpoint, as of the last review.
    pub fn mean_endpoint(&self) -> Millis {
        self.mean_endpoint
    }

    /// Returns the mean square of the ratio of latencies to their expected values.
    pub fn squared_relative(&self) -> f64 {
        self.squared_relative.mean
    }

    /// Returns the factor by which an endpoint is faster for keys whose home it is.
    pub fn affinity_gain(&self) -> f64 {
        self.affinity.ratio
    }

    /// Records a request's expected work; returns the work relative to the mean of the class.
    pub fn relative_work(&mut self, class: usize, expected_work: Millis) -> f64 {
        let work = &mut self.work_by_class[class];
        let sample = if work.weight > 0.0 {
            expected_work.min(MAX_WORK_SAMPLE * work.mean)
        } else {
            expected_work
        };
        work.add(sample, WORK_SAMPLES);
        (expected_work / work.mean).clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK)
    }

    /// Updates the estimates by a response; `endpoint` is the relative latency of its endpoint.
    pub fn observe(&mut self, endpoint: &mut Ewma, sample: &LatencySample) {
        let class_mean = self.by_class[sample.class].mean;
        if self.affinity.enabled {
            let expected = endpoint.mean.max(MIN_ENDPOINT_LATENCY) * class_mean;
            let relative = sample.latency * sample.capacity_fraction / expected;
            self.affinity.add(relative, sample.at_home);
        }
        let home_factor = if sample.at_home {
            1.0 / self.affinity.ratio
        } else {
            1.0
        };
        let factor = home_factor / sample.capacity_fraction;
        let relative = (sample.latency / (class_mean.max(MIN_MEAN) * factor)).min(MAX_SAMPLE);
        let deviation = (relative / endpoint.mean.max(MIN_ENDPOINT_LATENCY)).min(SILENCE_MULTIPLE);
        self.squared_relative
            .add(deviation * deviation, SQUARE_SAMPLES);
        endpoint.add(relative, ENDPOINT_SAMPLES);
        if sample.capacity_fraction >= 1.0 {
            let of_class = sample.latency / (endpoint.mean.max(MIN_ENDPOINT_LATENCY) * factor);
            self.by_class[sample.class].add(of_class, CLASS_SAMPLES);
            self.observe_machine_type(sample, relative);
        }
    }

    fn observe_machine_type(&mut self, sample: &LatencySample, relative: f64) {
        let machine_type = &mut self.machine_types[sample.machine_type];
        let relative = relative.min(OUTLIER_MULTIPLE * machine_type.relative.mean);
        machine_type.relative.add(relative, CLASS_SAMPLES);
        if sample.found_idle {
            machine_type
                .when_idle
                .add(relative * self.mean, CLASS_SAMPLES);
        }
    }

    /// Returns the estimated relative latency of an endpoint, which is close to the mean of its machine type as long as
    /// the endpoint has few responses.
    pub fn endpoint_estimate(&self, endpoint: Ewma, machine_type: usize, warming: bool) -> f64 {
        let machine_type = &self.machine_types[machine_type];
        let prior = machine_type.relative.mean * MACHINE_TYPE_WEIGHT;
        let estimate =
            (endpoint.mean * endpoint.weight + prior) / (endpoint.weight + MACHINE_TYPE_WEIGHT);
        if warming {
            // The slow start budget keeps the endpoint uncongested, even if others of its machine type are congested.
            estimate.min(machine_type.service_time / self.mean)
        } else {
            estimate
        }
    }

    /// Returns true if an endpoint is not much slower than its machine type.
    pub fn is_typical(&self, endpoint: Ewma, machine_type: usize) -> bool {
        endpoint.mean <= OUTLIER_MULTIPLE * self.machine_types[machine_type].relative.mean
    }

    /// Returns the latency of a request at an uncongested endpoint of a machine type.
    pub fn uncongested_latency(
        &self,
        class: usize,
        relative_work: f64,
        machine_type: usize,
    ) -> Millis {
        let relative = self.machine_types[machine_type].service_time / self.mean;
        relative * self.by_class[class].mean * relative_work
    }

    /// Returns the service time of a request of mean work, without waiting times due to congestion.
    pub fn service_time(&self, machine_type: usize) -> Millis {
        let machine_type = &self.machine_types[machine_type];
        let congested_latency = self.mean * machine_type.relative.mean.max(MIN_RELATIVE_LATENCY);
        machine_type.service_time.min(congested_latency)
    }

    /// Returns the latency of a request in units of the service time of a request of mean work.
    pub fn work_units(&self, expected_latency: Millis, machine_type: usize) -> f64 {
        let relative = self.machine_types[machine_type].relative.mean;
        expected_latency * relative.max(MIN_RELATIVE_LATENCY) / self.service_time(machine_type)
    }

    /// Returns the service time of a machine type as a fraction of the longest service time, at most 1. This is the
    /// inverse of the speed of a core relative to the slowest machine type.
    pub fn relative_service_time(&self, machine_type: usize) -> f64 {
        (self.machine_types[machine_type].service_time / self.max_service_time).min(1.0)
    }

    /// Recomputes the mean over all classes.
    pub fn review_mean(&mut self) {
        let mut sum = 0.0;
        let mut weight = 0.0;
        for class in &self.by_class {
            sum += class.mean * (class.weight + UNSEEN_CLASS_WEIGHT);
            weight = weight + class.weight + UNSEEN_CLASS_WEIGHT;
        }
        self.mean = if weight > 0.0 {
            (sum / weight).max(MIN_MEAN)
        } else {
            1.0
        };
    }

    /// Recomputes the mean over listed endpoints from the sum of the relative latencies of their machine types and the
    /// number of endpoints.
    pub fn review_mean_endpoint(&mut self, relative_sum: f64, endpoints: f64) {
        self.mean_endpoint = self.mean * relative_sum / endpoints;
    }

    /// Updates the baseline of a machine type; `isolated` means that its requests don't share cores. Returns the
    /// current mean latency of the machine type.
    pub fn review_machine_type(&mut self, machine_type: usize, isolated: bool) -> Millis {
        let machine_type = &mut self.machine_types[machine_type];
        let latency = machine_type.relative.mean * self.mean;
        machine_type.update_baseline(latency, isolated);
        latency
    }

    /// Recomputes the maximum service time over all machine types.
    pub fn review_max_service_time(&mut self) {
        let known = self
            .machine_types
            .iter()
            .map(|machine_type| machine_type.service_time)
            .filter(|time| time.is_finite());
        self.max_service_time = known.fold(0.0, f64::max);
    }
}
