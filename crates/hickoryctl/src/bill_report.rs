//! Sums the stored bills by customer, version and class.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hickorydoor::billing::bill::BillSum;
use hickorydoor::billing::ledger::Batch;
use hickorydoor::configuration::stored::StoredError;
use hickorydoor::id::CustomerId;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvPair;
use serde_json::json;

use crate::cli_error::CliError;
use crate::command::BillQuery;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::store::Store;
use crate::table::Table;

/// Customer, version and class of a sum. The version is empty for calls to plain services.
type GroupKey = (CustomerId, CompactString, String);

/// Sums of the batches that match a [`BillQuery`].
#[derive(Debug, Default)]
pub struct BillTotals {
    sums: BTreeMap<GroupKey, BillSum>,
    batches: u64,
}

impl BillTotals {
    /// Reads and sums the batches that match a query.
    pub async fn read(store: &Store, query: &BillQuery) -> Result<Self, CliError> {
        let mut totals = Self::default();
        let prefix = match &query.entry {
            Some(entry) => format!("{}{entry}/", keys::BILLS_PREFIX),
            None => keys::BILLS_PREFIX.to_owned(),
        };
        store.for_each_pair(&prefix, |pair| totals.add_pair(query, pair)).await?;
        Ok(totals)
    }

    fn add_pair(&mut self, query: &BillQuery, pair: &KvPair) -> Result<(), CliError> {
        if !is_batch(&pair.key) {
            return Ok(());
        }
        let syntax = |error: serde_json::Error| StoredError::Syntax {
            key: pair.key.clone(),
            detail: error.to_string().into(),
        };
        let batch: Batch = serde_json::from_slice(&pair.value).map_err(syntax)?;
        let sealed_at = batch.sealed_at_ms;
        let early = query.from_ms.is_some_and(|from| sealed_at < from);
        let late = query.to_ms.is_some_and(|to| sealed_at >= to);
        if early || late {
            return Ok(());
        }
        self.batches += 1;
        for sum in batch.sums {
            if query.customer.as_ref().is_none_or(|customer| sum.customer == *customer) {
                self.add(sum);
            }
        }
        Ok(())
    }

    fn add(&mut self, sum: BillSum) {
        let version = sum.version.clone().map_or_else(CompactString::default, Into::into);
        let key = (sum.customer.clone(), version, sum.class.to_string());
        if let Some(total) = self.sums.get_mut(&key) {
            total.requests += sum.requests;
            total.prompt_tokens += sum.prompt_tokens;
            total.answer_tokens += sum.answer_tokens;
            total.cost_micros += sum.cost_micros;
        } else {
            self.sums.insert(key, sum);
        }
    }

    pub fn report(&self, format: OutputFormat) -> Report {
        let mut table = Table::new([
            "CUSTOMER",
            "VERSION",
            "CLASS",
            "REQUESTS",
            "PROMPT TOKENS",
            "ANSWER TOKENS",
            "COST",
        ]);
        let mut list = Vec::new();
        for ((customer, version, class), sum) in &self.sums {
            let version = if version.is_empty() { "-" } else { version.as_str() };
            let cost = format_cost(sum.cost_micros.get());
            table.push_row([
                customer,
                &version,
                class,
                &sum.requests,
                &sum.prompt_tokens,
                &sum.answer_tokens,
                &cost,
            ]);
            list.push(serde_json::to_value(sum).unwrap_or_default());
        }
        let total_micros = self.sums.values().map(|sum| sum.cost_micros).sum();
        let total: hickorydoor::quantity::CostMicros = total_micros;
        let text =
            format!("{table}\nTotal: {} (batches: {})\n", format_cost(total.get()), self.batches);
        let json = json!({"sums": list, "total_cost_micros": total, "batches": self.batches});
        Report::success(format, text, &json)
    }
}

/// Whether a key holds a batch. Below `ENTRY/INCARNATION/`, the entry stores its batches under
/// `batch`; after the loss of the entry, agents store batches under `recovered`.
fn is_batch(key: &str) -> bool {
    let path = key.strip_prefix(keys::BILLS_PREFIX).unwrap_or_default();
    matches!(path.split('/').nth(2), Some("batch" | "recovered"))
}

/// Formats millionths of the billing currency as a decimal number.
fn format_cost(micros: u64) -> String {
    format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000)
}
