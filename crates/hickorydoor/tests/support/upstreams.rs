//! Fake upstreams: engines and services.

use bytes::Bytes;
use hickorydoor::AgentEvent;
use hickorydoor::DurationMs;
use hickorydoor::agent::event::UpstreamFault;
use hickorydoor::billing::usage::Usage;
use hickorydoor::id::AttemptId;
use hickorydoor::message::Call;
use hickorydoor::quantity::Tokens;
use rand::RngExt;

use super::callers;
use super::fleet::Fleet;
use super::fleet::Happening;

/// Longest time between two pieces.
const LONGEST_PIECE_MS: u64 = 400;
/// Mean time between two tokens of the fake engines. An agent that expects a faster engine takes
/// it for a cold one and admits little.
pub const TOKEN_INTERVAL: DurationMs =
    DurationMs::new(LONGEST_PIECE_MS / 2 / callers::PIECE_TOKENS);

impl Fleet {
    pub fn call_upstream(
        &mut self,
        agent: usize,
        incarnation: u64,
        attempt: &AttemptId,
        call: &Call,
    ) {
        let body: &Bytes = match call {
            Call::Model(call) => &call.body,
            Call::Service(call) => &call.body,
        };
        let number = callers::number_of(body);
        let event =
            |delay_ms, event| (delay_ms, Happening::Agent(agent, incarnation, Box::new(event)));
        let fault = self.rng.random_bool(self.setup.upstream_fault_probability);
        if fault && self.rng.random_bool(0.3) {
            let fault = UpstreamFault::NotSent;
            let (delay, happening) =
                event(3, AgentEvent::UpstreamFailed { attempt: attempt.clone(), fault });
            self.push(delay, happening);
            return;
        }
        let version = match call {
            Call::Model(call) => Some(call.version.clone()),
            Call::Service(_) => None,
        };
        self.upstream_calls.push((self.now_ms, agent, version));
        self.callers.run(number, agent, incarnation, attempt);
        let content_type = "text/plain".into();
        let started =
            AgentEvent::UpstreamStarted { attempt: attempt.clone(), status: 200, content_type };
        let mut at_ms = self.rng.random_range(1..200);
        let mut steps = vec![event(at_ms, started)];
        let pieces = callers::pieces(number);
        let model = matches!(call, Call::Model(_));
        let piece_tokens = if model { callers::PIECE_TOKENS } else { 0 };
        for data in &pieces {
            at_ms += self.rng.random_range(1..LONGEST_PIECE_MS);
            let tokens = Tokens::new(piece_tokens);
            let data = data.clone();
            steps.push(event(
                at_ms,
                AgentEvent::UpstreamChunk { attempt: attempt.clone(), tokens, data },
            ));
        }
        at_ms += 1;
        let prompt_tokens = Tokens::new(if model { callers::PROMPT_TOKENS } else { 0 });
        let answer_tokens = Tokens::new(piece_tokens * pieces.len() as u64);
        let usage = Some(Usage { prompt_tokens, answer_tokens });
        if fault {
            let fault = UpstreamFault::ConnectionLost;
            let kept = pieces.len() / 2;
            steps.truncate(1 + kept);
            if model && kept == 0 {
                self.without_output.insert(attempt.clone());
            }
            steps
                .push(event(at_ms, AgentEvent::UpstreamFailed { attempt: attempt.clone(), fault }));
        } else {
            steps.push(event(at_ms, AgentEvent::UpstreamEnded { attempt: attempt.clone(), usage }));
        }
        for (delay_ms, happening) in steps {
            self.push(delay_ms, happening);
        }
    }
}
