//! Reports on the outcome of a change, or on what it would change.

use hickorydoor::Configuration;
use hickorydoor::configuration::change_outcome::ChangeOutcome;
use hickorydoor::configuration::diff::ConfigDiff;
use serde_json::json;

use crate::cli_error::CliError;
use crate::command::ChangeRequest;
use crate::exit_status::ExitStatus;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::stored_reports::diff_json;

/// Reports what a change would modify, without storing it.
pub fn dry_run(
    format: OutputFormat,
    current: &Configuration,
    request: &ChangeRequest,
) -> Result<Report, CliError> {
    let operations = request.action.plan(current).map_err(CliError::Action)?;
    let mut next = current.clone();
    next.apply_operations(&operations).map_err(CliError::Inconsistent)?;
    let diff = ConfigDiff::between(current, &next);
    let text = if diff.is_empty() {
        "Nothing would change.\n".to_owned()
    } else {
        format!("Would change, after revision {}:\n{diff}", current.revision)
    };
    let json =
        json!({"outcome": "dry-run", "revision": current.revision, "diff": diff_json(&diff)});
    Ok(Report::success(format, text, &json))
}

/// Reports the outcome of a change. Prints a new key unless the key is certainly not stored: it
/// cannot be shown later, because only its digest is stored.
pub fn outcome(format: OutputFormat, request: &ChangeRequest, outcome: &ChangeOutcome) -> Report {
    let status = outcome.category().map_or(ExitStatus::Success, ExitStatus::from);
    let (name, revision, change) = match outcome {
        ChangeOutcome::Accepted { record } => {
            ("accepted", Some(record.revision), Some(&record.change))
        }
        ChangeOutcome::Unchanged { revision } => ("unchanged", Some(*revision), None),
        ChangeOutcome::Unknown { change, revision } => ("unknown", Some(*revision), Some(change)),
        _ => ("not-accepted", None, None),
    };
    let may_be_stored =
        matches!(outcome, ChangeOutcome::Accepted { .. } | ChangeOutcome::Unknown { .. });
    let key = request.new_key.as_ref().filter(|_| may_be_stored);
    let mut json = json!({
        "outcome": name,
        "kind": status.name(),
        "message": outcome.to_string(),
        "revision": revision,
        "change": change,
    });
    let mut text = format!("{outcome}\n");
    if let Some(key) = key {
        json["key"] = key.as_str().into();
        text = format!("{text}key: {key}\n");
    }
    Report::with_status(format, text, &json, status)
}
