//! Operators' actions and the operations that carry them out.
//!
//! An action is planned against the configuration that it meets, so it can be planned again when
//! another operator's change came first.

use crate::configuration::Configuration;
use crate::configuration::action_error::ActionError;
use crate::configuration::change::Operation;
use crate::configuration::customer::Customer;
use crate::configuration::diff::ConfigDiff;
use crate::configuration::exception::Exception;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::item::ItemKind;
use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::configuration::model::VersionState;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::VersionId;
use crate::key_digest::KeyDigest;
use crate::quantity::Share;

/// What an operator wants to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorAction {
    /// Replaces the whole configuration. If its revision is not 0, it must be the one in force.
    Replace {
        /// The configuration.
        configuration: Box<Configuration>,
    },
    /// Creates a customer.
    CreateCustomer {
        /// The customer.
        customer: Box<Customer>,
    },
    /// Adds an API key to a customer; its other keys stay valid.
    AddKey {
        /// The customer.
        customer: CustomerId,
        /// Digest of the key.
        digest: KeyDigest,
    },
    /// Revokes an API key of a customer.
    RevokeKey {
        /// The customer.
        customer: CustomerId,
        /// The digest of the key, or enough of its first digits to tell it apart.
        digest_prefix: String,
    },
    /// Declares a version and starts its rollout as a canary.
    StartVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// Share of new sessions that it gets.
        share: Share,
    },
    /// Pauses a rollout: the canary keeps its sessions and takes no new ones.
    PauseVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
    },
    /// Resumes a paused or halted rollout.
    ResumeVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// Share of new sessions that it gets.
        share: Share,
    },
    /// Ends a rollout: the version takes all new sessions, and the versions that were active keep
    /// only the sessions that they have.
    PromoteVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
    },
    /// Withdraws a version at once.
    WithdrawVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// Whether the model may be left without a version that takes new sessions.
        force: bool,
    },
    /// Takes a data centre out of service, or back in.
    SetDataCentre {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether it is out of service.
        out: bool,
        /// Whether no data centre may be left in service.
        force: bool,
    },
    /// Adds an exception.
    AddException {
        /// The exception.
        exception: Box<Exception>,
    },
    /// Removes an exception.
    RemoveException {
        /// The exception.
        exception: ExceptionId,
    },
}

impl OperatorAction {
    /// The operations that carry out this action; none if nothing is left to do.
    ///
    /// # Errors
    /// Fails if the action does not fit the configuration.
    pub fn plan(&self, current: &Configuration) -> Result<Vec<Operation>, ActionError> {
        match self {
            Self::Replace { configuration } => replace(current, configuration),
            Self::CreateCustomer { customer } => create_customer(current, customer),
            Self::AddKey { customer, digest } => add_key(current, customer, *digest),
            Self::RevokeKey { customer, digest_prefix } => {
                revoke_key(current, customer, digest_prefix)
            }
            Self::StartVersion { model, version, share } => {
                start_version(current, model, version, *share)
            }
            Self::PauseVersion { model, version } => pause_version(current, model, version),
            Self::ResumeVersion { model, version, share } => {
                resume_version(current, model, version, *share)
            }
            Self::PromoteVersion { model, version } => promote_version(current, model, version),
            Self::WithdrawVersion { model, version, force } => {
                withdraw_version(current, model, version, *force)
            }
            Self::SetDataCentre { data_centre, out, force } => {
                set_data_centre(current, data_centre, *out, *force)
            }
            Self::AddException { exception } => add_exception(current, exception),
            Self::RemoveException { exception } => remove_exception(current, exception),
        }
    }
}

type Plan = Result<Vec<Operation>, ActionError>;

fn replace(current: &Configuration, wanted: &Configuration) -> Plan {
    let named = wanted.revision.get() != 0;
    if named && wanted.revision != current.revision {
        let (file, current) = (wanted.revision, current.revision);
        return Err(ActionError::StaleFile { file, current });
    }
    Ok(ConfigDiff::between(current, wanted).operations())
}

fn create_customer(current: &Configuration, customer: &Customer) -> Plan {
    if current.customers.contains_key(&customer.id) {
        return Err(ActionError::CustomerExists { customer: customer.id.clone() });
    }
    Ok(vec![Operation::Put(Item::Customer(customer.clone()))])
}

fn customer(current: &Configuration, id: &CustomerId) -> Result<Customer, ActionError> {
    let missing = || ActionError::NoSuchCustomer { customer: id.clone() };
    current.customers.get(id).cloned().ok_or_else(missing)
}

fn add_key(current: &Configuration, id: &CustomerId, digest: KeyDigest) -> Plan {
    let mut customer = customer(current, id)?;
    if customer.key_digests.contains(&digest) {
        return Ok(Vec::new());
    }
    customer.key_digests.push(digest);
    Ok(vec![Operation::Put(Item::Customer(customer))])
}

fn revoke_key(current: &Configuration, id: &CustomerId, prefix: &str) -> Plan {
    let mut customer = customer(current, id)?;
    let matches = |digest: &KeyDigest| digest.to_string().starts_with(prefix);
    let found = customer.key_digests.iter().filter(|digest| matches(digest)).count();
    if found != 1 {
        return Err(ActionError::NoSuchKey { customer: id.clone() });
    }
    customer.key_digests.retain(|digest| !matches(digest));
    Ok(vec![Operation::Put(Item::Customer(customer))])
}

