//! Settings of the optional features: a file of one `key = value` per line.
//!
//! An unknown or repeated key and an invalid value are errors that name file, line and key, so that a mistake prevents
//! the start instead of leaving a feature silently as it was.

mod entries;
mod error;
mod features;
mod value;

pub use error::{LineError, ParseError, ReadError};
pub use features::{
    CaptureSettings, FaultInjectionSettings, FeatureSettings, MetricsFormat, MetricsSettings,
};
pub use value::{Secret, ValueError, host_and_port};
