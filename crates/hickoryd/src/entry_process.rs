//! Start and shutdown of an entry process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use hickorydoor::Entry;
use hickorydoor::EntryEvent;
use hickorydoor::EntrySettings;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::caller_table::CallerTable;
use crate::clock::Clock;
use crate::entry_input::EntryInput;
use crate::entry_loop::EntryLoop;
use crate::http_api::HttpApi;
use crate::http_client;
use crate::http_server::HttpLimits;
use crate::http_server::serve;
use crate::kv_executor::KvExecutor;
use crate::link_table::LinkTable;
use crate::platform::poll_hosts;
use crate::process::CommonOptions;
use crate::process::MAX_INPUTS;
use crate::process::Tasks;
use crate::process::listen;
use crate::start_error::StartError;

/// Options of an entry process.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Settings of the entry reducer, among them its host and incarnation.
    pub settings: EntrySettings,
    /// Seed of the random generator of the reducer. The daemon derives it from its start time.
    pub seed: u64,
    /// Address to listen on for callers; port 0 lets the system choose one.
    pub http_listen: SocketAddr,
    /// Limits on connections and request heads at the port for callers.
    pub http_limits: HttpLimits,
    /// Maximum number of concurrent requests. Further requests are rejected with status 503.
    pub max_open_requests: usize,
    /// Maximum time to receive a request body. A slower request is rejected with status 408.
    pub body_timeout: Duration,
    /// Root of the host list service of the platform, without a trailing slash.
    pub host_list_uri: CompactString,
    /// Interval at which the host list is polled.
    pub host_list_interval: Duration,
    /// Root of the rating service, without a trailing slash. If absent, every rating fails as
    /// unavailable.
    pub rating_uri: Option<CompactString>,
    /// Options that entry and agent processes share.
    pub common: CommonOptions,
}

/// Handle of a running entry. Dropping it aborts the entry without a graceful shutdown.
#[derive(Debug)]
pub struct EntryProcess {
    http_address: SocketAddr,
    operators_address: Option<SocketAddr>,
    inputs: mpsc::Sender<EntryInput>,
    main_task: JoinHandle<()>,
    tasks: Tasks,
}

impl EntryProcess {
    /// Opens the ports and starts the reducer.
    ///
    /// # Errors
    /// Returns an error if a port or the metrics socket cannot be opened, or if a TLS identity cannot
    /// be loaded.
    pub async fn start(options: EntryOptions) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (inputs, input_reader) = mpsc::channel(MAX_INPUTS);
        let (caller_updates, caller_update_reader) = mpsc::unbounded_channel();
        let (configuration, api_configuration) = watch::channel(Arc::default());
        let mut tasks = Tasks::default();
        let operators = options.common.start_operator_port(
            inputs.clone(),
            EntryInput::OperatorQuery,
            &mut tasks,
        );
        let operators_address = operators.await?;
        let api = HttpApi::new(
            inputs.clone(),
            caller_updates,
            api_configuration,
            options.max_open_requests,
            options.body_timeout,
        );
        let router = Arc::new(api).router();
        let client = http_client::new();
        let region = options.settings.region.clone();
        let host_list_polling = poll_hosts(
            client.clone(),
            options.host_list_uri,
            region,
            options.host_list_interval,
            inputs.clone(),
        );
        tasks.spawn_background(host_list_polling);
        let kv = KvExecutor::new(options.common.kv_client(), inputs.clone(), |call, outcome| {
            EntryInput::Event(Box::new(EntryEvent::Kv { call, outcome }))
        });
        let tls = tasks.load_identity(options.common.links_tls.as_ref())?;
        let entry_loop = EntryLoop {
            host: options.settings.host.clone(),
            reducer: Entry::new(options.settings, options.seed, clock.now()),
            clock,
            rating_uri: options.rating_uri,
            client,
            kv,
            telemetry: options.common.telemetry()?,
            inputs: inputs.clone(),
            configuration,
            tls,
            links: LinkTable::default(),
            callers: CallerTable::default(),
            pending_events: VecDeque::new(),
            stopped: false,
        };
        // Last, since the system accepts callers from here on.
        let (listener, http_address) = listen(options.http_listen).await?;
        tasks.spawn_server(serve(listener, router, options.http_limits, None, tasks.stop_signal()));
        let main_task = tokio::spawn(entry_loop.run(input_reader, caller_update_reader));
        Ok(Self { http_address, operators_address, inputs, main_task, tasks })
    }

    /// Bound address of the port for callers.
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Bound address of the operator port; `None` if the port is disabled.
    pub const fn operators_address(&self) -> Option<SocketAddr> {
        self.operators_address
    }

    /// Starts a graceful shutdown. [`Self::stopped`] waits for its end.
    pub async fn shutdown(&self) {
        // A closed channel means that the process has stopped already.
        drop(self.inputs.send(EntryInput::Event(Box::new(EntryEvent::Shutdown))).await);
    }

    /// Waits until the reducer has stopped and open HTTP connections are closed or timed out.
    pub async fn stopped(mut self) {
        // The task ends by itself or panics; both mean that the process has stopped.
        drop((&mut self.main_task).await);
        std::mem::take(&mut self.tasks).shut_down().await;
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.main_task.abort();
    }
}
