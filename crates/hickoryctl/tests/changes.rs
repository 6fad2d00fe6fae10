//! Configuration changes stored in the key-value stand-in, with injected faults.

mod support;

use hickoryctl::ExitStatus;
use hickorydoor::KeyDigest;
use support::Tool;

// Guards against rollout commands whose stored effect differs from their output.
#[tokio::test]
async fn a_rollout_passes_through_its_states() {
    let mut tool = Tool::configured("rollout").await;
    let start = ["version", "start", "brine", "brine-2", "--share", "5%", "-r", "new weights"];
    let dry: Vec<&str> = start.iter().copied().chain(["--dry-run"]).collect();
    insta::assert_snapshot!("dry_run", tool.ok(&dry).await);
    for line in [
        &start[..],
        &["version", "pause", "brine", "brine-2", "-r", "check_complaints"],
        &["version", "resume", "brine", "brine-2", "--share", "10%", "-r", "fine"],
        &["version", "promote", "brine", "brine-2", "-r", "fine"],
        &["version", "promote", "brine", "brine-2", "-r", "fine"],
        &["version", "withdraw", "brine", "brine-1", "-r", "old"],
    ] {
        tool.ok(line).await;
    }
    let refused = tool.run(&["version", "withdraw", "brine", "brine-2", "-r", "bad"]).await;
    assert_eq!(refused.status, ExitStatus::Input);
    insta::assert_snapshot!("last_version", refused.output);
    tool.ok(&["version", "withdraw", "brine", "brine-2", "--force", "-r", "bad"]).await;
    insta::assert_snapshot!("versions", tool.ok(&["version", "list"]).await);
    insta::assert_snapshot!("versions_json", tool.ok(&["version", "list", "-o", "json"]).await);
    insta::assert_snapshot!("history", tool.ok(&["history", "--limit", "4"]).await);
    let change = format!("ch-{}", "03".repeat(16));
    insta::assert_snapshot!(
        "history_json",
        tool.ok(&["history", "--change", &change, "-o", "json"]).await
    );
}

// Guards against API keys that are printed but not stored, or stored but not printed.
#[tokio::test]
async fn keys_are_printed_once_and_stored_as_digests() {
    let mut tool = Tool::configured("keys").await;
    let created = tool
        .ok(&["customer", "create", "bodega", "--model", "brine", "--weight", "5", "-r", "new"])
        .await;
    let key = |output: &str| {
        let line = output.lines().find_map(|line| line.strip_prefix("key: "));
        KeyDigest::of_key(line.expect("a key is printed")).to_string()
    };
    let first = key(&created);
    let second = key(&tool.ok(&["customer", "rotate-key", "bodega", "-r", "yearly"]).await);
    let shown = tool.ok(&["show"]).await;
    assert!(shown.contains(&first) && shown.contains(&second));
    tool.ok(&["customer", "revoke-key", "bodega", &first[..12], "-r", "yearly"]).await;
    insta::assert_snapshot!("configuration", tool.ok(&["show"]).await);
    let again = tool.run(&["customer", "revoke-key", "bodega", &first[..12], "-r", "x"]).await;
    assert_eq!(again.status, ExitStatus::Input);
    let twice = tool.run(&["customer", "create", "bodega", "-r", "x", "-o", "json"]).await;
    assert_eq!(twice.status, ExitStatus::Input);
    insta::assert_snapshot!("customer_exists", twice.output);
}

// Guards against exceptions that are listed without their reason or expiry.
#[tokio::test]
async fn exceptions_and_data_centres_can_be_changed() {
    let mut tool = Tool::configured("exceptions").await;
    tool.ok(&[
        "exception",
        "add",
        "harvest",
        "customer-limits",
        "--customer",
        "almazara",
        "--requests-per-s",
        "40",
        "--ends",
        "2026-12-31",
        "-r",
        "olive harvest",
    ])
    .await;
    tool.ok(&["exception", "add", "crane", "upstream-out", "--upstream", "u7", "-r", "crane work"])
        .await;
    let unknown_customer =
        ["exception", "add", "e", "retry-budget", "--customer", "bodega", "--share", "0"];
    let unknown_customer: Vec<&str> = unknown_customer.iter().copied().chain(["-r", "x"]).collect();
    let missing = tool.run(&unknown_customer).await;
    assert_eq!(missing.output, "not accepted: customer bodega does not exist\n");
    insta::assert_snapshot!("exceptions", tool.ok(&["exception", "list"]).await);
    tool.ok(&["exception", "remove", "crane", "-r", "done"]).await;
    tool.ok(&["datacentre", "out", "arauco-1", "-r", "power work"]).await;
    let last = tool.run(&["datacentre", "out", "san-blas-1", "-r", "x"]).await;
    assert_eq!(last.status, ExitStatus::Input);
    insta::assert_snapshot!("last_data_centre", last.output);
    let unchanged = tool.ok(&["datacentre", "out", "arauco-1", "-r", "x"]).await;
    assert_eq!(unchanged, "unchanged: revision 5 has this already\n");
    let file = support::TestFile::new("exceptions-diff", support::CONFIGURATION);
    insta::assert_snapshot!("diff", tool.ok(&["diff", file.path()]).await);
    insta::assert_snapshot!("diff_json", tool.ok(&["diff", file.path(), "-o", "json"]).await);
    tool.ok(&["datacentre", "in", "arauco-1", "-r", "power is back"]).await;
}

