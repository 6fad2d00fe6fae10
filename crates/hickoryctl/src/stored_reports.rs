//! Reports on what is stored.

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
use crate::moment::Moment;
use crate::report::OutputForm;
use crate::report::Report;
use crate::table::Table;

/// Items of a change that the history names in a table.
const SHOWN_ITEMS: usize = 3;

/// A value as JSON. The raw types have only string keys, so this cannot fail.
fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

/// The result of checking a file.
pub fn check(form: OutputForm, configuration: &Configuration) -> Report {
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
        table.row([kind, count]);
    }
    Report::success(form, format!("The file is valid.\n\n{table}"), &counts)
}

/// The whole configuration.
pub fn show(form: OutputForm, configuration: &Configuration) -> Result<Report, CliError> {
    let raw = RawConfiguration::from(configuration);
    let yaml = raw.to_yaml().map_err(CliError::Item)?;
    Ok(Report::success(form, yaml, &to_json(&raw)))
}

/// A difference as JSON.
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

/// What applying a file would change.
pub fn diff(form: OutputForm, current: &Configuration, wanted: &Configuration) -> Report {
    let diff = ConfigDiff::between(current, wanted);
    let text = if diff.is_empty() { "No difference.\n".to_owned() } else { diff.to_string() };
    let json = json!({"revision": current.revision, "diff": diff_json(&diff)});
    Report::success(form, text, &json)
}

/// Versions with their states.
pub fn versions(form: OutputForm, configuration: &Configuration) -> Report {
    let mut table = Table::new(["MODEL", "VERSION", "STATE", "SHARE"]);
    let mut list = Vec::new();
    for model in configuration.models.values() {
        for version in &model.versions {
            let share = version.canary_share;
            let canary = version.state == hickorydoor::configuration::model::VersionState::Canary;
            let shown = if canary { share.to_string() } else { "-".to_owned() };
            table.row([&model.id, &version.id, &version.state, &shown]);
            list.push(json!({
                "model": model.id,
                "version": version.id,
                "state": version.state,
                "canary_share": canary.then(|| share.as_f64()),
            }));
        }
    }
    Report::success(form, table.to_string(), &list.into())
}

/// Exceptions, with their reasons and ends.
pub fn exceptions(
    form: OutputForm,
    configuration: &Configuration,
    now: hickorydoor::TimeMs,
) -> Report {
    let mut table = Table::new(["EXCEPTION", "CHANGES", "FOR", "ENDS", "REASON"]);
    let mut list = Vec::new();
    for exception in configuration.exceptions.values() {
        let raw = RawException::from(exception);
        let (kind, subject) = subject(&raw.change);
        let in_force = exception.is_in_force(now);
        let end = match exception.ends_at_ms {
            None => "-".to_owned(),
            Some(_) if !in_force => "over".to_owned(),
            Some(end) => Moment(end).to_string(),
        };
        table.row([&exception.id, &kind, &subject, &end, &exception.reason]);
        let mut json = to_json(&raw);
        json["in_force"] = in_force.into();
        list.push(json);
    }
    Report::success(form, table.to_string(), &list.into())
}

fn subject(change: &RawOverride) -> (&'static str, String) {
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

/// Changes, newest first.
pub fn history(form: OutputForm, records: &[ChangeRecord]) -> Report {
    let mut table = Table::new(["REVISION", "MADE AT", "OPERATOR", "CHANGE", "ITEMS", "REASON"]);
    for record in records {
        table.row([
            &record.revision,
            &Moment(record.made_at_ms),
            &record.operator,
            &record.change,
            &items(&record.operations),
            &record.reason,
        ]);
    }
    let json: Vec<RawChangeRecord> = records.iter().map(RawChangeRecord::from).collect();
    Report::success(form, table.to_string(), &to_json(&json))
}

/// The items of a change, of which the first ones are named.
fn items(operations: &[Operation]) -> String {
    let keys = operations.iter().take(SHOWN_ITEMS).map(|operation| operation.key().to_string());
    let keys = keys.collect::<Vec<_>>().join(", ");
    match operations.len().saturating_sub(SHOWN_ITEMS) {
        0 => keys,
        more => format!("{keys} and {more} more"),
    }
}
