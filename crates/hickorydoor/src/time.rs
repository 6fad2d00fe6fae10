//! Points in time and durations in milliseconds.
//!
//! Reducers never read a clock. The daemon passes the current time as [`TimeMs`] and guarantees
//! that it does not decrease within one process. Sums and differences saturate instead of
//! overflowing.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeMs(u64);

impl TimeMs {
    /// Creates a point in time from milliseconds since the Unix epoch.
    pub const fn new(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationMs> for TimeMs {
    type Output = Self;

    fn add(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub<DurationMs> for TimeMs {
    type Output = Self;

    fn sub(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TimeMs {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct DurationMs(u64);

impl DurationMs {
    /// Creates a duration from milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1000)
    }

    /// Returns the duration in milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the duration in milliseconds as a floating-point number.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// Subtracts `other`; returns zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for DurationMs {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl From<DurationMs> for std::time::Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for DurationMs {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim_end_matches("ms").trim_end().parse().map(Self)
    }
}
