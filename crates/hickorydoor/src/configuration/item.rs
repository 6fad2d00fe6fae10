//! Items, the units in which the configuration is stored and changed.

use std::fmt;

use compact_str::CompactString;

use crate::configuration::cascade::Cascade;
use crate::configuration::customer::Customer;
use crate::configuration::data_centre::DataCentre;
use crate::configuration::defaults::Defaults;
use crate::configuration::exception::Exception;
use crate::configuration::model::Model;
use crate::configuration::service::Service;

/// The kind of an item, which is part of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ItemKind {
    /// The fleet-wide defaults; the only item of this kind has the id `fleet`.
    Defaults,
    /// A model with its prices and versions.
    Model,
    /// A customer with its keys, permissions and limits.
    Customer,
    /// A list of models that are tried in turn.
    Cascade,
    /// A plain service, identified by its name.
    Service,
    /// A data centre, in or out of service.
    DataCentre,
    /// An override for a customer or an upstream.
    Exception,
}

impl ItemKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 7] = [
        Self::Defaults,
        Self::Model,
        Self::Customer,
        Self::Cascade,
        Self::Service,
        Self::DataCentre,
        Self::Exception,
    ];

    /// Returns the name that stored keys and listings use.
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

    /// Parses the result of [`Self::name`]; `None` for any other text.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Identifies an item; displayed as `kind/id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Id of the item, unique within its kind; the name in the case of a service.
    pub id: CompactString,
}

impl ItemKey {
    /// Id of the only item of kind [`ItemKind::Defaults`].
    pub const DEFAULTS_ID: &'static str = "fleet";
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.id)
    }
}

/// A validated item, independent of the other items of its configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Item of kind [`ItemKind::Defaults`].
    Defaults(Defaults),
    /// Item of kind [`ItemKind::Model`].
    Model(Model),
    /// Item of kind [`ItemKind::Customer`].
    Customer(Customer),
    /// Item of kind [`ItemKind::Cascade`].
    Cascade(Cascade),
    /// Item of kind [`ItemKind::Service`].
    Service(Service),
    /// Item of kind [`ItemKind::DataCentre`].
    DataCentre(DataCentre),
    /// Item of kind [`ItemKind::Exception`].
    Exception(Exception),
}

impl Item {
    /// Returns the key under which this item is stored and referred to.
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
