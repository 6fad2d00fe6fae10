//! Validates the settings file of a process and fills in defaults.

use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use hickory_kv::ClientSettings;
use hickorydoor::AgentSettings;
use hickorydoor::DurationMs;
use hickorydoor::EntrySettings;
use hickorydoor::id::Incarnation;
use hickorydoor::message::Offer;
use http::Uri;
use log::LevelFilter;
use serde::de::DeserializeOwned;

use crate::agent_process::AgentOptions;
use crate::entry_process::EntryOptions;
use crate::field_line::field_line;
use crate::http_server::HttpLimits;
use crate::process::CommonOptions;
use crate::raw_settings::RawAgentSettings;
use crate::raw_settings::RawEntrySettings;
use crate::raw_settings::RawHttp;
use crate::raw_settings::RawLog;
use crate::raw_settings::RawLogLevel;
use crate::raw_settings::RawMetrics;
use crate::raw_settings::RawOffer;
use crate::raw_settings::RawOperators;
use crate::raw_settings::RawRole;
use crate::raw_settings::RawRoleOnly;
use crate::raw_settings::RawTls;
use crate::settings_error::FieldError;
use crate::settings_error::SettingsError;
use crate::tls::TlsFiles;

const ROOT_URI_FORM: &str = "of the form http://HOST:PORT without a path";
const POSITIVE: &str = "greater than 0";
const DEFAULT_HOST_LIST_INTERVAL_MS: u64 = 1_000;
const DEFAULT_LOAD_INTERVAL_MS: u64 = 250;
const DEFAULT_BODY_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 2_048;
/// One thread has capacity for the load of a host. More threads add latency, since tasks on the
/// path of a request then wake each other across threads.
const DEFAULT_WORKER_THREADS: usize = 1;
/// Minimum buffer size that hyper accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Role of a process with its options.
#[derive(Clone, Debug)]
pub enum Role {
    /// Accepts callers and routes their requests to agents.
    Entry(Box<EntryOptions>),
    /// Runs next to one upstream and limits its requests.
    Agent(Box<AgentOptions>),
}

/// Valid settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Role that the process runs, with its options.
    pub role: Role,
    /// Lowest level that is logged.
    pub log_level: LevelFilter,
    /// Number of worker threads of the async runtime, at least 1.
    pub worker_threads: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a field is invalid. In the latter case, the error names
    /// the line, the field and the allowed values.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| SettingsError::Unreadable { file: file.to_owned(), cause })?;
        Self::parse(file, &text)
    }

    /// Parses and checks the text of a settings file; `file` is only used in errors.
    ///
    /// # Errors
    /// Fails with the line, the field and the allowed values.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let role: RawRoleOnly = parse(file, text)?;
        let settings = match role.role {
            RawRole::Entry => Self::try_from(parse::<RawEntrySettings>(file, text)?),
            RawRole::Agent => Self::try_from(parse::<RawAgentSettings>(file, text)?),
        };
        settings.map_err(|error| SettingsError::Field {
            file: file.to_owned(),
            line: field_line(text, &error.field),
            error,
        })
    }
}

fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    serde_yaml_ng::from_str(text).map_err(|error| SettingsError::Syntax {
        file: file.to_owned(),
        line: error.location().map(|location| location.line()),
        detail: error.to_string().into(),
    })
}

impl TryFrom<RawEntrySettings> for Settings {
    type Error = FieldError;

    fn try_from(raw: RawEntrySettings) -> Result<Self, FieldError> {
        let mut settings =
            EntrySettings::new(raw.host, Incarnation::default(), raw.data_centre, raw.region);
        if let Some(max_links) = raw.max_links {
            settings.max_links = positive("max_links", max_links)?;
        }
        if let Some(interval_ms) = raw.billing_interval_ms {
            let interval_ms = positive("billing_interval_ms", interval_ms)?;
            settings.billing_interval_ms = DurationMs::new(interval_ms);
        }
        let max_open_requests = raw.http.max_open_requests.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS);
        let body_timeout_ms = raw.http.body_timeout_ms.unwrap_or(DEFAULT_BODY_TIMEOUT_MS);
        let list_interval_ms = raw.host_list_interval_ms.unwrap_or(DEFAULT_HOST_LIST_INTERVAL_MS);
        let rating_uri = raw.rating_uri.map(|uri| root_uri("rating_uri", &uri)).transpose()?;
        let options = EntryOptions {
            settings,
            seed: 0,
            http_listen: raw.http.listen,
            http_limits: http_limits(&raw.http)?,
            max_open_requests: positive("http.max_open_requests", max_open_requests)?,
            body_timeout: positive_millis("http.body_timeout_ms", body_timeout_ms)?,
            host_list_uri: root_uri("host_list_uri", &raw.host_list_uri)?,
            host_list_interval: positive_millis("host_list_interval_ms", list_interval_ms)?,
            rating_uri,
            common: common_options(
                &raw.kv_endpoints,
                raw.operators,
                raw.links_tls,
                raw.metrics.as_ref(),
            )?,
        };
        Ok(Self {
            role: Role::Entry(Box::new(options)),
            log_level: log_level(raw.log),
            worker_threads: worker_threads(raw.worker_threads)?,
        })
    }
}

impl TryFrom<RawAgentSettings> for Settings {
    type Error = FieldError;

