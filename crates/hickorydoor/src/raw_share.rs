//! Shares as operators write them.

use crate::quantity::Share;
use crate::raw_configuration_error::RawConfigurationError;

/// Checks a share.
pub fn share(field: &str, value: f64) -> Result<Share, RawConfigurationError> {
    Share::try_from(value)
        .map_err(|_error| RawConfigurationError::field(field, "a share between 0 and 1"))
}
