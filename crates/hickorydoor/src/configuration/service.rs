//! Plain services beside the model engines.

use crate::id::ServiceName;
use compact_str::CompactString;

/// A plain service that requests are passed through to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name, the first path segment after `/services/`.
    pub name: ServiceName,
    /// HTTP methods whose calls may be repeated.
    pub repeatable_methods: Vec<CompactString>,
}

impl Service {
    /// Whether a call with this method may be repeated when its outcome is not known.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable_methods.iter().any(|known| known.eq_ignore_ascii_case(method))
    }
}
