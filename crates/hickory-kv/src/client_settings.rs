//! Endpoints and limits of the client.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use hickorydoor::time::DurationMs;
use http::Uri;

const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(500);
const CALL_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);
// The service limits values to 1 MB, and a read of the whole configuration returns many of them.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Error for invalid [`ClientSettings`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The list of endpoints is empty.
    NoEndpoint,
    /// An endpoint is not of the form `http://HOST:PORT`.
    InvalidEndpoint {
        /// The rejected text.
        endpoint: CompactString,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEndpoint => f.write_str("at least one endpoint is required"),
            Self::InvalidEndpoint { endpoint } => {
                write!(f, "{endpoint:?} is not of the form http://HOST:PORT")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Endpoints and limits of a [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Endpoints of the form `http://HOST:PORT`; a call tries each in turn until one accepts a
    /// connection. Must not be empty.
    pub endpoints: Vec<Uri>,
    /// Timeout of one connection attempt.
    pub connect_timeout_ms: DurationMs,
    /// Timeout of a whole call, over all endpoints.
    pub call_timeout_ms: DurationMs,
    /// Maximum size of a response body, and of one message of a watch.
    pub response_limit_bytes: usize,
}

impl ClientSettings {
    /// Creates settings with the default timeouts and size limit.
    ///
    /// # Errors
    /// Fails if there is no endpoint or one does not have the form `http://HOST:PORT`.
    pub fn new<T: AsRef<str>>(
        endpoints: impl IntoIterator<Item = T>,
    ) -> Result<Self, SettingsError> {
        let endpoints: Vec<Uri> = endpoints
            .into_iter()
            .map(|text| parse_endpoint(text.as_ref()))
            .collect::<Result<_, _>>()?;
        if endpoints.is_empty() {
            return Err(SettingsError::NoEndpoint);
        }
        Ok(Self {
            endpoints,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            call_timeout_ms: CALL_TIMEOUT_MS,
            response_limit_bytes: RESPONSE_LIMIT_BYTES,
        })
    }
}

fn parse_endpoint(text: &str) -> Result<Uri, SettingsError> {
    let invalid = || SettingsError::InvalidEndpoint { endpoint: text.into() };
    let uri = Uri::from_str(text).map_err(|_error| invalid())?;
    let has_no_path = uri.path() == "/" && uri.query().is_none();
    if uri.scheme_str() != Some("http") || uri.authority().is_none() || !has_no_path {
        return Err(invalid());
    }
    Ok(uri)
}
