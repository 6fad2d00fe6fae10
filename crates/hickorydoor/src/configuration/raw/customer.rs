//! Serialised form of customers.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::customer::Customer;
use crate::configuration::raw::customer_limits::RawCustomerLimits;
use crate::configuration::raw::customer_limits::check_limits;
use crate::configuration::raw::error::RawConfigurationError;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::key_digest::KeyDigest;

const DEFAULT_WEIGHT: u32 = 10;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

/// Unvalidated [`Customer`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomer {
    /// Unique id.
    pub id: CustomerId,
    /// SHA-256 digests of its API keys; may be empty, but no customer can list a digest of another.
    pub key_digests: Vec<KeyDigest>,
    /// Models that it may use; empty means none.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Model versions that it may use; empty means every version of its models.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionId>,
    /// Cascades that it may use; empty means none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cascades: Vec<CascadeId>,
    /// Plain services that it may call; empty means none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceName>,
    /// Limits on its use of the fleet; no limits if left out.
    #[serde(default)]
    pub limits: RawCustomerLimits,
    /// Relative share of the capacity under overload, 1 or more; 10 if left out.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

impl From<&Customer> for RawCustomer {
    fn from(customer: &Customer) -> Self {
        Self {
            id: customer.id.clone(),
            key_digests: customer.key_digests.clone(),
            models: customer.models.clone(),
            versions: customer.versions.clone(),
            cascades: customer.cascades.clone(),
            services: customer.services.clone(),
            limits: RawCustomerLimits::from(&customer.limits),
            weight: customer.weight,
        }
    }
}

impl TryFrom<RawCustomer> for Customer {
    type Error = RawConfigurationError;

    fn try_from(raw: RawCustomer) -> Result<Self, RawConfigurationError> {
        let path = format!("customers.{}", raw.id);
        if raw.weight == 0 {
            return Err(RawConfigurationError::field(format!("{path}.weight"), "at least 1"));
        }
        Ok(Self {
            limits: check_limits(&format!("{path}.limits"), raw.limits)?,
            id: raw.id,
            key_digests: raw.key_digests,
            models: raw.models,
            versions: raw.versions,
            cascades: raw.cascades,
            services: raw.services,
            weight: raw.weight,
        })
    }
}
