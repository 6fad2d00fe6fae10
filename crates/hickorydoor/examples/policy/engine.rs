//! Model of an engine with continuous batching.
//!
//! A step produces one token for every sequence that decodes and reads a piece of the oldest
//! prompt. Its time grows with the batch. A cold engine is slower, and above the batch that it can
//! bear its steps become many times longer.

use std::collections::HashMap;
use std::collections::VecDeque;

use hickorydoor::Class;
use hickorydoor::agent::event::UpstreamReport;
use hickorydoor::id::AttemptId;
use hickorydoor::id::VersionId;
use hickorydoor::quantity::Tokens;

/// Sequences that decode at the same time at most.
pub const SLOTS: usize = 32;
/// Sequences that a cold engine bears.
pub const COLD_SLOTS: usize = 4;
const STEP_US: f64 = 18_000.0;
const STEP_PER_SEQUENCE_US: f64 = 500.0;
const PREFILL_PER_TOKEN_US: f64 = 62.5;
const PREFILL_CHUNK_TOKENS: u64 = 128;
/// Prefixes that fit into the cache.
const CACHED_PREFIXES: usize = 24;
/// Share of a prompt that a cached prefix saves.
const PREFIX_SHARE: f64 = 0.75;
/// Speed of a cold engine relative to a warm one.
const COLD_SPEED: f64 = 0.3;
/// Tokens of work that warm an engine.
const WARM_UP_TOKENS: f64 = 20_000.0;
/// Growth of the step time for each sequence above what a cold engine bears.
const COLLAPSE: f64 = 0.5;
/// Batch at which a step with prefill takes 37 ms; defines the capacity.
const CAPACITY_BATCH: f64 = 22.0;

/// A sequence at an engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub attempt: AttemptId,
    pub class: Class,
    pub prefix: u64,
    pub prompt_tokens: u64,
    pub prefill_left: u64,
    pub answer_left: u64,
    pub produced: u64,
}

/// Output of a step.
#[derive(Debug)]
pub struct Output {
    pub attempt: AttemptId,
    pub tokens: u64,
    pub first: bool,
    pub done: bool,
}

#[derive(Debug)]
pub struct Engine {
    pub version: VersionId,
    pub warmth: f64,
    pub hung: bool,
    pub down: bool,
    pub stepping: bool,
    pub epoch: u64,
    chunk_tokens: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: HashMap<u64, u64>,
    uses: u64,
    step_us: f64,
}

/// Requests a second that a warm engine serves at 37 ms between tokens.
pub fn capacity_per_s(uncached_prompt_tokens: f64, answer_tokens: f64) -> f64 {
    let decode_us = (STEP_US + STEP_PER_SEQUENCE_US * CAPACITY_BATCH) / CAPACITY_BATCH;
    let request_us = decode_us * answer_tokens + PREFILL_PER_TOKEN_US * uncached_prompt_tokens;
    1e6 / request_us
}

impl Engine {
    pub fn new(version: VersionId, chunk_tokens: u64) -> Self {
        Self {
            version,
            warmth: 1.0,
            hung: false,
            down: false,
            stepping: false,
            epoch: 0,
            chunk_tokens,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: HashMap::new(),
            uses: 0,
            step_us: STEP_US,
        }
    }

    /// Sequences that the engine bears now.
    pub fn bound(&self) -> usize {
        COLD_SLOTS + (self.warmth * (SLOTS - COLD_SLOTS) as f64) as usize
    }

    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn accept(&mut self, mut sequence: Sequence) {
        sequence.prefill_left = sequence.prompt_tokens.max(1);
        let place = match sequence.class {
            Class::Interactive => {
                let interactive = |waiting: &Sequence| waiting.class == Class::Interactive;
                self.waiting.iter().take_while(|waiting| interactive(waiting)).count()
            }
            Class::Batch => self.waiting.len(),
        };
        self.waiting.insert(place, sequence);
    }

    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.running.retain(|sequence| sequence.attempt != *attempt);
        self.waiting.retain(|sequence| sequence.attempt != *attempt);
    }

    /// Loses speed and cache; the running sequences stay.
    pub fn go_cold(&mut self) {
        self.warmth = 0.0;
        self.cache.clear();
    }

    /// Restarts cold and returns the attempts that are lost.
    pub fn restart(&mut self) -> Vec<AttemptId> {
        self.go_cold();
        self.stepping = false;
        self.epoch += 1;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|sequence| sequence.attempt).collect()
    }

    /// Starts a step and returns its length in microseconds, if there is work.
    pub fn begin_step(&mut self) -> Option<u64> {
        if self.hung || self.down || self.stepping {
            return None;
        }
        while self.running.len() < SLOTS {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            self.use_cache(&mut sequence);
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let decoding = self.running.iter().filter(|sequence| sequence.prefill_left == 0).count();
        let waiting_tokens: u64 = self.running.iter().map(|sequence| sequence.prefill_left).sum();
        let chunk = waiting_tokens.min(PREFILL_CHUNK_TOKENS);
        let mut step_us = STEP_US + STEP_PER_SEQUENCE_US * decoding as f64;
        step_us += PREFILL_PER_TOKEN_US * chunk as f64;
        step_us /= COLD_SPEED + (1.0 - COLD_SPEED) * self.warmth;
        let excess = self.running.len().saturating_sub(self.bound());
        step_us *= 1.0 + COLLAPSE * excess as f64;
        self.step_us = step_us;
        self.stepping = true;
        Some(step_us as u64)
    }

    fn use_cache(&mut self, sequence: &mut Sequence) {
        self.uses += 1;
        if self.cache.insert(sequence.prefix, self.uses).is_some() {
            let saved = (sequence.prompt_tokens as f64 * PREFIX_SHARE) as u64;
            sequence.prefill_left = sequence.prefill_left.saturating_sub(saved).max(1);
        }
        if self.cache.len() > CACHED_PREFIXES
            && let Some(oldest) = self.cache.iter().min_by_key(|(_, used)| **used)
        {
            let oldest = *oldest.0;
            self.cache.remove(&oldest);
        }
    }

    /// Ends the step and returns what it produced.
    pub fn finish_step(&mut self) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        let mut budget = PREFILL_CHUNK_TOKENS;
        let mut work = 0;
        for sequence in &mut self.running {
            if sequence.prefill_left > 0 {
                let read = sequence.prefill_left.min(budget);
                budget -= read;
                sequence.prefill_left -= read;
                work += read;
                continue;
            }
            work += 1;
            sequence.answer_left -= 1;
            sequence.produced += 1;
            let done = sequence.answer_left == 0;
            let first = sequence.produced == 1;
            let pending = (sequence.produced - 1) % self.chunk_tokens;
            if first || done || pending == 0 {
                let tokens = if first {
                    1
                } else if pending == 0 {
                    self.chunk_tokens
                } else {
                    pending
                };
                outputs.push(Output { attempt: sequence.attempt.clone(), tokens, first, done });
            }
        }
        self.running.retain(|sequence| sequence.answer_left > 0);
        self.warmth = (self.warmth + work as f64 / WARM_UP_TOKENS).min(1.0);
        outputs
    }

    pub fn report(&self) -> UpstreamReport {
        let queued_prompt_tokens =
            self.running.iter().chain(&self.waiting).map(|sequence| sequence.prefill_left).sum();
        UpstreamReport {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            queued_prompt_tokens: Tokens::new(queued_prompt_tokens),
            prefill_tokens_per_s: PREFILL_CHUNK_TOKENS as f64 * 1e6 / self.step_us,
            token_interval_ms: self.step_us / 1e3,
            versions: vec![self.version.clone()],
        }
    }
}