    fn try_from(raw: RawAgentSettings) -> Result<Self, FieldError> {
        let mut settings = AgentSettings::new(
            raw.host,
            raw.upstream,
            Incarnation::default(),
            raw.data_centre,
            raw.region,
            offer(raw.offer)?,
        );
        if let Some(limit) = raw.warm_limit {
            settings.warm_limit = positive("warm_limit", limit)?;
        }
        if let Some(limit) = raw.cold_limit {
            settings.cold_limit = positive("cold_limit", limit)?;
        }
        if settings.cold_limit > settings.warm_limit {
            return Err(FieldError::new("cold_limit", "at most warm_limit"));
        }
        let load_interval_ms = raw.load_interval_ms.unwrap_or(DEFAULT_LOAD_INTERVAL_MS);
        let options = AgentOptions {
            settings,
            link_listen: raw.link_listen,
            upstream_uri: root_uri("upstream_uri", &raw.upstream_uri)?,
            load_interval: positive_millis("load_interval_ms", load_interval_ms)?,
            common: common_options(
                &raw.kv_endpoints,
                raw.operators,
                raw.links_tls,
                raw.metrics.as_ref(),
            )?,
        };
        Ok(Self {
            role: Role::Agent(Box::new(options)),
            log_level: log_level(raw.log),
            worker_threads: worker_threads(raw.worker_threads)?,
        })
    }
}

impl From<RawTls> for TlsFiles {
    fn from(raw: RawTls) -> Self {
        Self { certificate: raw.certificate, key: raw.key, authorities: raw.authorities }
    }
}

fn worker_threads(raw: Option<usize>) -> Result<usize, FieldError> {
    positive("worker_threads", raw.unwrap_or(DEFAULT_WORKER_THREADS))
}

fn offer(raw: RawOffer) -> Result<Offer, FieldError> {
    match (raw.engine_versions, raw.service) {
        (Some(versions), None) => Ok(Offer::Engine { versions }),
        (None, Some(service)) => Ok(Offer::Service { service }),
        _ => Err(FieldError::new("offer", "either engine_versions or service")),
    }
}

fn http_limits(raw: &RawHttp) -> Result<HttpLimits, FieldError> {
    let mut limits = HttpLimits::default();
    if let Some(max_head_bytes) = raw.max_head_bytes {
        if max_head_bytes < MIN_HEAD_BYTES {
            return Err(FieldError::new("http.max_head_bytes", "at least 8192"));
        }
        limits.max_head_bytes = max_head_bytes;
    }
    if let Some(max_headers) = raw.max_headers {
        limits.max_headers = positive("http.max_headers", max_headers)?;
    }
    if let Some(head_timeout_ms) = raw.head_timeout_ms {
        limits.head_timeout = positive_millis("http.head_timeout_ms", head_timeout_ms)?;
    }
    if let Some(write_timeout_ms) = raw.write_timeout_ms {
        limits.write_timeout = positive_millis("http.write_timeout_ms", write_timeout_ms)?;
    }
    if let Some(max_connections) = raw.max_connections {
        limits.max_connections = positive("http.max_connections", max_connections)?;
    }
    Ok(limits)
}

fn common_options(
    kv_endpoints: &[CompactString],
    operators: Option<RawOperators>,
    links_tls: Option<RawTls>,
    metrics: Option<&RawMetrics>,
) -> Result<CommonOptions, FieldError> {
    let kv = ClientSettings::new(kv_endpoints).map_err(|_error| {
        FieldError::new("kv_endpoints", "one or more of the form http://HOST:PORT")
    })?;
    if operators.as_ref().is_some_and(|operators| operators.key_digests.is_empty()) {
        return Err(FieldError::new("operators.key_digests", "one or more SHA-256 digests"));
    }
    let (operators_listen, operator_keys, operators_tls) = match operators {
        Some(raw) => (Some(raw.listen), raw.key_digests, raw.tls),
        None => (None, Vec::new(), None),
    };
    Ok(CommonOptions {
        kv,
        operators_listen,
        operator_keys,
        links_tls: links_tls.map(TlsFiles::from),
        operators_tls: operators_tls.map(TlsFiles::from),
        statsd: metrics.map(|metrics| metrics.statsd),
    })
}

/// Checks the root URI of an HTTP service, and returns it without a trailing slash.
fn root_uri(field: &str, text: &str) -> Result<CompactString, FieldError> {
    let invalid = || FieldError::new(field, ROOT_URI_FORM);
    let uri: Uri = text.parse().map_err(|_error| invalid())?;
    let has_no_path = uri.path() == "/" && uri.query().is_none();
    if uri.scheme_str() != Some("http") || uri.host().is_none() || !has_no_path {
        return Err(invalid());
    }
    Ok(text.trim_end_matches('/').into())
}

fn positive<T: Default + PartialEq>(field: &str, value: T) -> Result<T, FieldError> {
    if value == T::default() {
        return Err(FieldError::new(field, POSITIVE));
    }
    Ok(value)
}

fn positive_millis(field: &str, value_ms: u64) -> Result<Duration, FieldError> {
    positive(field, value_ms).map(Duration::from_millis)
}

const fn log_level(raw: RawLog) -> LevelFilter {
    match raw.level {
        RawLogLevel::Error => LevelFilter::Error,
        RawLogLevel::Warn => LevelFilter::Warn,
        RawLogLevel::Info => LevelFilter::Info,
        RawLogLevel::Debug => LevelFilter::Debug,
    }
}
