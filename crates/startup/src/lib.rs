//! Startup of an instance: phases, readiness conditions and timeouts.
//!
//! - [`StartupSequence`]: the state machine. An instance accepts requests only once its policy and endpoint lists are known to be current,
//!   or reports the lists that are not.
//! - [`Conditions`]: the readiness conditions that the caller has observed.
//! - [`StartupReport`]: progress for operators.
//!
//! The package does no I/O, reads no clock and does not handle requests.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod conditions;
mod phase;
mod report;
mod sequence;
mod settings;

pub use conditions::{Conditions, Membership};
pub use phase::{CompletedPhase, Phase};
pub use report::{PhaseDuration, StartupReport};
pub use sequence::{Readiness, StartupSequence};
pub use settings::{Micros, StartupSettings, UnknownListPolicy};
