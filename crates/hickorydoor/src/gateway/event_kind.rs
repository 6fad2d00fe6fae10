//! Kinds of events, for metrics of what each costs.

use crate::gateway::event::GatewayEvent;

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// What a request is owed: its time-outs, the close of its caller, the end of an attempt.
    Call,
    /// The arrival of a request.
    Arrival,
    /// The passing of time, with the time-outs of queued requests.
    Tick,
    /// Presence, configuration and orders from the store.
    Store,
    /// A message of another gateway about a permit.
    Permit,
    /// Evidence and load of another gateway.
    Digest,
}

impl EventKind {
    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Arrival => "arrival",
            Self::Tick => "tick",
            Self::Store => "store",
            Self::Permit => "permit",
            Self::Digest => "digest",
        }
    }
}

impl From<&GatewayEvent> for EventKind {
    fn from(event: &GatewayEvent) -> Self {
        match event {
            GatewayEvent::FirstEvent { .. }
            | GatewayEvent::Progressed { .. }
            | GatewayEvent::StreamPaced { .. }
            | GatewayEvent::UpstreamNoticed { .. }
            | GatewayEvent::Stalled { .. }
            | GatewayEvent::AttemptEnded { .. }
            | GatewayEvent::CallerGone { .. } => Self::Call,
            GatewayEvent::Arrived { .. } => Self::Arrival,
            GatewayEvent::Tick | GatewayEvent::Stop => Self::Tick,
            GatewayEvent::StoreRestored { .. }
            | GatewayEvent::StoreUnproven { .. }
            | GatewayEvent::StoreEraNoted(_)
            | GatewayEvent::Configured(_)
            | GatewayEvent::Registered(_)
            | GatewayEvent::Deregistered(_)
            | GatewayEvent::UpstreamDeparted { .. }
            | GatewayEvent::StoreListed(_)
            | GatewayEvent::RolloutOrdered { .. }
            | GatewayEvent::RolloutWithdrawn(_)
            | GatewayEvent::RolloutRecorded(_)
            | GatewayEvent::DataCentreOut(_)
            | GatewayEvent::DataCentreIn(_)
            | GatewayEvent::PartAllowed(_)
            | GatewayEvent::PartNotAllowed(_)
            | GatewayEvent::PartItemStored(_)
            | GatewayEvent::PartItemRemoved(_)
            | GatewayEvent::GatewayJoined(_)
            | GatewayEvent::GatewayLeft(_)
            | GatewayEvent::StoreSynced { .. }
            | GatewayEvent::StoreAnswered
            | GatewayEvent::StoreUnreachable => Self::Store,
            GatewayEvent::Permit { .. } => Self::Permit,
            GatewayEvent::Digest(_) => Self::Digest,
        }
    }
}
