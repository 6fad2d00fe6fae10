//! JSON bodies of API errors.

use hickorydoor::Refusal;
use hickorydoor::refusal::RefusalReason;
use serde_json::Value;
use serde_json::json;

/// Returns the JSON body for a refusal of the reducer.
pub fn error_body(refusal: &Refusal) -> Value {
    let param = match refusal.reason {
        RefusalReason::UnknownModel { .. } => Some("model"),
        _ => None,
    };
    let message = refusal.reason.to_string();
    error_json(&message, error_type(refusal.reason.status()), param, refusal.reason.code())
}

pub fn error_json(message: &str, kind: &str, param: Option<&str>, code: &str) -> Value {
    json!({ "error": { "message": message, "type": kind, "param": param, "code": code } })
}

/// Returns the `type` of an API error with this HTTP status.
pub const fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        409 => "conflict_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
