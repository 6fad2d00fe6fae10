//! The configuration as operators write it and as it is stored.
//!
//! The raw types mirror YAML and JSON text. Unknown fields are refused. `TryFrom` turns them into
//! checked items, and `From` turns checked items back for storage and display.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::cascade::Cascade;
use crate::change::ChangeRecord;
use crate::change::Operation;
use crate::configuration::Configuration;
use crate::configuration::ConfigurationError;
use crate::customer::Customer;
use crate::customer::CustomerLimits;
use crate::data_centre::DataCentre;
use crate::defaults::Defaults;
use crate::error::Category;
use crate::exception::Exception;
use crate::exception::Override;
use crate::id::CascadeId;
use crate::id::ChangeId;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::OperatorId;
use crate::id::RegionId;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::id::VersionId;
use crate::item::Item;
use crate::item::ItemKey;
use crate::item::ItemKind;
use crate::key_digest::KeyDigest;
use crate::model::Model;
use crate::model::Version;
use crate::model::VersionState;
use crate::quantity::ByteCount;
use crate::quantity::CostMicros;
use crate::quantity::Share;
use crate::service::Service;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Reasons why a raw configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawConfigurationError {
    /// The text is not YAML or has an unknown or ill-typed field.
    Syntax {
        /// The parser's message with the line, where it is known.
        detail: CompactString,
        /// Line of the fault, from 1.
        line: Option<usize>,
    },
    /// A field has a value that is not allowed.
    Field {
        /// Path of the field.
        field: CompactString,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The items contradict each other.
    Inconsistent(ConfigurationError),
}

impl RawConfigurationError {
    /// How to react to this error.
    pub const fn category(&self) -> Category {
        Category::Input
    }

    fn field(field: impl Into<CompactString>, allowed: &'static str) -> Self {
        Self::Field { field: field.into(), allowed }
    }
}

impl fmt::Display for RawConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { detail, .. } => f.write_str(detail),
            Self::Field { field, allowed } => write!(f, "{field}: must be {allowed}"),
            Self::Inconsistent(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RawConfigurationError {}

impl From<ConfigurationError> for RawConfigurationError {
    fn from(error: ConfigurationError) -> Self {
        Self::Inconsistent(error)
    }
}

/// A whole configuration in YAML or JSON.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawConfiguration {
    /// Revision; absent in files that operators write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Fleet-wide defaults.
    pub defaults: RawDefaults,
    /// Models.
    pub models: Vec<RawModel>,
    /// Cascades.
    pub cascades: Vec<RawCascade>,
    /// Plain services.
    pub services: Vec<RawService>,
    /// Data centres.
    pub data_centres: Vec<RawDataCentre>,
    /// Customers.
    pub customers: Vec<RawCustomer>,
    /// Exceptions to the defaults.
    pub exceptions: Vec<RawException>,
}

impl RawConfiguration {
    /// Parses YAML text.
    ///
    /// # Errors
    /// Fails with the line and field of the first fault.
    pub fn from_yaml(text: &str) -> Result<Self, RawConfigurationError> {
        serde_yaml_ng::from_str(text).map_err(|error| RawConfigurationError::Syntax {
            line: error.location().map(|location| location.line()),
            detail: error.to_string().into(),
        })
    }

    /// Writes YAML text.
    ///
    /// # Errors
    /// Fails if a value cannot be written, which the raw types rule out.
    pub fn to_yaml(&self) -> Result<String, RawConfigurationError> {
        serde_yaml_ng::to_string(self).map_err(|error| RawConfigurationError::Syntax {
            line: None,
            detail: error.to_string().into(),
        })
    }
}

/// Fleet-wide defaults; every field may be left out.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDefaults {
    /// Largest request body.
    pub request_body_limit_bytes: u64,
    /// Deadline of interactive requests.
    pub interactive_deadline_ms: u64,
    /// Deadline of batch requests.
    pub batch_deadline_ms: u64,
    /// Share of requests that may be retried, 0 to 1.
    pub retry_budget: f64,
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Answer tokens assumed for requests that name no maximum.
    pub expected_answer_tokens: u64,
}

impl Default for RawDefaults {
    fn default() -> Self {
        Self::from(&Defaults::default())
    }
}

