//! A set of request numbers, stored as ranges.
//!
//! Nearly all requests of an entry end after a short time, so their numbers form few ranges. The
//! set stays small even if the bills of an hour of requests cannot be stored because the key-value
//! service is unavailable.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Serial;

/// Set of request numbers of one entry incarnation, written as ranges such as `0-40,42`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SerialSet {
    /// Last number of each range by its first number; ranges neither overlap nor adjoin.
    ranges: BTreeMap<u64, u64>,
}

/// The text is not a list of ranges such as `0-40,42`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SerialSetError;

impl fmt::Display for SerialSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("request numbers must be ranges such as 0-40,42")
    }
}

impl std::error::Error for SerialSetError {}

impl SerialSet {
    /// Adds one number.
    pub fn insert(&mut self, serial: Serial) {
        self.insert_range(serial.get(), serial.get());
    }

    /// Adds all numbers of another set.
    pub fn extend(&mut self, other: &Self) {
        for (first, last) in &other.ranges {
            self.insert_range(*first, *last);
        }
    }

    fn insert_range(&mut self, first: u64, last: u64) {
        let (mut first, mut last) = (first, last);
        // Merge every range that overlaps or adjoins the new one.
        while let Some((&start, &end)) = self.ranges.range(..=last.saturating_add(1)).next_back() {
            if end.saturating_add(1) < first {
                break;
            }
            self.ranges.remove(&start);
            first = first.min(start);
            last = last.max(end);
        }
        self.ranges.insert(first, last);
    }

    /// Returns whether the number is in the set.
    pub fn contains(&self, serial: Serial) -> bool {
        let range = self.ranges.range(..=serial.get()).next_back();
        range.is_some_and(|(_, last)| serial.get() <= *last)
    }

    /// Returns the lowest number that is not in the set and not below `first`.
    pub fn first_missing(&self, first: Serial) -> Serial {
        match self.ranges.range(..=first.get()).next_back() {
            Some((_, last)) if *last >= first.get() => Serial::new(last + 1),
            _ => first,
        }
    }

    /// Returns the number of ranges, which determines the stored size.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns how many numbers the set contains.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// Returns whether the set contains no numbers.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Iterates over the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Serial> {
        self.ranges.iter().flat_map(|(first, last)| (*first..=*last).map(Serial::new))
    }
}

impl fmt::Display for SerialSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (first, last)) in self.ranges.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            if first == last {
                write!(f, "{comma}{first}")?;
            } else {
                write!(f, "{comma}{first}-{last}")?;
            }
        }
        Ok(())
    }
}

impl FromStr for SerialSet {
    type Err = SerialSetError;

    fn from_str(text: &str) -> Result<Self, SerialSetError> {
        let mut set = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let first: u64 = first.parse().map_err(|_error| SerialSetError)?;
            let last: u64 = last.parse().map_err(|_error| SerialSetError)?;
            if last < first {
                return Err(SerialSetError);
            }
            set.insert_range(first, last);
        }
        Ok(set)
    }
}

impl TryFrom<String> for SerialSet {
    type Error = SerialSetError;

    fn try_from(text: String) -> Result<Self, SerialSetError> {
        text.parse()
    }
}

impl From<SerialSet> for String {
    fn from(set: SerialSet) -> Self {
        set.to_string()
    }
}
