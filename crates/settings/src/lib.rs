//! Settings of a proxy as operators write them.
//!
//! The crate reads and checks settings:
//!
//! - [`PlatformSettings`]: the platform's start-up parameters in JSON. Only `platform.rs` maps the platform's names to
//!   the terms of the code.
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
