//! What the tool takes from its process.

use std::collections::BTreeMap;

use hickorydoor::TimeMs;

const KEY_BYTES: usize = 32;
const CHANGE_BYTES: usize = 16;

/// What the tool takes from its process: variables, the time and random bytes.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Environment variables.
    pub variables: BTreeMap<String, String>,
    /// The time at the start.
    pub now_ms: TimeMs,
    /// Random bytes for a new API key.
    pub key_entropy: [u8; KEY_BYTES],
    /// Random bytes for the id of a change.
    pub change_entropy: [u8; CHANGE_BYTES],
}

impl Environment {
    /// A variable that is set and not empty.
    pub fn variable(&self, name: &str) -> Option<&str> {
        self.variables.get(name).map(String::as_str).filter(|value| !value.is_empty())
    }

    /// A new API key.
    pub fn api_key(&self) -> String {
        format!("hk-{}", hex(&self.key_entropy))
    }

    /// Text of a new change id.
    pub fn change_id(&self) -> String {
        format!("ch-{}", hex(&self.change_entropy))
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _written = write!(text, "{byte:02x}");
        text
    })
}
