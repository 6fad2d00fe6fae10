//! Simulated callers: the responses that they received, and the executions at upstreams.

use std::collections::BTreeMap;

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::id::AttemptId;
use hickorydoor::id::RequestId;
use hickorydoor::refusal::RunState;

/// Prompt tokens of every chat request.
pub const PROMPT_TOKENS: u64 = 7;
/// Tokens of each chunk of an answer.
pub const CHUNK_TOKENS: u64 = 3;

/// Lowest call number of writes with an idempotency key. The remainder of a number divided by this
/// constant is the key.
pub const FIRST_KEYED_NUMBER: u64 = 1_000_000;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat request with a streamed answer.
    Streaming,
    /// A chat request whose answer is not streamed.
    NonStreaming,
    /// A read of a service, which may be retried.
    Read,
    /// A write to a service, which must run at most once.
    Write,
    /// A write with the idempotency key of this number.
    KeyedWrite(u64),
    /// A write with the same idempotency key as the `KeyedWrite` of this number, but with another body.
    OtherKeyedWrite(u64),
}

/// How an exchange ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    Refused(Refusal),
    Aborted(Refusal),
    /// The entry crashed.
    EntryLost,
    /// The caller disconnected, or no entry accepted its connection.
    Gone,
}

/// A caller's request and its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Call number in the request body, which determines the answer.
    pub number: u64,
    pub entry: usize,
    pub kind: RequestKind,
    pub head_received: bool,
    pub request: Option<RequestId>,
    pub body: Vec<u8>,
    pub outcome: Option<Outcome>,
}

/// An execution of an attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Execution {
    pub agent: usize,
    pub incarnation: u64,
    pub attempt: AttemptId,
}

/// All exchanges and all executions at upstreams.
#[derive(Debug, Default)]
pub struct Callers {
    /// Exchanges by caller.
    pub exchanges: BTreeMap<u64, Exchange>,
    /// Agents that executed a call, by call number.
    pub agents_by_call: BTreeMap<u64, Vec<usize>>,
    /// Executions of each request.
    pub executions: BTreeMap<RequestId, Vec<Execution>>,
    /// Requests that were refused as not run.
    pub not_run: Vec<RequestId>,
}

/// Returns the request body of a call. Keyed writes of the same kind and key have the same body.
pub fn request_body(number: u64) -> Bytes {
    format!("call {number}").into_bytes().into()
}

/// Returns the call number in a request body.
pub fn number_of(body: &Bytes) -> u64 {
    let text = std::str::from_utf8(body).expect("bodies are text");
    text.trim_start_matches("call ").parse().expect("bodies contain a number")
}

/// Returns the chunks of the answer to a call.
pub fn chunks(number: u64) -> Vec<Bytes> {
    let chunk = |index| Bytes::from(format!("{number}:{index};"));
    (0..=number % 6).map(chunk).collect()
}

/// Returns the tokens of a chat call's complete answer and its prompt.
pub fn tokens_of(number: u64) -> u64 {
    PROMPT_TOKENS + CHUNK_TOKENS * chunks(number).len() as u64
}

impl Callers {
    pub fn on_body(&mut self, caller: u64, data: &Bytes) {
        let exchange = self.exchanges.get_mut(&caller).expect("known caller");
        assert!(exchange.outcome.is_none(), "body bytes after the outcome of {exchange:?}");
        assert!(exchange.head_received, "body bytes before the head of {exchange:?}");
        exchange.body.extend_from_slice(data);
    }

    /// Records the outcome of an exchange, unless its caller has disconnected.
    pub fn end(&mut self, caller: u64, outcome: Outcome) {
        let exchange = self.exchanges.get_mut(&caller).expect("known caller");
        if exchange.outcome == Some(Outcome::Gone) {
            return;
        }
        assert_eq!(exchange.outcome, None, "second outcome of {exchange:?}");
        if outcome == Outcome::Complete {
            let complete = chunks(exchange.number).concat();
            assert_eq!(
                exchange.body, complete,
                "the answer is incomplete or belongs to another call"
            );
        }
        exchange.outcome = Some(outcome);
    }

    pub fn record_execution(
        &mut self,
        number: u64,
        agent: usize,
        incarnation: u64,
        attempt: &AttemptId,
    ) {
        let execution = Execution { agent, incarnation, attempt: attempt.clone() };
        self.executions.entry(attempt.request.clone()).or_default().push(execution);
        self.agents_by_call.entry(number).or_default().push(agent);
    }

    /// Ends all open exchanges of a crashed entry.
    pub fn end_all_at(&mut self, entry: usize) {
        let open = |exchange: &&mut Exchange| exchange.entry == entry && exchange.outcome.is_none();
        for exchange in self.exchanges.values_mut().filter(open) {
            exchange.outcome = Some(Outcome::EntryLost);
        }
    }

    /// Checks that every exchange ended, that writes ran at most once and that no request ran that was
    /// refused as not run.
    pub fn check(&self) {
        let mut repeatable_by_number = BTreeMap::new();
        for (caller, exchange) in &self.exchanges {
            let outcome = exchange.outcome.as_ref();
            let outcome = outcome
                .unwrap_or_else(|| panic!("caller {caller} received no outcome: {exchange:?}"));
            let repeatable = !matches!(
                exchange.kind,
                RequestKind::Write | RequestKind::KeyedWrite(_) | RequestKind::OtherKeyedWrite(_)
            );
            repeatable_by_number.insert(exchange.number, repeatable);
            if let Outcome::Aborted(refusal) = outcome {
                assert_ne!(
                    refusal.run,
                    RunState::NotRun,
                    "a started answer cannot be reported as not run: {exchange:?}"
                );
            }
        }
        for request in &self.not_run {
            assert!(
                !self.executions.contains_key(request),
                "request {request} ran although it was refused as not run"
            );
        }
        let mut by_key = BTreeMap::new();
        for (number, agents) in
            self.agents_by_call.iter().filter(|(number, _)| **number >= FIRST_KEYED_NUMBER)
        {
            *by_key.entry(number % FIRST_KEYED_NUMBER).or_insert(0) += agents.len();
        }
        assert!(
            by_key.values().all(|executions| *executions <= 1),
            "several calls with the same idempotency key ran: {by_key:?}"
        );
        for (number, agents) in &self.agents_by_call {
            let repeatable = repeatable_by_number.get(number).copied().unwrap_or(true);
            assert!(
                repeatable || agents.len() <= 1,
                "write {number} ran several times, at agents {agents:?}"
            );
        }
    }

    /// Counts the exchanges with a matching outcome.
    pub fn count(&self, matches: impl Fn(&Outcome) -> bool) -> usize {
        let outcomes = self.exchanges.values().filter_map(|exchange| exchange.outcome.as_ref());
        outcomes.filter(|outcome| matches(outcome)).count()
    }
}