impl From<&Defaults> for RawDefaults {
    fn from(defaults: &Defaults) -> Self {
        Self {
            request_body_limit_bytes: defaults.request_body_limit_bytes.get(),
            interactive_deadline_ms: defaults.interactive_deadline_ms.get(),
            batch_deadline_ms: defaults.batch_deadline_ms.get(),
            retry_budget: defaults.retry_budget.as_f64(),
            first_token_target_ms: defaults.first_token_target_ms.get(),
            expected_answer_tokens: defaults.expected_answer_tokens,
        }
    }
}

impl TryFrom<RawDefaults> for Defaults {
    type Error = RawConfigurationError;

    fn try_from(raw: RawDefaults) -> Result<Self, RawConfigurationError> {
        let positive = |field: &'static str, value: u64| match value {
            0 => Err(RawConfigurationError::field(field, "greater than 0")),
            _ => Ok(value),
        };
        Ok(Self {
            request_body_limit_bytes: ByteCount::new(positive(
                "defaults.request_body_limit_bytes",
                raw.request_body_limit_bytes,
            )?),
            interactive_deadline_ms: DurationMs::new(positive(
                "defaults.interactive_deadline_ms",
                raw.interactive_deadline_ms,
            )?),
            batch_deadline_ms: DurationMs::new(positive(
                "defaults.batch_deadline_ms",
                raw.batch_deadline_ms,
            )?),
            retry_budget: share("defaults.retry_budget", raw.retry_budget)?,
            first_token_target_ms: DurationMs::new(positive(
                "defaults.first_token_target_ms",
                raw.first_token_target_ms,
            )?),
            expected_answer_tokens: positive(
                "defaults.expected_answer_tokens",
                raw.expected_answer_tokens,
            )?,
        })
    }
}

fn share(field: &str, value: f64) -> Result<Share, RawConfigurationError> {
    Share::try_from(value)
        .map_err(|_error| RawConfigurationError::field(field, "a share between 0 and 1"))
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// The model's id.
    pub id: ModelId,
    /// Price of a thousand prompt tokens.
    pub prompt_cost_micros_per_1k_tokens: u64,
    /// Price of a thousand answer tokens.
    pub answer_cost_micros_per_1k_tokens: u64,
    /// The versions, oldest first.
    pub versions: Vec<RawVersion>,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawVersion {
    /// The version's id.
    pub id: VersionId,
    /// Its state.
    pub state: VersionState,
    /// Share of new sessions that a canary gets, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary_share: Option<f64>,
}

impl From<&Model> for RawModel {
    fn from(model: &Model) -> Self {
        let versions = model.versions.iter().map(|version| RawVersion {
            id: version.id.clone(),
            state: version.state,
            canary_share: (version.state == VersionState::Canary)
                .then(|| version.canary_share.as_f64()),
        });
        Self {
            id: model.id.clone(),
            prompt_cost_micros_per_1k_tokens: model.prompt_cost_micros_per_1k_tokens.get(),
            answer_cost_micros_per_1k_tokens: model.answer_cost_micros_per_1k_tokens.get(),
            versions: versions.collect(),
        }
    }
}

impl TryFrom<RawModel> for Model {
    type Error = RawConfigurationError;

    fn try_from(raw: RawModel) -> Result<Self, RawConfigurationError> {
        let path = format!("models.{}", raw.id);
        if raw.versions.is_empty() {
            return Err(RawConfigurationError::field(
                format!("{path}.versions"),
                "a list of at least one version",
            ));
        }
        let version = |raw: RawVersion| {
            let field = format!("{path}.versions.{}.canary_share", raw.id);
            let canary_share = match (raw.state, raw.canary_share) {
                (VersionState::Canary, Some(value)) => share(&field, value)?,
                (VersionState::Canary, None) => {
                    return Err(RawConfigurationError::field(field, "given for a canary"));
                }
                (_, Some(_)) => {
                    return Err(RawConfigurationError::field(field, "left out unless canary"));
                }
                (_, None) => Share::ZERO,
            };
            Ok(Version { id: raw.id, state: raw.state, canary_share })
        };
        Ok(Self {
            id: raw.id,
            prompt_cost_micros_per_1k_tokens: CostMicros::new(raw.prompt_cost_micros_per_1k_tokens),
            answer_cost_micros_per_1k_tokens: CostMicros::new(raw.answer_cost_micros_per_1k_tokens),
            versions: raw.versions.into_iter().map(version).collect::<Result<_, _>>()?,
        })
    }
}

/// A cascade.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCascade {
    /// The cascade's id.
    pub id: CascadeId,
    /// Models in the order in which they are tried.
    pub steps: Vec<ModelId>,
    /// Lowest rating with which an answer is released, 0 to 1.
    pub release_score: f64,
}

