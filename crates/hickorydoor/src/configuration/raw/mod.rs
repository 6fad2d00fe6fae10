//! Serialisation of the configuration, in YAML for operators and in JSON for storage.
//!
//! The raw types mirror the text one to one and reject unknown fields, but do not validate values.
//! `TryFrom` converts them into validated items; `From` converts items back for storage and
//! display. Field names are part of the stored format.

mod cascade;
mod change_record;
mod customer;
mod customer_limits;
mod data_centre;
mod defaults;
mod error;
mod exception;
mod exception_override;
mod item;
mod model;
mod operation;
mod service;
mod share;
mod version;

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKind;
use crate::id::Revision;

pub use crate::configuration::raw::cascade::RawCascade;
pub use crate::configuration::raw::change_record::RawChangeRecord;
pub use crate::configuration::raw::customer::RawCustomer;
pub use crate::configuration::raw::customer_limits::RawCustomerLimits;
pub use crate::configuration::raw::data_centre::RawDataCentre;
pub use crate::configuration::raw::defaults::RawDefaults;
pub use crate::configuration::raw::error::RawConfigurationError;
pub use crate::configuration::raw::exception::RawException;
pub use crate::configuration::raw::exception_override::RawOverride;
pub use crate::configuration::raw::item::RawItem;
pub use crate::configuration::raw::model::RawModel;
pub use crate::configuration::raw::operation::RawOperation;
pub use crate::configuration::raw::service::RawService;
pub use crate::configuration::raw::version::RawVersion;

/// Unvalidated [`Configuration`]; a field that is left out is empty or has default values.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawConfiguration {
    /// Revision that the text was exported from; `None` in texts written from scratch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Fleet-wide defaults; see [`RawDefaults`] for the values of absent fields.
    pub defaults: RawDefaults,
    /// Models, with unique ids.
    pub models: Vec<RawModel>,
    /// Cascades, with ids that differ from each other and from model ids.
    pub cascades: Vec<RawCascade>,
    /// Plain services, with unique names.
    pub services: Vec<RawService>,
    /// Data centres, with unique ids.
    pub data_centres: Vec<RawDataCentre>,
    /// Customers, with unique ids and key digests.
    pub customers: Vec<RawCustomer>,
    /// Exceptions, with unique ids.
    pub exceptions: Vec<RawException>,
}

impl RawConfiguration {
    /// Parses YAML text; values are not validated.
    ///
    /// # Errors
    /// Fails with the line and field of the first syntax error, unknown field or wrong type.
    pub fn from_yaml(text: &str) -> Result<Self, RawConfigurationError> {
        serde_yaml_ng::from_str(text).map_err(|error| RawConfigurationError::Syntax {
            line: error.location().map(|location| location.line()),
            detail: error.to_string().into(),
        })
    }

    /// Serialises to YAML text.
    ///
    /// # Errors
    /// Fails if a value cannot be serialised; the raw types contain no such values.
    pub fn to_yaml(&self) -> Result<String, RawConfigurationError> {
        serde_yaml_ng::to_string(self).map_err(|error| RawConfigurationError::Syntax {
            line: None,
            detail: error.to_string().into(),
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
        check_unique(&items)?;
        Ok(Self::from_items(revision, items)?)
    }
}

/// Rejects items with the same key, of which all but the last would be silently dropped.
fn check_unique(items: &[Item]) -> Result<(), RawConfigurationError> {
    let mut seen = HashSet::new();
    for item in items {
        let key = item.key();
        if !seen.insert(key.clone()) {
            let field = format!("{}.{}", section_name(key.kind), key.id);
            return Err(RawConfigurationError::field(field, "declared once"));
        }
    }
    Ok(())
}

/// Returns the field of [`RawConfiguration`] that contains the items of a kind.
const fn section_name(kind: ItemKind) -> &'static str {
    match kind {
        ItemKind::Defaults => "defaults",
        ItemKind::Model => "models",
        ItemKind::Customer => "customers",
        ItemKind::Cascade => "cascades",
        ItemKind::Service => "services",
        ItemKind::DataCentre => "data_centres",
        ItemKind::Exception => "exceptions",
    }
}
