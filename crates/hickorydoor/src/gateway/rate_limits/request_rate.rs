//! A rate of requests.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

/// Highest rate; a higher one is no limit in practice.
const MAX_PER_S: f64 = 1_000_000.0;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Error of reading a rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestRateError {
    /// The text is not a number.
    NoNumber(ParseFloatError),
    /// The number is negative, infinite or not a number.
    OutOfRange,
}

impl fmt::Display for RequestRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoNumber(error) => write!(f, "not a rate: {error}"),
            Self::OutOfRange => f.write_str("a rate must be finite and not negative"),
        }
    }
}

impl std::error::Error for RequestRateError {}

impl RequestRate {
    /// Returns the requests per second.
    pub const fn per_s(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests in ms; `None` if the rate is 0.
    pub fn interval_ms(self) -> Option<f64> {
        (self.0 > 0.0).then(|| 1_000.0 / self.0)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        if is_valid {
            Ok(Self(per_s.abs().min(MAX_PER_S)))
        } else {
            Err(RequestRateError::OutOfRange)
        }
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text.trim().parse().map_err(RequestRateError::NoNumber)?;
        Self::try_from(per_s)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
