//! Requests of the simulated callers.

use hickorydoor::CallerRequest;
use hickorydoor::Class;
use hickorydoor::EntryEvent;
use hickorydoor::KeyDigest;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::entry::caller_request::ServiceRequest;
use hickorydoor::id::CallerId;
use hickorydoor::quantity::Tokens;
use rand::RngExt;

use super::callers;
use super::callers::Exchange;
use super::callers::Outcome;
use super::callers::RequestKind;
use super::fleet::API_KEY;
use super::fleet::Fleet;
use super::fleet::START_MS;
use super::schedule::Fault;

impl Fleet {
    /// Sends a request to an entry and returns the id of its caller.
    pub fn request(&mut self, entry: usize, kind: RequestKind) -> u64 {
        self.last_caller += 1;
        let caller = self.last_caller;
        let number = match kind {
            RequestKind::KeyedWrite(key) => callers::FIRST_KEYED_NUMBER + key,
            RequestKind::OtherKeyedWrite(key) => 2 * callers::FIRST_KEYED_NUMBER + key,
            _ => caller,
        };
        let exchange = Exchange {
            number,
            entry,
            kind,
            head_received: false,
            request: None,
            body: Vec::new(),
            outcome: None,
        };
        self.callers.exchanges.insert(caller, exchange);
        let process = &self.entries[entry];
        if process.incarnation == 0 || process.stopped || self.now_ms < process.paused_until_ms {
            self.callers.end(caller, Outcome::Gone);
            return caller;
        }
        let request = CallerRequest {
            caller: CallerId::new(caller),
            key: KeyDigest::of_key(API_KEY),
            session: None,
            class: Class::Interactive,
            deadline_ms: None,
            payload: payload(kind, number),
        };
        self.apply_to_entry(entry, EntryEvent::Request(Box::new(request)));
        caller
    }

    /// Sends a request of a random kind to a random entry. Some callers disconnect at once.
    pub fn random_request(&mut self) {
        // Like a load balancer, selects a ready entry, or any entry if none is ready.
        let ready = |index: &usize| {
            let process = &self.entries[*index];
            process.incarnation != 0 && !process.leaving && process.state.is_ready()
        };
        let mut entries: Vec<usize> = (0..self.entries.len()).filter(ready).collect();
        if entries.is_empty() {
            entries = (0..self.entries.len()).collect();
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        let kind = match self.rng.random_range(0..10) {
            0..=3 => RequestKind::Streaming,
            4..=5 => RequestKind::NonStreaming,
            6 => RequestKind::Read,
            7..=8 => RequestKind::Write,
            _ => RequestKind::KeyedWrite(self.rng.random_range(0..10)),
        };
        let caller = self.request(entry, kind);
        if self.rng.random_bool(0.03) {
            let caller_gone = EntryEvent::CallerGone { caller: CallerId::new(caller) };
            let exchange = self.callers.exchanges.get_mut(&caller).expect("the caller is known");
            if exchange.outcome.is_none() {
                exchange.outcome = Some(Outcome::Gone);
                self.apply_to_entry(entry, caller_gone);
            }
        }
    }

    /// Sends a random request every `interval_ms` for `span_ms`. Injects each fault at its time since
    /// the start of the call, and restarts processes that have completed their shutdown.
    pub fn load(&mut self, span_ms: u64, interval_ms: u64, faults: &[(u64, Fault)]) {
        let start_ms = self.now_ms - START_MS;
        let mut faults: Vec<(u64, Fault)> = faults.to_vec();
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        let mut faults = faults.into_iter().peekable();
        let mut at_ms = 0;
        while at_ms < span_ms {
            self.run_until(start_ms + at_ms);
            while let Some((_, fault)) = faults.next_if(|(due_ms, _)| *due_ms <= at_ms) {
                self.inject(fault);
            }
            self.restart_stopped();
            self.random_request();
            at_ms += interval_ms;
        }
    }
}

fn payload(kind: RequestKind, number: u64) -> RequestPayload {
    let body = callers::request_body(number);
    match kind {
        RequestKind::Streaming | RequestKind::NonStreaming => RequestPayload::Chat(ChatRequest {
            model: if number.is_multiple_of(3) { "large" } else { "small" }.into(),
            stream: kind == RequestKind::Streaming,
            include_usage: false,
            prompt_tokens: Tokens::new(callers::PROMPT_TOKENS),
            max_tokens: None,
            prefix_hash: number,
            body,
        }),
        RequestKind::Read
        | RequestKind::Write
        | RequestKind::KeyedWrite(_)
        | RequestKind::OtherKeyedWrite(_) => RequestPayload::Service(ServiceRequest {
            service: "registry".parse().expect("the name is valid"),
            method: if kind == RequestKind::Read { "GET" } else { "POST" }.into(),
            path: "/lots".into(),
            content_type: None,
            idempotency_key: match kind {
                RequestKind::KeyedWrite(key) | RequestKind::OtherKeyedWrite(key) => {
                    Some(format!("key-{key}").parse().expect("the key is valid"))
                }
                _ => None,
            },
            body,
        }),
    }
}
