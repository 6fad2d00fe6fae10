//! Counts, costs and shares as newtypes.
//!
//! Sums and differences saturate instead of overflowing.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! count {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a quantity from its number.
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Subtracts `other`; returns zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, rhs: Self) -> Self {
                Self(self.0.saturating_add(rhs.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, rhs: Self) {
                *self = *self + rhs;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self(0), Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

count!(/// A number of tokens.
    Tokens);
count!(/// A price in millionths of the billing currency.
    CostMicros);
count!(/// A number of bytes.
    ByteCount);
count!(/// A data rate in kilobits per second.
    KbitPerS);

const MILLION: u32 = 1_000_000;

/// A share between 0 and 1 with a resolution of one part per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(u32);

/// The value is not a share between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareError {
    /// The rejected value; NaN for text that is not a number.
    pub value: f64,
}

impl fmt::Display for ShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a share between 0 and 1", self.value)
    }
}

impl std::error::Error for ShareError {}

impl Share {
    /// A share of 0%.
    pub const ZERO: Self = Self(0);
    /// A share of 100%.
    pub const ONE: Self = Self(MILLION);

    /// Creates a share from whole percent; values above 100 give [`Share::ONE`].
    pub const fn from_percent(percent: u32) -> Self {
        let ppm = percent.saturating_mul(MILLION / 100);
        Self(if ppm > MILLION { MILLION } else { ppm })
    }

    /// Returns the share as a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(MILLION)
    }

    /// Returns the share in parts per million.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// Returns whether `hash` falls into this share. For uniformly distributed hashes, the result
    /// is `true` with a probability equal to the share.
    pub const fn contains_hash(self, hash: u64) -> bool {
        hash % (MILLION as u64) < self.0 as u64
    }
}

impl TryFrom<f64> for Share {
    type Error = ShareError;

    fn try_from(value: f64) -> Result<Self, ShareError> {
        if !(0.0..=1.0).contains(&value) {
            return Err(ShareError { value });
        }
        Ok(Self((value * f64::from(MILLION)).round() as u32))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.as_f64()
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / f64::from(MILLION / 100))
    }
}

impl FromStr for Share {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let bad = |_error| ShareError { value: f64::NAN };
        match text.strip_suffix('%') {
            Some(percent) => Self::try_from(percent.trim().parse::<f64>().map_err(bad)? / 100.0),
            None => Self::try_from(text.parse::<f64>().map_err(bad)?),
        }
    }
}
