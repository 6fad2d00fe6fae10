//! Help texts, and errors for invalid command lines.

mod support;

use hickoryctl::ExitStatus;
use support::environment;
use support::run_in;

const COMMANDS: [&str; 22] = [
    "check",
    "apply",
    "show",
    "diff",
    "history",
    "customer create",
    "customer rotate-key",
    "customer revoke-key",
    "version list",
    "version start",
    "version pause",
    "version resume",
    "version promote",
    "version withdraw",
    "datacentre out",
    "datacentre in",
    "exception add",
    "exception remove",
    "exception list",
    "status",
    "bills",
    "wait",
];

// Guards against commands without help, and against unintended changes of the help.
#[tokio::test]
async fn every_command_has_help() {
    let overview = run_in(&environment(), &["--help"]).await.output;
    insta::assert_snapshot!("overview", overview);
    for command in COMMANDS {
        let mut arguments: Vec<&str> = command.split(' ').collect();
        assert!(overview.contains(&format!("\n    {command}")), "{command}");
        arguments.push("--help");
        let report = run_in(&environment(), &arguments).await;
        assert_eq!(report.status, ExitStatus::Success);
        assert!(report.output.starts_with(&format!("Usage: hickoryctl {command}")));
    }
    for (name, arguments) in [
        ("version_start", ["version", "start", "-h"]),
        ("exception_add", ["exception", "add", "-h"]),
    ] {
        insta::assert_snapshot!(name, run_in(&environment(), &arguments).await.output);
    }
}

// Guards against errors that do not name the invalid argument and the allowed values.
#[tokio::test]
async fn wrong_command_lines_are_explained() {
    let mut errors = String::new();
    for line in [
        "frob now",
        "version start brine",
        "version start brine brine-2 -r x",
        "version start brine brine-2 -r x --share 140%",
        "version start br/ine brine-2 -r x --share 1%",
        "version promote brine brine-2",
        "customer revoke-key almazara 12x -r x",
        "exception add e1 hall-pass -r x",
        "exception add e1 retry-budget -r x --customer almazara",
        "exception add e1 upstream-out -r x --upstream u1 --ends tomorrow",
        "exception add e1 upstream-out -r x --upstream u1 --ends 2026-02-29",
        "show",
        "show --kv https://127.0.0.1:2379",
        "status --host here",
        "wait soon",
        "show --output xml",
        "show --frob",
    ] {
        let arguments: Vec<&str> = line.split(' ').collect();
        let report = run_in(&environment(), &arguments).await;
        assert_eq!(report.status, ExitStatus::Usage, "{line}");
        errors = format!("{errors}$ hickoryctl {line}\n{}", report.errors);
    }
    insta::assert_snapshot!(errors);
}
