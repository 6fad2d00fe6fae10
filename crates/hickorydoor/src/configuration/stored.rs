//! The configuration as it is read from the key-value service.

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

/// Reasons why stored data cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredError {
    /// The reply does not hold what the call asked for.
    UnexpectedReply,
    /// A value is not JSON of the stored form.
    Syntax {
        /// The key of the value.
        key: CompactString,
        /// The parser's message.
        detail: CompactString,
    },
    /// A value does not pass the checks of its kind.
    Invalid {
        /// The key of the value.
        key: CompactString,
        /// What is wrong.
        error: RawConfigurationError,
    },
    /// The items contradict each other.
    Inconsistent(RawConfigurationError),
}

impl StoredError {
    /// How to react to this error.
    pub const fn category(&self) -> Category {
        Category::Input
    }
}

impl fmt::Display for StoredError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedReply => f.write_str("the reply does not fit the call"),
            Self::Syntax { key, detail } => write!(f, "the stored value of {key}: {detail}"),
            Self::Invalid { key, error } => write!(f, "the stored value of {key}: {error}"),
            Self::Inconsistent(error) => write!(f, "the stored configuration: {error}"),
        }
    }
}

impl std::error::Error for StoredError {}

/// The configuration with what a later write has to compare.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// Store revision at which the head was last modified; absent before the first change.
    pub head_modified_at: Option<u64>,
}

impl StoredConfiguration {
    /// The call that reads the head and all items at one store revision.
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
    /// Fails if a value is malformed or the items contradict each other.
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
        let head_modified_at = head_pair.map(|pair| pair.modify_revision);
        Ok(Self { configuration, head_modified_at })
    }
}

/// Decodes the stored head.
///
/// # Errors
/// Fails if the value is malformed.
pub fn decode_head(pair: &KvPair) -> Result<Head, StoredError> {
    serde_json::from_slice(&pair.value).map_err(|error| syntax(pair, &error))
}

/// Decodes a stored item.
///
/// # Errors
/// Fails if the value is malformed or not allowed.
pub fn decode_item(pair: &KvPair) -> Result<Item, StoredError> {
    let raw: RawItem = serde_json::from_slice(&pair.value).map_err(|error| syntax(pair, &error))?;
    Item::try_from(raw).map_err(|error| invalid(pair, error))
}

/// Decodes a stored change record.
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