impl From<&Cascade> for RawCascade {
    fn from(cascade: &Cascade) -> Self {
        Self {
            id: cascade.id.clone(),
            steps: cascade.steps.clone(),
            release_score: cascade.release_score,
        }
    }
}

impl TryFrom<RawCascade> for Cascade {
    type Error = RawConfigurationError;

    fn try_from(raw: RawCascade) -> Result<Self, RawConfigurationError> {
        let path = format!("cascades.{}", raw.id);
        if raw.steps.is_empty() {
            return Err(RawConfigurationError::field(
                format!("{path}.steps"),
                "a list of at least one model",
            ));
        }
        if !(0.0..=1.0).contains(&raw.release_score) {
            return Err(RawConfigurationError::field(
                format!("{path}.release_score"),
                "between 0 and 1",
            ));
        }
        Ok(Self { id: raw.id, steps: raw.steps, release_score: raw.release_score })
    }
}

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

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDataCentre {
    /// The data centre's id.
    pub id: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is taken out.
    #[serde(default)]
    pub out: bool,
}

impl From<&DataCentre> for RawDataCentre {
    fn from(data_centre: &DataCentre) -> Self {
        Self {
            id: data_centre.id.clone(),
            region: data_centre.region.clone(),
            out: data_centre.out,
        }
    }
}

impl From<RawDataCentre> for DataCentre {
    fn from(raw: RawDataCentre) -> Self {
        Self { id: raw.id, region: raw.region, out: raw.out }
    }
}

/// Limits of a customer; a field that is left out means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawCustomerLimits {
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Tokens a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
}

impl From<&CustomerLimits> for RawCustomerLimits {
    fn from(limits: &CustomerLimits) -> Self {
        Self {
            requests_per_s: limits.requests_per_s,
            concurrent_requests: limits.concurrent_requests,
            tokens_per_s: limits.tokens_per_s,
        }
    }
}

fn checked_limits(
    path: &str,
    raw: RawCustomerLimits,
) -> Result<CustomerLimits, RawConfigurationError> {
    let rate = |name: &str, value: Option<f64>| match value {
        Some(rate) if !(rate.is_finite() && rate > 0.0) => {
            Err(RawConfigurationError::field(format!("{path}.{name}"), "greater than 0"))
        }
        _ => Ok(value),
    };
    if raw.concurrent_requests == Some(0) {
        let field = format!("{path}.concurrent_requests");
        return Err(RawConfigurationError::field(field, "greater than 0"));
    }
    Ok(CustomerLimits {
        requests_per_s: rate("requests_per_s", raw.requests_per_s)?,
        concurrent_requests: raw.concurrent_requests,
        tokens_per_s: rate("tokens_per_s", raw.tokens_per_s)?,
    })
}

