//! Serde functions for 64-bit integers, which the JSON gateway writes as strings.
//!
//! JSON numbers are exact only up to 53 bits, hence the strings. Numbers are accepted as well
//! because some gateways write small values that way.

use std::fmt;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde prescribes the signature")]
pub fn serialize<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    deserializer.deserialize_any(IntVisitor)
}

struct IntVisitor;

impl Visitor<'_> for IntVisitor {
    type Value = u64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a non-negative integer as a string or number")
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<u64, E> {
        v.parse().map_err(E::custom)
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<u64, E> {
        Ok(v)
    }
}
