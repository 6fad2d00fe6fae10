//! Mutual TLS whose certificates are read again while the process runs.
//!
//! Every process has a certificate whose DNS name is its host id. Both sides check the other's
//! certificate against the same authorities, and that it belongs to the host that the hello names.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hickorydoor::id::HostId;
use log::info;
use log::warn;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::client::verify_server_name;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::server::ParsedCertificate;
use rustls::server::WebPkiClientVerifier;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time between two looks at the files.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Files of a TLS identity in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate and the chain up to the authority.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// Certificates of the authorities that peers are checked against.
    pub authorities: PathBuf,
}

/// Reasons why a TLS identity cannot be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file cannot be read or holds no PEM of the expected kind.
    File {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// A file holds no entry of the expected kind.
    Empty {
        /// The file.
        file: PathBuf,
    },
    /// Certificate, key and authorities do not fit together.
    Unusable {
        /// The cause.
        detail: String,
    },
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { file, cause } => write!(f, "{}: {cause}", file.display()),
            Self::Empty { file } => {
                write!(f, "{}: no certificate or key in PEM", file.display())
            }
            Self::Unusable { detail } => f.write_str(detail),
        }
    }
}

impl std::error::Error for TlsError {}

/// What the files hold.
#[derive(PartialEq, Eq)]
struct TlsText {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Vec<u8>,
}

impl TlsText {
    fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        Ok(Self {
            certificate: read(&files.certificate)?,
            key: read(&files.key)?,
            authorities: read(&files.authorities)?,
        })
    }
}

/// A TLS identity in use.
#[derive(Clone, Debug)]
pub struct TlsIdentity {
    /// For connections that the process opens.
    pub client: Arc<ClientConfig>,
    /// For connections that the process accepts.
    pub server: Arc<ServerConfig>,
}

/// The newest identity.
pub type TlsWatch = watch::Receiver<TlsIdentity>;

impl TlsIdentity {
    fn new(files: &TlsFiles, text: &TlsText) -> Result<Self, TlsError> {
        let provider = Arc::new(default_provider());
        let chain = certificates(&files.certificate, &text.certificate)?;
        let roots = Arc::new(roots(&files.authorities, &text.authorities)?);
        let key = || private_key(&files.key, &text.key);
        let client = client_config(&provider, &roots, chain.clone(), key()?);
        let server = server_config(&provider, roots, chain, key()?);
        let unusable = |error: rustls::Error| TlsError::Unusable { detail: error.to_string() };
        Ok(Self {
            client: Arc::new(client.map_err(unusable)?),
            server: Arc::new(server.map_err(unusable)?),
        })
    }
}

/// Reads an identity, and reads it again whenever its files change. An identity that cannot be
/// used leaves the old one in place.
///
/// # Errors
/// Fails if the identity cannot be used at the start.
pub fn watch_identity(
    files: TlsFiles,
) -> Result<(TlsWatch, impl Future<Output = ()> + Send + 'static), TlsError> {
    let mut text = TlsText::read(&files)?;
    let (sender, receiver) = watch::channel(TlsIdentity::new(&files, &text)?);
    let reload = async move {
        loop {
            sleep(RELOAD_INTERVAL).await;
            match changed(&files, &text) {
                Ok(None) => {}
                Ok(Some((identity, newer))) => {
                    info!(file:% = files.certificate.display(); "TLS identity reloaded");
                    sender.send_replace(identity);
                    text = newer;
                }
                Err(error) => warn!(reason:% = error; "TLS identity cannot be reloaded"),
            }
        }
    };
    Ok((receiver, reload))
}

fn changed(files: &TlsFiles, text: &TlsText) -> Result<Option<(TlsIdentity, TlsText)>, TlsError> {
    let newer = TlsText::read(files)?;
    if newer == *text {
        return Ok(None);
    }
    Ok(Some((TlsIdentity::new(files, &newer)?, newer)))
}

/// The name under which a host's certificate is checked, if its id can be a DNS name.
pub fn server_name(host: &HostId) -> Option<ServerName<'static>> {
    ServerName::try_from(host.as_str().to_owned()).ok()
}

/// Whether a peer's certificate belongs to this host.
pub fn certificate_matches_host(
    certificates: Option<&[CertificateDer<'_>]>,
    host: &HostId,
) -> bool {
    let Some(certificate) = certificates.and_then(<[CertificateDer<'_>]>::first) else {
        return false;
    };
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    server_name(host).is_some_and(|name| verify_server_name(&parsed, &name).is_ok())
}

fn read(file: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(file).map_err(|cause| TlsError::File { file: file.to_owned(), cause })
}

fn certificates(file: &Path, mut text: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let parsed: Result<Vec<_>, io::Error> = rustls_pemfile::certs(&mut text).collect();
    let parsed = parsed.map_err(|cause| TlsError::File { file: file.to_owned(), cause })?;
    if parsed.is_empty() {
        return Err(TlsError::Empty { file: file.to_owned() });
    }
    Ok(parsed)
}

fn private_key(file: &Path, mut text: &[u8]) -> Result<PrivateKeyDer<'static>, TlsError> {
    let parsed = rustls_pemfile::private_key(&mut text);
    let parsed = parsed.map_err(|cause| TlsError::File { file: file.to_owned(), cause })?;
    parsed.ok_or_else(|| TlsError::Empty { file: file.to_owned() })
}

fn roots(file: &Path, text: &[u8]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file, text)? {
        roots.add(certificate).map_err(|error| TlsError::Unusable { detail: error.to_string() })?;
    }
    Ok(roots)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, rustls::Error> {
    ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, rustls::Error> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(provider))
        .build()
        .map_err(|error| rustls::Error::General(error.to_string()))?;
    ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
}
