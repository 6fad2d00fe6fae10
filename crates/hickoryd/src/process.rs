//! Options, ports and background tasks that entry and agent processes share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickorydoor::KeyDigest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::http_server::HttpLimits;
use crate::http_server::serve;
use crate::metrics::Metrics;
use crate::operator_port::OperatorPort;
use crate::operator_query::OperatorQuery;
use crate::port;
use crate::start_error::StartError;
use crate::telemetry::Telemetry;
use crate::tls::TlsError;
use crate::tls::TlsFiles;
use crate::tls::TlsWatch;
use crate::tls::watch_identity;

/// Capacity of the queue of inputs to the reducer. Links and HTTP handlers wait while it is full.
pub const MAX_INPUTS: usize = 4096;
/// Capacity of the queue of queries from the operator port.
const MAX_QUERIES: usize = 16;
/// Maximum time for the open HTTP connections of a server to end after the reducer has stopped.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Options that entry and agent processes share.
#[derive(Clone, Debug)]
pub struct CommonOptions {
    /// Endpoints and timeouts of the client for the key-value service.
    pub kv: ClientSettings,
    /// Address of the operator port; `None` disables the port.
    pub operators_listen: Option<SocketAddr>,
    /// Digests of the keys that the operator port accepts.
    pub operator_keys: Vec<KeyDigest>,
    /// TLS files for links; links use plain TCP if absent.
    pub links_tls: Option<TlsFiles>,
    /// TLS files for the operator port, which uses plain HTTP if absent.
    pub operators_tls: Option<TlsFiles>,
    /// Address of the statsd server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
}

impl CommonOptions {
    /// Creates a client for the key-value service.
    pub fn kv_client(&self) -> Arc<Client> {
        Arc::new(Client::new(self.kv.clone()))
    }

    /// Creates the telemetry of the process, with metrics as configured.
    ///
    /// # Errors
    /// Returns an error if the metrics socket cannot be opened.
    pub fn telemetry(&self) -> Result<Telemetry, StartError> {
        let Some(address) = self.statsd else {
            return Ok(Telemetry::default());
        };
        let metrics = Metrics::statsd(address).map_err(|cause| StartError::Metrics { cause })?;
        Ok(Telemetry::new(metrics))
    }

    /// Opens the operator port and forwards its queries to the task that owns the reducer. Returns
    /// the bound address, or `None` if the port is disabled.
    ///
    /// # Errors
    /// Returns an error if the port cannot be opened or its TLS identity cannot be loaded.
    pub async fn start_operator_port<I: Send + 'static>(
        &self,
        inputs: mpsc::Sender<I>,
        to_input: fn(OperatorQuery) -> I,
        tasks: &mut Tasks,
    ) -> Result<Option<SocketAddr>, StartError> {
        let Some(address) = self.operators_listen else {
            return Ok(None);
        };
        let (listener, address) = listen(address).await?;
        let (query_sender, mut queries) = mpsc::channel(MAX_QUERIES);
        tasks.spawn_background(async move {
            while let Some(query) = queries.recv().await {
                if inputs.send(to_input(query)).await.is_err() {
                    return;
                }
            }
        });
        let port = OperatorPort::new(self.operator_keys.clone(), query_sender);
        let router = Arc::new(port).router();
        let tls = tasks.load_identity(self.operators_tls.as_ref())?;
        tasks.spawn_server(serve(
            listener,
            router,
            HttpLimits::default(),
            tls,
            tasks.stop_signal(),
        ));
        Ok(Some(address))
    }
}

/// Opens a port and returns the bound address. Port 0 lets the system choose one.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = port::listen(address).await?;
    let bound = listener.local_addr().map_err(|cause| StartError::Listen { address, cause })?;
    Ok((listener, bound))
}

/// Tasks that run next to the one that owns the reducer. When the process has stopped, background
/// tasks are aborted, while servers may finish their open connections first.
#[derive(Debug)]
pub struct Tasks {
    background: Vec<AbortHandle>,
    servers: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self { background: Vec::new(), servers: Vec::new(), stop: watch::Sender::new(false) }
    }
}

impl Tasks {
    /// Returns a receiver that changes to true when servers must stop.
    pub fn stop_signal(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    pub fn spawn_background(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.background.push(tokio::spawn(task).abort_handle());
    }

    /// Loads a TLS identity and reloads it when its files change.
    ///
    /// # Errors
    /// Returns an error if the identity cannot be loaded.
    pub fn load_identity(
        &mut self,
        files: Option<&TlsFiles>,
    ) -> Result<Option<TlsWatch>, TlsError> {
        let Some(files) = files else {
            return Ok(None);
        };
        let (identity, reload) = watch_identity(files.clone())?;
        self.spawn_background(reload);
        Ok(Some(identity))
    }

    pub fn spawn_server(&mut self, server: impl Future<Output = ()> + Send + 'static) {
        self.servers.push(tokio::spawn(server));
    }

    /// Stops the servers, and then aborts the background tasks. Waits at most [`CLOSE_TIMEOUT`] for
    /// the open connections of each server.
    pub async fn shut_down(mut self) {
        self.stop.send_replace(true);
        for server in self.servers.drain(..) {
            // A server that does not end in time keeps running until the runtime is dropped.
            drop(timeout(CLOSE_TIMEOUT, server).await);
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        for task in &self.background {
            task.abort();
        }
    }
}
