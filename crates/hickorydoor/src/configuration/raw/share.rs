//! Validation of shares.

use crate::configuration::raw::error::RawConfigurationError;
use crate::quantity::Share;

/// Converts a number into a share; the error names `field`.
pub fn check_share(field: &str, value: f64) -> Result<Share, RawConfigurationError> {
    Share::try_from(value)
        .map_err(|_error| RawConfigurationError::field(field, "a share between 0 and 1"))
}
