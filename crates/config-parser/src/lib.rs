//! Parsing and validation of documents that operators write: TOML with key positions, quantities with units, and JSON
//! Schemas.
//!
//! - [`KeyPositions`]: line of each key of a text; [`DocumentError`]: all problems of a document, with file, line and key.
//! - [`DocumentSchema`]: JSON Schema of a type, and all validation errors of a value, not only the first. Their total
//!   length does not grow with the document: at most [`MAX_LISTED_ERRORS`] errors, each under 1 KB, and a count.
//! - [`units`]: durations, fractions, rates and memory sizes, each with its unit.

mod message;
mod positions;
mod schema;
pub mod units;

pub use message::MAX_LISTED_ERRORS;
pub use positions::{DocumentError, KeyPositions, Problem};
pub use schema::{DocumentSchema, ValidationError, parse_toml};
