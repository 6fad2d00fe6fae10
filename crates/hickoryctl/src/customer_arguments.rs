//! Options and arguments of the customer commands.

use getopts::Matches;
use getopts::Options;
use hickorydoor::KeyDigest;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::configuration::raw::RawCustomer;
use hickorydoor::configuration::raw::RawCustomerLimits;

use crate::arguments::argument;
use crate::arguments::change;
use crate::arguments::change_options;
use crate::arguments::change_with_key;
use crate::arguments::optional;
use crate::arguments::repeated;
use crate::cli_error::CliError;
use crate::command::Command;
use crate::environment::Environment;

const DEFAULT_WEIGHT: u32 = 10;
const MIN_DIGEST_DIGITS: usize = 8;

pub fn options(options: &mut Options) {
    options.optmulti("", "model", "a model that it may use; may be repeated", "MODEL");
    options.optmulti("", "allow-version", "a version that it may use (default all)", "VERSION");
    options.optmulti("", "cascade", "a cascade that it may use", "CASCADE");
    options.optmulti("", "service", "a plain service that it may call", "SERVICE");
    options.optopt("", "weight", "weight when capacity is short (default 10)", "NUMBER");
    limit_options(options);
    change_options(options);
}

/// Options of a customer's limits.
pub fn limit_options(options: &mut Options) {
    options.optopt("", "requests-per-s", "limit of requests a second", "RATE");
    options.optopt("", "concurrent-requests", "limit of requests at the same time", "COUNT");
    options.optopt("", "tokens-per-s", "limit of tokens a second", "RATE");
}

/// A customer's limits.
pub fn limits(matches: &Matches) -> Result<RawCustomerLimits, CliError> {
    Ok(RawCustomerLimits {
        requests_per_s: optional(matches, "requests-per-s")?,
        concurrent_requests: optional(matches, "concurrent-requests")?,
        tokens_per_s: optional(matches, "tokens-per-s")?,
    })
}

pub fn create(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let key = environment.api_key();
    let raw = RawCustomer {
        id: argument(matches, 0, "CUSTOMER")?,
        key_digests: vec![KeyDigest::of_key(&key)],
        models: repeated(matches, "model")?,
        versions: repeated(matches, "allow-version")?,
        cascades: repeated(matches, "cascade")?,
        services: repeated(matches, "service")?,
        limits: limits(matches)?,
        weight: optional(matches, "weight")?.unwrap_or(DEFAULT_WEIGHT),
    };
    let customer = Box::new(Customer::try_from(raw).map_err(CliError::Item)?);
    let action = OperatorAction::CreateCustomer { customer };
    change_with_key(matches, environment, action, Some(key))
}

pub fn rotate_key(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let key = environment.api_key();
    let customer = argument(matches, 0, "CUSTOMER")?;
    let action = OperatorAction::AddKey { customer, digest: KeyDigest::of_key(&key) };
    change_with_key(matches, environment, action, Some(key))
}

pub fn revoke_key(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let customer = argument(matches, 0, "CUSTOMER")?;
    let digest_prefix: String = argument(matches, 1, "DIGEST")?;
    let digits = digest_prefix.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digest_prefix.len() < MIN_DIGEST_DIGITS || !digits {
        return Err(CliError::value("DIGEST", "must be at least 8 hexadecimal digits"));
    }
    change(matches, environment, OperatorAction::RevokeKey { customer, digest_prefix })
}
