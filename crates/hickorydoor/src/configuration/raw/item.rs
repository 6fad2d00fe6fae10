//! Serialised form of items.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::item::Item;
use crate::configuration::raw::cascade::RawCascade;
use crate::configuration::raw::customer::RawCustomer;
use crate::configuration::raw::data_centre::RawDataCentre;
use crate::configuration::raw::defaults::RawDefaults;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::exception::RawException;
use crate::configuration::raw::model::RawModel;
use crate::configuration::raw::service::RawService;

/// Unvalidated [`Item`], stored as an object whose only key is the kind of the item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawItem {
    /// Serialised under the key `defaults`.
    Defaults(RawDefaults),
    /// Serialised under the key `model`.
    Model(RawModel),
    /// Serialised under the key `cascade`.
    Cascade(RawCascade),
    /// Serialised under the key `service`.
    Service(RawService),
    /// Serialised under the key `data_centre`.
    DataCentre(RawDataCentre),
    /// Serialised under the key `customer`.
    Customer(RawCustomer),
    /// Serialised under the key `exception`.
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
