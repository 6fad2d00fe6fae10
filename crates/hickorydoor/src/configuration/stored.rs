//! Reading and decoding of the configuration in the key-value service.

use std::fmt;

use compact_str::CompactString;

use crate::configuration::Configuration;
use crate::configuration::change::ChangeRecord;
use crate::configuration::head::Head;
use crate::configuration::item::Item;
use crate::configuration::raw::RawChangeRecord;
use crate::configuration::raw::RawConfigurationError;
use crate::configuration::raw::RawItem;
use crate::error::Category;
use crate::id::Revision;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvPair;

/// An error that occurs when decoding data from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredError {
    /// The reply does not have the results that the call requested.
    UnexpectedReply,
    /// A value is not valid JSON, or not of the expected structure.
    Syntax {
        /// Key under which the value is stored.
        key: CompactString,
        /// Message of the JSON parser.
        detail: CompactString,
    },
    /// A value has a field that is not allowed for its kind of item.
    Invalid {
        /// Key under which the value is stored.
        key: CompactString,
        /// Field at fault and the values that it allows.
        error: RawConfigurationError,
    },
    /// The items are valid on their own but not together.
    Inconsistent(RawConfigurationError),
}

impl StoredError {
    /// Always `Input`: the stored data has to be corrected before a retry can succeed.
    pub const fn category(&self) -> Category {
        Category::Input
    }
}

impl fmt::Display for StoredError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedReply => f.write_str("unexpected reply of the key-value service"),
            Self::Syntax { key, detail } => {
                write!(f, "cannot decode the stored value of {key}: {detail}")
            }
            Self::Invalid { key, error } => write!(f, "invalid stored value of {key}: {error}"),
            Self::Inconsistent(error) => write!(f, "inconsistent stored configuration: {error}"),
        }
    }
}

impl std::error::Error for StoredError {}

/// A configuration read from the key-value service, with the state that a write has to compare.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// Configuration at the revision of the head; empty if there is no head and no item.
    pub configuration: Configuration,
    /// Store revision at which the head was last modified; `None` before the first change.
    pub head_modify_revision: Option<u64>,
}

impl StoredConfiguration {
    /// Builds the call that reads the head and all items at one store revision.
    pub fn read_call() -> KvCall {
        KvCall::Transaction {
            compares: Vec::new(),
            then: vec![
                KvOperation::Get { key: keys::HEAD.into() },
                KvOperation::List { prefix: keys::CONFIG_PREFIX.into(), limit: 0 },
            ],
            otherwise: Vec::new(),
        }
    }

    /// Decodes the results of [`Self::read_call`].
    ///
    /// # Errors
    /// Fails if a value is malformed or not allowed, or if the items are inconsistent.
    pub fn decode(results: &[Vec<KvPair>]) -> Result<Self, StoredError> {
        let [head, items] = results else {
            return Err(StoredError::UnexpectedReply);
        };
        let head_pair = head.first();
        let revision = match head_pair {
            Some(pair) => decode_head(pair)?.revision,
            None => Revision::default(),
        };
        let items: Vec<Item> = items.iter().map(decode_item).collect::<Result<_, _>>()?;
        let configuration = Configuration::from_items(revision, items)
            .map_err(|error| StoredError::Inconsistent(error.into()))?;
        let head_modify_revision = head_pair.map(|pair| pair.modify_revision);
        Ok(Self { configuration, head_modify_revision })
    }
}

/// Decodes the value of [`keys::HEAD`].
///
/// # Errors
/// Fails if the value is malformed.
pub fn decode_head(pair: &KvPair) -> Result<Head, StoredError> {
    serde_json::from_slice(&pair.value).map_err(|error| syntax(pair, &error))
}

/// Decodes and validates the value of a [`keys::item`] key.
///
/// # Errors
/// Fails if the value is malformed or not allowed.
pub fn decode_item(pair: &KvPair) -> Result<Item, StoredError> {
    let raw: RawItem = serde_json::from_slice(&pair.value).map_err(|error| syntax(pair, &error))?;
    Item::try_from(raw).map_err(|error| invalid(pair, error))
}

/// Decodes and validates the value of a [`keys::change`] key.
///
/// # Errors
/// Fails if the value is malformed or not allowed.
pub fn decode_change(pair: &KvPair) -> Result<ChangeRecord, StoredError> {
    let raw: RawChangeRecord =
        serde_json::from_slice(&pair.value).map_err(|error| syntax(pair, &error))?;
    ChangeRecord::try_from(raw).map_err(|error| invalid(pair, error))
}

fn syntax(pair: &KvPair, error: &serde_json::Error) -> StoredError {
    StoredError::Syntax { key: pair.key.clone(), detail: error.to_string().into() }
}

fn invalid(pair: &KvPair, error: RawConfigurationError) -> StoredError {
    StoredError::Invalid { key: pair.key.clone(), error }
}
