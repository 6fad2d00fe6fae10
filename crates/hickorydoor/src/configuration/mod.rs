//! Fleet configuration: validated data model, changes, storage format and distribution.
//!
//! A [`Configuration`] is a set of [`Item`]s at one [`Revision`]. It is built and changed through
//! methods that validate it, so version ids and key digests are unique, cascades and models have
//! distinct names, and every reference from a cascade or customer resolves.
//!
//! Operators write the types in [`raw`] as YAML; the key-value service stores the same types as
//! JSON. [`change_attempt`] writes a change to the key-value service, and [`stored`] reads the
//! configuration back. [`log`] and [`pull`] spread new revisions between entries and agents.

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

/// Validated configuration of the whole fleet at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Number of changes that led to this state; 0 before the first change.
    pub revision: Revision,
    /// Values for requests and customers without settings of their own.
    pub defaults: Defaults,
    /// Models by id, each with its prices and versions.
    pub models: BTreeMap<ModelId, Model>,
    /// Customers by id, each with its key digests, permissions and limits.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Cascades by id; no id is also the id of a model.
    pub cascades: BTreeMap<CascadeId, Cascade>,
    /// Plain services by name, the first path segment after `/services/`.
    pub services: BTreeMap<ServiceName, Service>,
    /// Declared data centres by id; one that is not declared here counts as in service.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Exceptions by id, including those that have ended but have not been removed.
    pub exceptions: BTreeMap<ExceptionId, Exception>,
    key_index: HashMap<KeyDigest, CustomerId>,
    version_index: HashMap<VersionId, ModelId>,
}

/// An error that occurs when items or a change violate the rules of a [`Configuration`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The change record is not for the revision directly after the current one.
    NonConsecutiveRevision {
        /// Revision of the configuration that the record was applied to.
        current: Revision,
        /// Revision in the record.
        received: Revision,
    },
    /// An item refers to another item that does not exist.
    MissingReference {
        /// Item that holds the reference.
        from: ItemKey,
        /// Target of the reference, which is missing.
        to: ItemKey,
    },
    /// Two models declare the same version, or one model declares it twice.
    DuplicateVersion {
        /// Version id that is declared more than once.
        version: VersionId,
    },
    /// A key digest occurs more than once, in one customer or in two.
    DuplicateKey {
        /// Customer in which the repeated digest was found.
        customer: CustomerId,
    },
    /// A cascade and a model have the same id, so a request could not tell which one it names.
    AmbiguousName {
        /// Id of both the cascade and the model.
        name: CascadeId,
    },
    /// A customer lists a version that no model declares.
    UnknownVersion {
        /// Customer whose `versions` contain the id.
        customer: CustomerId,
        /// Id that no model declares.
        version: VersionId,
    },
}

impl ConfigurationError {
    /// `Conflict` for a record out of sequence, which a reload resolves; otherwise `Input`.
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
    /// Finds the customer that owns an API key, with a constant-time comparison of the digest.
    pub fn customer_by_key(&self, digest: &KeyDigest) -> Option<&Customer> {
        let customer = self.customers.get(self.key_index.get(digest)?)?;
        customer.key_digests.iter().any(|known| known.matches(digest)).then_some(customer)
    }

    /// Finds a version by its id, together with the model that declares it.
    pub fn version(&self, id: &VersionId) -> Option<(&Model, &Version)> {
        let model = self.models.get(self.version_index.get(id)?)?;
        Some((model, model.version(id)?))
    }

    /// Overrides of all exceptions in force at `now`, ordered by exception id.
    ///
    /// Several overrides may apply to the same customer; the entry uses the last one.
    pub fn overrides(&self, now: TimeMs) -> impl DoubleEndedIterator<Item = &Override> {
        let in_force = self.exceptions.values().filter(move |known| known.is_in_force(now));
        in_force.map(|exception| &exception.change)
    }

    /// Returns whether operators have taken the data centre out of service.
    ///
    /// Data centres that are not declared count as in service.
    pub fn is_data_centre_out(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.get(data_centre).is_some_and(|known| known.out)
    }

    /// Returns every item, in a fixed order in which an item comes after those it refers to.
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
    /// Of several items with the same key, the last one is used.
    ///
    /// # Errors
    /// Fails if the items are inconsistent or refer to missing items.
    pub fn from_items(
        revision: Revision,
        items: impl IntoIterator<Item = Item>,
    ) -> Result<Self, ConfigurationError> {
        let mut next = Self { revision, ..Self::default() };
        for item in items {
            next.put(item);
        }
        next.index_and_validate()?;
        Ok(next)
    }

