//! Settings of the client.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use hickorydoor::time::DurationMs;
use http::Uri;

const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(500);
const CALL_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);
// The service limits values to 1 MB and a read of the whole configuration returns many of them.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Reasons why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// No endpoint is given.
    NoEndpoint,
    /// An endpoint is not of the form `http://HOST:PORT`.
    BadEndpoint {
        /// The endpoint as given.
        endpoint: CompactString,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEndpoint => f.write_str("at least one endpoint is needed"),
            Self::BadEndpoint { endpoint } => {
                write!(f, "{endpoint:?} is not of the form http://HOST:PORT")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Endpoints as `http://HOST:PORT`; a call tries them in turn until one accepts it.
    pub endpoints: Vec<Uri>,
    /// Time to connect to one endpoint.
    pub connect_timeout_ms: DurationMs,
    /// Time for a whole call, over all endpoints.
    pub call_timeout_ms: DurationMs,
    /// Largest answer, and largest message of a watch.
    pub response_limit_bytes: usize,
}

impl ClientSettings {
    /// Settings with the default limits.
    ///
    /// # Errors
    /// Fails if there is no endpoint or one of them is malformed.
    pub fn new<T: AsRef<str>>(
        endpoints: impl IntoIterator<Item = T>,
    ) -> Result<Self, SettingsError> {
        let endpoints: Vec<Uri> =
            endpoints.into_iter().map(|text| endpoint(text.as_ref())).collect::<Result<_, _>>()?;
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

fn endpoint(text: &str) -> Result<Uri, SettingsError> {
    let bad = || SettingsError::BadEndpoint { endpoint: text.into() };
    let uri = Uri::from_str(text).map_err(|_error| bad())?;
    let plain = uri.path() == "/" && uri.query().is_none();
    if uri.scheme_str() != Some("http") || uri.authority().is_none() || !plain {
        return Err(bad());
    }
    Ok(uri)
}
