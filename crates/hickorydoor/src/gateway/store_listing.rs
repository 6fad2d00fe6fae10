//! Result of a complete read of the store.

use std::collections::BTreeSet;

use crate::gateway::quarantine::PartItemKey;
use crate::gateway::quarantine::PartKey;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;

/// Everything that a complete read found. What the gateway knows beyond it is no longer in the
/// store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreListing {
    /// Registered upstreams.
    pub upstreams: BTreeSet<UpstreamId>,
    /// Gateways that are present.
    pub gateways: BTreeSet<HostId>,
    /// Data centres that the operator has taken out.
    pub closed_data_centres: BTreeSet<DataCentreId>,
    /// Prompt parts that the operator allows.
    pub allowed_parts: BTreeSet<PartKey>,
    /// Services with a rollout record.
    pub recorded_rollouts: BTreeSet<ServiceName>,
    /// Items about prompt parts.
    pub part_items: BTreeSet<PartItemKey>,
}