const DEFAULT_WEIGHT: u32 = 10;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomer {
    /// The customer's id.
    pub id: CustomerId,
    /// SHA-256 digests of its API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Models that it may use.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Versions that it may use; if empty, every version of its models.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionId>,
    /// Cascades that it may use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cascades: Vec<CascadeId>,
    /// Plain services that it may call.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceName>,
    /// Its limits.
    #[serde(default)]
    pub limits: RawCustomerLimits,
    /// Weight when capacity is short, 1 or more.
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
            limits: checked_limits(&format!("{path}.limits"), raw.limits)?,
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

/// What an exception changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum RawOverride {
    /// Other limits for a customer.
    CustomerLimits {
        /// The customer.
        customer: CustomerId,
        /// The limits in force instead.
        limits: RawCustomerLimits,
    },
    /// Another deadline for a customer's interactive requests.
    InteractiveDeadline {
        /// The customer.
        customer: CustomerId,
        /// The deadline in force instead.
        deadline_ms: u64,
    },
    /// Another retry budget for a customer.
    RetryBudget {
        /// The customer.
        customer: CustomerId,
        /// The share in force instead, 0 to 1.
        share: f64,
    },
    /// The upstream does not check fencing numbers.
    IgnoresFencing {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets no new work.
    UpstreamOut {
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// An exception to the defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawException {
    /// The exception's id.
    pub id: ExceptionId,
    /// Why it exists.
    pub reason: CompactString,
    /// When it ends by itself, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_at_ms: Option<TimeMs>,
    /// What it changes.
    pub change: RawOverride,
}

impl From<&Exception> for RawException {
    fn from(exception: &Exception) -> Self {
        let change = match &exception.change {
            Override::CustomerLimits { customer, limits } => RawOverride::CustomerLimits {
                customer: customer.clone(),
                limits: RawCustomerLimits::from(limits),
            },
            Override::InteractiveDeadline { customer, deadline_ms } => {
                RawOverride::InteractiveDeadline {
                    customer: customer.clone(),
                    deadline_ms: deadline_ms.get(),
                }
            }
            Override::RetryBudget { customer, share } => {
                RawOverride::RetryBudget { customer: customer.clone(), share: share.as_f64() }
            }
            Override::IgnoresFencing { upstream } => {
                RawOverride::IgnoresFencing { upstream: upstream.clone() }
            }
            Override::UpstreamOut { upstream } => {
                RawOverride::UpstreamOut { upstream: upstream.clone() }
            }
        };
        Self {
            id: exception.id.clone(),
            reason: exception.reason.clone(),
            ends_at_ms: exception.ends_at_ms,
            change,
        }
    }
}

impl TryFrom<RawException> for Exception {
    type Error = RawConfigurationError;

    fn try_from(raw: RawException) -> Result<Self, RawConfigurationError> {
        let path = format!("exceptions.{}", raw.id);
        if raw.reason.trim().is_empty() {
            return Err(RawConfigurationError::field(format!("{path}.reason"), "a written reason"));
        }
        let change = match raw.change {
            RawOverride::CustomerLimits { customer, limits } => Override::CustomerLimits {
                customer,
                limits: checked_limits(&format!("{path}.change.limits"), limits)?,
            },
            RawOverride::InteractiveDeadline { customer, deadline_ms } => {
                if deadline_ms == 0 {
                    let field = format!("{path}.change.deadline_ms");
                    return Err(RawConfigurationError::field(field, "greater than 0"));
                }
                Override::InteractiveDeadline {
                    customer,
                    deadline_ms: DurationMs::new(deadline_ms),
                }
            }
            RawOverride::RetryBudget { customer, share: value } => Override::RetryBudget {
                customer,
                share: share(&format!("{path}.change.share"), value)?,
            },
            RawOverride::IgnoresFencing { upstream } => Override::IgnoresFencing { upstream },
            RawOverride::UpstreamOut { upstream } => Override::UpstreamOut { upstream },
        };
        Ok(Self { id: raw.id, reason: raw.reason, ends_at_ms: raw.ends_at_ms, change })
    }
}

/// An item as it is stored under its key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawItem {
    /// The defaults.
    Defaults(RawDefaults),
    /// A model.
    Model(RawModel),
    /// A cascade.
    Cascade(RawCascade),
    /// A plain service.
    Service(RawService),
    /// A data centre.
    DataCentre(RawDataCentre),
    /// A customer.
    Customer(RawCustomer),
    /// An exception.
    Exception(RawException),
}

impl From<&Item> for RawItem {
    fn from(item: &Item) -> Self {
        match item {
            Item::Defaults(defaults) => Self::Defaults(defaults.into()),
            Item::Model(model) => Self::Model(model.into()),
            Item::Cascade(cascade) => Self::Cascade(cascade.into()),
            Item::Service(service) => Self::Service(service.into()),
            Item::DataCentre(data_centre) => Self::DataCentre(data_centre.into()),
            Item::Customer(customer) => Self::Customer(customer.into()),
            Item::Exception(exception) => Self::Exception(exception.into()),
        }
    }
}

impl TryFrom<RawItem> for Item {
    type Error = RawConfigurationError;

    fn try_from(raw: RawItem) -> Result<Self, RawConfigurationError> {
        Ok(match raw {
            RawItem::Defaults(raw) => Self::Defaults(raw.try_into()?),
            RawItem::Model(raw) => Self::Model(raw.try_into()?),
            RawItem::Cascade(raw) => Self::Cascade(raw.try_into()?),
            RawItem::Service(raw) => Self::Service(raw.into()),
            RawItem::DataCentre(raw) => Self::DataCentre(raw.into()),
            RawItem::Customer(raw) => Self::Customer(raw.try_into()?),
            RawItem::Exception(raw) => Self::Exception(raw.try_into()?),
        })
    }
}

impl From<&Configuration> for RawConfiguration {
    fn from(configuration: &Configuration) -> Self {
        let mut raw = Self { revision: Some(configuration.revision), ..Self::default() };
        for item in configuration.items() {
            raw.push(RawItem::from(&item));
        }
        raw
    }
}

impl RawConfiguration {
    fn push(&mut self, item: RawItem) {
        match item {
            RawItem::Defaults(raw) => self.defaults = raw,
            RawItem::Model(raw) => self.models.push(raw),
            RawItem::Cascade(raw) => self.cascades.push(raw),
            RawItem::Service(raw) => self.services.push(raw),
            RawItem::DataCentre(raw) => self.data_centres.push(raw),
            RawItem::Customer(raw) => self.customers.push(raw),
            RawItem::Exception(raw) => self.exceptions.push(raw),
        }
    }

    fn into_raw_items(self) -> Vec<RawItem> {
        let mut items = vec![RawItem::Defaults(self.defaults)];
        items.extend(self.models.into_iter().map(RawItem::Model));
        items.extend(self.cascades.into_iter().map(RawItem::Cascade));
        items.extend(self.services.into_iter().map(RawItem::Service));
        items.extend(self.data_centres.into_iter().map(RawItem::DataCentre));
        items.extend(self.customers.into_iter().map(RawItem::Customer));
        items.extend(self.exceptions.into_iter().map(RawItem::Exception));
        items
    }
}

impl TryFrom<RawConfiguration> for Configuration {
    type Error = RawConfigurationError;

    fn try_from(raw: RawConfiguration) -> Result<Self, RawConfigurationError> {
        let revision = raw.revision.unwrap_or_default();
        let items: Vec<Item> =
            raw.into_raw_items().into_iter().map(Item::try_from).collect::<Result<_, _>>()?;
        Ok(Self::from_items(revision, items)?)
    }
}

/// One step of a change as it is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawOperation {
    /// Creates or replaces an item.
    Put(RawItem),
    /// Removes an item.
    Delete {
        /// Name of the item's kind.
        kind: CompactString,
        /// The item's id.
        id: CompactString,
    },
}

