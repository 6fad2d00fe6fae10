//! Plain services: HTTP services other than model engines.

use crate::id::ServiceName;
use compact_str::CompactString;

/// A plain service to which requests are forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique name, the first path segment after `/services/` in requests.
    pub name: ServiceName,
    /// HTTP methods of calls that may be retried, in any letter case; empty means none.
    pub repeatable_methods: Vec<CompactString>,
}

impl Service {
    /// Returns whether a call with this method may be retried when its outcome is unknown.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable_methods.iter().any(|known| known.eq_ignore_ascii_case(method))
    }
}
