//! Execution of the key-value calls that a reducer requests.

use std::collections::HashMap;
use std::sync::Arc;

use hickory_kv::Client;
use hickorydoor::id::KvCallId;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOutcome;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Executes key-value calls in tasks of their own and reports their outcomes to the task that owns
/// the reducer. Dropping it cancels the watches.
#[derive(Debug)]
pub struct KvExecutor<I> {
    client: Arc<Client>,
    inputs: mpsc::Sender<I>,
    to_input: fn(KvCallId, KvOutcome) -> I,
    watches: HashMap<KvCallId, AbortHandle>,
}

impl<I: Send + 'static> KvExecutor<I> {
    /// Creates an executor. `to_input` converts the outcome of a call into an input of the task that owns
    /// the reducer.
    pub fn new(
        client: Arc<Client>,
        inputs: mpsc::Sender<I>,
        to_input: fn(KvCallId, KvOutcome) -> I,
    ) -> Self {
        Self { client, inputs, to_input, watches: HashMap::new() }
    }

    /// Starts a call, or cancels a watch on [`KvCall::Unwatch`].
    pub fn call(&mut self, call: KvCallId, operation: KvCall) {
        match operation {
            KvCall::Watch { prefix, from_store_revision } => {
                self.watches.retain(|_, watch| !watch.is_finished());
                let task = self.watch(call, prefix.into(), from_store_revision);
                self.watches.insert(call, task);
            }
            KvCall::Unwatch => {
                if let Some(watch) = self.watches.remove(&call) {
                    watch.abort();
                }
            }
            other => self.call_once(call, other),
        }
    }

    fn call_once(&self, call: KvCallId, operation: KvCall) {
        let client = Arc::clone(&self.client);
        let inputs = self.inputs.clone();
        let to_input = self.to_input;
        tokio::spawn(async move {
            let outcome = client.call(operation).await;
            // The channel only closes when the process ends.
            drop(inputs.send(to_input(call, outcome)).await);
        });
    }

    fn watch(&self, call: KvCallId, prefix: String, from_store_revision: u64) -> AbortHandle {
        let client = Arc::clone(&self.client);
        let inputs = self.inputs.clone();
        let to_input = self.to_input;
        let task = tokio::spawn(async move {
            let mut watch = client.watch(&prefix, from_store_revision).await;
            loop {
                let outcome = watch.next().await;
                let ended = !matches!(outcome, KvOutcome::Watched { .. });
                let sent = inputs.send(to_input(call, outcome)).await;
                if ended || sent.is_err() {
                    return;
                }
            }
        });
        task.abort_handle()
    }
}

impl<I> Drop for KvExecutor<I> {
    fn drop(&mut self) {
        for watch in self.watches.values() {
            watch.abort();
        }
    }
}
