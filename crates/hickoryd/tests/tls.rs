//! Tests of mutual TLS on links and on the operator port.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hickory_standins::EngineSettings;
use hickoryd::AgentOptions;
use hickoryd::AgentProcess;
use hickoryd::CommonOptions;
use hickorydoor::AgentSettings;
use hickorydoor::DurationMs;
use hickorydoor::EntryMessage;
use hickorydoor::id::Incarnation;
use hickorydoor::message::EntryHello;
use hickorydoor::message::Offer;
use hickorydoor::wire::EntryFrame;
use prost::Message;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

mod fleet;

use fleet::AnyError;
use fleet::Fleet;
use fleet::FleetOptions;
use fleet::identity;

const HOSTS: [&str; 5] = ["entry-1", "entry-9", "agent-1", "agent-2", "agent-3"];
/// Several times the reload interval of 5 s.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Temporary directory with the TLS identities of all hosts, removed when this value is dropped.
struct Identities {
    directory: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Identities {
    fn new(name: &str) -> Result<Self, AnyError> {
        let directory =
            std::env::temp_dir().join(format!("hickoryd-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate()?;
        fs::write(directory.join("authorities.crt"), params.self_signed(&key)?.pem())?;
        let identities = Self { directory, issuer: Issuer::new(params, key) };
        for host in HOSTS {
            identities.issue(host)?;
        }
        Ok(identities)
    }

    fn issue(&self, host: &str) -> Result<(), AnyError> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![host.to_owned()])?;
        let files = identity(&self.directory, host);
        // The key is replaced first. A reload in between fails, since it does not match the
        // certificate, and keeps the previous identity.
        fs::write(files.key, key.serialize_pem())?;
        fs::write(files.certificate, params.signed_by(&key, &self.issuer)?.pem())?;
        Ok(())
    }
}

impl Drop for Identities {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.directory));
    }
}

/// Opens a TLS connection to the host `peer` with the certificate of the host `own`.
async fn connect(
    directory: &Path,
    own: &str,
    peer: &str,
    address: std::net::SocketAddr,
) -> Result<TlsStream<TcpStream>, AnyError> {
    let files = identity(directory, own);
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(files.authorities)?)?;
    let chain = vec![CertificateDer::from_pem_file(files.certificate)?];
    let config = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, PrivateKeyDer::from_pem_file(files.key)?)?;
    let stream = TcpStream::connect(address).await?;
    let name = ServerName::try_from(peer.to_owned())?;
    Ok(TlsConnector::from(Arc::new(config)).connect(name, stream).await?)
}

fn hello(entry: &str) -> Result<Vec<u8>, AnyError> {
    let hello = EntryHello {
        entry: entry.parse()?,
        incarnation: Incarnation::new(2),
        data_centre: "arauco-1".parse()?,
        revision: hickorydoor::id::Revision::new(1),
        heartbeat_interval_ms: DurationMs::from_secs(1),
    };
    let frame = EntryFrame::from(EntryMessage::Hello(hello)).encode_to_vec();
    let mut framed = u32::try_from(frame.len())?.to_be_bytes().to_vec();
    framed.extend_from_slice(&frame);
    Ok(framed)
}

#[tokio::test]
async fn requests_pass_over_links_with_tls() -> Result<(), AnyError> {
    let identities = Identities::new("links")?;
    let options =
        FleetOptions { identities: Some(identities.directory.clone()), ..FleetOptions::default() };
    let engine = EngineSettings::new(["brine-small-1", "brine-large-1"]);
    let fleet = Fleet::start_with(1, engine, options).await?;
    let body = r#"{"model":"brine-small","messages":[{"role":"user","content":"hello"}]}"#;
    let answer = fleet.chat(body).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    Ok(())
}

/// Guards against a host that sends the hello of another host over a connection that it opened with
/// its own certificate.
#[tokio::test]
async fn a_hello_must_match_the_certificate() -> Result<(), AnyError> {
    let identities = Identities::new("hello")?;
    let options =
        FleetOptions { identities: Some(identities.directory.clone()), ..FleetOptions::default() };
    let engine = EngineSettings::new(["brine-small-1", "brine-large-1"]);
    let fleet = Fleet::start_with(1, engine, options).await?;
    let address = fleet.agents[0].link_address();
    let mut answer = [0; 64];
    let mut own = connect(&identities.directory, "entry-9", "agent-1", address).await?;
    own.write_all(&hello("entry-9")?).await?;
    assert!(
        own.read(&mut answer).await? > 0,
        "the agent does not answer a hello that matches the certificate"
    );
    let mut foreign = connect(&identities.directory, "entry-9", "agent-1", address).await?;
    foreign.write_all(&hello("entry-1")?).await?;
    let read = foreign.read(&mut answer).await;
    assert!(
        matches!(read, Ok(0) | Err(_)),
        "the agent keeps a connection whose hello does not match: {read:?}"
    );
    let mut plain = TcpStream::connect(address).await?;
    plain.write_all(&hello("entry-1")?).await?;
    let mut rest = Vec::new();
    let read = plain.read_to_end(&mut rest).await;
    // The agent may send a TLS alert of a few bytes before it closes, but never a message.
    assert!(read.is_err() || rest.len() < 16, "{rest:?}");
    Ok(())
}

/// Guards against a process that uses an expiring certificate until it is restarted.
#[tokio::test]
async fn a_renewed_certificate_is_reloaded() -> Result<(), AnyError> {
    let identities = Identities::new("renewed")?;
    let files = identity(&identities.directory, "agent-1");
    let settings = AgentSettings::new(
        "agent-1".parse()?,
        "agent-1".parse()?,
        Incarnation::new(1),
        "arauco-1".parse()?,
        "la-rioja".parse()?,
        Offer::Service { service: "registry".parse()? },
    );
    let agent = AgentProcess::start(AgentOptions {
        settings,
        link_listen: "127.0.0.1:0".parse()?,
        upstream_uri: "http://127.0.0.1:9".into(),
        load_interval: Duration::from_secs(1),
        common: CommonOptions {
            kv: hickory_kv::ClientSettings::new(["http://127.0.0.1:9"])?,
            operators_listen: Some("127.0.0.1:0".parse()?),
            operator_keys: Vec::new(),
            links_tls: None,
            operators_tls: Some(files.clone()),
            statsd: None,
        },
    });
    let agent = agent.await?;
    let address = agent.operators_address().ok_or("the agent has no operator port")?;
    let connection = connect(&identities.directory, "entry-1", "agent-1", address).await?;
    let old = connection.get_ref().1.peer_certificates().map(<[_]>::to_vec);
    assert!(old.is_some());
    identities.issue("agent-1")?;
    let renewed = async {
        loop {
            let next = connect(&identities.directory, "entry-1", "agent-1", address).await?;
            if next.get_ref().1.peer_certificates().map(<[_]>::to_vec) != old {
                return Ok::<(), AnyError>(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(RELOAD_TIMEOUT, renewed).await??;
    Ok(())
}
