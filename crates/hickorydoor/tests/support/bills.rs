//! Bills in the key-value service and their check.

use std::collections::BTreeMap;

use hickorydoor::billing::ledger::Batch;
use hickorydoor::id::RequestId;
use hickorydoor::id::Serial;
use hickorydoor::store::keys;

use super::callers::Outcome;
use super::callers::RequestKind;
use super::callers::Run;
use super::fleet::Fleet;
use super::fleet::ProcessId;

/// What the key-value service holds.
#[derive(Debug, Default)]
pub struct Bills {
    /// Batches in which entries billed a request.
    pub by_entry: BTreeMap<RequestId, usize>,
    /// Batches in which agents billed attempts of a request, by agent.
    pub by_agent: BTreeMap<RequestId, Vec<String>>,
    /// Tokens of all batches of entries.
    pub entry_tokens: u64,
}

fn tokens(batch: &Batch) -> u64 {
    batch.sums.iter().map(|sum| sum.prompt_tokens.get() + sum.answer_tokens.get()).sum()
}

/// Reads all batches.
pub fn read(fleet: &Fleet) -> Bills {
    let mut bills = Bills::default();
    for pair in fleet.kv.list(keys::BILLS_PREFIX) {
        let path = pair.key.trim_start_matches(keys::BILLS_PREFIX);
        let parts: Vec<&str> = path.split('/').collect();
        let kind = parts[2];
        if kind != "batch" && kind != "recovered" {
            continue;
        }
        let batch: Batch = serde_json::from_slice(&pair.value).expect("batch");
        let request = |serial: Serial| RequestId {
            entry: parts[0].parse().expect("host"),
            incarnation: parts[1].parse().expect("incarnation"),
            serial,
        };
        if kind == "batch" {
            bills.entry_tokens += tokens(&batch);
            for serial in batch.serials.iter() {
                *bills.by_entry.entry(request(serial)).or_default() += 1;
            }
        } else {
            for serial in batch.serials.iter() {
                let agent = parts[3].to_owned();
                bills.by_agent.entry(request(serial)).or_default().push(agent);
            }
        }
    }
    bills
}

/// Every request is billed exactly once, and the sums are those of the answers.
pub fn check(fleet: &Fleet) {
    let bills = read(fleet);
    let mut expected = 0;
    for (request, batches) in &bills.by_entry {
        assert_eq!(*batches, 1, "{request} is in several batches");
        assert!(!bills.by_agent.contains_key(request), "{request} is billed by agents too");
        expected += fleet.billed[request];
    }
    assert_eq!(bills.entry_tokens, expected, "stored sums differ from the answers");
    for (request, runs) in &fleet.callers.executions {
        let billed = bills.by_entry.contains_key(request) || bills.by_agent.contains_key(request);
        assert!(
            billed || may_be_unbilled(fleet, request, runs),
            "{request} {runs:?} is not billed"
        );
    }
    check_whole_answers(fleet);
}

/// Nothing was used, or the entry and the agent were both lost.
fn may_be_unbilled(fleet: &Fleet, request: &RequestId, runs: &[Run]) -> bool {
    let unused = fleet.billed.get(request) == Some(&0);
    let excused = |run: &Run| {
        fleet.without_output.contains(&run.attempt)
            || fleet.cancelled.contains(&(run.agent, run.attempt.clone()))
            || fleet.crashed.contains(&(ProcessId::Agent(run.agent), run.incarnation))
    };
    unused || runs.iter().all(excused)
}

/// A whole answer of a model costs at least its own tokens.
fn check_whole_answers(fleet: &Fleet) {
    for exchange in fleet.callers.exchanges.values() {
        let model = matches!(exchange.kind, RequestKind::Streaming | RequestKind::NonStreaming);
        let (true, Some(Outcome::Complete), Some(request)) =
            (model, &exchange.outcome, &exchange.request)
        else {
            continue;
        };
        let own = super::callers::tokens_of(exchange.number);
        assert!(fleet.billed[request] >= own, "{exchange:?} is billed too low");
    }
}
