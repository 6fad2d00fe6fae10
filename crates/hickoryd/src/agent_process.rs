//! Start and shutdown of an agent process.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use hickorydoor::Agent;
use hickorydoor::AgentEvent;
use hickorydoor::AgentSettings;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::agent_input::AgentInput;
use crate::agent_link::accept_links;
use crate::agent_loop::AgentLoop;
use crate::clock::Clock;
use crate::engine::poll_load;
use crate::kv_executor::KvExecutor;
use crate::link_table::LinkTable;
use crate::process::CommonOptions;
use crate::process::MAX_INPUTS;
use crate::process::Tasks;
use crate::process::listen;
use crate::start_error::StartError;

/// Options of an agent process.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Settings of the agent reducer, among them its host and incarnation.
    pub settings: AgentSettings,
    /// Address to listen on for links from entries; port 0 lets the system choose one.
    pub link_listen: SocketAddr,
    /// Root of the upstream, without a trailing slash.
    pub upstream_uri: CompactString,
    /// Interval at which the upstream is polled for its load.
    pub load_interval: Duration,
    /// Options that entry and agent processes share.
    pub common: CommonOptions,
}

/// Handle of a running agent. Dropping it aborts the agent without a graceful shutdown.
#[derive(Debug)]
pub struct AgentProcess {
    link_address: SocketAddr,
    operators_address: Option<SocketAddr>,
    inputs: mpsc::Sender<AgentInput>,
    main_task: JoinHandle<()>,
    tasks: Tasks,
}

impl AgentProcess {
    /// Opens the ports and starts the reducer.
    ///
    /// # Errors
    /// Returns an error if a port or the metrics socket cannot be opened, or if a TLS identity cannot
    /// be loaded.
    pub async fn start(options: AgentOptions) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (inputs, input_reader) = mpsc::channel(MAX_INPUTS);
        let mut tasks = Tasks::default();
        let (listener, link_address) = listen(options.link_listen).await?;
        let operators = options.common.start_operator_port(
            inputs.clone(),
            AgentInput::OperatorQuery,
            &mut tasks,
        );
        let operators_address = operators.await?;
        let host = options.settings.host.clone();
        let offer = options.settings.offer.clone();
        let kv = KvExecutor::new(options.common.kv_client(), inputs.clone(), |call, outcome| {
            AgentInput::Event(Box::new(AgentEvent::Kv { call, outcome }))
        });
        let agent_loop = AgentLoop {
            reducer: Agent::new(options.settings, clock.now()),
            host,
            clock,
            base_uri: options.upstream_uri.clone(),
            kv,
            telemetry: options.common.telemetry()?,
            inputs: inputs.clone(),
            links: LinkTable::default(),
            calls: HashMap::new(),
            pending_events: VecDeque::new(),
            stopped: false,
        };
        let load_polling =
            poll_load(options.upstream_uri, offer, options.load_interval, inputs.clone());
        tasks.spawn_background(load_polling);
        let tls = tasks.load_identity(options.common.links_tls.as_ref())?;
        tasks.spawn_background(accept_links(listener, tls, inputs.clone()));
        let main_task = tokio::spawn(agent_loop.run(input_reader));
        Ok(Self { link_address, operators_address, inputs, main_task, tasks })
    }

    /// Bound address of the port for links from entries.
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Bound address of the operator port; `None` if the port is disabled.
    pub const fn operators_address(&self) -> Option<SocketAddr> {
        self.operators_address
    }

    /// Starts a graceful shutdown. [`Self::stopped`] waits for its end.
    pub async fn shutdown(&self) {
        // A closed channel means that the process has stopped already.
        drop(self.inputs.send(AgentInput::Event(Box::new(AgentEvent::Shutdown))).await);
    }

    /// Waits until the reducer has stopped and open HTTP connections are closed or timed out.
    pub async fn stopped(mut self) {
        // The task ends by itself or panics; both mean that the process has stopped.
        drop((&mut self.main_task).await);
        std::mem::take(&mut self.tasks).shut_down().await;
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        self.main_task.abort();
    }
}
