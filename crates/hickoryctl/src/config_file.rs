//! Reads configuration files and locates their errors.

use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::RawConfiguration;
use hickorydoor::configuration::ConfigurationError;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::item::ItemKey;
use hickorydoor::configuration::item::ItemKind;
use hickorydoor::configuration::raw::RawConfigurationError;

use crate::cli_error::CliError;
use crate::line_finder;

/// Reads and validates a configuration file.
///
/// # Errors
/// Fails if the file cannot be read or is not a valid configuration.
pub fn read(file: &str) -> Result<Configuration, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::File { file: file.into(), detail: error.to_string().into() })?;
    parse(&text).map_err(|error| locate_error(file, &text, error))
}

fn parse(text: &str) -> Result<Configuration, RawConfigurationError> {
    let configuration = Configuration::try_from(RawConfiguration::from_yaml(text)?)?;
    check_exceptions(&configuration)?;
    Ok(configuration)
}

/// Rejects exceptions for customers that do not exist.
///
/// The stored configuration may contain such exceptions, because one operator may remove a customer
/// while another adds an exception for it. In a file they are mistakes.
fn check_exceptions(configuration: &Configuration) -> Result<(), ConfigurationError> {
    for exception in configuration.exceptions.values() {
        let Some(customer) = exception.change.customer() else {
            continue;
        };
        if !configuration.customers.contains_key(customer) {
            let from = Item::Exception(exception.clone()).key();
            let to = ItemKey { kind: ItemKind::Customer, id: customer.as_str().into() };
            return Err(ConfigurationError::MissingReference { from, to });
        }
    }
    Ok(())
}

/// Adds the file and the line of the error, as far as the line is known.
fn locate_error(file: &str, text: &str, error: RawConfigurationError) -> CliError {
    let line = match &error {
        RawConfigurationError::Syntax { line, .. } => *line,
        RawConfigurationError::Field { field, .. } => line_finder::line_of_field(text, field),
        RawConfigurationError::Inconsistent(error) => {
            line_finder::line_of_inconsistency(text, error)
        }
    };
    CliError::Configuration { file: CompactString::from(file), line, error }
}
