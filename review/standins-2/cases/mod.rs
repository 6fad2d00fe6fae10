//! The cases of the review.

mod fatal_part;
mod last_tenant;
mod refused_watchers;

use std::error::Error;

use crate::Setting;
use crate::Verdict;

/// Runs a case.
///
/// # Errors
/// Fails if the case could not run.
pub fn run(case: &str, setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    match case {
        "fatal-part-in-long-prompt" => fatal_part::long_prompt(setting),
        "fatal-part-at-quiet-service" => fatal_part::quiet_service(setting),
        "refused-watchers" => refused_watchers::run(setting),
        "last-tenant" => last_tenant::run(setting),
        _ => Err(format!("there is no case {case}").into()),
    }
}
