//! Inputs of the tool from its process, which tests replace.

use std::collections::BTreeMap;

use hickorydoor::TimeMs;

const KEY_ENTROPY_BYTES: usize = 32;
const CHANGE_ENTROPY_BYTES: usize = 16;

/// Environment variables, current time and random bytes, which `main` fills in once at the start.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Environment variables by name.
    pub variables: BTreeMap<String, String>,
    /// Wall-clock time at the start of the process.
    pub now_ms: TimeMs,
    /// Random bytes from which a new API key is formed.
    pub key_entropy: [u8; KEY_ENTROPY_BYTES],
    /// Random bytes from which the id of a change is formed.
    pub change_entropy: [u8; CHANGE_ENTROPY_BYTES],
}

impl Environment {
    /// Value of a variable; `None` if it is unset or empty.
    pub fn variable(&self, name: &str) -> Option<&str> {
        self.variables.get(name).map(String::as_str).filter(|value| !value.is_empty())
    }

    /// API key formed from [`Environment::key_entropy`]; the same on every call.
    pub fn api_key(&self) -> String {
        format!("hk-{}", hex(&self.key_entropy))
    }

    /// Change id formed from [`Environment::change_entropy`]; the same on every call.
    pub fn change_id(&self) -> String {
        format!("ch-{}", hex(&self.change_entropy))
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` cannot fail.
        let _written = write!(text, "{byte:02x}");
        text
    })
}
