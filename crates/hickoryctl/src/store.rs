//! Reads and changes of what is stored.

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

/// Change records read in one transaction, which may hold 128 operations.
const RECORDS_PER_CALL: u64 = 100;
const PAGE_PAIRS: u32 = 1000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What is stored, as reached through a client until a deadline.
#[derive(Debug)]
pub struct Store {
    client: Client,
    started: Instant,
    now_ms: TimeMs,
    limit: Duration,
}

impl Store {
    /// A store that gives up after `limit`.
    pub fn new(client: Client, now_ms: TimeMs, limit: Duration) -> Self {
        Self { client, started: Instant::now(), now_ms, limit }
    }

    fn time(&self) -> TimeMs {
        TimeMs::new(self.now_ms.get() + self.started.elapsed().as_millis() as u64)
    }

    /// Repeats a read until it succeeds, is refused or the time is over.
    async fn read(&self, call: KvCall) -> Result<Vec<Vec<KvPair>>, CliError> {
        loop {
            match self.client.try_call(&call).await {
                Ok(KvReply::Transaction { results, .. }) => return Ok(results),
                Ok(_) => return Err(StoredError::UnexpectedReply.into()),
                Err(error) => self.pause_after(error).await?,
            }
        }
    }

    async fn pause_after(&self, error: CallError) -> Result<(), CliError> {
        let refused =
            matches!(error, CallError::Rejected { .. } | CallError::AnswerTooLarge { .. });
        if refused || self.started.elapsed() + READ_PAUSE >= self.limit {
            return Err(error.into());
        }
        tokio::time::sleep(READ_PAUSE).await;
        Ok(())
    }

    /// The configuration.
    pub async fn configuration(&self) -> Result<StoredConfiguration, CliError> {
        let results = self.read(StoredConfiguration::read_call()).await?;
        Ok(StoredConfiguration::decode(&results)?)
    }

    /// Up to `limit` change records up to a revision, newest first.
    pub async fn changes(
        &self,
        newest: Revision,
        limit: u64,
    ) -> Result<Vec<ChangeRecord>, CliError> {
        let mut records = Vec::new();
        let mut next = newest.get();
        let mut left = limit;
        while next > 0 && left > 0 {
            let count = left.min(next).min(RECORDS_PER_CALL);
            let revisions = (next - count + 1..=next).rev();
            let get = |revision| KvOperation::Get { key: keys::change(Revision::new(revision)) };
            let then = revisions.map(get).collect();
            let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
            for pair in self.read(call).await?.into_iter().flatten() {
                records.push(decode_change(&pair)?);
            }
            next -= count;
            left -= count;
        }
        Ok(records)
    }

    /// Passes every pair under a prefix to `take`, in key order.
    pub async fn each_pair(
        &self,
        prefix: &str,
        mut take: impl FnMut(&KvPair) -> Result<(), CliError>,
    ) -> Result<(), CliError> {
        let mut last = None;
        loop {
            let page = match self.client.list_after(prefix, last.as_deref(), PAGE_PAIRS).await {
                Ok(page) => page,
                Err(error) => {
                    self.pause_after(error).await?;
                    continue;
                }
            };
            page.iter().try_for_each(&mut take)?;
            match page.last() {
                Some(pair) => last = Some(pair.key.clone()),
                None => return Ok(()),
            }
        }
    }

    /// Attempts a change until its outcome is definite or the time is over.
    pub async fn change(&self, draft: ChangeDraft) -> ChangeOutcome {
        let deadline_ms = TimeMs::new(self.now_ms.get() + self.limit.as_millis() as u64);
        let mut attempt = ChangeAttempt::new(draft, deadline_ms);
        let mut call = attempt.first_call();
        loop {
            let outcome = self.client.call(call).await;
            match attempt.apply(outcome, self.time()) {
                ChangeStep::Call { pause_ms, call: next } => {
                    tokio::time::sleep(pause_ms.into()).await;
                    call = next;
                }
                ChangeStep::Done(outcome) => return *outcome,
            }
        }
    }
}
