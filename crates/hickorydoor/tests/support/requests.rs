//! Requests of the fleet's callers.

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
use super::callers::Kind;
use super::callers::Outcome;
use super::fleet::API_KEY;
use super::fleet::Fleet;
use super::fleet::START_MS;
use super::schedule::Fault;

impl Fleet {
    /// Sends a new request of this kind to an entry.
    pub fn request(&mut self, entry: usize, kind: Kind) -> u64 {
        self.next_caller += 1;
        let caller = self.next_caller;
        let number = match kind {
            Kind::KeyedWrite(key) => callers::FIRST_KEYED + key,
            Kind::OtherKeyedWrite(key) => 2 * callers::FIRST_KEYED + key,
            _ => caller,
        };
        let exchange = Exchange {
            number,
            entry,
            kind,
            head: false,
            request: None,
            body: Vec::new(),
            outcome: None,
        };
        self.callers.exchanges.insert(caller, exchange);
        let process = &self.entries[entry];
        if process.life == 0 || process.stopped || self.now_ms < process.paused_until {
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
        self.at_entry(entry, EntryEvent::Request(Box::new(request)));
        caller
    }

    /// Sends a request of a random kind to a random entry.
    pub fn random_request(&mut self) {
        // The load balancer sends callers to ready entries, unless there is none.
        let ready = |index: &usize| {
            let process = &self.entries[*index];
            process.life != 0 && !process.leaving && process.state.is_ready()
        };
        let mut entries: Vec<usize> = (0..self.entries.len()).filter(ready).collect();
        if entries.is_empty() {
            entries = (0..self.entries.len()).collect();
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        let kind = match self.rng.random_range(0..10) {
            0..=3 => Kind::Stream,
            4..=5 => Kind::Whole,
            6 => Kind::Read,
            7..=8 => Kind::Write,
            _ => Kind::KeyedWrite(self.rng.random_range(0..10)),
        };
        let caller = self.request(entry, kind);
        if self.rng.random_bool(0.03) {
            let gone = EntryEvent::CallerGone { caller: CallerId::new(caller) };
            let exchange = self.callers.exchanges.get_mut(&caller).expect("caller");
            if exchange.outcome.is_none() {
                exchange.outcome = Some(Outcome::Gone);
                self.at_entry(entry, gone);
            }
        }
    }

    /// Random requests, one each `interval_ms`, with the faults at their times.
    pub fn load(&mut self, span_ms: u64, interval_ms: u64, faults: &[(u64, Fault)]) {
        let begin = self.now_ms - START_MS;
        let mut faults: Vec<(u64, Fault)> = faults.to_vec();
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        let mut faults = faults.into_iter().peekable();
        let mut at_ms = 0;
        while at_ms < span_ms {
            self.run_until(begin + at_ms);
            while let Some((_, fault)) = faults.next_if(|(due_ms, _)| *due_ms <= at_ms) {
                self.apply(fault);
            }
            self.start_stopped();
            self.random_request();
            at_ms += interval_ms;
        }
    }
}

fn payload(kind: Kind, number: u64) -> RequestPayload {
    let body = callers::request_body(number);
    match kind {
        Kind::Stream | Kind::Whole => RequestPayload::Chat(ChatRequest {
            model: if number.is_multiple_of(3) { "large" } else { "small" }.into(),
            stream: kind == Kind::Stream,
            include_usage: false,
            prompt_tokens: Tokens::new(callers::PROMPT_TOKENS),
            max_tokens: None,
            prefix_hash: number,
            body,
        }),
        Kind::Read | Kind::Write | Kind::KeyedWrite(_) | Kind::OtherKeyedWrite(_) => {
            RequestPayload::Service(ServiceRequest {
                service: "registry".parse().expect("name"),
                method: if kind == Kind::Read { "GET" } else { "POST" }.into(),
                path: "/lots".into(),
                content_type: None,
                idempotency_key: match kind {
                    Kind::KeyedWrite(key) | Kind::OtherKeyedWrite(key) => {
                        Some(format!("key-{key}").parse().expect("key"))
                    }
                    _ => None,
                },
                body,
            })
        }
    }
}
