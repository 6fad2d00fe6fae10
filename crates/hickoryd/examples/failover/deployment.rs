//! Entries and agents as processes of their own, with the stand-ins in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use hickory_standins::Engine;
use hickory_standins::EngineSettings;
use hickory_standins::Host;
use hickory_standins::HostList;
use hickory_standins::HostRole;
use hickory_standins::HostState;
use hickory_standins::Kv;
use hickory_standins::Service;
use hickorydoor::KeyDigest;
use serde_json::Value;
use tokio::process::Child;
use tokio::process::Command;

use crate::fleet::AnyError;
use crate::fleet::OPERATOR_KEY;
use crate::fleet::read_response;
use crate::fleet::send;
use crate::fleet::store_configuration;
use crate::wait_until;

const CONFIGURATION: &str = include_str!("../../tests/fleet/configuration.yaml");
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(90);
const ENTRY_COUNT: usize = 2;
const ENGINE_COUNT: usize = 3;

/// Entry or agent process.
#[derive(Debug)]
struct RouterProcess {
    host: String,
    settings: PathBuf,
    operators: SocketAddr,
    callers: Option<SocketAddr>,
    link: Option<SocketAddr>,
    child: Child,
}

/// All processes and stand-ins of a run.
#[derive(Debug)]
pub struct Deployment {
    pub kv: Kv,
    hosts: HostList,
    engines: Vec<Engine>,
    service: Service,
    directory: PathBuf,
    entries: Vec<RouterProcess>,
    agents: Vec<RouterProcess>,
}

