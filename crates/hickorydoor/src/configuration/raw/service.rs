//! Serialised form of plain services.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::service::Service;
use crate::id::ServiceName;

/// Serialised [`Service`]; every value is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Unique name, the first path segment after `/services/` in requests.
    pub name: ServiceName,
    /// HTTP methods of calls that may be retried, in any letter case.
    pub repeatable_methods: Vec<CompactString>,
}

impl From<&Service> for RawService {
    fn from(service: &Service) -> Self {
        Self { name: service.name.clone(), repeatable_methods: service.repeatable_methods.clone() }
    }
}

impl From<RawService> for Service {
    fn from(raw: RawService) -> Self {
        Self { name: raw.name, repeatable_methods: raw.repeatable_methods }
    }
}
