//! Parsed commands, ready to be executed.

use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::TimeMs;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::id::ChangeId;
use hickorydoor::id::CustomerId;
use hickorydoor::id::HostId;
use hickorydoor::id::OperatorId;
use hickorydoor::id::Revision;

/// A change of the configuration, with the options that all changes share.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    pub action: OperatorAction,
    /// API key that the change creates, if any. Only its digest is stored.
    pub new_key: Option<String>,
    pub operator: OperatorId,
    /// Empty only in a dry run without `--reason`.
    pub reason: CompactString,
    /// Shows the difference without storing the change.
    pub dry_run: bool,
}

/// Selects stored bills; a field that is `None` does not restrict the selection.
#[derive(Clone, Debug, Default)]
pub struct BillQuery {
    pub customer: Option<CustomerId>,
    /// Entry whose ledgers are read.
    pub entry: Option<HostId>,
    /// Includes batches sealed at this time or later.
    pub from_ms: Option<TimeMs>,
    /// Includes batches sealed before this time.
    pub to_ms: Option<TimeMs>,
}

/// A command with its parsed arguments and options.
#[derive(Clone, Debug)]
pub enum Command {
    /// Counts the items of a configuration file, which was validated when it was parsed.
    Check { configuration: Box<Configuration> },
    /// Prints the stored configuration.
    Show,
    /// Compares the stored configuration with a file.
    Diff { configuration: Box<Configuration> },
    /// Lists changes, newest first.
    History {
        /// Number of latest changes to read.
        limit: u64,
        /// If set, lists only this change, provided that it is among those read.
        change: Option<ChangeId>,
    },
    /// Lists versions with their states.
    ListVersions,
    /// Lists exceptions.
    ListExceptions,
    /// Changes the configuration.
    Change(Box<ChangeRequest>),
    /// Shows the state of the fleet.
    Status,
    /// Sums stored bills.
    Bills(BillQuery),
    /// Waits until a revision is in force at every host.
    Wait { revision: Revision },
}
