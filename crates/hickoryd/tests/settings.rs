//! Tests of the settings file: the samples are valid, and each error names the file, the line, the
//! field and the allowed values.

use std::path::Path;
use std::process::Command;
use std::process::Stdio;

use hickoryd::Role;
use hickoryd::Settings;

const ENTRY: &str = include_str!("../samples/entry.yaml");
const AGENT: &str = include_str!("../samples/agent.yaml");

fn parse_error(text: &str) -> String {
    match Settings::parse(Path::new("entry.yaml"), text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Number of the first line that contains `part`, from 1; 0 if there is none.
fn line_of(text: &str, part: &str) -> usize {
    text.lines().position(|line| line.contains(part)).map_or(0, |index| index + 1)
}

#[test]
fn samples_are_accepted() {
    let entry = Settings::parse(Path::new("entry.yaml"), ENTRY);
    assert!(matches!(entry, Ok(Settings { role: Role::Entry(_), .. })), "{entry:?}");
    let agent = Settings::parse(Path::new("agent.yaml"), AGENT);
    assert!(matches!(agent, Ok(Settings { role: Role::Agent(_), .. })), "{agent:?}");
}

#[test]
fn an_unknown_field_is_rejected_with_its_line() {
    let text = ENTRY.replace("max_headers: 64", "max_heders: 64");
    let error = parse_error(&text);
    let line = line_of(&text, "max_heders");
    assert!(error.starts_with(&format!("entry.yaml:{line}: ")), "{error}");
    assert!(error.contains("unknown field `max_heders`"), "{error}");
    assert!(error.contains("max_headers"), "the message lists the allowed fields: {error}");
}

#[test]
fn a_value_of_the_wrong_type_is_rejected_with_its_line() {
    let text = ENTRY.replace("listen: 127.0.0.1:8080", "listen: localhost");
    let error = parse_error(&text);
    let line = line_of(&text, "listen: localhost");
    assert!(error.starts_with(&format!("entry.yaml:{line}: http.listen")), "{error}");
}

#[test]
fn a_value_out_of_range_is_rejected_with_its_line() {
    let text = ENTRY.replace("head_timeout_ms: 20000", "head_timeout_ms: 0");
    let line = line_of(&text, "head_timeout_ms: 0");
    let expected = format!("entry.yaml:{line}: http.head_timeout_ms: must be greater than 0");
    assert_eq!(parse_error(&text), expected);
}

#[test]
fn a_uri_with_a_path_is_rejected_with_its_line() {
    let text = ENTRY.replace("http://127.0.0.1:8500", "http://127.0.0.1:8500/v1");
    let line = line_of(&text, "host_list_uri");
    let start = format!("entry.yaml:{line}: host_list_uri: must be of the form http://HOST:PORT");
    assert!(parse_error(&text).starts_with(&start), "{}", parse_error(&text));
}

#[test]
fn an_upstream_that_serves_nothing_is_rejected() {
    let text = AGENT.replace("  engine_versions: [brine-small-1]\n", "  {}\n");
    let line = line_of(&text, "offer:");
    let expected = format!("entry.yaml:{line}: offer: must be either engine_versions or service");
    assert_eq!(parse_error(&text), expected);
}

#[test]
fn the_binary_rejects_invalid_settings_with_code_2() -> std::io::Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .args(["--settings", "/nonexistent/entry.yaml", "--check"])
        .output()?;
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("/nonexistent/entry.yaml: cannot be read"), "{message}");
    Ok(())
}

#[test]
fn the_binary_exits_with_code_0_after_sigterm() -> std::io::Result<()> {
    let file = std::env::temp_dir().join(format!("hickoryd-test-{}.yaml", std::process::id()));
    // Port 0 lets the system choose a port. No server listens at the other addresses.
    let text =
        ENTRY.replace("127.0.0.1:8080", "127.0.0.1:0").replace("127.0.0.1:9080", "127.0.0.1:0");
    std::fs::write(&file, text)?;
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()?;
    let Some(log) = daemon.stderr.take() else {
        return Err(std::io::Error::other("the standard error of the daemon is not captured"));
    };
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(log));
    let started = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("started")));
    assert!(started.is_some(), "the daemon does not log its start");
    Command::new("kill").args(["-TERM", &daemon.id().to_string()]).status()?;
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    let status = daemon.wait()?;
    std::fs::remove_file(&file)?;
    assert_eq!(status.code(), Some(0), "{rest:?}");
    assert!(rest.iter().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()));
    Ok(())
}
