//! Access to the stored configuration, changes and bills.

use std::time::Duration;

use hickory_kv::CallError;
use hickory_kv::Client;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change_attempt::ChangeAttempt;
use hickorydoor::configuration::change_attempt::ChangeDraft;
use hickorydoor::configuration::change_attempt::ChangeStep;
use hickorydoor::configuration::change_outcome::ChangeOutcome;
use hickorydoor::configuration::stored::StoredConfiguration;
use hickorydoor::configuration::stored::StoredError;
use hickorydoor::configuration::stored::decode_change;
use hickorydoor::id::Revision;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;
use tokio::time::Instant;

use crate::cli_error::CliError;

/// Change records read in one transaction. etcd allows 128 operations in a transaction.
const RECORDS_PER_CALL: u64 = 100;
const PAGE_SIZE_PAIRS: u32 = 1000;
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads and changes stored data. Calls that may succeed later are retried until the time limit,
/// counted from the creation of the `Store`, has passed.
#[derive(Debug)]
pub struct Store {
    client: Client,
    started: Instant,
    now_ms: TimeMs,
    time_limit: Duration,
}

impl Store {
    /// Creates a store whose calls are retried until `time_limit` has passed. `now_ms` is the
    /// current wall-clock time.
    pub fn new(client: Client, now_ms: TimeMs, time_limit: Duration) -> Self {
        Self { client, started: Instant::now(), now_ms, time_limit }
    }

    fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms.get() + self.started.elapsed().as_millis() as u64)
    }

    /// Retries a read until it succeeds, fails permanently or the time limit has passed.
    async fn read(&self, call: KvCall) -> Result<Vec<Vec<KvPair>>, CliError> {
        loop {
            match self.client.try_call(&call).await {
                Ok(KvReply::Transaction { results, .. }) => return Ok(results),
                Ok(_) => return Err(StoredError::UnexpectedReply.into()),
                Err(error) => self.delay_retry_or_fail(error).await?,
            }
        }
    }

    /// Waits before the next retry; returns `error` if a retry is useless or too late.
    async fn delay_retry_or_fail(&self, error: CallError) -> Result<(), CliError> {
        let permanent =
            matches!(error, CallError::Rejected { .. } | CallError::ResponseTooLarge { .. });
        if permanent || self.started.elapsed() + READ_RETRY_DELAY >= self.time_limit {
            return Err(error.into());
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
        Ok(())
    }

    /// Reads the stored configuration.
    pub async fn configuration(&self) -> Result<StoredConfiguration, CliError> {
        let results = self.read(StoredConfiguration::read_call()).await?;
        Ok(StoredConfiguration::decode(&results)?)
    }

    /// Reads up to `limit` change records, from revision `newest` downwards.
    pub async fn changes(
        &self,
        newest: Revision,
        limit: u64,
    ) -> Result<Vec<ChangeRecord>, CliError> {
        let mut records = Vec::new();
        let mut next = newest.get();
        let mut remaining = limit;
        while next > 0 && remaining > 0 {
            let count = remaining.min(next).min(RECORDS_PER_CALL);
            let revisions = (next - count + 1..=next).rev();
            let get = |revision| KvOperation::Get { key: keys::change(Revision::new(revision)) };
            let then = revisions.map(get).collect();
            let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
            for pair in self.read(call).await?.into_iter().flatten() {
                records.push(decode_change(&pair)?);
            }
            next -= count;
            remaining -= count;
        }
        Ok(records)
    }

    /// Calls `visit` for every pair under a prefix, in key order.
    pub async fn for_each_pair(
        &self,
        prefix: &str,
        mut visit: impl FnMut(&KvPair) -> Result<(), CliError>,
    ) -> Result<(), CliError> {
        let mut last = None;
        loop {
            let page = match self.client.list_after(prefix, last.as_deref(), PAGE_SIZE_PAIRS).await
            {
                Ok(page) => page,
                Err(error) => {
                    self.delay_retry_or_fail(error).await?;
                    continue;
                }
            };
            page.iter().try_for_each(&mut visit)?;
            match page.last() {
                Some(pair) => last = Some(pair.key.clone()),
                None => return Ok(()),
            }
        }
    }

    /// Attempts a change until its outcome is known or the time limit has passed.
    pub async fn change(&self, draft: ChangeDraft) -> ChangeOutcome {
        let deadline_ms = TimeMs::new(self.now_ms.get() + self.time_limit.as_millis() as u64);
        let mut attempt = ChangeAttempt::new(draft, deadline_ms);
        let mut call = attempt.first_call();
        loop {
            let outcome = self.client.call(call).await;
            match attempt.apply(outcome, self.now()) {
                ChangeStep::Call { pause_ms, call: next } => {
                    tokio::time::sleep(pause_ms.into()).await;
                    call = next;
                }
                ChangeStep::Done(outcome) => return *outcome,
            }
        }
    }
}
