//! Plain services as operators write them.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::service::Service;
use crate::id::ServiceName;

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// The service's name.
    pub name: ServiceName,
    /// HTTP methods whose calls may be repeated.
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
