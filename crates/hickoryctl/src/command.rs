//! Commands of the tool.

use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::TimeMs;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::id::ChangeId;
use hickorydoor::id::CustomerId;
use hickorydoor::id::HostId;
use hickorydoor::id::OperatorId;
use hickorydoor::id::Revision;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// The action.
    pub action: OperatorAction,
    /// A new API key, printed once.
    pub new_key: Option<String>,
    /// The operator.
    pub operator: OperatorId,
    /// The reason.
    pub reason: CompactString,
    /// Whether the change is only shown.
    pub dry_run: bool,
}

/// A question about stored bills.
#[derive(Clone, Debug, Default)]
pub struct BillQuery {
    /// Only this customer.
    pub customer: Option<CustomerId>,
    /// Only this entry.
    pub entry: Option<HostId>,
    /// Batches sealed at this time or later.
    pub from_ms: Option<TimeMs>,
    /// Batches sealed before this time.
    pub to_ms: Option<TimeMs>,
}

/// Commands of the tool.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a configuration file.
    Check {
        /// The checked configuration.
        configuration: Box<Configuration>,
    },
    /// Prints the configuration in force.
    Show,
    /// Compares the configuration in force with a file.
    Diff {
        /// The file's configuration.
        configuration: Box<Configuration>,
    },
    /// Lists changes, newest first.
    History {
        /// Changes at most.
        limit: u64,
        /// Only this change.
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
    Wait {
        /// The revision.
        revision: Revision,
    },
}
