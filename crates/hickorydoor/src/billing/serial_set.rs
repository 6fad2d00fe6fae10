//! A set of request numbers as ranges.
//!
//! An entry finishes nearly all of its requests, so the numbers form few ranges and stay small
//! even when an hour of requests waits for the key-value service.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Serial;

/// Request numbers of one entry incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SerialSet {
    /// First and last number of each range; ranges neither overlap nor touch.
    ranges: BTreeMap<u64, u64>,
}

/// A text that is not a list of ranges such as `0-40,42`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SerialSetError;

impl fmt::Display for SerialSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("request numbers are ranges such as 0-40,42")
    }
}

impl std::error::Error for SerialSetError {}

impl SerialSet {
    /// Adds a number.
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
        // Merges every range that overlaps or touches the new one.
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

    /// Whether the number is in the set.
    pub fn contains(&self, serial: Serial) -> bool {
        let range = self.ranges.range(..=serial.get()).next_back();
        range.is_some_and(|(_, last)| serial.get() <= *last)
    }

    /// The lowest number from `first` on that is not in the set.
    pub fn first_missing(&self, first: Serial) -> Serial {
        match self.ranges.range(..=first.get()).next_back() {
            Some((_, last)) if *last >= first.get() => Serial::new(last + 1),
            _ => first,
        }
    }

    /// Number of ranges, which bounds the stored size.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Numbers in the set.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The numbers, ascending.
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
