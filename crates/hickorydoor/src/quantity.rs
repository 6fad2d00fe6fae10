//! Counts, costs and shares as newtypes.

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
            /// Wraps a raw count.
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// The raw count.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The difference to `other`, or zero if `other` is larger.
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
count!(/// A cost in millionths of the billing currency.
    CostMicros);
count!(/// A number of bytes.
    ByteCount);

const MILLION: u32 = 1_000_000;

/// A share between 0 and 1, held in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(u32);

/// A share that is not between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareError {
    /// The value as given.
    pub value: f64,
}

impl fmt::Display for ShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a share between 0 and 1", self.value)
    }
}

impl std::error::Error for ShareError {}

impl Share {
    /// Nothing.
    pub const ZERO: Self = Self(0);
    /// Everything.
    pub const ONE: Self = Self(MILLION);

    /// The share of `percent` in 100, at most all.
    pub const fn from_percent(percent: u32) -> Self {
        let ppm = percent.saturating_mul(MILLION / 100);
        Self(if ppm > MILLION { MILLION } else { ppm })
    }

    /// The share as a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(MILLION)
    }

    /// The share in parts per million.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// Tells whether the uniformly distributed `hash` falls into this share.
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