    /// Applies the change record of the next revision.
    ///
    /// # Errors
    /// Fails if the record is for another revision or would make the configuration invalid;
    /// `self` is then unchanged.
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

    /// Returns a copy of the item with this key, or `None` if there is none.
    ///
    /// The defaults always exist.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        let id = &key.id;
        match key.kind {
            ItemKind::Defaults => Some(Item::Defaults(self.defaults.clone())),
            ItemKind::Model => cloned_by_id(&self.models, id).map(Item::Model),
            ItemKind::Customer => cloned_by_id(&self.customers, id).map(Item::Customer),
            ItemKind::Cascade => cloned_by_id(&self.cascades, id).map(Item::Cascade),
            ItemKind::Service => cloned_by_id(&self.services, id).map(Item::Service),
            ItemKind::DataCentre => cloned_by_id(&self.data_centres, id).map(Item::DataCentre),
            ItemKind::Exception => cloned_by_id(&self.exceptions, id).map(Item::Exception),
        }
    }

    /// Replaces or removes an item and returns the previous one.
    ///
    /// Neither validates nor updates the indexes; the caller does both afterwards.
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
            ItemKind::Model => remove_by_id(&mut self.models, &key.id),
            ItemKind::Customer => remove_by_id(&mut self.customers, &key.id),
            ItemKind::Cascade => remove_by_id(&mut self.cascades, &key.id),
            ItemKind::Service => remove_by_id(&mut self.services, &key.id),
            ItemKind::DataCentre => remove_by_id(&mut self.data_centres, &key.id),
            ItemKind::Exception => remove_by_id(&mut self.exceptions, &key.id),
        }
    }

    /// Rebuilds the indexes and validates all references.
    fn index_and_validate(&mut self) -> Result<(), ConfigurationError> {
        self.version_index.clear();
        self.key_index.clear();
        for item in self.items() {
            self.index_item(&item)?;
        }
        self.check_references()
    }

    /// Validates the references of every cascade and customer.
    pub(crate) fn check_references(&self) -> Result<(), ConfigurationError> {
        self.cascades.values().try_for_each(|cascade| self.check_cascade(cascade))?;
        self.customers.values().try_for_each(|customer| self.check_customer(customer))
    }

    /// Validates the references of one item, and that its name is not ambiguous.
    pub(crate) fn check_item(&self, item: &Item) -> Result<(), ConfigurationError> {
        match item {
            Item::Cascade(cascade) => self.check_cascade(cascade),
            Item::Customer(customer) => self.check_customer(customer),
            Item::Model(model) => match cloned_by_id(&self.cascades, model.id.as_str()) {
                Some(cascade) => Err(ConfigurationError::AmbiguousName { name: cascade.id }),
                None => Ok(()),
            },
            Item::Defaults(_) | Item::Service(_) | Item::DataCentre(_) | Item::Exception(_) => {
                Ok(())
            }
        }
    }

    /// Adds the versions or key digests of an item to the indexes, which must not hold them yet.
    pub(crate) fn index_item(&mut self, item: &Item) -> Result<(), ConfigurationError> {
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

    /// Removes an item from the indexes; entries that belong to other items stay.
    pub(crate) fn unindex_item(&mut self, item: &Item) {
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
        if cloned_by_id(&self.models, cascade.id.as_str()).is_some() {
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
            ItemKind::Model => cloned_by_id(&self.models, id).is_some(),
            ItemKind::Cascade => cloned_by_id(&self.cascades, id).is_some(),
            ItemKind::Service => cloned_by_id(&self.services, id).is_some(),
            _ => true,
        };
        if exists {
            return Ok(());
        }
        let to = ItemKey { kind, id: id.into() };
        Err(ConfigurationError::MissingReference { from: from.clone(), to })
    }
}

/// Looks up a copy of the value under an id given as text; `None` if the text is not a valid id.
fn cloned_by_id<K, V>(items: &BTreeMap<K, V>, id: &str) -> Option<V>
where
    K: Ord + for<'a> TryFrom<&'a str>,
    V: Clone,
{
    let key = K::try_from(id).ok()?;
    items.get(&key).cloned()
}

fn remove_by_id<K, V>(items: &mut BTreeMap<K, V>, id: &str)
where
    K: Ord + for<'a> TryFrom<&'a str>,
{
    if let Ok(key) = K::try_from(id) {
        items.remove(&key);
    }
}
