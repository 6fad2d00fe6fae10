//! Parsers for the request headers of the HTTP API.

use std::str::FromStr;

use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::KeyDigest;
use hickorydoor::id::IdempotencyKey;
use hickorydoor::id::SessionId;
use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::api_error::ApiError;

const DEADLINE: &str = "x-hickorydoor-deadline-ms";
const CLASS: &str = "x-hickorydoor-class";
const SESSION: &str = "x-hickorydoor-session";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest deadline that a caller may request.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the digest of the bearer key. The key itself is not stored.
pub fn key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| KeyDigest::of_key(key.trim()))
}

/// Returns the time that the caller allows for the request, counted from its arrival.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<DurationMs>, ApiError> {
    let allowed = "a number of milliseconds from 1 to 3600000";
    let deadline_ms: Option<u64> = parse_header(headers, DEADLINE, allowed)?;
    match deadline_ms {
        Some(ms) if ms == 0 || ms > MAX_DEADLINE_MS => {
            Err(ApiError::InvalidHeader { name: DEADLINE, allowed })
        }
        other => Ok(other.map(DurationMs::new)),
    }
}

/// Returns the requested class, or the default one if the header is absent.
pub fn class(headers: &HeaderMap) -> Result<Class, ApiError> {
    let class: Option<Class> = parse_header(headers, CLASS, "interactive or batch")?;
    Ok(class.unwrap_or_default())
}

pub fn session(headers: &HeaderMap) -> Result<Option<SessionId>, ApiError> {
    parse_header(headers, SESSION, "1 to 256 bytes without control characters")
}

pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ApiError> {
    parse_header(headers, IDEMPOTENCY_KEY, "1 to 256 bytes without control characters")
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
    allowed: &'static str,
) -> Result<Option<T>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let parsed = text.and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(ApiError::InvalidHeader { name, allowed })
}
