//! The checked configuration.
//!
//! A [`Configuration`] is only built by applying operations that passed the checks below, so the
//! references between its items always resolve.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use crate::cascade::Cascade;
use crate::change::ChangeRecord;
use crate::change::Operation;
use crate::customer::Customer;
use crate::data_centre::DataCentre;
use crate::defaults::Defaults;
use crate::error::Category;
use crate::exception::Exception;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::item::Item;
use crate::item::ItemKey;
use crate::item::ItemKind;
use crate::key_digest::KeyDigest;
use crate::model::Model;
use crate::model::Version;
use crate::service::Service;

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
    NotNext {
        /// The revision in force.
        have: Revision,
        /// The revision of the record.
        got: Revision,
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
            Self::NotNext { .. } => Category::Conflict,
            _ => Category::Input,
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotNext { have, got } => {
                write!(f, "revision {got} does not follow revision {have}")
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

    /// Whether operators have taken this data centre out. Unknown data centres are in.
    pub fn is_out(&self, data_centre: &DataCentreId) -> bool {
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

    /// Applies operations without changing the revision.
    ///
    /// # Errors
    /// Fails if the result would contradict itself; `self` stays as it was.
    pub fn apply_operations(&mut self, operations: &[Operation]) -> Result<(), ConfigurationError> {
        let mut next = self.clone();
        for operation in operations {
            match operation {
                Operation::Put(item) => next.put(item.clone()),
                Operation::Delete(key) => next.delete(key),
            }
        }
        next.check()?;
        *self = next;
        Ok(())
    }

    /// Applies the change that follows the revision in force.
    ///
    /// # Errors
    /// Fails if the record is not the next one or does not fit; `self` stays as it was.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<(), ConfigurationError> {
        if record.revision != self.revision.next() {
            return Err(ConfigurationError::NotNext { have: self.revision, got: record.revision });
        }
        self.apply_operations(&record.operations)?;
        self.revision = record.revision;
        Ok(())
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
        let id = key.id.as_str();
        match key.kind {
            ItemKind::Defaults => self.defaults = Defaults::default(),
            ItemKind::Model => self.models.retain(|known, _| known.as_str() != id),
            ItemKind::Customer => self.customers.retain(|known, _| known.as_str() != id),
            ItemKind::Cascade => self.cascades.retain(|known, _| known.as_str() != id),
            ItemKind::Service => self.services.retain(|known, _| known.as_str() != id),
            ItemKind::DataCentre => self.data_centres.retain(|known, _| known.as_str() != id),
            ItemKind::Exception => self.exceptions.retain(|known, _| known.as_str() != id),
        }
    }

    fn check(&mut self) -> Result<(), ConfigurationError> {
        self.index_versions()?;
        self.index_keys()?;
        self.check_cascades()?;
        self.check_customers()
    }

    fn index_versions(&mut self) -> Result<(), ConfigurationError> {
        self.version_index.clear();
        for model in self.models.values() {
            for version in &model.versions {
                let previous = self.version_index.insert(version.id.clone(), model.id.clone());
                if previous.is_some() {
                    return Err(ConfigurationError::DuplicateVersion {
                        version: version.id.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn index_keys(&mut self) -> Result<(), ConfigurationError> {
        self.key_index.clear();
        for customer in self.customers.values() {
            for digest in &customer.key_digests {
                if self.key_index.insert(*digest, customer.id.clone()).is_some() {
                    return Err(ConfigurationError::DuplicateKey { customer: customer.id.clone() });
                }
            }
        }
        Ok(())
    }

    fn check_cascades(&self) -> Result<(), ConfigurationError> {
        for cascade in self.cascades.values() {
            if self.models.keys().any(|model| model.as_str() == cascade.id.as_str()) {
                return Err(ConfigurationError::AmbiguousName { name: cascade.id.clone() });
            }
            let from = Item::Cascade(cascade.clone()).key();
            for model in &cascade.steps {
                self.check_reference(&from, ItemKind::Model, model.as_str())?;
            }
        }
        Ok(())
    }

    fn check_customers(&self) -> Result<(), ConfigurationError> {
        for customer in self.customers.values() {
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
            ItemKind::Model => self.models.keys().any(|known| known.as_str() == id),
            ItemKind::Cascade => self.cascades.keys().any(|known| known.as_str() == id),
            ItemKind::Service => self.services.keys().any(|known| known.as_str() == id),
            _ => true,
        };
        if exists {
            return Ok(());
        }
        let to = ItemKey { kind, id: id.into() };
        Err(ConfigurationError::MissingReference { from: from.clone(), to })
    }
}
