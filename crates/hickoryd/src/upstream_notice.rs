//! Reads what an upstream says of itself in the head of a response.

use hickorydoor::gateway::rate_limits::LimitNotice;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::gateway::upstreams::UpstreamNotice;
use hickorydoor::gateway::upstreams::parse_pause;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::header::RETRY_AFTER;
use log::warn;

/// Present in the responses of an upstream that is about to leave.
pub const LEAVING: HeaderName = HeaderName::from_static("x-hickorydoor-leaving");
/// Requests per second that an upstream takes in all.
pub const LIMIT: HeaderName = HeaderName::from_static("x-hickorydoor-limit");

/// Reads the notices in the head of a response.
pub fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
    leaving: &HeaderName,
    limit: &HeaderName,
) -> UpstreamNotice {
    let asked = headers.get(RETRY_AFTER);
    let asked = asked.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let pause_ms = asked.and_then(|value| parse_pause(value.to_str().ok()?));
    if asked.is_some() && pause_ms.is_none() {
        warn!(value:? = asked; "pause that an upstream asks for is no number of seconds; ignoring it");
    }
    let is_leaving = headers.get(leaving).is_some_and(|value| value == "1");
    UpstreamNotice { is_leaving, pause_ms, limit: read_limit(headers, limit) }
}

/// Reads the limit of an upstream; of several, the lowest counts. A limit that cannot be read says
/// nothing.
fn read_limit(headers: &HeaderMap, name: &HeaderName) -> LimitNotice {
    let values = headers.get_all(name);
    if values.iter().next().is_none() {
        return LimitNotice::Unlimited;
    }
    let mut lowest: Option<RequestRate> = None;
    for value in values {
        match value.to_str().unwrap_or_default().parse::<RequestRate>() {
            Ok(rate) => lowest = Some(lowest.filter(|known| *known < rate).unwrap_or(rate)),
            Err(error) => warn!(
                value:? = value, reason:% = error;
                "limit of an upstream cannot be read; ignoring it"
            ),
        }
    }
    lowest.map_or(LimitNotice::Silent, LimitNotice::Limited)
}
