//! Documents that operators write: TOML with places, quantities with units, checks by a schema.
//!
//! - [`Places`]: where each key of a text stands; [`DocumentError`]: all that is wrong, with file, line and key.
//! - [`Form`]: a type's JSON Schema, and what is wrong with a value beside it, not only the first; an answer
//!   does not grow with the document ([`MOST_LISTED`] faults, each under 1 KB).
//! - [`units`]: spans, shares, rates and amounts of memory, each with its unit.

mod message;
mod positions;
mod schema;
pub mod units;

pub use message::MOST_LISTED;
pub use positions::{DocumentError, Places, Problem};
pub use schema::{Fault, Form, toml};