impl From<&Operation> for RawOperation {
    fn from(operation: &Operation) -> Self {
        match operation {
            Operation::Put(item) => Self::Put(item.into()),
            Operation::Delete(key) => {
                Self::Delete { kind: key.kind.name().into(), id: key.id.clone() }
            }
        }
    }
}

impl TryFrom<RawOperation> for Operation {
    type Error = RawConfigurationError;

    fn try_from(raw: RawOperation) -> Result<Self, RawConfigurationError> {
        match raw {
            RawOperation::Put(item) => Ok(Self::Put(item.try_into()?)),
            RawOperation::Delete { kind, id } => {
                let kind = ItemKind::from_name(&kind)
                    .ok_or_else(|| RawConfigurationError::field("kind", "a known item kind"))?;
                Ok(Self::Delete(ItemKey { kind, id }))
            }
        }
    }
}

/// A change record as it is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChangeRecord {
    /// The revision that the change produced.
    pub revision: Revision,
    /// The change's own id.
    pub change: ChangeId,
    /// Who made the change.
    pub operator: OperatorId,
    /// Why it was made.
    pub reason: CompactString,
    /// When it was made.
    pub made_at_ms: TimeMs,
    /// What it changes.
    pub operations: Vec<RawOperation>,
}

impl From<&ChangeRecord> for RawChangeRecord {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            revision: record.revision,
            change: record.change.clone(),
            operator: record.operator.clone(),
            reason: record.reason.clone(),
            made_at_ms: record.made_at_ms,
            operations: record.operations.iter().map(RawOperation::from).collect(),
        }
    }
}

impl TryFrom<RawChangeRecord> for ChangeRecord {
    type Error = RawConfigurationError;

    fn try_from(raw: RawChangeRecord) -> Result<Self, RawConfigurationError> {
        let operations =
            raw.operations.into_iter().map(Operation::try_from).collect::<Result<_, _>>()?;
        Ok(Self {
            revision: raw.revision,
            change: raw.change,
            operator: raw.operator,
            reason: raw.reason,
            made_at_ms: raw.made_at_ms,
            operations,
        })
    }
}
