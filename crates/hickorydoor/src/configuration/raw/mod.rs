//! The configuration as operators write it and as it is stored.
//!
//! The raw types mirror YAML and JSON text. Unknown fields are refused. `TryFrom` turns them into
//! checked items, and `From` turns checked items back for storage and display.

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

/// A second item with the same id would silently replace the first.
fn check_unique(items: &[Item]) -> Result<(), RawConfigurationError> {
    let mut seen = HashSet::new();
    for item in items {
        let key = item.key();
        if !seen.insert(key.clone()) {
            let field = format!("{}.{}", section(key.kind), key.id);
            return Err(RawConfigurationError::field(field, "declared once"));
        }
    }
    Ok(())
}

/// The field that holds the items of a kind.
const fn section(kind: ItemKind) -> &'static str {
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
