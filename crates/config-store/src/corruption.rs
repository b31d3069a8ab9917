//! Isolation of panics that the database library raises on inconsistent pages.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::error::StoreError;

/// Runs a database operation and reports a panic inside it as corruption.
///
/// # Errors
/// The operation's own error, or [`StoreError::Corrupted`] after a panic.
pub fn catch_corruption<T>(
    operation: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(operation))
        .unwrap_or_else(|_| Err(StoreError::Corrupted("its pages are inconsistent".into())))
}
