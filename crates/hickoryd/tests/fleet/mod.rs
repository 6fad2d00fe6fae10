//! Small fleet on loopback for tests, benches and examples: entries, agents and stand-ins for the
//! services that they use, all in one process.

#![allow(dead_code, reason = "each test, bench and example uses a part of the fleet")]

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use hickory_kv::Client as KvClient;
use hickory_kv::ClientSettings;
use hickory_standins::Engine;
use hickory_standins::EngineSettings;
use hickory_standins::Host;
use hickory_standins::HostList;
use hickory_standins::HostRole;
use hickory_standins::HostState;
use hickory_standins::Kv;
use hickory_standins::RatingService;
use hickory_standins::Service;
use hickoryd::AgentOptions;
use hickoryd::AgentProcess;
use hickoryd::CommonOptions;
use hickoryd::EntryOptions;
use hickoryd::EntryProcess;
use hickoryd::HttpLimits;
use hickoryd::TlsFiles;
use hickorydoor::AgentSettings;
use hickorydoor::Configuration;
use hickorydoor::DurationMs;
use hickorydoor::EntrySettings;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::configuration::head::Head;
use hickorydoor::configuration::raw::RawItem;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Revision;
use hickorydoor::message::Offer;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

/// Key of the customer in `configuration.yaml`.
pub const CUSTOMER_KEY: &str = "sk-cooperativa-4f1d";
/// Key that the operator port of each process accepts.
pub const OPERATOR_KEY: &str = "op-8c02";
/// Maximum time for all processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_PAUSE: Duration = Duration::from_millis(10);

const CONFIGURATION: &str = include_str!("configuration.yaml");

/// Any error, since tests and examples only print it.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[derive(Debug)]
pub struct Fleet {
    pub kv: Kv,
    pub hosts: HostList,
    pub rating: RatingService,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub entries: Vec<EntryProcess>,
    pub agents: Vec<AgentProcess>,
    runtimes: Vec<Runtime>,
    options: FleetOptions,
}

#[derive(Clone, Debug, Default)]
pub struct FleetOptions {
    /// Runs each entry and agent on a single-threaded runtime of its own, as the daemon does.
    pub separate_runtimes: bool,
    /// Directory with the TLS identities of the hosts; links use plain TCP if absent.
    pub identities: Option<PathBuf>,
    /// Root of the plain service, instead of the stand-in.
    pub service_url: Option<String>,
    /// Maximum size of a request body, instead of the one in the configuration.
    pub body_limit_bytes: Option<usize>,
}

/// HTTP response with its whole body.
#[derive(Debug)]
pub struct FullResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl FullResponse {
    /// Parses the body as JSON. Returns null if it is not valid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header as text, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

impl Fleet {
    /// Starts `entry_count` entries, two model engines and one plain service.
    pub async fn start(entry_count: usize, engine: EngineSettings) -> Result<Self, AnyError> {
        Self::start_with(entry_count, engine, FleetOptions::default()).await
    }

