//! A running entry.

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
use crate::kv_port::KvPort;
use crate::link_table::LinkTable;
use crate::platform::poll_hosts;
use crate::process::CommonOptions;
use crate::process::MAX_INPUTS;
use crate::process::Tasks;
use crate::process::listen;
use crate::start_error::StartError;

/// What an entry process needs to start.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Settings of the reducer.
    pub settings: EntrySettings,
    /// Seed of the reducer's random generator.
    pub seed: u64,
    /// Where callers connect.
    pub http_listen: SocketAddr,
    /// Limits of the callers' port.
    pub http_limits: HttpLimits,
    /// Requests that may be open at the same time.
    pub max_open_requests: usize,
    /// Time for a request body to arrive.
    pub body_timeout: Duration,
    /// Root of the platform's host list.
    pub host_list_uri: CompactString,
    /// Time between two reads of the host list.
    pub host_list_interval: Duration,
    /// Root of the rating service, if there is one.
    pub rating_uri: Option<CompactString>,
    /// Settings that both roles share.
    pub common: CommonOptions,
}

/// A running entry. It ends when it is dropped, without a graceful shutdown.
#[derive(Debug)]
pub struct EntryProcess {
    http_address: SocketAddr,
    operators_address: Option<SocketAddr>,
    inputs: mpsc::Sender<EntryInput>,
    main: JoinHandle<()>,
    tasks: Tasks,
}

impl EntryProcess {
    /// Opens the ports and starts the reducer.
    ///
    /// # Errors
    /// Fails if a port cannot be opened.
    pub async fn start(options: EntryOptions) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (inputs, input_reader) = mpsc::channel(MAX_INPUTS);
        let (notes, note_reader) = mpsc::unbounded_channel();
        let (configuration, front_configuration) = watch::channel(Arc::default());
        let mut tasks = Tasks::default();
        let (listener, http_address) = listen(options.http_listen).await?;
        let operators =
            options.common.start_operators(inputs.clone(), EntryInput::OperatorQuery, &mut tasks);
        let operators_address = operators.await?;
        let front = HttpApi::new(
            inputs.clone(),
            notes,
            front_configuration,
            options.max_open_requests,
            options.body_timeout,
        );
        let router = Arc::new(front).router();
        tasks.server(serve(listener, router, options.http_limits, None, tasks.stopping()));
        let client = http_client::new();
        let region = options.settings.region.clone();
        let poll = poll_hosts(
            client.clone(),
            options.host_list_uri,
            region,
            options.host_list_interval,
            inputs.clone(),
        );
        tasks.helper(poll);
        let kv = KvPort::new(options.common.kv_client(), inputs.clone(), |call, outcome| {
            EntryInput::Event(Box::new(EntryEvent::Kv { call, outcome }))
        });
        let tls = tasks.identity(options.common.links_tls.as_ref())?;
        let main = EntryLoop {
            host: options.settings.host.clone(),
            reducer: Entry::new(options.settings, options.seed, clock.now()),
            clock,
            rating_uri: options.rating_uri,
            client,
            kv,
            journal: options.common.journal()?,
            inputs: inputs.clone(),
            configuration,
            tls,
            links: LinkTable::default(),
            callers: CallerTable::default(),
            followups: VecDeque::new(),
            stopped: false,
        };
        let main = tokio::spawn(main.run(input_reader, note_reader));
        Ok(Self { http_address, operators_address, inputs, main, tasks })
    }

    /// Where callers connect.
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where the operators' port listens.
    pub const fn operators_address(&self) -> Option<SocketAddr> {
        self.operators_address
    }

    /// Begins a graceful shutdown.
    pub async fn shutdown(&self) {
        // A closed channel means that the process has stopped already.
        drop(self.inputs.send(EntryInput::Event(Box::new(EntryEvent::Shutdown))).await);
    }

    /// Waits until the process has stopped.
    pub async fn stopped(mut self) {
        // The task ends by itself or panics; both mean that the process has stopped.
        drop((&mut self.main).await);
        std::mem::take(&mut self.tasks).end().await;
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.main.abort();
    }
}
