//! Customers with their API keys, permissions and rate limits.

use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::key_digest::KeyDigest;

/// Limits on a customer's use of the whole fleet; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerLimits {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Requests in flight at the same time.
    pub concurrent_requests: Option<u32>,
    /// Prompt and answer tokens together, per second.
    pub tokens_per_s: Option<f64>,
}

/// An organisation that sends requests with its own API keys and is billed for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Unique id, also used in bills and exceptions.
    pub id: CustomerId,
    /// SHA-256 digests of its API keys, any of which authenticates it.
    pub key_digests: Vec<KeyDigest>,
    /// Models that it may use; empty means none.
    pub models: Vec<ModelId>,
    /// Model versions that it may use; empty means every version of its models.
    pub versions: Vec<VersionId>,
    /// Cascades that it may use; empty means none.
    pub cascades: Vec<CascadeId>,
    /// Plain services that it may call; empty means none.
    pub services: Vec<ServiceName>,
    /// Limits that apply unless an exception overrides them.
    pub limits: CustomerLimits,
    /// Relative share of the capacity under overload, at least 1. Work of low weight is shed first.
    pub weight: u32,
}

impl Customer {
    /// Returns whether the customer is allowed to use the model.
    pub fn allows_model(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }

    /// Returns whether the customer is allowed to use both the model and this version of it.
    pub fn allows_version(&self, model: &Model, version: &Version) -> bool {
        self.allows_model(&model.id)
            && (self.versions.is_empty() || self.versions.contains(&version.id))
    }
}
