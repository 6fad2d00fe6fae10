//! Command-line tool with which operators manage a hickorydoor fleet.
//!
//! The commands read and change the configuration in the key-value service, query the entries and
//! agents, and sum the stored bills. [`run`] takes the arguments and the [`Environment`], and
//! returns the output and the exit status as a [`Report`], so that tests can run whole commands
//! in-process:
//!
//! ```
//! use hickoryctl::Environment;
//! use hickoryctl::ExitStatus;
//!
//! # #[tokio::main]
//! # async fn main() {
//! let environment = Environment::default();
//! let report = hickoryctl::run(&["--help".to_owned()], &environment).await;
//! assert_eq!(report.status, ExitStatus::Success);
//! assert!(report.output.starts_with("Usage: hickoryctl"));
//! # }
//! ```

mod arguments;
mod bill_report;
mod change_report;
mod cli_error;
mod command;
mod command_spec;
mod config_file;
mod customer_arguments;
mod environment;
mod exception_arguments;
mod exit_status;
mod fleet;
mod fleet_report;
mod line_finder;
mod report;
mod run;
mod store;
mod stored_reports;
mod table;
mod timestamp;

pub use cli_error::CliError;
pub use environment::Environment;
pub use exit_status::ExitStatus;
pub use report::Report;
pub use run::run;