// Guards against applying a file that reverts changes made after the file was written.
#[tokio::test]
async fn a_stale_file_is_a_conflict() {
    let mut tool = Tool::configured("stale").await;
    let file = support::TestFile::new("stale-show", &tool.ok(&["show"]).await);
    tool.ok(&["datacentre", "out", "arauco-1", "-r", "power work"]).await;
    let report = tool.run(&["apply", file.path(), "-r", "x"]).await;
    assert_eq!(report.status, ExitStatus::Conflict);
    insta::assert_snapshot!("stale_file", report.output);
}

// Guards against a lost response that causes a second change or a wrong report of the outcome.
#[tokio::test]
async fn a_lost_response_ends_in_a_definite_outcome() {
    let mut tool = Tool::configured("lost").await;
    // A change first reads the configuration; its second call is the write.
    for (lost, revision) in [(1, 2), (2, 3), (3, 4)] {
        tool.kv.drop_responses_after(1, lost);
        let arguments = ["customer", "rotate-key", "almazara", "-r", "yearly"];
        let output = tool.ok(&arguments).await;
        assert!(output.starts_with(&format!("accepted as revision {revision}\n")), "{output}");
    }
    let history = tool.ok(&["history"]).await;
    assert_eq!(history.lines().count(), 5, "{history}");
}

// Guards against an outage that is reported as an accepted change or as an unknown outcome.
#[tokio::test]
async fn outages_have_their_own_exit_codes() {
    let mut tool = Tool::configured("outage").await;
    tool.kv.reject_calls(1);
    let change = ["datacentre", "out", "arauco-1", "-r", "x", "--timeout", "0.1"];
    let refused = tool.run(&change).await;
    assert_eq!(refused.status, ExitStatus::Unavailable);
    tool.kv.server().set_down(true).await.expect("the port closes");
    let down = tool.run(&change).await;
    assert_eq!(down.status, ExitStatus::Unavailable);
    insta::assert_snapshot!("unavailable", down.output);
    let read = tool.run(&["show", "--timeout", "0.1", "-o", "json"]).await;
    assert_eq!(read.status, ExitStatus::Unavailable);
    tool.kv.server().set_down(false).await.expect("the port opens");
    assert_eq!(tool.ok(&["history"]).await.lines().count(), 2);
}

// Guards against withholding a new API key when it is unknown whether the key was stored.
#[tokio::test]
async fn an_unknown_outcome_prints_the_change_and_the_key() {
    let mut tool = Tool::configured("unknown").await;
    let arguments = ["customer", "rotate-key", "almazara", "-r", "x", "--timeout", "0"];
    tool.kv.drop_responses_after(1, u32::MAX);
    let report = tool.run(&arguments).await;
    assert_eq!(report.status, ExitStatus::Unknown);
    insta::assert_snapshot!("unknown", report.output);
    tool.kv.drop_responses(0);
    let change = format!("ch-{}", "02".repeat(16));
    let history = tool.ok(&["history", "--change", &change]).await;
    assert_eq!(history.lines().count(), 2, "{history}");
}

// Guards against concurrent changes that overwrite each other or report a wrong outcome, also when
// responses are lost.
#[tokio::test]
async fn concurrent_operators_get_correct_outcomes() {
    let tool = Tool::configured("race").await;
    tool.kv.drop_responses_after(3, 6);
    let runs = (10..22_u8).map(|number| {
        let mut environment = support::environment();
        environment.variables.insert("HICKORY_KV".to_owned(), tool.kv.server().url());
        environment.change_entropy = [number; 16];
        let name = format!("exception-{number}");
        async move {
            // Two operators share each name.
            let id = format!("e{}", number / 2);
            let words =
                ["exception", "add", &id, "upstream-out", "--upstream", &name, "-r", "a race"];
            support::run_in(&environment, &words).await.status
        }
    });
    let statuses = futures_util::future::join_all(runs).await;
    let accepted = statuses.iter().filter(|status| **status == ExitStatus::Success).count();
    assert_eq!(accepted, 6, "{statuses:?}");
    let is_definite =
        |status| [ExitStatus::Success, ExitStatus::Conflict, ExitStatus::Input].contains(status);
    assert!(statuses.iter().all(is_definite), "{statuses:?}");
    let records = tool.kv.keys().into_iter().filter(|key| key.contains("/changes/"));
    assert_eq!(records.count(), 1 + accepted);
    let stored = tool.kv.keys().into_iter().filter(|key| key.contains("/exception/"));
    assert_eq!(stored.count(), accepted);
}
