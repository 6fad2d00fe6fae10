//! Reasons why an operator's action does not fit the configuration.

use std::fmt;

use crate::configuration::model::VersionState;
use crate::error::Category;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::ExceptionId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::VersionId;

/// Reasons why an operator's action does not fit the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionError {
    /// The file was written for another revision than the one in force.
    StaleFile {
        /// The revision that the file names.
        file: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The customer does not exist.
    NoSuchCustomer {
        /// The customer.
        customer: CustomerId,
    },
    /// The customer exists already.
    CustomerExists {
        /// The customer.
        customer: CustomerId,
    },
    /// The customer has no key with this digest, or more than one with this prefix.
    NoSuchKey {
        /// The customer.
        customer: CustomerId,
    },
    /// The model does not exist.
    NoSuchModel {
        /// The model.
        model: ModelId,
    },
    /// The model has no such version.
    NoSuchVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
    },
    /// The version is not in a state from which the action starts.
    WrongState {
        /// The version.
        version: VersionId,
        /// Its state.
        state: VersionState,
        /// States from which the action starts.
        allowed: &'static str,
    },
    /// The model would be left without a version that takes new sessions.
    LastVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
    },
    /// The data centre does not exist.
    NoSuchDataCentre {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// No data centre would be left in service.
    LastDataCentre {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// The exception does not exist.
    NoSuchException {
        /// The exception.
        exception: ExceptionId,
    },
    /// The exception exists already.
    ExceptionExists {
        /// The exception.
        exception: ExceptionId,
    },
}

impl ActionError {
    /// How to react to this error.
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
                write!(f, "model {model} has no version {version}")
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
