//! Parses the `exception` commands.

use getopts::Matches;
use getopts::Options;
use hickorydoor::configuration::exception::Exception;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::configuration::raw::RawException;
use hickorydoor::configuration::raw::RawOverride;
use hickorydoor::quantity::Share;

use crate::arguments::argument;
use crate::arguments::change_command;
use crate::arguments::change_options;
use crate::arguments::optional;
use crate::arguments::required;
use crate::cli_error::CliError;
use crate::command::Command;
use crate::customer_arguments::limit_options;
use crate::customer_arguments::limits;
use crate::environment::Environment;
use crate::timestamp::Timestamp;

pub fn options(options: &mut Options) {
    options.optopt("", "customer", "customer that the exception applies to", "CUSTOMER");
    options.optopt("", "upstream", "upstream that the exception applies to", "UPSTREAM");
    options.optopt(
        "",
        "deadline-ms",
        "interactive-deadline: deadline of interactive requests",
        "MS",
    );
    options.optopt("", "share", "retry-budget: share of requests that may be retried", "SHARE");
    limit_options(options);
    let expiry_help =
        "expiry (default never): YYYY-MM-DD, YYYY-MM-DDTHH:MM:SSZ or Unix milliseconds";
    options.optopt("", "ends", expiry_help, "TIME");
    change_options(options);
}

fn raw_override(matches: &Matches) -> Result<RawOverride, CliError> {
    let kind: String = argument(matches, 1, "KIND")?;
    Ok(match kind.as_str() {
        "customer-limits" => RawOverride::CustomerLimits {
            customer: required(matches, "customer")?,
            limits: limits(matches)?,
        },
        "interactive-deadline" => RawOverride::InteractiveDeadline {
            customer: required(matches, "customer")?,
            deadline_ms: required(matches, "deadline-ms")?,
        },
        "retry-budget" => RawOverride::RetryBudget {
            customer: required(matches, "customer")?,
            share: required::<Share>(matches, "share")?.as_f64(),
        },
        "ignores-fencing" => {
            RawOverride::IgnoresFencing { upstream: required(matches, "upstream")? }
        }
        "upstream-out" => RawOverride::UpstreamOut { upstream: required(matches, "upstream")? },
        _ => {
            let allowed_kinds = "must be customer-limits, interactive-deadline, retry-budget, \
                           ignores-fencing or upstream-out";
            return Err(CliError::value("KIND", allowed_kinds));
        }
    })
}

pub fn add(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    // The reason is stored with the exception too, so even a dry run needs one.
    let reason: String = required(matches, "reason")?;
    let raw = RawException {
        id: argument(matches, 0, "EXCEPTION")?,
        reason: reason.into(),
        ends_at_ms: optional::<Timestamp>(matches, "ends")?.map(|timestamp| timestamp.0),
        change: raw_override(matches)?,
    };
    let exception = Box::new(Exception::try_from(raw).map_err(CliError::Item)?);
    change_command(matches, environment, OperatorAction::AddException { exception })
}

pub fn remove(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let exception = argument(matches, 0, "EXCEPTION")?;
    change_command(matches, environment, OperatorAction::RemoveException { exception })
}
