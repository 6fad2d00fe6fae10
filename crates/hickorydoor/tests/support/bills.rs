//! Reads the bills in the key-value service and checks that every request is billed once.

use std::collections::BTreeMap;

use hickorydoor::billing::ledger::Batch;
use hickorydoor::id::RequestId;
use hickorydoor::id::Serial;
use hickorydoor::store::keys;

use super::callers::Execution;
use super::callers::Outcome;
use super::callers::RequestKind;
use super::fleet::Fleet;
use super::fleet::ProcessId;

/// Bills that are stored in the key-value service.
#[derive(Debug, Default)]
pub struct Bills {
    /// Number of batches in which entries billed a request.
    pub by_entry: BTreeMap<RequestId, usize>,
    /// Agents that billed attempts of a request, once for each batch.
    pub by_agent: BTreeMap<RequestId, Vec<String>>,
    /// Sum of the tokens in all batches of entries.
    pub entry_tokens: u64,
}

fn tokens(batch: &Batch) -> u64 {
    batch.sums.iter().map(|sum| sum.prompt_tokens.get() + sum.answer_tokens.get()).sum()
}

pub fn read(fleet: &Fleet) -> Bills {
    let mut bills = Bills::default();
    for pair in fleet.kv.list(keys::BILLS_PREFIX) {
        let path = pair.key.trim_start_matches(keys::BILLS_PREFIX);
        let parts: Vec<&str> = path.split('/').collect();
        let kind = parts[2];
        if kind != "batch" && kind != "recovered" {
            continue;
        }
        let batch: Batch = serde_json::from_slice(&pair.value).expect("a valid batch");
        let request = |serial: Serial| RequestId {
            entry: parts[0].parse().expect("a valid host id"),
            incarnation: parts[1].parse().expect("a valid incarnation"),
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

/// Checks that every executed request is billed, unless it may be unbilled, that no request is billed
/// twice, and that the stored sums are those of the answers.
pub fn check(fleet: &Fleet) {
    let bills = read(fleet);
    let mut expected = 0;
    for (request, batches) in &bills.by_entry {
        assert_eq!(*batches, 1, "request {request} is billed in several batches");
        assert!(
            !bills.by_agent.contains_key(request),
            "request {request} is billed by agents, too"
        );
        expected += fleet.billed[request];
    }
    assert_eq!(bills.entry_tokens, expected, "stored sums differ from the answers");
    for (request, executions) in &fleet.callers.executions {
        let billed = bills.by_entry.contains_key(request) || bills.by_agent.contains_key(request);
        assert!(
            billed || may_be_unbilled(fleet, request, executions),
            "request {request} with executions {executions:?} is not billed"
        );
    }
    check_complete_answers(fleet);
}

/// A request may be unbilled if it used no tokens, or if each of its executions ended without output,
/// was cancelled or was lost in a crash of its agent.
fn may_be_unbilled(fleet: &Fleet, request: &RequestId, executions: &[Execution]) -> bool {
    let unused = fleet.billed.get(request) == Some(&0);
    let may_lack_bill = |execution: &Execution| {
        fleet.attempts_without_output.contains(&execution.attempt)
            || fleet.cancelled_attempts.contains(&(execution.agent, execution.attempt.clone()))
            || fleet
                .crashed_incarnations
                .contains(&(ProcessId::Agent(execution.agent), execution.incarnation))
    };
    unused || executions.iter().all(may_lack_bill)
}

/// Checks that each complete answer of a model is billed with at least the tokens of its prompt and of
/// the answer.
fn check_complete_answers(fleet: &Fleet) {
    for exchange in fleet.callers.exchanges.values() {
        let model = matches!(exchange.kind, RequestKind::Streaming | RequestKind::NonStreaming);
        let (true, Some(Outcome::Complete), Some(request)) =
            (model, &exchange.outcome, &exchange.request)
        else {
            continue;
        };
        let expected_tokens = super::callers::tokens_of(exchange.number);
        assert!(
            fleet.billed[request] >= expected_tokens,
            "fewer tokens are billed than the prompt and the answer contain: {exchange:?}"
        );
    }
}
