//! Counters and timers sent to statsd.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use hickorydoor::DurationMs;

const METRIC_PREFIX: &str = "hickorydoor";
/// Maximum number of metrics in the send queue; further ones are dropped, so that a slow network
/// does not use up memory.
const MAX_QUEUED: usize = 4096;

/// Statsd client; without a configured address it does nothing.
#[derive(Debug, Default)]
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to `address` over UDP.
    ///
    /// # Errors
    /// Fails if no UDP socket can be opened.
    pub fn statsd(address: SocketAddr) -> io::Result<Self> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED);
        Ok(Self { client: Some(StatsdClient::from_sink(METRIC_PREFIX, sink)) })
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.client {
            // Metrics are best effort: a lost one is not reported.
            drop(client.count(name, 1));
        }
    }

    /// Records a duration.
    pub fn time(&self, name: &str, value_ms: DurationMs) {
        if let Some(client) = &self.client {
            drop(client.time(name, value_ms.get()));
        }
    }
}
