//! Configuration files.

use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::RawConfiguration;
use hickorydoor::raw_configuration::RawConfigurationError;

use crate::cli_error::CliError;
use crate::line_finder;

/// Reads and checks a configuration file.
///
/// # Errors
/// Fails if the file cannot be read or is not a valid configuration.
pub fn read(file: &str) -> Result<Configuration, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::File { file: file.into(), detail: error.to_string().into() })?;
    parse(&text).map_err(|error| refused(file, &text, error))
}

fn parse(text: &str) -> Result<Configuration, RawConfigurationError> {
    Configuration::try_from(RawConfiguration::from_yaml(text)?)
}

fn refused(file: &str, text: &str, error: RawConfigurationError) -> CliError {
    let line = match &error {
        RawConfigurationError::Syntax { line, .. } => *line,
        RawConfigurationError::Field { field, .. } => line_finder::line_of_field(text, field),
        RawConfigurationError::Inconsistent(error) => line_finder::line_of_fault(text, error),
    };
    CliError::Configuration { file: CompactString::from(file), line, error }
}
