//! Customers, their keys, permissions and limits.

use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::key_digest::KeyDigest;

/// Fleet-wide limits of a customer; absent values mean no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerLimits {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Requests that run at the same time.
    pub concurrent_requests: Option<u32>,
    /// Prompt and answer tokens a second.
    pub tokens_per_s: Option<f64>,
}

/// A customer of the operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's id.
    pub id: CustomerId,
    /// Digests of its API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Models that it may use.
    pub models: Vec<ModelId>,
    /// Versions that it may use; if empty, every version of its models.
    pub versions: Vec<VersionId>,
    /// Cascades that it may use.
    pub cascades: Vec<CascadeId>,
    /// Plain services that it may call.
    pub services: Vec<ServiceName>,
    /// Its limits.
    pub limits: CustomerLimits,
    /// Weight when capacity is short; the least important is shed first.
    pub weight: u32,
}

impl Customer {
    /// Whether the customer may use this model.
    pub fn allows_model(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }

    /// Whether the customer may use this version of this model.
    pub fn allows_version(&self, model: &Model, version: &Version) -> bool {
        self.allows_model(&model.id)
            && (self.versions.is_empty() || self.versions.contains(&version.id))
    }
}
