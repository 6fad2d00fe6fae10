//! Parses the `customer` commands, and the limits that `exception add` shares with them.

use getopts::Matches;
use getopts::Options;
use hickorydoor::KeyDigest;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::configuration::raw::RawCustomer;
use hickorydoor::configuration::raw::RawCustomerLimits;

use crate::arguments::argument;
use crate::arguments::change_command;
use crate::arguments::change_command_with_key;
use crate::arguments::change_options;
use crate::arguments::optional;
use crate::arguments::repeated;
use crate::cli_error::CliError;
use crate::command::Command;
use crate::environment::Environment;

const DEFAULT_WEIGHT: u32 = 10;
const MIN_DIGEST_DIGITS: usize = 8;

pub fn options(options: &mut Options) {
    options.optmulti("", "model", "model that the customer may use; may be repeated", "MODEL");
    options.optmulti(
        "",
        "allow-version",
        "version that the customer may use (default all)",
        "VERSION",
    );
    options.optmulti("", "cascade", "cascade that the customer may use", "CASCADE");
    options.optmulti("", "service", "plain service that the customer may call", "SERVICE");
    options.optopt("", "weight", "weight when capacity is short (default 10)", "NUMBER");
    limit_options(options);
    change_options(options);
}

pub fn limit_options(options: &mut Options) {
    options.optopt("", "requests-per-s", "maximum number of requests per second", "RATE");
    options.optopt("", "concurrent-requests", "maximum number of concurrent requests", "COUNT");
    options.optopt("", "tokens-per-s", "maximum number of tokens per second", "RATE");
}

/// Parses the limits; one that is not given is left unset.
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
    change_command_with_key(matches, environment, action, Some(key))
}

pub fn rotate_key(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let key = environment.api_key();
    let customer = argument(matches, 0, "CUSTOMER")?;
    let action = OperatorAction::AddKey { customer, digest: KeyDigest::of_key(&key) };
    change_command_with_key(matches, environment, action, Some(key))
}

pub fn revoke_key(matches: &Matches, environment: &Environment) -> Result<Command, CliError> {
    let customer = argument(matches, 0, "CUSTOMER")?;
    let digest_prefix: String = argument(matches, 1, "DIGEST")?;
    let is_hexadecimal =
        digest_prefix.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digest_prefix.len() < MIN_DIGEST_DIGITS || !is_hexadecimal {
        return Err(CliError::value("DIGEST", "must be at least 8 hexadecimal digits"));
    }
    change_command(matches, environment, OperatorAction::RevokeKey { customer, digest_prefix })
}
