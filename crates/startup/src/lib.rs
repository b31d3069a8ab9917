//! Startup of a cluster instance: its phases, their readiness conditions and timeouts.
//!
//! - [`StartupSequence`]: the state machine. An instance takes requests only under a policy and endpoint lists that are known to be
//!   current, or reports which lists are not.
//! - [`Conditions`]: the readiness conditions at one moment, as the driver has observed them.
//! - [`StartupReport`]: progress for operators.
//!
//! It has no I/O and no clock, and decides nothing about requests.
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
