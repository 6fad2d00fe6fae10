//! Callers of the fleet and what they received.

use std::collections::BTreeMap;

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::id::AttemptId;
use hickorydoor::id::RequestId;
use hickorydoor::refusal::RunState;

/// Tokens of the prompt of every chat request.
pub const PROMPT_TOKENS: u64 = 7;
/// Tokens of each piece of an answer.
pub const PIECE_TOKENS: u64 = 3;

/// Numbers from here on belong to keyed calls; the rest of the division is the key.
pub const FIRST_KEYED: u64 = 1_000_000;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Streaming,
    NonStreaming,
    Read,
    Write,
    /// A write with an idempotency key of this number.
    KeyedWrite(u64),
    /// Another write with the idempotency key of this number.
    OtherKeyedWrite(u64),
}

/// How an exchange ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    Refused(Refusal),
    Aborted(Refusal),
    EntryLost,
    Gone,
}

/// One exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub number: u64,
    pub entry: usize,
    pub kind: RequestKind,
    pub head: bool,
    pub request: Option<RequestId>,
    pub body: Vec<u8>,
    pub outcome: Option<Outcome>,
}

/// A call at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub agent: usize,
    pub incarnation: u64,
    pub attempt: AttemptId,
}

/// All exchanges and every run at an upstream.
#[derive(Debug, Default)]
pub struct Callers {
    pub exchanges: BTreeMap<u64, Exchange>,
    /// Agents that ran the call, by the call's number.
    pub agents_by_call: BTreeMap<u64, Vec<usize>>,
    /// Requests that an upstream ran, with the agents, their incarnations and the attempts.
    pub executions: BTreeMap<RequestId, Vec<Run>>,
    /// Requests whose callers were told that they were not run.
    pub not_run: Vec<RequestId>,
}

/// The body of call `number`; keyed calls repeat the body of their key.
pub fn request_body(number: u64) -> Bytes {
    format!("call {number}").into_bytes().into()
}

/// The number in a request body.
pub fn number_of(body: &Bytes) -> u64 {
    let text = std::str::from_utf8(body).expect("bodies are text");
    text.trim_start_matches("call ").parse().expect("bodies hold a number")
}

/// Pieces of the answer to call `number`.
pub fn pieces(number: u64) -> Vec<Bytes> {
    let piece = |index| Bytes::from(format!("{number}:{index};"));
    (0..=number % 6).map(piece).collect()
}

/// Tokens of the whole answer to call `number` with its prompt.
pub fn tokens_of(number: u64) -> u64 {
    PROMPT_TOKENS + PIECE_TOKENS * pieces(number).len() as u64
}

impl Callers {
    pub fn on_body(&mut self, caller: u64, data: &Bytes) {
        let exchange = self.exchanges.get_mut(&caller).expect("known caller");
        assert!(exchange.outcome.is_none(), "bytes after the end of {exchange:?}");
        assert!(exchange.head, "bytes before the head of {exchange:?}");
        exchange.body.extend_from_slice(data);
    }

    pub fn end(&mut self, caller: u64, outcome: Outcome) {
        let exchange = self.exchanges.get_mut(&caller).expect("known caller");
        if exchange.outcome == Some(Outcome::Gone) {
            return;
        }
        assert_eq!(exchange.outcome, None, "second end of {exchange:?}");
        if outcome == Outcome::Complete {
            let whole = pieces(exchange.number).concat();
            assert_eq!(exchange.body, whole, "an answer is not its caller's or not whole");
        }
        exchange.outcome = Some(outcome);
    }

    pub fn run(&mut self, number: u64, agent: usize, incarnation: u64, attempt: &AttemptId) {
        let run = Run { agent, incarnation, attempt: attempt.clone() };
        self.executions.entry(attempt.request.clone()).or_default().push(run);
        self.agents_by_call.entry(number).or_default().push(agent);
    }

    /// Ends every open exchange of a crashed entry.
    pub fn lose_entry(&mut self, entry: usize) {
        let open = |exchange: &&mut Exchange| exchange.entry == entry && exchange.outcome.is_none();
        for exchange in self.exchanges.values_mut().filter(open) {
            exchange.outcome = Some(Outcome::EntryLost);
        }
    }

    /// Every exchange ended, writes ran at most once and "not run" was true.
    pub fn check(&self) {
        let mut run_twice_allowed = BTreeMap::new();
        for (caller, exchange) in &self.exchanges {
            let outcome = exchange.outcome.as_ref();
            let outcome = outcome.unwrap_or_else(|| panic!("{caller} got no end: {exchange:?}"));
            let repeatable = !matches!(
                exchange.kind,
                RequestKind::Write | RequestKind::KeyedWrite(_) | RequestKind::OtherKeyedWrite(_)
            );
            run_twice_allowed.insert(exchange.number, repeatable);
            if let Outcome::Aborted(refusal) = outcome {
                assert_ne!(refusal.run, RunState::NotRun, "an answer began: {exchange:?}");
            }
        }
        for request in &self.not_run {
            assert!(
                !self.executions.contains_key(request),
                "{request} ran although its caller heard \"not run\""
            );
        }
        let mut by_key = BTreeMap::new();
        for (number, agents) in
            self.agents_by_call.iter().filter(|(number, _)| **number >= FIRST_KEYED)
        {
            *by_key.entry(number % FIRST_KEYED).or_insert(0) += agents.len();
        }
        assert!(by_key.values().all(|runs| *runs <= 1), "two calls ran under one key: {by_key:?}");
        for (number, agents) in &self.agents_by_call {
            let repeatable = run_twice_allowed.get(number).copied().unwrap_or(true);
            assert!(repeatable || agents.len() <= 1, "write {number} ran at {agents:?}");
        }
    }

    pub fn count(&self, wanted: impl Fn(&Outcome) -> bool) -> usize {
        let outcomes = self.exchanges.values().filter_map(|exchange| exchange.outcome.as_ref());
        outcomes.filter(|outcome| wanted(outcome)).count()
    }
}
