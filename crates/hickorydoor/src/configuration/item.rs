//! Items of the configuration, the unit in which it is stored and changed.

use std::fmt;

use compact_str::CompactString;

use crate::configuration::cascade::Cascade;
use crate::configuration::customer::Customer;
use crate::configuration::data_centre::DataCentre;
use crate::configuration::defaults::Defaults;
use crate::configuration::exception::Exception;
use crate::configuration::model::Model;
use crate::configuration::service::Service;

/// Kinds of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ItemKind {
    /// The fleet-wide defaults; there is one item, named `fleet`.
    Defaults,
    /// A model.
    Model,
    /// A customer.
    Customer,
    /// A cascade.
    Cascade,
    /// A plain service.
    Service,
    /// A data centre.
    DataCentre,
    /// An exception.
    Exception,
}

impl ItemKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Defaults,
        Self::Model,
        Self::Customer,
        Self::Cascade,
        Self::Service,
        Self::DataCentre,
        Self::Exception,
    ];

    /// The kind's name in key paths and listings.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Defaults => "defaults",
            Self::Model => "model",
            Self::Customer => "customer",
            Self::Cascade => "cascade",
            Self::Service => "service",
            Self::DataCentre => "data_centre",
            Self::Exception => "exception",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Names an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    /// The item's kind.
    pub kind: ItemKind,
    /// The item's id within its kind.
    pub id: CompactString,
}

impl ItemKey {
    /// Id of the single defaults item.
    pub const DEFAULTS_ID: &'static str = "fleet";
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.id)
    }
}

/// An item of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The fleet-wide defaults.
    Defaults(Defaults),
    /// A model.
    Model(Model),
    /// A customer.
    Customer(Customer),
    /// A cascade.
    Cascade(Cascade),
    /// A plain service.
    Service(Service),
    /// A data centre.
    DataCentre(DataCentre),
    /// An exception.
    Exception(Exception),
}

impl Item {
    /// The key that names this item.
    pub fn key(&self) -> ItemKey {
        let (kind, id) = match self {
            Self::Defaults(_) => (ItemKind::Defaults, ItemKey::DEFAULTS_ID),
            Self::Model(model) => (ItemKind::Model, model.id.as_str()),
            Self::Customer(customer) => (ItemKind::Customer, customer.id.as_str()),
            Self::Cascade(cascade) => (ItemKind::Cascade, cascade.id.as_str()),
            Self::Service(service) => (ItemKind::Service, service.name.as_str()),
            Self::DataCentre(data_centre) => (ItemKind::DataCentre, data_centre.id.as_str()),
            Self::Exception(exception) => (ItemKind::Exception, exception.id.as_str()),
        };
        ItemKey { kind, id: id.into() }
    }
}
