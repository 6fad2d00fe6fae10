//! A running agent.

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
use crate::http_client;
use crate::kv_port::KvPort;
use crate::link_table::LinkTable;
use crate::process::CommonOptions;
use crate::process::MAX_INPUTS;
use crate::process::Tasks;
use crate::process::listen;
use crate::start_error::StartError;

/// What an agent process needs to start.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Settings of the reducer.
    pub settings: AgentSettings,
    /// Where entries connect.
    pub link_listen: SocketAddr,
    /// Root of the upstream, without a slash at the end.
    pub upstream_uri: CompactString,
    /// Time between two load reports of the upstream.
    pub load_interval: Duration,
    /// Settings that both roles share.
    pub common: CommonOptions,
}

/// A running agent. It ends when it is dropped, without a graceful shutdown.
#[derive(Debug)]
pub struct AgentProcess {
    link_address: SocketAddr,
    operators_address: Option<SocketAddr>,
    inputs: mpsc::Sender<AgentInput>,
    main: JoinHandle<()>,
    tasks: Tasks,
}

impl AgentProcess {
    /// Opens the ports and starts the reducer.
    ///
    /// # Errors
    /// Fails if a port cannot be opened.
    pub async fn start(options: AgentOptions) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (inputs, input_reader) = mpsc::channel(MAX_INPUTS);
        let mut tasks = Tasks::default();
        let (listener, link_address) = listen(options.link_listen).await?;
        let operators =
            options.common.start_operators(inputs.clone(), AgentInput::OperatorQuery, &mut tasks);
        let operators_address = operators.await?;
        let client = http_client::new();
        let host = options.settings.host.clone();
        let offer = options.settings.offer.clone();
        let kv = KvPort::new(options.common.kv_client(), inputs.clone(), |call, outcome| {
            AgentInput::Event(Box::new(AgentEvent::Kv { call, outcome }))
        });
        let main = AgentLoop {
            reducer: Agent::new(options.settings, clock.now()),
            host,
            clock,
            base_uri: options.upstream_uri.clone(),
            client: client.clone(),
            kv,
            journal: options.common.journal()?,
            inputs: inputs.clone(),
            links: LinkTable::default(),
            calls: HashMap::new(),
            followups: VecDeque::new(),
            stopped: false,
        };
        let poll =
            poll_load(client, options.upstream_uri, offer, options.load_interval, inputs.clone());
        tasks.helper(poll);
        let tls = tasks.identity(options.common.links_tls.as_ref())?;
        tasks.helper(accept_links(listener, tls, inputs.clone()));
        let main = tokio::spawn(main.run(input_reader));
        Ok(Self { link_address, operators_address, inputs, main, tasks })
    }

    /// Where entries connect.
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Where the operators' port listens.
    pub const fn operators_address(&self) -> Option<SocketAddr> {
        self.operators_address
    }

    /// Begins a graceful shutdown.
    pub async fn shutdown(&self) {
        // A closed channel means that the process has stopped already.
        drop(self.inputs.send(AgentInput::Event(Box::new(AgentEvent::Shutdown))).await);
    }

    /// Waits until the process has stopped.
    pub async fn stopped(mut self) {
        // The task ends by itself or panics; both mean that the process has stopped.
        drop((&mut self.main).await);
        std::mem::take(&mut self.tasks).end().await;
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        self.main.abort();
    }
}
