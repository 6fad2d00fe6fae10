//! The checked configuration.
//!
//! A [`Configuration`] is only built by applying operations that passed the checks below, so the
//! references between its items always resolve.

pub mod action_error;
pub mod cascade;
pub mod change;
pub mod change_attempt;
pub mod change_outcome;
pub mod customer;
pub mod data_centre;
pub mod defaults;
pub mod diff;
mod edit;
pub mod exception;
pub mod head;
pub mod item;
pub mod item_change;
pub mod log;
pub mod model;
pub mod operator_action;
pub mod pull;
pub mod raw;
pub mod service;
pub mod stored;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use crate::configuration::cascade::Cascade;
use crate::configuration::change::ChangeRecord;
use crate::configuration::customer::Customer;
use crate::configuration::data_centre::DataCentre;
use crate::configuration::defaults::Defaults;
use crate::configuration::exception::Exception;
use crate::configuration::exception::Override;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::item::ItemKind;
use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::configuration::service::Service;
use crate::error::Category;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::key_digest::KeyDigest;
use crate::time::TimeMs;

/// Configuration of the fleet at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The revision; 0 before the first change.
    pub revision: Revision,
    /// Fleet-wide defaults.
    pub defaults: Defaults,
    /// Models by id.
    pub models: BTreeMap<ModelId, Model>,
    /// Customers by id.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Cascades by id.
    pub cascades: BTreeMap<CascadeId, Cascade>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Data centres by id.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Exceptions by id.
    pub exceptions: BTreeMap<ExceptionId, Exception>,
    key_index: HashMap<KeyDigest, CustomerId>,
    version_index: HashMap<VersionId, ModelId>,
}

/// Reasons why a change does not fit the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The record does not follow the revision in force.
    NonConsecutiveRevision {
        /// The revision in force.
        current: Revision,
        /// The revision of the record.
        received: Revision,
    },
    /// An item refers to another item that does not exist.
    MissingReference {
        /// The item that refers.
        from: ItemKey,
        /// The item that is missing.
        to: ItemKey,
    },
    /// Two models declare the same version.
    DuplicateVersion {
        /// The version.
        version: VersionId,
    },
    /// Two customers have the same key digest.
    DuplicateKey {
        /// The second customer.
        customer: CustomerId,
    },
    /// A cascade and a model share a name, so callers could not tell them apart.
    AmbiguousName {
        /// The shared name.
        name: CascadeId,
    },
    /// A customer allows a version that no model declares.
    UnknownVersion {
        /// The customer.
        customer: CustomerId,
        /// The version.
        version: VersionId,
    },
}