fn model(current: &Configuration, id: &ModelId) -> Result<Model, ActionError> {
    let missing = || ActionError::NoSuchModel { model: id.clone() };
    current.models.get(id).cloned().ok_or_else(missing)
}

fn version_mut<'a>(model: &'a mut Model, id: &VersionId) -> Result<&'a mut Version, ActionError> {
    let missing = ActionError::NoSuchVersion { model: model.id.clone(), version: id.clone() };
    model.versions.iter_mut().find(|version| version.id == *id).ok_or(missing)
}

fn wrong_state(version: &Version, allowed: &'static str) -> ActionError {
    ActionError::WrongState { version: version.id.clone(), state: version.state, allowed }
}

fn put_model(model: Model) -> Vec<Operation> {
    vec![Operation::Put(Item::Model(model))]
}

fn start_version(current: &Configuration, id: &ModelId, version: &VersionId, share: Share) -> Plan {
    let mut model = model(current, id)?;
    if let Some(known) = model.version(version) {
        return match known.state {
            VersionState::Canary if known.canary_share == share => Ok(Vec::new()),
            _ => Err(wrong_state(known, "a version that is not declared yet")),
        };
    }
    let state = VersionState::Canary;
    model.versions.push(Version { id: version.clone(), state, canary_share: share });
    Ok(put_model(model))
}

fn pause_version(current: &Configuration, id: &ModelId, version: &VersionId) -> Plan {
    let mut model = model(current, id)?;
    let version = version_mut(&mut model, version)?;
    match version.state {
        VersionState::Draining => return Ok(Vec::new()),
        VersionState::Canary => {}
        _ => return Err(wrong_state(version, "canary")),
    }
    version.state = VersionState::Draining;
    version.canary_share = Share::ZERO;
    Ok(put_model(model))
}

fn resume_version(
    current: &Configuration,
    id: &ModelId,
    version: &VersionId,
    share: Share,
) -> Plan {
    let mut model = model(current, id)?;
    let version = version_mut(&mut model, version)?;
    match version.state {
        VersionState::Canary if version.canary_share == share => return Ok(Vec::new()),
        VersionState::Canary | VersionState::Draining | VersionState::Halted => {}
        _ => return Err(wrong_state(version, "canary, draining or halted")),
    }
    version.state = VersionState::Canary;
    version.canary_share = share;
    Ok(put_model(model))
}

fn promote_version(current: &Configuration, id: &ModelId, version: &VersionId) -> Plan {
    let mut model = model(current, id)?;
    let promoted = version_mut(&mut model, version)?;
    match promoted.state {
        VersionState::Active => return Ok(Vec::new()),
        VersionState::Canary => {}
        _ => return Err(wrong_state(promoted, "canary")),
    }
    for known in &mut model.versions {
        if known.id == *version {
            known.state = VersionState::Active;
            known.canary_share = Share::ZERO;
        } else if known.state == VersionState::Active {
            known.state = VersionState::Draining;
        }
    }
    Ok(put_model(model))
}

fn withdraw_version(
    current: &Configuration,
    id: &ModelId,
    version: &VersionId,
    force: bool,
) -> Plan {
    let mut model = model(current, id)?;
    let withdrawn = version_mut(&mut model, version)?;
    if withdrawn.state == VersionState::Withdrawn {
        return Ok(Vec::new());
    }
    let served = withdrawn.state.accepts_new_sessions();
    withdrawn.state = VersionState::Withdrawn;
    withdrawn.canary_share = Share::ZERO;
    let left = model.versions.iter().any(|known| known.state.accepts_new_sessions());
    if served && !left && !force {
        return Err(ActionError::LastVersion { model: id.clone(), version: version.clone() });
    }
    Ok(put_model(model))
}

fn set_data_centre(current: &Configuration, id: &DataCentreId, out: bool, force: bool) -> Plan {
    let missing = || ActionError::NoSuchDataCentre { data_centre: id.clone() };
    let mut data_centre = current.data_centres.get(id).cloned().ok_or_else(missing)?;
    if data_centre.out == out {
        return Ok(Vec::new());
    }
    let others = current.data_centres.values().filter(|known| known.id != *id);
    if out && !force && others.filter(|known| !known.out).count() == 0 {
        return Err(ActionError::LastDataCentre { data_centre: id.clone() });
    }
    data_centre.out = out;
    Ok(vec![Operation::Put(Item::DataCentre(data_centre))])
}

fn add_exception(current: &Configuration, exception: &Exception) -> Plan {
    if current.exceptions.contains_key(&exception.id) {
        return Err(ActionError::ExceptionExists { exception: exception.id.clone() });
    }
    if let Some(id) = exception.change.customer() {
        customer(current, id)?;
    }
    Ok(vec![Operation::Put(Item::Exception(exception.clone()))])
}

fn remove_exception(current: &Configuration, id: &ExceptionId) -> Plan {
    if !current.exceptions.contains_key(id) {
        return Err(ActionError::NoSuchException { exception: id.clone() });
    }
    let key = ItemKey { kind: ItemKind::Exception, id: id.as_str().into() };
    Ok(vec![Operation::Delete(key)])
}
