//! Digests of customers' API keys.
//!
//! The configuration and the memory of processes hold digests only, never the keys. Keys are long
//! random texts, so an unsalted SHA-256 is enough: a leaked configuration does not reveal keys that
//! could be used for calls.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The text is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyDigestError;

impl fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key digest is 64 hexadecimal digits")
    }
}

impl std::error::Error for KeyDigestError {}

impl KeyDigest {
    /// Computes the digest of an API key in the form in which the caller sends it.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns whether two digests are equal. The comparison takes constant time, so that response
    /// times reveal nothing about the stored digest.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Two bytes tell keys apart in logs without revealing the whole digest.
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(KeyDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_error| KeyDigestError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_error| KeyDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<CompactString> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: CompactString) -> Result<Self, KeyDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}
