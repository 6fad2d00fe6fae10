//! Sample configurations, and the formats in which configurations are stored and printed.

mod support;

use hickorydoor::Configuration;
use hickorydoor::RawConfiguration;
use support::Tool;

const SAMPLES: [&str; 2] = ["camara.yaml", "skladacie-sedadla.yaml"];

fn path(sample: &str) -> String {
    format!("{}/../../samples/{sample}", env!("CARGO_MANIFEST_DIR"))
}

fn read(sample: &str) -> Configuration {
    let text = std::fs::read_to_string(path(sample)).expect("the sample exists");
    let raw = RawConfiguration::from_yaml(&text).expect("the sample is YAML");
    Configuration::try_from(raw).expect("the sample is valid")
}

// Guards against samples that are not valid in the current format.
#[tokio::test]
async fn samples_are_applied_and_shown_unchanged() {
    for sample in SAMPLES {
        let mut tool = Tool::start().await;
        let checked = tool.ok(&["check", &path(sample)]).await;
        assert!(checked.contains("customers     10"), "{checked}");
        assert!(checked.contains("data_centres  3"), "{checked}");
        tool.ok(&["apply", &path(sample), "-r", "first"]).await;
        let raw = RawConfiguration::from_yaml(&tool.ok(&["show"]).await).expect("valid YAML");
        let mut shown = Configuration::try_from(raw).expect("a valid configuration");
        shown.revision = hickorydoor::id::Revision::default();
        assert_eq!(shown, read(sample));
        assert_eq!(tool.ok(&["diff", &path(sample)]).await, "No difference.\n");
    }
}

// Guards against samples that allow retries of calls that must run at most once.
#[test]
fn only_reads_are_repeatable() {
    for sample in SAMPLES {
        for service in read(sample).services.values() {
            assert!(service.is_repeatable("GET"));
            assert!(!service.is_repeatable("POST"));
        }
    }
}

// Guards against changes of the stored or printed format, which older processes and files rely on.
#[tokio::test]
async fn the_formats_are_stable() {
    let mut tool = Tool::start().await;
    tool.ok(&["apply", &path("camara.yaml"), "-r", "first"]).await;
    let mut stored = String::new();
    let mut last_kind = String::new();
    for key in tool.kv.keys() {
        let kind = key.rsplit_once('/').map_or("", |(kind, _)| kind).to_owned();
        // One item of each kind suffices.
        if kind == last_kind || key.starts_with("/hickorydoor/changes/") {
            continue;
        }
        let value = tool.kv.get(&key).expect("the key exists");
        stored = format!("{stored}{key}\n    {}\n", String::from_utf8_lossy(&value));
        last_kind = kind;
    }
    insta::assert_snapshot!("stored", stored);
    insta::assert_snapshot!("shown", tool.ok(&["show"]).await);
    tool.ok(&["exception", "remove", "harvest-2027", "-r", "over"]).await;
    let record = tool.kv.get("/hickorydoor/changes/00000000000000000002").expect("a record");
    insta::assert_snapshot!("record", String::from_utf8_lossy(&record));
}

// Guards against customers who may use a cascade but not the models of its steps.
#[test]
fn customers_may_use_the_steps_of_their_cascades() {
    for sample in SAMPLES {
        let configuration = read(sample);
        for customer in configuration.customers.values() {
            let steps = customer.cascades.iter().flat_map(|id| &configuration.cascades[id].steps);
            assert!(steps.clone().all(|model| customer.allows_model(model)), "{}", customer.id);
        }
    }
}
