//! Operator actions and the operations that implement them.
//!
//! An action states the intent and is planned against the current configuration, so it can be
//! planned again if another operator's change is stored first. Planning validates the action, for
//! example that the model keeps a version that accepts new sessions.

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

/// A change that an operator requests, independent of the current configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorAction {
    /// Replaces the whole configuration.
    Replace {
        /// Target state. Its revision must be the current one, or 0 to skip this check.
        configuration: Box<Configuration>,
    },
    /// Creates a customer; fails if its id is in use.
    CreateCustomer {
        /// Customer with its initial keys, permissions and limits.
        customer: Box<Customer>,
    },
    /// Adds an API key to a customer; its other keys stay valid.
    AddKey {
        /// Customer that gets the key.
        customer: CustomerId,
        /// Digest of the new key; the key itself is never stored.
        digest: KeyDigest,
    },
    /// Revokes an API key of a customer.
    RevokeKey {
        /// Customer that owns the key.
        customer: CustomerId,
        /// Hexadecimal digest of the key, or a prefix that matches only one of the customer's keys.
        digest_prefix: String,
    },
    /// Declares a version and starts its rollout as a canary.
    StartVersion {
        /// Model that gets the version.
        model: ModelId,
        /// Id of the new version, which no model may declare yet.
        version: VersionId,
        /// Share of new sessions and requests that the canary gets.
        share: Share,
    },
    /// Pauses a rollout: the canary serves its sessions but accepts no new ones.
    PauseVersion {
        /// Model that declares the version.
        model: ModelId,
        /// Version to pause, a canary.
        version: VersionId,
    },
    /// Resumes a paused or halted rollout, or changes the share of a canary.
    ResumeVersion {
        /// Model that declares the version.
        model: ModelId,
        /// Version to resume, which becomes or stays a canary.
        version: VersionId,
        /// Share of new sessions and requests that the canary gets.
        share: Share,
    },
    /// Completes a rollout: the canary becomes active, and versions that were active start
    /// draining, so they serve only the sessions that they have.
    PromoteVersion {
        /// Model that declares the version.
        model: ModelId,
        /// Version to promote, a canary.
        version: VersionId,
    },
    /// Withdraws a version immediately, including from the sessions that it serves.
    WithdrawVersion {
        /// Model that declares the version.
        model: ModelId,
        /// Version to withdraw, in any state.
        version: VersionId,
        /// Whether the model may be left without a version that accepts new sessions.
        force: bool,
    },
    /// Takes a data centre out of service, or puts it back into service.
    SetDataCentre {
        /// Data centre to change, which must be declared.
        data_centre: DataCentreId,
        /// Whether to take it out of service; `false` puts it back.
        out: bool,
        /// Whether the last data centre in service may be taken out.
        force: bool,
    },
    /// Adds an exception; fails if its id is in use or its customer does not exist.
    AddException {
        /// Exception with its reason and end.
        exception: Box<Exception>,
    },
    /// Removes an exception before or after its end.
    RemoveException {
        /// Id of the exception.
        exception: ExceptionId,
    },
}

impl OperatorAction {
    /// Returns the operations that implement this action; empty if `current` already is in the
    /// requested state.
    ///
    /// # Errors
    /// Fails if the action cannot be applied to `current`.
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

type PlanResult = Result<Vec<Operation>, ActionError>;

fn replace(current: &Configuration, target: &Configuration) -> PlanResult {
    let has_revision = target.revision.get() != 0;
    if has_revision && target.revision != current.revision {
        let (file, current) = (target.revision, current.revision);
        return Err(ActionError::StaleFile { file, current });
    }
    Ok(ConfigDiff::between(current, target).operations())
}

fn create_customer(current: &Configuration, customer: &Customer) -> PlanResult {
    if current.customers.contains_key(&customer.id) {
        return Err(ActionError::CustomerExists { customer: customer.id.clone() });
    }
    Ok(vec![Operation::Put(Item::Customer(customer.clone()))])
}

fn find_customer(current: &Configuration, id: &CustomerId) -> Result<Customer, ActionError> {
    let missing = || ActionError::NoSuchCustomer { customer: id.clone() };
    current.customers.get(id).cloned().ok_or_else(missing)
}

fn add_key(current: &Configuration, id: &CustomerId, digest: KeyDigest) -> PlanResult {
    let mut customer = find_customer(current, id)?;
    if customer.key_digests.contains(&digest) {
        return Ok(Vec::new());
    }
    customer.key_digests.push(digest);
    Ok(vec![Operation::Put(Item::Customer(customer))])
}

fn revoke_key(current: &Configuration, id: &CustomerId, prefix: &str) -> PlanResult {
    let mut customer = find_customer(current, id)?;
    let matches = |digest: &KeyDigest| digest.to_string().starts_with(prefix);
    let match_count = customer.key_digests.iter().filter(|digest| matches(digest)).count();
    if match_count != 1 {
        return Err(ActionError::NoSuchKey { customer: id.clone() });
    }
    customer.key_digests.retain(|digest| !matches(digest));
    Ok(vec![Operation::Put(Item::Customer(customer))])
}

fn find_model(current: &Configuration, id: &ModelId) -> Result<Model, ActionError> {
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

fn start_version(
    current: &Configuration,
    id: &ModelId,
    version: &VersionId,
    share: Share,
) -> PlanResult {
    let mut model = find_model(current, id)?;
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

fn pause_version(current: &Configuration, id: &ModelId, version: &VersionId) -> PlanResult {
    let mut model = find_model(current, id)?;
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
) -> PlanResult {
    let mut model = find_model(current, id)?;
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

fn promote_version(current: &Configuration, id: &ModelId, version: &VersionId) -> PlanResult {
    let mut model = find_model(current, id)?;
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
) -> PlanResult {
    let mut model = find_model(current, id)?;
    let withdrawn = version_mut(&mut model, version)?;
    if withdrawn.state == VersionState::Withdrawn {
        return Ok(Vec::new());
    }
    let accepted_new_sessions = withdrawn.state.accepts_new_sessions();
    withdrawn.state = VersionState::Withdrawn;
    withdrawn.canary_share = Share::ZERO;
    let others_accept_new_sessions =
        model.versions.iter().any(|known| known.state.accepts_new_sessions());
    if accepted_new_sessions && !others_accept_new_sessions && !force {
        return Err(ActionError::LastVersion { model: id.clone(), version: version.clone() });
    }
    Ok(put_model(model))
}

fn set_data_centre(
    current: &Configuration,
    id: &DataCentreId,
    out: bool,
    force: bool,
) -> PlanResult {
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

fn add_exception(current: &Configuration, exception: &Exception) -> PlanResult {
    if current.exceptions.contains_key(&exception.id) {
        return Err(ActionError::ExceptionExists { exception: exception.id.clone() });
    }
    if let Some(id) = exception.change.customer() {
        find_customer(current, id)?;
    }
    Ok(vec![Operation::Put(Item::Exception(exception.clone()))])
}

fn remove_exception(current: &Configuration, id: &ExceptionId) -> PlanResult {
    if !current.exceptions.contains_key(id) {
        return Err(ActionError::NoSuchException { exception: id.clone() });
    }
    let key = ItemKey { kind: ItemKind::Exception, id: id.as_str().into() };
    Ok(vec![Operation::Delete(key)])
}
