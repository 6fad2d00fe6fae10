//! Validation of configuration files.

mod support;

use hickoryctl::ExitStatus;
use support::CONFIGURATION;
use support::TestFile;
use support::environment;
use support::run_in;

async fn check(name: &str, text: &str) -> (ExitStatus, String) {
    let file = TestFile::new(name, text);
    let report = run_in(&environment(), &["check", file.path()]).await;
    let shown = format!("{}{}", report.output, report.errors);
    (report.status, shown.replace(file.path(), "FILE"))
}

// Guards against errors that lack the file, the line, the field or the allowed values.
#[tokio::test]
async fn faults_are_located() {
    let mut shown = String::new();
    for (index, (from, to)) in [
        ("state: active", "state: fine"),
        ("state: active", "state: canary"),
        ("state: active", "state: canary, canary_share: 1.5"),
        ("id: brine-1", "id: brine 1"),
        ("  - {id: brine-1, state: active}", "    []"),
        ("models: [brine]", "models: [brine]\n  weight: 0"),
        ("models: [brine]", "models: [brine]\n  limits:\n    tokens_per_s: -1"),
        ("models: [brine]", "models: [salt]"),
        ("models: [brine]", "versions: [brine-9]"),
        ("key_digests: []", "key_digests: [abc]"),
        ("key_digests: []", "keys: []"),
        ("customers:", "defaults:\n  retry_budget: 2\ncustomers:"),
        ("customers:", "cascades:\n- {id: brine, steps: [brine], release_score: 0.5}\ncustomers:"),
        ("customers:", "cascades:\n- {id: two, steps: [brine], release_score: 5}\ncustomers:"),
        (
            "customers:",
            "exceptions:\n- id: e1\n  reason: r\n  change: {kind: retry_budget, customer: bodega, share: 0}\ncustomers:",
        ),
        ("- {id: san-blas-1, region: la-rioja}", "- {id: arauco-1, region: la-rioja}"),
        ("models:", "models"),
    ]
    .into_iter()
    .enumerate()
    {
        let text = CONFIGURATION.replacen(from, to, 1);
        let (status, errors) = check(&format!("fault-{index}"), &text).await;
        assert_eq!(status, ExitStatus::Input, "{to}: {errors}");
        shown = format!("{shown}{from:?} -> {to:?}\n    {errors}");
    }
    insta::assert_snapshot!(shown);
}

// Guards against rejecting a valid file, and against accepting a missing one.
#[tokio::test]
async fn valid_and_missing_files_are_told_apart() {
    let (status, shown) = check("valid", CONFIGURATION).await;
    assert_eq!(status, ExitStatus::Success, "{shown}");
    insta::assert_snapshot!(shown);
    let report = run_in(&environment(), &["check", "/nonexistent.yaml", "-o", "json"]).await;
    assert_eq!(report.status, ExitStatus::Input);
    insta::assert_snapshot!("missing", report.errors);
}
