//! Events that the gateway's reducer handles.

use std::sync::Arc;

use crate::gateway::call::Call;
use crate::gateway::call::CallId;
use crate::gateway::catalog::Catalog;
use crate::gateway::member::GatewayMember;
use crate::gateway::peer_digest::PeerDigest;
use crate::gateway::quarantine::PartItemKey;
use crate::gateway::quarantine::PartKey;
use crate::gateway::quarantine::StoredPartItem;
use crate::gateway::rate_limits::PermitMessage;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::store_listing::StoreListing;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::gateway::upstreams::Departure;
use crate::gateway::upstreams::Registration;
use crate::gateway::upstreams::UpstreamNotice;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response is complete and successful.
    Served,
    /// The model's confidence score was below the threshold; the caller has received nothing.
    Weak,
    /// The response is complete and reports an error of the upstream itself.
    Failed {
        /// HTTP status code of the response.
        status: u16,
    },
    /// The request definitely did not execute.
    NotRun(NotRun),
    /// The request may have executed.
    Unknown(ResponseFault),
}

/// Why a request definitely did not execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The upstream accepted no connection.
    Unreachable,
    /// The upstream rejected the request.
    Refused,
    /// A different instance now listens at the upstream's address.
    OtherInstance,
    /// The deadline was so close that the request was not sent.
    Expired,
}

/// Why no complete response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection was closed.
    Closed,
    /// The upstream sent nothing within the timeout, or the gateway cancelled the attempt.
    Silent,
    /// The bytes are not a valid response to this request.
    Garbled,
    /// The deadline of the request has passed.
    TimedOut,
}

/// An event of the gateway's environment.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// Time has passed; sent at regular intervals.
    Tick,
    /// The store has come back from an older copy. What it lacks is kept for a while.
    StoreRestored {
        /// Era that has begun.
        era: StoreEra,
    },
    /// The store is in an era that no gateway has noted in it, and this one knows nothing from before:
    /// what it reads may be a copy that lacks acknowledged changes.
    StoreUnproven {
        /// Era of the store.
        era: StoreEra,
    },
    /// The era that a gateway has noted in the store was read.
    StoreEraNoted(StoreEra),
    /// A configuration was read; one that is not newer than the one in force is ignored.
    Configured(Arc<Catalog>),
    /// An upstream has registered or renewed its registration.
    Registered(Box<Registration>),
    /// The registration of an upstream was removed.
    Deregistered(UpstreamId),
    /// Another gateway knows that an upstream has left.
    UpstreamDeparted {
        /// Upstream that left.
        upstream: UpstreamId,
        /// Its last registration.
        departure: Departure,
    },
    /// A complete read of the store has ended, whose items were applied before.
    StoreListed(Box<StoreListing>),
    /// A rollout was ordered.
    RolloutOrdered {
        /// Order that was read.
        order: RolloutOrder,
        /// Time since the order, if it is known.
        age_ms: Option<DurationMs>,
    },
    /// The order of a rollout was removed.
    RolloutWithdrawn(ServiceName),
    /// The record of a rollout was read from the store.
    RolloutRecorded(RolloutRecord),
    /// A data centre was taken out: it gets no new requests.
    DataCentreOut(DataCentreId),
    /// A data centre was taken back: it may get requests again.
    DataCentreIn(DataCentreId),
    /// The operator allows a prompt part: requests with it are sent, whatever the evidence.
    PartAllowed(PartKey),
    /// The operator no longer allows a prompt part against the evidence.
    PartNotAllowed(PartKey),
    /// An item about prompt parts was read from the store, or has been written.
    PartItemStored(Box<StoredPartItem>),
    /// An item about prompt parts was removed, or its lease has ended.
    PartItemRemoved(PartItemKey),
    /// A gateway is present in the store.
    GatewayJoined(GatewayMember),
    /// A gateway is no longer present.
    GatewayLeft(HostId),
    /// All changes that the store acknowledged before a point in time have been applied.
    StoreSynced {
        /// Point in time up to which the gateway is in sync.
        synced_at: TimeMs,
        /// Position in the store up to which changes have been applied.
        position: StorePosition,
    },
    /// The store has answered a call of this host directly.
    StoreAnswered,
    /// A call to the store failed.
    StoreUnreachable,
    /// Another gateway reported its load and rollout evidence.
    Digest(Box<PeerDigest>),
    /// Another gateway says something about a permit.
    Permit {
        /// Gateway that sent the message.
        host: HostId,
        /// What it says.
        message: Box<PermitMessage>,
    },
    /// A request has arrived.
    Arrived {
        /// Number that identifies the request in later events and effects.
        call: CallId,
        /// Request without its body.
        request: Box<Call>,
    },
    /// The first event of a stream has arrived.
    FirstEvent {
        /// Request whose stream has started.
        call: CallId,
    },
    /// The stream of a request still makes progress
    /// [`PROVEN_AFTER_MS`](crate::gateway::quarantine::PROVEN_AFTER_MS) after its first event; sent
    /// once for each attempt.
    Progressed {
        /// Request whose stream goes on.
        call: CallId,
    },
    /// The pace of a stream has been measured, once for each attempt.
    StreamPaced {
        /// Request whose stream it is.
        call: CallId,
        /// Median of the times between the first events of the attempt, in microseconds.
        gap_us: u64,
    },
    /// The answer to the current attempt of a request says something of its upstream.
    UpstreamNoticed {
        /// Request whose attempt was answered.
        call: CallId,
        /// What the answer says.
        notice: UpstreamNotice,
    },
    /// The stream of a request has made no progress for as long as its pause timeout. It may still
    /// be sound.
    Stalled {
        /// Request whose stream has stalled.
        call: CallId,
    },
    /// The current attempt of a request has ended.
    AttemptEnded {
        /// Request whose attempt has ended.
        call: CallId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Number of the last stream event that the caller has received.
        last_event: Option<u64>,
        /// Whether the caller has received part of the response.
        delivered: bool,
    },
    /// The caller has disconnected.
    CallerGone {
        /// Request that has ended.
        call: CallId,
    },
    /// The process was asked to stop.
    Stop,
}
