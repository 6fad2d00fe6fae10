//! Counters and timers over statsd.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use hickorydoor::DurationMs;

const PREFIX: &str = "hickorydoor";
/// Metrics that wait to be sent; more are dropped, so that a slow network costs no memory.
const MAX_QUEUED: usize = 4096;

/// Sends metrics if a statsd address is configured.
#[derive(Debug, Default)]
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to this address.
    ///
    /// # Errors
    /// Fails if no UDP socket can be opened.
    pub fn statsd(address: SocketAddr) -> io::Result<Self> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED);
        Ok(Self { client: Some(StatsdClient::from_sink(PREFIX, sink)) })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.client {
            // A lost metric is not worth an error.
            drop(client.count(name, 1));
        }
    }

    /// Records a length of time.
    pub fn time(&self, name: &str, value_ms: DurationMs) {
        if let Some(client) = &self.client {
            drop(client.time(name, value_ms.get()));
        }
    }
}
