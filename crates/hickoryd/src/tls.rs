//! Mutual TLS with certificates that are reloaded while the process runs.
//!
//! Every process has a certificate whose DNS name is its host id. Both peers verify each other's
//! certificate against the same authorities. They also check that it belongs to the host named in
//! the hello message, so no host can act for another one.

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

/// Interval at which the files are checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Paths of the PEM files of a TLS identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of the host, followed by its chain up to the authority.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authorities against which peers are verified.
    pub authorities: PathBuf,
}

/// Reason why a TLS identity cannot be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file cannot be read or is not valid PEM.
    File {
        /// Path from [`TlsFiles`].
        file: PathBuf,
        /// Error of the operating system or of the PEM parser.
        cause: io::Error,
    },
    /// A file contains no certificate, or no private key.
    Empty {
        /// Path from [`TlsFiles`].
        file: PathBuf,
    },
    /// A certificate is invalid, or the key does not match it.
    Unusable {
        /// Message of the TLS library.
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

/// Contents of the files, compared to detect changes.
#[derive(PartialEq, Eq)]
struct TlsFileContents {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Vec<u8>,
}

impl TlsFileContents {
    fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        Ok(Self {
            certificate: read(&files.certificate)?,
            key: read(&files.key)?,
            authorities: read(&files.authorities)?,
        })
    }
}

/// TLS configurations built from the files.
#[derive(Clone, Debug)]
pub struct TlsIdentity {
    /// Configuration for connections that the process opens.
    pub client: Arc<ClientConfig>,
    /// Configuration for connections that the process accepts.
    pub server: Arc<ServerConfig>,
}

/// Receiver of the current identity.
pub type TlsWatch = watch::Receiver<TlsIdentity>;

impl TlsIdentity {
    fn new(files: &TlsFiles, contents: &TlsFileContents) -> Result<Self, TlsError> {
        let provider = Arc::new(default_provider());
        let chain = certificates(&files.certificate, &contents.certificate)?;
        let roots = Arc::new(roots(&files.authorities, &contents.authorities)?);
        let key = || private_key(&files.key, &contents.key);
        let client = client_config(&provider, &roots, chain.clone(), key()?);
        let server = server_config(&provider, roots, chain, key()?);
        let unusable = |error: rustls::Error| TlsError::Unusable { detail: error.to_string() };
        Ok(Self {
            client: Arc::new(client.map_err(unusable)?),
            server: Arc::new(server.map_err(unusable)?),
        })
    }
}

/// Loads an identity. Returns its receiver and a task that reloads it whenever its files change; if
/// the new files cannot be used, the previous identity stays in use.
///
/// # Errors
/// Fails if the first load fails.
pub fn watch_identity(
    files: TlsFiles,
) -> Result<(TlsWatch, impl Future<Output = ()> + Send + 'static), TlsError> {
    let mut contents = TlsFileContents::read(&files)?;
    let (sender, receiver) = watch::channel(TlsIdentity::new(&files, &contents)?);
    let reload = async move {
        loop {
            sleep(RELOAD_INTERVAL).await;
            match load_if_changed(&files, &contents) {
                Ok(None) => {}
                Ok(Some((identity, new_contents))) => {
                    info!(file:% = files.certificate.display(); "TLS identity reloaded");
                    sender.send_replace(identity);
                    contents = new_contents;
                }
                Err(error) => warn!(reason:% = error; "TLS reload failed; keeping old identity"),
            }
        }
    };
    Ok((receiver, reload))
}

/// Returns the identity and the contents of the files if they differ from `contents`.
fn load_if_changed(
    files: &TlsFiles,
    contents: &TlsFileContents,
) -> Result<Option<(TlsIdentity, TlsFileContents)>, TlsError> {
    let new_contents = TlsFileContents::read(files)?;
    if new_contents == *contents {
        return Ok(None);
    }
    Ok(Some((TlsIdentity::new(files, &new_contents)?, new_contents)))
}

/// Returns the server name for which a host's certificate is verified, or `None` if the host id is
/// not a valid DNS name.
pub fn server_name(host: &HostId) -> Option<ServerName<'static>> {
    ServerName::try_from(host.as_str().to_owned()).ok()
}

/// Returns whether the first of a peer's certificates was issued for this host.
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
