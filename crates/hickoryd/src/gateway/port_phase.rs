//! What the port for callers does on the way to the end of the process.

use tokio::sync::watch;

/// Phase of the port for callers. Phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PortPhase {
    /// Connections are accepted and kept for further requests.
    Open,
    /// Connections are accepted, and closed after their current request.
    Closing,
    /// No further connections are accepted once none has arrived for a short time.
    Closed,
    /// No further connections are accepted.
    Ended,
}

/// Waits until the port has reached a phase. A closed channel counts as the last one.
pub async fn reached(phase: &mut watch::Receiver<PortPhase>, wanted: PortPhase) {
    drop(phase.wait_for(|phase| *phase >= wanted).await);
}