    pub async fn start_with(
        entry_count: usize,
        engine: EngineSettings,
        options: FleetOptions,
    ) -> Result<Self, AnyError> {
        let kv = Kv::start().await?;
        store_configuration(&kv, &configuration(options.body_limit_bytes)).await?;
        let hosts = HostList::start().await?;
        let rating = RatingService::start(1.0).await?;
        let service = Service::start().await?;
        let mut fleet = Self {
            kv,
            hosts,
            rating,
            engines: Vec::new(),
            service,
            entries: Vec::new(),
            agents: Vec::new(),
            runtimes: Vec::new(),
            options,
        };
        fleet.start_engine("agent-1", engine.clone()).await?;
        fleet.start_engine("agent-2", engine).await?;
        let offer = Offer::Service { service: "registry".parse()? };
        let service_url = fleet.options.service_url.clone();
        let service_url = service_url.unwrap_or_else(|| fleet.service.server().url());
        fleet.start_agent("agent-3", offer, service_url).await?;
        for number in 1..=entry_count {
            fleet.start_entry(number as u64).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn start_engine(&mut self, host: &str, engine: EngineSettings) -> Result<(), AnyError> {
        let versions = engine.versions.iter().map(|id| id.parse()).collect::<Result<_, _>>()?;
        let engine = Engine::start(engine).await?;
        self.start_agent(host, Offer::Engine { versions }, engine.server().url()).await?;
        self.engines.push(engine);
        Ok(())
    }

    async fn start_agent(&mut self, host: &str, offer: Offer, url: String) -> Result<(), AnyError> {
        let settings = AgentSettings::new(
            host.parse()?,
            host.parse()?,
            Incarnation::new(1),
            "arauco-1".parse()?,
            "la-rioja".parse()?,
            offer,
        );
        let options = AgentOptions {
            settings,
            link_listen: loopback(),
            upstream_uri: url.into(),
            load_interval: Duration::from_millis(200),
            common: self.common_options(host)?,
        };
        let agent = self.runtime_for(host)?.spawn(AgentProcess::start(options)).await??;
        self.hosts.update(|hosts| hosts.push(agent_host(host, agent.link_address())));
        self.agents.push(agent);
        Ok(())
    }

    async fn start_entry(&mut self, number: u64) -> Result<(), AnyError> {
        let host = format!("entry-{number}");
        let mut settings = EntrySettings::new(
            host.parse()?,
            Incarnation::new(1),
            "arauco-1".parse()?,
            "la-rioja".parse()?,
        );
        settings.billing_interval_ms = DurationMs::new(200);
        let options = EntryOptions {
            settings,
            seed: number,
            http_listen: loopback(),
            http_limits: HttpLimits {
                max_head_bytes: 16 << 10,
                write_timeout: Duration::from_secs(2),
                ..HttpLimits::default()
            },
            max_open_requests: 1024,
            body_timeout: Duration::from_secs(5),
            host_list_uri: self.hosts.server().url().into(),
            host_list_interval: Duration::from_millis(100),
            rating_uri: Some(self.rating.server().url().into()),
            common: self.common_options(&host)?,
        };
        let entry = self.runtime_for(&host)?.spawn(EntryProcess::start(options)).await??;
        self.entries.push(entry);
        Ok(())
    }

    /// Returns the runtime for the next process.
    fn runtime_for(&mut self, host: &str) -> Result<Handle, AnyError> {
        if !self.options.separate_runtimes {
            return Ok(Handle::current());
        }
        let runtime =
            Builder::new_multi_thread().worker_threads(1).thread_name(host).enable_all().build()?;
        let handle = runtime.handle().clone();
        self.runtimes.push(runtime);
        Ok(handle)
    }

    fn common_options(&self, host: &str) -> Result<CommonOptions, AnyError> {
        Ok(CommonOptions {
            kv: ClientSettings::new([self.kv.server().url()])?,
            operators_listen: Some(loopback()),
            operator_keys: vec![KeyDigest::of_key(OPERATOR_KEY)],
            links_tls: self.options.identities.as_deref().map(|path| identity(path, host)),
            operators_tls: None,
            statsd: None,
        })
    }

    /// Waits until all links are up and every process has the configuration.
    pub async fn wait_until_ready(&self) -> Result<(), AnyError> {
        let ready = async {
            for entry in &self.entries {
                let agent_count = self.agents.len();
                wait_for(entry.operators_address(), |status| {
                    let members = status["members"].as_array().map_or(0, |members| {
                        members.iter().filter(|member| member["connected"] == true).count()
                    });
                    status["ready"] == true && members == agent_count
                })
                .await;
            }
            for agent in &self.agents {
                wait_for(agent.operators_address(), |status| status["revision"] == 1).await;
            }
        };
        Ok(tokio::time::timeout(READY_TIMEOUT, ready).await?)
    }

    /// Returns the base URL of an entry.
    pub fn url(&self, entry: usize) -> String {
        format!("http://{}", self.entries[entry].http_address())
    }

    /// Posts a chat completion to the first entry.
    pub async fn chat(&self, body: &str) -> Result<FullResponse, AnyError> {
        let url = format!("{}/v1/chat/completions", self.url(0));
        read_response(send("POST", &url, CUSTOMER_KEY, &[], body).await?).await
    }

    /// Returns the stored billing batches as JSON text.
    pub fn bills(&self) -> Vec<String> {
        let keys = self.kv.keys();
        let bills = keys.iter().filter(|key| key.starts_with(keys::BILLS_PREFIX));
        let values = bills.filter_map(|key| self.kv.get(key));
        values.map(|value| String::from_utf8_lossy(&value).into_owned()).collect()
    }
}

/// Polls the status of a process until `done` returns true. Returns at once without an address.
pub async fn wait_for(address: Option<SocketAddr>, done: impl Fn(&serde_json::Value) -> bool) {
    let Some(address) = address else {
        return;
    };
    let url = format!("http://{address}/status");
    loop {
        if let Ok(response) = send("GET", &url, OPERATOR_KEY, &[], "").await
            && let Ok(response) = read_response(response).await
            && done(&response.json())
        {
            return;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Sends a request with a bearer key. Returns as soon as the head of the response has arrived.
pub async fn send(
    method: &str,
    url: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>, AnyError> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(url)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {key}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    Ok(client.request(request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?).await?)
}

/// Reads the body of a response.
pub async fn read_response(response: Response<Incoming>) -> Result<FullResponse, AnyError> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(FullResponse { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Returns the configuration, with another maximum size of a request body if one is given.
fn configuration(body_limit_bytes: Option<usize>) -> String {
    const LIMIT: &str = "request_body_limit_bytes: 65536";
    match body_limit_bytes {
        Some(limit) => CONFIGURATION.replace(LIMIT, &format!("request_body_limit_bytes: {limit}")),
        None => CONFIGURATION.to_owned(),
    }
}

/// Stores a configuration in the key-value service as revision 1.
pub async fn store_configuration(kv: &Kv, yaml: &str) -> Result<(), AnyError> {
    let raw = RawConfiguration::from_yaml(yaml)?;
    let configuration = Configuration::try_from(raw)?;
    let head = Head { revision: Revision::new(1), change: "initial".parse()? };
    let mut then = vec![put(keys::HEAD.into(), &head)?];
    for item in configuration.items() {
        then.push(put(keys::item(&item.key()), &RawItem::from(&item))?);
    }
    let client = KvClient::new(ClientSettings::new([kv.server().url()])?);
    let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
    client.try_call(&call).await.map_err(|error| io::Error::other(format!("{error:?}")))?;
    Ok(())
}

fn put<T: serde::Serialize>(
    key: compact_str::CompactString,
    value: &T,
) -> Result<KvOperation, AnyError> {
    Ok(KvOperation::Put { key, value: serde_json::to_vec(value)?.into(), lease: None })
}

/// Returns the files of the TLS identity of a host.
pub fn identity(directory: &Path, host: &str) -> TlsFiles {
    TlsFiles {
        certificate: directory.join(format!("{host}.crt")),
        key: directory.join(format!("{host}.key")),
        authorities: directory.join("authorities.crt"),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn agent_host(host: &str, address: SocketAddr) -> Host {
    Host {
        host: host.to_owned(),
        role: HostRole::Agent,
        address,
        data_centre: "arauco-1".to_owned(),
        region: "la-rioja".to_owned(),
        state: HostState::Live,
    }
}
