//! Reports on configurations, their differences and their history.

use hickorydoor::Configuration;
use hickorydoor::RawConfiguration;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::diff::ConfigDiff;
use hickorydoor::configuration::raw::RawChangeRecord;
use hickorydoor::configuration::raw::RawException;
use hickorydoor::configuration::raw::RawOverride;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::table::Table;
use crate::timestamp::Timestamp;

/// Maximum number of items of a change that the history table names.
const MAX_NAMED_ITEMS: usize = 3;

/// Converts a raw type to JSON. This cannot fail, because raw types have only string keys.
fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

/// Reports the number of items in a valid configuration file.
pub fn check(format: OutputFormat, configuration: &Configuration) -> Report {
    let counts = json!({
        "models": configuration.models.len(),
        "cascades": configuration.cascades.len(),
        "services": configuration.services.len(),
        "data_centres": configuration.data_centres.len(),
        "customers": configuration.customers.len(),
        "exceptions": configuration.exceptions.len(),
    });
    let mut table = Table::new(["KIND", "ITEMS"]);
    for (kind, count) in counts.as_object().into_iter().flatten() {
        table.push_row([kind, count]);
    }
    Report::success(format, format!("The file is valid.\n\n{table}"), &counts)
}

/// Reports the whole configuration. [`OutputFormat::Table`] selects the YAML format of
/// configuration files.
pub fn show(format: OutputFormat, configuration: &Configuration) -> Result<Report, CliError> {
    let raw = RawConfiguration::from(configuration);
    let yaml = raw.to_yaml().map_err(CliError::Item)?;
    Ok(Report::success(format, yaml, &to_json(&raw)))
}

/// Converts a difference to JSON.
pub fn diff_json(diff: &ConfigDiff) -> Value {
    let change = |change: &hickorydoor::configuration::item_change::ItemChange| {
        let fields: Vec<Value> = change
            .fields()
            .iter()
            .map(
                |field| json!({"field": field.field, "before": field.before, "after": field.after}),
            )
            .collect();
        json!({"item": change.key.to_string(), "fields": fields})
    };
    diff.changes.iter().map(change).collect()
}

/// Reports what applying a file would change.
pub fn diff(format: OutputFormat, current: &Configuration, proposed: &Configuration) -> Report {
    let diff = ConfigDiff::between(current, proposed);
    let text = if diff.is_empty() { "No difference.\n".to_owned() } else { diff.to_string() };
    let json = json!({"revision": current.revision, "diff": diff_json(&diff)});
    Report::success(format, text, &json)
}

/// Lists the versions of all models with their states.
pub fn versions(format: OutputFormat, configuration: &Configuration) -> Report {
    let mut table = Table::new(["MODEL", "VERSION", "STATE", "SHARE"]);
    let mut list = Vec::new();
    for model in configuration.models.values() {
        for version in &model.versions {
            let share = version.canary_share;
            let canary = version.state == hickorydoor::configuration::model::VersionState::Canary;
            let shown = if canary { share.to_string() } else { "-".to_owned() };
            table.push_row([&model.id, &version.id, &version.state, &shown]);
            list.push(json!({
                "model": model.id,
                "version": version.id,
                "state": version.state,
                "canary_share": canary.then(|| share.as_f64()),
            }));
        }
    }
    Report::success(format, table.to_string(), &list.into())
}

/// Lists the exceptions with their reasons and expiry times.
pub fn exceptions(
    format: OutputFormat,
    configuration: &Configuration,
    now: hickorydoor::TimeMs,
) -> Report {
    let mut table = Table::new(["EXCEPTION", "CHANGES", "FOR", "ENDS", "REASON"]);
    let mut list = Vec::new();
    for exception in configuration.exceptions.values() {
        let raw = RawException::from(exception);
        let (kind, subject) = kind_and_subject(&raw.change);
        let in_force = exception.is_in_force(now);
        let end = match exception.ends_at_ms {
            None => "-".to_owned(),
            Some(_) if !in_force => "over".to_owned(),
            Some(end) => Timestamp(end).to_string(),
        };
        table.push_row([&exception.id, &kind, &subject, &end, &exception.reason]);
        let mut json = to_json(&raw);
        json["in_force"] = in_force.into();
        list.push(json);
    }
    Report::success(format, table.to_string(), &list.into())
}

fn kind_and_subject(change: &RawOverride) -> (&'static str, String) {
    match change {
        RawOverride::CustomerLimits { customer, .. } => ("customer-limits", customer.to_string()),
        RawOverride::InteractiveDeadline { customer, .. } => {
            ("interactive-deadline", customer.to_string())
        }
        RawOverride::RetryBudget { customer, .. } => ("retry-budget", customer.to_string()),
        RawOverride::IgnoresFencing { upstream } => ("ignores-fencing", upstream.to_string()),
        RawOverride::UpstreamOut { upstream } => ("upstream-out", upstream.to_string()),
    }
}

/// Lists changes in the given order.
pub fn history(format: OutputFormat, records: &[ChangeRecord]) -> Report {
    let mut table = Table::new(["REVISION", "MADE AT", "OPERATOR", "CHANGE", "ITEMS", "REASON"]);
    for record in records {
        table.push_row([
            &record.revision,
            &Timestamp(record.made_at_ms),
            &record.operator,
            &record.change,
            &item_summary(&record.operations),
            &record.reason,
        ]);
    }
    let json: Vec<RawChangeRecord> = records.iter().map(RawChangeRecord::from).collect();
    Report::success(format, table.to_string(), &to_json(&json))
}

/// Names the first items of a change and counts the others.
fn item_summary(operations: &[Operation]) -> String {
    let keys = operations.iter().take(MAX_NAMED_ITEMS).map(|operation| operation.key().to_string());
    let keys = keys.collect::<Vec<_>>().join(", ");
    match operations.len().saturating_sub(MAX_NAMED_ITEMS) {
        0 => keys,
        more => format!("{keys} and {more} more"),
    }
}