impl ConfigurationError {
    /// How to react to this error.
    pub const fn category(&self) -> Category {
        match self {
            Self::NonConsecutiveRevision { .. } => Category::Conflict,
            _ => Category::Input,
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NonConsecutiveRevision { current, received } => {
                write!(f, "revision {received} does not follow revision {current}")
            }
            Self::MissingReference { from, to } => {
                write!(f, "{from} refers to {to}, which does not exist")
            }
            Self::DuplicateVersion { version } => {
                write!(f, "version {version} is declared by two models")
            }
            Self::DuplicateKey { customer } => {
                write!(f, "a key of customer {customer} also belongs to another customer")
            }
            Self::AmbiguousName { name } => {
                write!(f, "{name} names both a cascade and a model")
            }
            Self::UnknownVersion { customer, version } => {
                write!(f, "customer {customer} allows version {version}, which no model declares")
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// The customer with this key.
    pub fn customer_by_key(&self, digest: &KeyDigest) -> Option<&Customer> {
        let customer = self.customers.get(self.key_index.get(digest)?)?;
        customer.key_digests.iter().any(|known| known.matches(digest)).then_some(customer)
    }

    /// The model that declares this version, and the version.
    pub fn version(&self, id: &VersionId) -> Option<(&Model, &Version)> {
        let model = self.models.get(self.version_index.get(id)?)?;
        Some((model, model.version(id)?))
    }

    /// What the exceptions in force change, in the order of their ids.
    pub fn overrides(&self, now: TimeMs) -> impl DoubleEndedIterator<Item = &Override> {
        let in_force = self.exceptions.values().filter(move |known| known.is_in_force(now));
        in_force.map(|exception| &exception.change)
    }

    /// Whether operators have taken this data centre out. Unknown data centres are in.
    pub fn is_data_centre_out(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.get(data_centre).is_some_and(|known| known.out)
    }

    /// Every item, in a fixed order in which references come after what they refer to.
    pub fn items(&self) -> Vec<Item> {
        let mut items = vec![Item::Defaults(self.defaults.clone())];
        items.extend(self.models.values().cloned().map(Item::Model));
        items.extend(self.cascades.values().cloned().map(Item::Cascade));
        items.extend(self.services.values().cloned().map(Item::Service));
        items.extend(self.data_centres.values().cloned().map(Item::DataCentre));
        items.extend(self.customers.values().cloned().map(Item::Customer));
        items.extend(self.exceptions.values().cloned().map(Item::Exception));
        items
    }

    /// Builds a configuration from all of its items.
    ///
    /// # Errors
    /// Fails if the items contradict each other or refer to missing items.
    pub fn from_items(
        revision: Revision,
        items: impl IntoIterator<Item = Item>,
    ) -> Result<Self, ConfigurationError> {
        let mut next = Self { revision, ..Self::default() };
        for item in items {
            next.put(item);
        }
        next.check()?;
        Ok(next)
    }

    /// Applies the change that follows the revision in force.
    ///
    /// # Errors
    /// Fails if the record is not the next one or does not fit; `self` stays as it was.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<(), ConfigurationError> {
        if record.revision != self.revision.next() {
            return Err(ConfigurationError::NonConsecutiveRevision {
                current: self.revision,
                received: record.revision,
            });
        }
        self.apply_operations(&record.operations)?;
        self.revision = record.revision;
        Ok(())
    }

    /// The item with this key.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        let id = &key.id;
        match key.kind {
            ItemKind::Defaults => Some(Item::Defaults(self.defaults.clone())),
            ItemKind::Model => find(&self.models, id).map(Item::Model),
            ItemKind::Customer => find(&self.customers, id).map(Item::Customer),
            ItemKind::Cascade => find(&self.cascades, id).map(Item::Cascade),
            ItemKind::Service => find(&self.services, id).map(Item::Service),
            ItemKind::DataCentre => find(&self.data_centres, id).map(Item::DataCentre),
            ItemKind::Exception => find(&self.exceptions, id).map(Item::Exception),
        }
    }

    /// Replaces or removes an item without checks and returns the previous one.
    pub(crate) fn replace(&mut self, key: &ItemKey, item: Option<Item>) -> Option<Item> {
        let previous = self.item(key);
        match item {
            Some(item) => self.put(item),
            None => self.delete(key),
        }
        previous
    }

    fn put(&mut self, item: Item) {
        match item {
            Item::Defaults(defaults) => self.defaults = defaults,
            Item::Model(model) => {
                self.models.insert(model.id.clone(), model);
            }
            Item::Customer(customer) => {
                self.customers.insert(customer.id.clone(), customer);
            }
            Item::Cascade(cascade) => {
                self.cascades.insert(cascade.id.clone(), cascade);
            }
            Item::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Item::DataCentre(data_centre) => {
                self.data_centres.insert(data_centre.id.clone(), data_centre);
            }
            Item::Exception(exception) => {
                self.exceptions.insert(exception.id.clone(), exception);
            }
        }
    }

    fn delete(&mut self, key: &ItemKey) {
        match key.kind {
            ItemKind::Defaults => self.defaults = Defaults::default(),
            ItemKind::Model => remove(&mut self.models, &key.id),
            ItemKind::Customer => remove(&mut self.customers, &key.id),
            ItemKind::Cascade => remove(&mut self.cascades, &key.id),
            ItemKind::Service => remove(&mut self.services, &key.id),
            ItemKind::DataCentre => remove(&mut self.data_centres, &key.id),
            ItemKind::Exception => remove(&mut self.exceptions, &key.id),
        }
    }

    fn check(&mut self) -> Result<(), ConfigurationError> {
        self.version_index.clear();
        self.key_index.clear();
        for item in self.items() {
            self.add_index(&item)?;
        }
        self.check_references()
    }

    /// Checks every reference between items.
    pub(crate) fn check_references(&self) -> Result<(), ConfigurationError> {
        self.cascades.values().try_for_each(|cascade| self.check_cascade(cascade))?;
        self.customers.values().try_for_each(|customer| self.check_customer(customer))
    }

    /// Checks what an item refers to.
    pub(crate) fn check_item(&self, item: &Item) -> Result<(), ConfigurationError> {
        match item {
            Item::Cascade(cascade) => self.check_cascade(cascade),
            Item::Customer(customer) => self.check_customer(customer),
            Item::Model(model) => match find(&self.cascades, model.id.as_str()) {
                Some(cascade) => Err(ConfigurationError::AmbiguousName { name: cascade.id }),
                None => Ok(()),
            },
            Item::Defaults(_) | Item::Service(_) | Item::DataCentre(_) | Item::Exception(_) => {
                Ok(())
            }
        }
    }

    /// Adds an item to the indexes.
    pub(crate) fn add_index(&mut self, item: &Item) -> Result<(), ConfigurationError> {
        match item {
            Item::Model(model) => {
                for version in &model.versions {
                    let id = version.id.clone();
                    if self.version_index.contains_key(&id) {
                        return Err(ConfigurationError::DuplicateVersion { version: id });
                    }
                    self.version_index.insert(id, model.id.clone());
                }
            }
            Item::Customer(customer) => {
                for digest in &customer.key_digests {
                    let customer = customer.id.clone();
                    if self.key_index.contains_key(digest) {
                        return Err(ConfigurationError::DuplicateKey { customer });
                    }
                    self.key_index.insert(*digest, customer);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Removes an item from the indexes; entries of other items stay.
    pub(crate) fn remove_index(&mut self, item: &Item) {
        match item {
            Item::Model(model) => {
                for version in &model.versions {
                    if self.version_index.get(&version.id) == Some(&model.id) {
                        self.version_index.remove(&version.id);
                    }
                }
            }
            Item::Customer(customer) => {
                for digest in &customer.key_digests {
                    if self.key_index.get(digest) == Some(&customer.id) {
                        self.key_index.remove(digest);
                    }
                }
            }
            _ => {}
        }
    }

    fn check_cascade(&self, cascade: &Cascade) -> Result<(), ConfigurationError> {
        if find(&self.models, cascade.id.as_str()).is_some() {
            return Err(ConfigurationError::AmbiguousName { name: cascade.id.clone() });
        }
        let from = ItemKey { kind: ItemKind::Cascade, id: cascade.id.as_str().into() };
        for model in &cascade.steps {
            self.check_reference(&from, ItemKind::Model, model.as_str())?;
        }
        Ok(())
    }

    fn check_customer(&self, customer: &Customer) -> Result<(), ConfigurationError> {
        let from = ItemKey { kind: ItemKind::Customer, id: customer.id.as_str().into() };
        for model in &customer.models {
            self.check_reference(&from, ItemKind::Model, model.as_str())?;
        }
        for cascade in &customer.cascades {
            self.check_reference(&from, ItemKind::Cascade, cascade.as_str())?;
        }
        for service in &customer.services {
            self.check_reference(&from, ItemKind::Service, service.as_str())?;
        }
        for version in &customer.versions {
            if !self.version_index.contains_key(version) {
                return Err(ConfigurationError::UnknownVersion {
                    customer: customer.id.clone(),
                    version: version.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_reference(
        &self,
        from: &ItemKey,
        kind: ItemKind,
        id: &str,
    ) -> Result<(), ConfigurationError> {
        let exists = match kind {
            ItemKind::Model => find(&self.models, id).is_some(),
            ItemKind::Cascade => find(&self.cascades, id).is_some(),
            ItemKind::Service => find(&self.services, id).is_some(),
            _ => true,
        };
        if exists {
            return Ok(());
        }
        let to = ItemKey { kind, id: id.into() };
        Err(ConfigurationError::MissingReference { from: from.clone(), to })
    }
}

/// The value under an id that is given as text.
fn find<K, V>(items: &BTreeMap<K, V>, id: &str) -> Option<V>
where
    K: Ord + for<'a> TryFrom<&'a str>,
    V: Clone,
{
    let key = K::try_from(id).ok()?;
    items.get(&key).cloned()
}

fn remove<K, V>(items: &mut BTreeMap<K, V>, id: &str)
where
    K: Ord + for<'a> TryFrom<&'a str>,
{
    if let Ok(key) = K::try_from(id) {
        items.remove(&key);
    }
}
