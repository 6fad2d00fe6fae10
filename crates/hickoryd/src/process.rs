//! Parts that entry and agent processes share.

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
use crate::start_error::StartError;
use crate::telemetry::Telemetry;
use crate::tls::TlsError;
use crate::tls::TlsFiles;
use crate::tls::TlsWatch;
use crate::tls::watch_identity;

/// Inputs that may wait for the reducer; links and HTTP handlers pause when it is full.
pub const MAX_INPUTS: usize = 4096;
/// Questions that may wait.
const MAX_QUESTIONS: usize = 16;
/// Time for open connections to end after the reducer has stopped.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings that entry and agent processes share.
#[derive(Clone, Debug)]
pub struct CommonOptions {
    /// The key-value service.
    pub kv: ClientSettings,
    /// Where the operators' port listens, if there is one.
    pub operators_listen: Option<SocketAddr>,
    /// Digests of the operators' keys.
    pub operator_keys: Vec<KeyDigest>,
    /// TLS on links; plain TCP if absent.
    pub links_tls: Option<TlsFiles>,
    /// TLS on the operators' port; plain HTTP if absent.
    pub operators_tls: Option<TlsFiles>,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
}

impl CommonOptions {
    /// A client for the key-value service.
    pub fn kv_client(&self) -> Arc<Client> {
        Arc::new(Client::new(self.kv.clone()))
    }

    /// A journal that sends metrics as configured.
    ///
    /// # Errors
    /// Fails if the metrics' socket cannot be opened.
    pub fn journal(&self) -> Result<Telemetry, StartError> {
        let Some(address) = self.statsd else {
            return Ok(Telemetry::default());
        };
        let metrics = Metrics::statsd(address).map_err(|cause| StartError::Metrics { cause })?;
        Ok(Telemetry::new(metrics))
    }

    /// Opens the operators' port; questions go to the reducer's task as inputs.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_operators<I: Send + 'static>(
        &self,
        inputs: mpsc::Sender<I>,
        to_input: fn(OperatorQuery) -> I,
        tasks: &mut Tasks,
    ) -> Result<Option<SocketAddr>, StartError> {
        let Some(address) = self.operators_listen else {
            return Ok(None);
        };
        let (listener, address) = listen(address).await?;
        let (asker, mut questions) = mpsc::channel(MAX_QUESTIONS);
        tasks.helper(async move {
            while let Some(question) = questions.recv().await {
                if inputs.send(to_input(question)).await.is_err() {
                    return;
                }
            }
        });
        let port = OperatorPort::new(self.operator_keys.clone(), asker);
        let router = Arc::new(port).router();
        let tls = tasks.identity(self.operators_tls.as_ref())?;
        tasks.server(serve(listener, router, HttpLimits::default(), tls, tasks.stopping()));
        Ok(Some(address))
    }
}

/// Opens a port; port 0 lets the system choose one.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |cause| StartError::Listen { address, cause };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Tasks of a process. Helpers end at once when the process has stopped; servers finish their open
/// connections first.
#[derive(Debug)]
pub struct Tasks {
    helpers: Vec<AbortHandle>,
    servers: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self { helpers: Vec::new(), servers: Vec::new(), stop: watch::Sender::new(false) }
    }
}

impl Tasks {
    /// Turns true when servers are to stop.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Starts a helper.
    pub fn helper(&mut self, helper: impl Future<Output = ()> + Send + 'static) {
        self.helpers.push(tokio::spawn(helper).abort_handle());
    }

    /// Reads a TLS identity and keeps it up to date.
    ///
    /// # Errors
    /// Fails if the identity cannot be used.
    pub fn identity(&mut self, files: Option<&TlsFiles>) -> Result<Option<TlsWatch>, TlsError> {
        let Some(files) = files else {
            return Ok(None);
        };
        let (identity, reload) = watch_identity(files.clone())?;
        self.helper(reload);
        Ok(Some(identity))
    }

    /// Starts a server.
    pub fn server(&mut self, server: impl Future<Output = ()> + Send + 'static) {
        self.servers.push(tokio::spawn(server));
    }

    /// Ends all tasks.
    pub async fn end(mut self) {
        self.stop.send_replace(true);
        for server in self.servers.drain(..) {
            // A server that does not end in time is left to the end of the process.
            drop(timeout(CLOSE_TIMEOUT, server).await);
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        for helper in &self.helpers {
            helper.abort();
        }
    }
}
