//! The tool together with running entries and agents.

#[path = "../../hickoryd/tests/fleet/mod.rs"]
mod fleet;
mod support;

use std::time::Duration;

use fleet::AnyError;
use fleet::Fleet;
use hickory_standins::EngineSettings;
use hickoryctl::Environment;
use hickoryctl::ExitStatus;
use hickoryd::AgentProcess;
use hickoryd::EntryProcess;

const CHAT: &str = r#"{"model":"MODEL","messages":[{"role":"user","content":"hello"}]}"#;
/// Maximum number of queries for the bills, 100 ms apart. Entries store bills every 200 ms.
const MAX_BILL_QUERIES: u32 = 100;

fn environment(fleet: &Fleet) -> Environment {
    let mut environment = support::environment();
    let entries = fleet.entries.iter().filter_map(EntryProcess::operators_address);
    let agents = fleet.agents.iter().filter_map(AgentProcess::operators_address);
    let hosts: Vec<String> = entries.chain(agents).map(|address| address.to_string()).collect();
    for (name, value) in [
        ("HICKORY_KV", fleet.kv.server().url()),
        ("HICKORY_HOSTS", hosts.join(",")),
        ("HICKORY_OPERATOR_KEY", fleet::OPERATOR_KEY.to_owned()),
    ] {
        environment.variables.insert(name.to_owned(), value);
    }
    environment
}

/// Runs a command line that is expected to succeed.
async fn ok(environment: &mut Environment, line: &str) -> String {
    environment.change_entropy[0] += 1;
    let arguments: Vec<&str> = line.split(' ').collect();
    let report = support::run_in(environment, &arguments).await;
    assert_eq!(report.status, ExitStatus::Success, "{line}: {report:?}");
    report.output
}

async fn chat(fleet: &Fleet, key: &str, model: &str) -> Result<(u16, String), AnyError> {
    let url = format!("{}/v1/chat/completions", fleet.url(1));
    let body = CHAT.replace("MODEL", model);
    let answer = fleet::read_response(fleet::send("POST", &url, key, &[], &body).await?).await?;
    Ok((answer.status, answer.header("x-hickorydoor-run").to_owned()))
}

// Guards against a tool and a daemon that interpret the configuration, the status or the bills
// differently.
#[tokio::test]
async fn changes_take_effect_at_the_daemon() -> Result<(), AnyError> {
    let fleet = Fleet::start(2, EngineSettings::new(["brine-small-1"])).await?;
    let mut environment = environment(&fleet);
    let status = ok(&mut environment, "status").await;
    assert!(status.contains("Hosts: 5, lagging or unknown: 0"), "{status}");
    assert!(status.contains("Links to agents: 6, open: 6, draining: 0"), "{status}");

    let created = ok(&mut environment, "customer create almazara --model brine-small -r new").await;
    let key = created.lines().find_map(|line| line.strip_prefix("key: ")).expect("a key");
    ok(&mut environment, "wait 2").await;
    assert_eq!(chat(&fleet, key, "brine-small").await?.0, 200);

    fleet.kv.drop_responses_after(1, 1);
    ok(&mut environment, "datacentre out arauco-1 --force -r work").await;
    ok(&mut environment, "wait 3").await;
    assert_eq!(chat(&fleet, key, "brine-small").await?, (503, "not-run".to_owned()));
    ok(&mut environment, "datacentre in arauco-1 -r done").await;
    ok(&mut environment, "wait 4").await;
    assert_eq!(chat(&fleet, key, "brine-small").await?.0, 200);

    let mut bills = String::new();
    for _ in 0..MAX_BILL_QUERIES {
        bills = ok(&mut environment, "bills --customer almazara -o json").await;
        if bills.contains(r#""requests": 2"#) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(bills.contains(r#""requests": 2"#), "{bills}");

    fleet.kv.server().set_down(true).await?;
    let words = ["datacentre", "out", "arauco-1", "-r", "x", "--timeout", "0.1"];
    let refused = support::run_in(&environment, &words).await;
    assert_eq!(refused.status, ExitStatus::Unavailable, "{refused:?}");
    ok(&mut environment, "wait 4").await;
    assert_eq!(chat(&fleet, key, "brine-small").await?.0, 200);
    Ok(())
}
