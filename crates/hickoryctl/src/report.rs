//! What the tool prints and how it exits.

use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputForm {
    /// Text for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

/// What the tool prints and how it exits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Printed to the standard output.
    pub output: String,
    /// Printed to the standard error.
    pub errors: String,
    /// How the tool exits.
    pub status: ExitStatus,
}

impl Report {
    /// A success with output in both forms, of which one is kept.
    pub fn success(form: OutputForm, text: impl Into<String>, json: &Value) -> Self {
        Self::with_status(form, text, json, ExitStatus::Success)
    }

    /// Output with another status.
    pub fn with_status(
        form: OutputForm,
        text: impl Into<String>,
        json: &Value,
        status: ExitStatus,
    ) -> Self {
        let output = match form {
            OutputForm::Table => text.into(),
            OutputForm::Json => format!("{json:#}\n"),
        };
        Self { output, errors: String::new(), status }
    }

    /// A failure before anything was printed.
    pub fn failure(form: OutputForm, error: &CliError) -> Self {
        let status = error.status();
        let message = error.to_string();
        let errors = match form {
            OutputForm::Table => format!("error: {message}\n"),
            OutputForm::Json => {
                let error = json!({"error": {"kind": status.name(), "message": message}});
                format!("{error:#}\n")
            }
        };
        Self { output: String::new(), errors, status }
    }
}
