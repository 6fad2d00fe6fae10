//! Shares as operators write them.

use crate::configuration::raw::error::RawConfigurationError;
use crate::quantity::Share;

/// Checks a share.
pub fn share(field: &str, value: f64) -> Result<Share, RawConfigurationError> {
    Share::try_from(value)
        .map_err(|_error| RawConfigurationError::field(field, "a share between 0 and 1"))
}
