//! What happens to a gateway.

use crate::gateway::call::Call;
use crate::gateway::call::CallId;
use crate::gateway::catalog::Catalog;
use crate::gateway::freshness::StorePath;
use crate::gateway::peer_digest::PeerDigest;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::upstream::Registration;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::TimeMs;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer has arrived, and it is a success.
    Served,
    /// The model itself thinks little of its answer, none of which the caller has got.
    Weak,
    /// The whole answer has arrived, and it is the upstream's own failure.
    Failed {
        /// Its status code.
        status: u16,
    },
    /// The request certainly did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(ResponseFault),
}

/// Why a request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The upstream accepted no connection.
    Unreachable,
    /// The upstream refused it.
    Refused,
    /// Another upstream has the address by now.
    OtherInstance,
}

/// How an answer broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection ended.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// The bytes are not an answer to this request.
    Garbled,
    /// The time for the request is over.
    TimedOut,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// Time has passed.
    Tick,
    /// A configuration was read.
    Configured(Box<Catalog>),
    /// An upstream has registered.
    Registered(Box<Registration>),
    /// The registration of an upstream has gone.
    Deregistered(UpstreamId),
    /// These are all upstreams that are registered.
    RegistrationsListed(Vec<UpstreamId>),
    /// A rollout was ordered.
    RolloutOrdered(RolloutOrder),
    /// The order of a rollout has gone.
    RolloutWithdrawn(ServiceName),
    /// The record of a rollout was read.
    RolloutRecorded(RolloutRecord),
    /// A data centre is to get nothing more.
    DataCentreOut(DataCentreId),
    /// A data centre may get work again.
    DataCentreIn(DataCentreId),
    /// These gateways are alive.
    Gateways(Vec<HostId>),
    /// All changes that the store acknowledged before this time are known.
    StoreSynced {
        /// The time.
        synced_at: TimeMs,
        /// How the answer has come.
        path: StorePath,
    },
    /// The store did not answer.
    StoreUnreachable,
    /// Another gateway reports its load and evidence.
    Digest(Box<PeerDigest>),
    /// A caller's request has arrived.
    Arrived {
        /// Its number.
        call: CallId,
        /// The request.
        request: Box<Call>,
    },
    /// The first event of a stream has arrived.
    FirstEvent {
        /// The request.
        call: CallId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        call: CallId,
        /// How.
        outcome: AttemptOutcome,
        /// Last event of the stream that the caller has got.
        last_event: Option<u64>,
        /// Whether the caller has got a part of the answer.
        delivered: bool,
    },
    /// The caller has left.
    CallerGone {
        /// The request.
        call: CallId,
    },
    /// The process is to stop.
    Stop,
}
