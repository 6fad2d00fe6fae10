//! Start and graceful shutdown of a gateway process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::gateway::GatewayEvent;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::gateway::caller_port::caller_memory;
use crate::gateway::caller_port::serve;
use crate::gateway::core::AdapterEffects;
use crate::gateway::core::Core;
use crate::gateway::digest_exchange::exchange_digests;
use crate::gateway::feed_server::serve_feed;
use crate::gateway::options::GatewayOptions;
use crate::gateway::port_phase::PortPhase;
use crate::gateway::status_port::serve_status;
use crate::port;
use crate::start_error::StartError;

/// Interval of the tick events of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a stopping gateway checks whether all callers have disconnected.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time after the stop timeout in which connections are accepted.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Minimum time to answer on the connections that were accepted as the port closed.
const MIN_LAST_CONNECTION_TIME: Duration = Duration::from_millis(100);
/// Delay at the end of a shutdown, in which the system sends the last bytes of responses.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A running gateway. Its tasks run on the local task set on which it was started.
#[derive(Debug)]
pub struct GatewayProcess {
    core: Rc<Core>,
    http_address: SocketAddr,
    ready_address: SocketAddr,
    port_phase: watch::Sender<PortPhase>,
    callers: JoinHandle<()>,
    stop_notice: Duration,
    stop_timeout: Duration,
}

impl GatewayProcess {
    /// Opens the ports and starts the tasks. Returns the process, and the effects that the platform
    /// adapter carries out.
    ///
    /// # Errors
    /// Fails if a port cannot be opened or the metrics cannot be registered.
    pub async fn start(options: GatewayOptions) -> Result<(Self, AdapterEffects), StartError> {
        let stop_notice = options.settings.stop_notice_ms.into();
        let stop_timeout = options.settings.stop_timeout_ms.into();
        let memory = caller_memory(options.held_bytes, options.max_connections);
        let (core, adapter_effects) = Core::new(options.settings, memory)
            .map_err(|cause| StartError::Metrics { cause: io::Error::other(cause) })?;
        let names = Rc::new(options.header_names);
        let port_phase = watch::Sender::new(PortPhase::Open);
        let ready = port::listen(options.ready_listen).await?;
        let ready_address = local_address(&ready, options.ready_listen)?;
        let metrics = match options.metrics_listen {
            Some(address) => Some(port::listen(address).await?),
            None => None,
        };
        let peer_address = SocketAddr::new(options.peer_ip, options.peer_port);
        let peers = port::open_datagram(peer_address).await?;
        let feed = port::listen(SocketAddr::new(options.peer_ip, options.feed_port)).await?;
        // Last, since the system accepts callers from here on.
        let listener = port::listen(options.http_listen).await?;
        let http_address = local_address(&listener, options.http_listen)?;
        let callers = spawn_local(serve(listener, Rc::clone(&core), names, port_phase.subscribe()));
        spawn_local(serve_status(ready, Rc::clone(&core), options.ready_path.clone()));
        if let Some(metrics) = metrics {
            spawn_local(serve_status(metrics, Rc::clone(&core), options.ready_path));
        }
        spawn_local(serve_feed(feed, Rc::clone(&core)));
        let peer_port = options.peer_port;
        spawn_local(exchange_digests(
            Rc::new(peers),
            Rc::clone(&core),
            peer_port,
            options.peer_interval,
        ));
        spawn_local(tick(Rc::clone(&core)));
        let process = Self {
            core,
            http_address,
            ready_address,
            port_phase,
            callers,
            stop_notice,
            stop_timeout,
        };
        Ok((process, adapter_effects))
    }

    /// Returns the shared core, through which an adapter applies events.
    pub fn core(&self) -> Rc<Core> {
        Rc::clone(&self.core)
    }

    /// Returns the bound address for callers, with the port that the system chose if it was 0.
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the bound address of the readiness check.
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Shuts down gracefully. The gateway reports that it is not ready, and serves new requests for
    /// the time in which the platform is to observe this. Then it closes each connection after its
    /// current request, until the stop timeout has passed. The port closes last.
    pub async fn stop(self) {
        let deadline = Instant::now() + self.stop_timeout;
        self.core.stop();
        sleep(self.stop_notice).await;
        self.port_phase.send_replace(PortPhase::Closing);
        wait_for_callers(&self.core, deadline).await;
        self.port_phase.send_replace(PortPhase::Closed);
        let mut callers = self.callers;
        let last_accept_at = deadline.max(Instant::now()) + LAST_ACCEPT_TIME;
        if timeout_at(last_accept_at, &mut callers).await.is_err() {
            self.port_phase.send_replace(PortPhase::Ended);
            // The task ends by itself or panics; both mean that the port is closed.
            drop(callers.await);
        }
        wait_for_callers(&self.core, deadline.max(Instant::now() + MIN_LAST_CONNECTION_TIME)).await;
        sleep(FLUSH_DELAY).await;
        let connections = self.core.connections();
        match self.core.open_calls() {
            0 => info!(connections = connections; "stopped"),
            open => warn!(
                open_calls = open, requests = self.core.open_requests().as_str(),
                connections = connections;
                "stop timeout; dropping open requests"
            ),
        }
    }
}

/// Waits until no caller is connected, at most until `deadline`.
async fn wait_for_callers(core: &Core, deadline: Instant) {
    while core.connections() > 0 && Instant::now() < deadline {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|cause| StartError::Listen { address, cause })
}

async fn tick(core: Rc<Core>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due_at = ticks.tick().await;
        core.record_tick_delay(due_at.elapsed());
        core.apply(GatewayEvent::Tick);
        core.expire_memory();
    }
}
