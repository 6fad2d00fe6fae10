//! Errors of planning an operator's action against the current configuration.

use std::fmt;

use crate::configuration::model::VersionState;
use crate::error::Category;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::VersionId;

/// An error that occurs when an operator's action cannot be applied to the current configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionError {
    /// The configuration file names a revision other than the current one.
    StaleFile {
        /// Revision that the file names.
        file: Revision,
        /// Revision that is stored now.
        current: Revision,
    },
    /// The action refers to a customer that does not exist.
    NoSuchCustomer {
        /// Id that the action names.
        customer: CustomerId,
    },
    /// A customer with the id of the new one already exists.
    CustomerExists {
        /// Id that is in use.
        customer: CustomerId,
    },
    /// No key digest of the customer starts with the given prefix, or more than one does.
    NoSuchKey {
        /// Customer whose keys were searched.
        customer: CustomerId,
    },
    /// The action refers to a model that does not exist.
    NoSuchModel {
        /// Id that the action names.
        model: ModelId,
    },
    /// The model does not declare the version.
    NoSuchVersion {
        /// Model that was searched.
        model: ModelId,
        /// Id that the action names.
        version: VersionId,
    },
    /// The action is not allowed in the current state of the version.
    WrongState {
        /// Version that the action names.
        version: VersionId,
        /// Current state of the version.
        state: VersionState,
        /// States in which the action is allowed, as text for the operator.
        allowed: &'static str,
    },
    /// The model would have no version left that accepts new sessions, and `force` is not set.
    LastVersion {
        /// Model that the version belongs to.
        model: ModelId,
        /// Version that was to be withdrawn.
        version: VersionId,
    },
    /// The action refers to a data centre that is not declared.
    NoSuchDataCentre {
        /// Id that the action names.
        data_centre: DataCentreId,
    },
    /// No data centre would be left in service, and `force` is not set.
    LastDataCentre {
        /// Data centre that was to be taken out.
        data_centre: DataCentreId,
    },
    /// The action refers to an exception that does not exist.
    NoSuchException {
        /// Id that the action names.
        exception: ExceptionId,
    },
    /// An exception with the id of the new one already exists.
    ExceptionExists {
        /// Id that is in use.
        exception: ExceptionId,
    },
}

impl ActionError {
    /// `Conflict` for a stale file, which has to be exported again; otherwise `Input`.
    pub const fn category(&self) -> Category {
        match self {
            Self::StaleFile { .. } => Category::Conflict,
            _ => Category::Input,
        }
    }
}

impl fmt::Display for ActionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleFile { file, current } => write!(
                f,
                "the file was written for revision {file}, but revision {current} is in force"
            ),
            Self::NoSuchCustomer { customer } => write!(f, "customer {customer} does not exist"),
            Self::CustomerExists { customer } => write!(f, "customer {customer} exists already"),
            Self::NoSuchKey { customer } => {
                write!(f, "customer {customer} does not have exactly one key with this digest")
            }
            Self::NoSuchModel { model } => write!(f, "model {model} does not exist"),
            Self::NoSuchVersion { model, version } => {
                write!(f, "model {model} does not declare version {version}")
            }
            Self::WrongState { version, state, allowed } => {
                write!(f, "version {version} is {state}, and must be {allowed}")
            }
            Self::LastVersion { model, version } => write!(
                f,
                "without version {version} no version of model {model} takes new sessions"
            ),
            Self::NoSuchDataCentre { data_centre } => {
                write!(f, "data centre {data_centre} does not exist")
            }
            Self::LastDataCentre { data_centre } => {
                write!(f, "without data centre {data_centre} none is in service")
            }
            Self::NoSuchException { exception } => {
                write!(f, "exception {exception} does not exist")
            }
            Self::ExceptionExists { exception } => {
                write!(f, "exception {exception} exists already")
            }
        }
    }
}

impl std::error::Error for ActionError {}