impl Deployment {
    /// Starts all processes and waits until they are ready.
    pub async fn start() -> Result<Self, AnyError> {
        let directory = std::env::temp_dir().join(format!("hickory-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let kv = Kv::start().await?;
        store_configuration(&kv, CONFIGURATION).await?;
        let mut deployment = Self {
            kv,
            hosts: HostList::start().await?,
            engines: Vec::new(),
            service: Service::start().await?,
            directory,
            entries: Vec::new(),
            agents: Vec::new(),
        };
        deployment.service.set_delay(Duration::from_millis(10));
        for number in 1..=ENGINE_COUNT {
            let mut settings = EngineSettings::new(["brine-small-1", "brine-large-1"]);
            settings.first_token_delay = Duration::from_millis(20);
            settings.token_interval = Duration::from_millis(10);
            settings.answer_tokens = 20;
            let engine = Engine::start(settings).await?;
            let offer = "engine_versions: [brine-small-1, brine-large-1]";
            deployment.add_agent(&format!("agent-{number}"), &engine.server().url(), offer)?;
            deployment.engines.push(engine);
        }
        let url = deployment.service.server().url();
        deployment.add_agent("agent-registry", &url, "service: registry")?;
        for number in 1..=ENTRY_COUNT {
            deployment.add_entry(&format!("entry-{number}"))?;
        }
        deployment.list_hosts(None);
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    fn add_agent(&mut self, host: &str, upstream: &str, offer: &str) -> Result<(), AnyError> {
        let link = free_address()?;
        let operators = free_address()?;
        let settings = format!(
            "role: agent\nhost: {host}\n{}link_listen: {link}\nupstream: {host}-upstream\n\
             upstream_uri: {upstream}\noffer:\n  {offer}\nwarm_limit: 64\ncold_limit: 32\n",
            self.common_settings(operators),
        );
        let settings = self.write_settings(host, &settings)?;
        let child = spawn(&settings)?;
        let (callers, link) = (None, Some(link));
        let host = host.to_owned();
        self.agents.push(RouterProcess { host, settings, operators, callers, link, child });
        Ok(())
    }

    fn add_entry(&mut self, host: &str) -> Result<(), AnyError> {
        let callers = free_address()?;
        let operators = free_address()?;
        let settings = format!(
            "role: entry\nhost: {host}\n{}host_list_uri: {}\nhost_list_interval_ms: 200\n\
             http:\n  listen: {callers}\nbilling_interval_ms: 1000\n",
            self.common_settings(operators),
            self.hosts.server().url(),
        );
        let settings = self.write_settings(host, &settings)?;
        let child = spawn(&settings)?;
        let (callers, link) = (Some(callers), None);
        let host = host.to_owned();
        self.entries.push(RouterProcess { host, settings, operators, callers, link, child });
        Ok(())
    }

    fn common_settings(&self, operators: SocketAddr) -> String {
        format!(
            "data_centre: arauco-1\nregion: la-rioja\nkv_endpoints: [{}]\n\
             operators:\n  listen: {operators}\n  key_digests: [{}]\nlog:\n  level: warn\n",
            self.kv.server().url(),
            KeyDigest::of_key(OPERATOR_KEY),
        )
    }

    fn write_settings(&self, host: &str, text: &str) -> Result<PathBuf, AnyError> {
        let path = self.directory.join(format!("{host}.yaml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn list_hosts(&self, leaving: Option<&str>) {
        let record = |process: &RouterProcess| Host {
            host: process.host.clone(),
            role: if process.link.is_some() { HostRole::Agent } else { HostRole::Entry },
            address: process.link.or(process.callers).unwrap_or(process.operators),
            data_centre: "arauco-1".to_owned(),
            region: "la-rioja".to_owned(),
            state: match leaving {
                Some(host) if host == process.host => HostState::Leaving,
                _ => HostState::Live,
            },
        };
        self.hosts.set_hosts(self.agents.iter().chain(&self.entries).map(record).collect());
    }

    /// Returns the base URLs of the entries.
    pub fn entry_addresses(&self) -> Vec<String> {
        let callers = self.entries.iter().filter_map(|process| process.callers);
        callers.map(|address| format!("http://{address}")).collect()
    }

    pub const fn agent_count(&self) -> usize {
        self.agents.len()
    }

    pub const fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Adds an exception with hickoryctl. Returns the time from its acceptance until it is in force at
    /// every process.
    pub async fn change_configuration(&self) -> Result<Duration, AnyError> {
        let output = Command::new(binary("hickoryctl")?)
            .args(["exception", "add", "longer-deadline", "interactive-deadline"])
            .args(["--customer", "cooperativa", "--deadline-ms", "60000"])
            .args(["--reason", "measures the propagation of a change", "--operator", "failover"])
            .args(["--kv", &self.kv.server().url()])
            .output()
            .await?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
        }
        let started = Instant::now();
        for process in self.agents.iter().chain(&self.entries) {
            wait_until(READY_TIMEOUT, async || {
                status(process.operators).await.is_some_and(|status| status["revision"] == 2)
            })
            .await?;
        }
        Ok(started.elapsed())
    }

    /// Lists an agent as leaving, stops it gracefully and starts it again.
    pub async fn restart_agent(&mut self, index: usize) -> Result<(), AnyError> {
        let host = self.agents[index].host.clone();
        self.list_hosts(Some(&host));
        stop(&mut self.agents[index]).await?;
        self.agents[index].child = spawn(&self.agents[index].settings)?;
        self.list_hosts(None);
        self.wait_until_ready().await
    }

    /// Stops an entry gracefully and starts it again.
    pub async fn restart_entry(&mut self, index: usize) -> Result<(), AnyError> {
        stop(&mut self.entries[index]).await?;
        self.entries[index].child = spawn(&self.entries[index].settings)?;
        self.wait_until_ready().await
    }

    /// Kills an agent and starts it again.
    pub async fn kill_agent(&mut self, index: usize) -> Result<(), AnyError> {
        self.agents[index].child.kill().await?;
        self.agents[index].child = spawn(&self.agents[index].settings)?;
        self.wait_until_ready().await
    }

    /// Kills an entry and starts it again.
    pub async fn kill_entry(&mut self, index: usize) -> Result<(), AnyError> {
        self.entries[index].child.kill().await?;
        self.entries[index].child = spawn(&self.entries[index].settings)?;
        self.wait_until_ready().await
    }

    /// Suspends an agent for the duration of `pause`.
    pub async fn pause_agent(&self, index: usize, pause: Duration) -> Result<(), AnyError> {
        signal(&self.agents[index].child, "-STOP").await?;
        tokio::time::sleep(pause).await;
        signal(&self.agents[index].child, "-CONT").await
    }

    async fn wait_until_ready(&self) -> Result<(), AnyError> {
        let agents = self.agents.len();
        for process in &self.agents {
            wait_until(READY_TIMEOUT, async || {
                status(process.operators).await.is_some_and(|status| status["revision"] != 0)
            })
            .await?;
        }
        for process in &self.entries {
            wait_until(READY_TIMEOUT, async || {
                let Some(status) = status(process.operators).await else {
                    return false;
                };
                let members = status["members"].as_array().into_iter().flatten();
                let usable =
                    |member: &&Value| member["connected"] == true && member["draining"] == false;
                status["ready"] == true && members.filter(usable).count() == agents
            })
            .await?;
        }
        Ok(())
    }

    /// Returns how many calls the plain service executed in addition to the first one for each
    /// idempotency key.
    pub fn duplicate_executions(&self) -> usize {
        let mut keys: Vec<String> =
            self.service.calls().into_iter().filter_map(|call| call.idempotency_key).collect();
        let executions = keys.len();
        keys.sort_unstable();
        keys.dedup();
        executions - keys.len()
    }

    /// Stops all processes gracefully and removes their settings.
    pub async fn stop(mut self) -> Result<(), AnyError> {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            stop(process).await?;
        }
        std::fs::remove_dir_all(&self.directory)?;
        Ok(())
    }
}

async fn status(operators: SocketAddr) -> Option<Value> {
    let url = format!("http://{operators}/status");
    let response = send("GET", &url, OPERATOR_KEY, &[], "").await.ok()?;
    let response = read_response(response).await.ok()?;
    Some(response.json())
}

/// Returns an address whose port is free at the time of the call. The processes need ports that are
/// known before they start. Runs at the same time use different loopback addresses.
fn free_address() -> Result<SocketAddr, AnyError> {
    let process = std::process::id();
    let ip = Ipv4Addr::new(127, 1 + (process / 250 % 250) as u8, (process % 250) as u8, 1);
    Ok(TcpListener::bind((ip, 0))?.local_addr()?)
}

/// Returns the path of a binary of this workspace, built into the same target directory.
fn binary(name: &str) -> Result<PathBuf, AnyError> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(|path| path.parent());
    let path = directory.ok_or("the example is not in a build directory")?.join(name);
    if !path.exists() {
        return Err(format!("{name} is missing; run cargo build --workspace --bins").into());
    }
    Ok(path)
}

fn spawn(settings: &PathBuf) -> Result<Child, AnyError> {
    let child = Command::new(binary("hickoryd")?)
        .arg("--settings")
        .arg(settings)
        .kill_on_drop(true)
        .spawn()?;
    Ok(child)
}

async fn signal(child: &Child, name: &str) -> Result<(), AnyError> {
    let id = child.id().ok_or("the process has already exited")?;
    Command::new("kill").args([name, &id.to_string()]).status().await?;
    Ok(())
}

async fn stop(process: &mut RouterProcess) -> Result<(), AnyError> {
    signal(&process.child, "-TERM").await?;
    let status = tokio::time::timeout(STOP_TIMEOUT, process.child.wait()).await??;
    if status.success() {
        return Ok(());
    }
    Err(format!("{} exited with {status}", process.host).into())
}
