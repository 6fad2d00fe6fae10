//! Entry point of the `hickoryctl` binary.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hickoryctl::Environment;
use hickorydoor::TimeMs;
use rand::TryRng;
use rand::rngs::SysRng;

fn environment() -> Result<Environment, rand::rngs::SysError> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut environment = Environment {
        variables: variables(),
        now_ms: TimeMs::new(now.as_millis() as u64),
        ..Environment::default()
    };
    SysRng.try_fill_bytes(&mut environment.key_entropy)?;
    SysRng.try_fill_bytes(&mut environment.change_entropy)?;
    Ok(environment)
}

/// Returns the environment variables whose name and value are valid UTF-8.
fn variables() -> BTreeMap<String, String> {
    let text = |(name, value): (OsString, OsString)| {
        Some((name.into_string().ok()?, value.into_string().ok()?))
    };
    std::env::vars_os().filter_map(text).collect()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let environment = match environment() {
        Ok(environment) => environment,
        Err(error) => {
            eprintln!("error: reading random bytes from the operating system failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let report = hickoryctl::run(&arguments, &environment).await;
    // Writing fails if the reader of a pipe, such as `head`, has closed it; that is not an error.
    let _written = std::io::stdout().write_all(report.output.as_bytes());
    let _written = std::io::stderr().write_all(report.errors.as_bytes());
    ExitCode::from(report.status.code())
}
