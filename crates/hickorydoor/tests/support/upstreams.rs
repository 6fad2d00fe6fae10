//! Simulated engines and services.

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
use super::fleet::FleetEvent;

/// Upper bound of the time between two chunks.
const MAX_CHUNK_INTERVAL_MS: u64 = 400;
/// Mean time between two tokens of a simulated engine, and the setting of its agent for a warm engine.
/// With a shorter setting, the agent would consider the engine cold and admit few requests.
pub const MEAN_TOKEN_INTERVAL: DurationMs =
    DurationMs::new(MAX_CHUNK_INTERVAL_MS / 2 / callers::CHUNK_TOKENS);

impl Fleet {
    /// Schedules the events of one call: its start, the chunks and the end, or a random fault.
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
            |delay_ms, event| (delay_ms, FleetEvent::Agent(agent, incarnation, Box::new(event)));
        let fault = self.rng.random_bool(self.setup.upstream_fault_probability);
        if fault && self.rng.random_bool(0.3) {
            let fault = UpstreamFault::NotSent;
            let (delay, event) =
                event(3, AgentEvent::UpstreamFailed { attempt: attempt.clone(), fault });
            self.schedule(delay, event);
            return;
        }
        let version = match call {
            Call::Model(call) => Some(call.version.clone()),
            Call::Service(_) => None,
        };
        self.upstream_calls.push((self.now_ms, agent, version));
        self.callers.record_execution(number, agent, incarnation, attempt);
        let content_type = "text/plain".into();
        let started =
            AgentEvent::UpstreamStarted { attempt: attempt.clone(), status: 200, content_type };
        let mut at_ms = self.rng.random_range(1..200);
        let mut events = vec![event(at_ms, started)];
        let chunks = callers::chunks(number);
        let model = matches!(call, Call::Model(_));
        let chunk_tokens = if model { callers::CHUNK_TOKENS } else { 0 };
        for data in &chunks {
            at_ms += self.rng.random_range(1..MAX_CHUNK_INTERVAL_MS);
            let tokens = Tokens::new(chunk_tokens);
            let data = data.clone();
            events.push(event(
                at_ms,
                AgentEvent::UpstreamChunk { attempt: attempt.clone(), tokens, data },
            ));
        }
        at_ms += 1;
        let prompt_tokens = Tokens::new(if model { callers::PROMPT_TOKENS } else { 0 });
        let answer_tokens = Tokens::new(chunk_tokens * chunks.len() as u64);
        let usage = Some(Usage { prompt_tokens, answer_tokens });
        if fault {
            let fault = UpstreamFault::ConnectionLost;
            let delivered_chunks = chunks.len() / 2;
            events.truncate(1 + delivered_chunks);
            if model && delivered_chunks == 0 {
                self.attempts_without_output.insert(attempt.clone());
            }
            events
                .push(event(at_ms, AgentEvent::UpstreamFailed { attempt: attempt.clone(), fault }));
        } else {
            events
                .push(event(at_ms, AgentEvent::UpstreamEnded { attempt: attempt.clone(), usage }));
        }
        for (delay_ms, event) in events {
            self.schedule(delay_ms, event);
        }
    }
}
