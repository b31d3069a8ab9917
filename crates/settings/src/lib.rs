//! Settings of a proxy as operators write them.
//!
//! It reads and checks settings and decides nothing:
//!
//! - [`PlatformSettings`]: the platform's start-up parameters in JSON. The mapping of the platform's names to the terms
//!   of the code stands in `platform.rs` alone.
//! - [`ReloadableSettings`]: the same while they change in a running process.
//! - [`properties`]: the optional features, in a file of `key = value` lines.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod json;
mod names;
mod platform;
pub mod properties;
mod reload;
mod reload_check;

pub use names::{Names, intern, stable_hash};
pub use platform::{ConnectionSettings, PlatformSettings};
pub use reload::ReloadableSettings;
pub use reload_check::{InvalidSetting, MAX_NAMES, ReloadError};
