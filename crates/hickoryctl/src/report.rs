//! Output and exit status of a command.

use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;

/// Output format, selected by `--output`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text tables.
    #[default]
    Table,
    /// Indented JSON, also for errors that occur after the options have been parsed.
    Json,
}

/// Output and exit status of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Text for the standard output.
    pub output: String,
    /// Text for the standard error stream.
    pub errors: String,
    /// Exit status of the process.
    pub status: ExitStatus,
}

impl Report {
    /// Report of a successful command, with `text` or `json` as its output.
    pub fn success(format: OutputFormat, text: impl Into<String>, json: &Value) -> Self {
        Self::with_status(format, text, json, ExitStatus::Success)
    }

    /// Report with `text` or `json` as its output, depending on the format.
    pub fn with_status(
        format: OutputFormat,
        text: impl Into<String>,
        json: &Value,
        status: ExitStatus,
    ) -> Self {
        let output = match format {
            OutputFormat::Table => text.into(),
            OutputFormat::Json => format!("{json:#}\n"),
        };
        Self { output, errors: String::new(), status }
    }

    /// Report of a failed command, which prints only the error.
    pub fn failure(format: OutputFormat, error: &CliError) -> Self {
        let status = error.status();
        let message = error.to_string();
        let errors = match format {
            OutputFormat::Table => format!("error: {message}\n"),
            OutputFormat::Json => {
                let error = json!({"error": {"kind": status.name(), "message": message}});
                format!("{error:#}\n")
            }
        };
        Self { output: String::new(), errors, status }
    }
}
