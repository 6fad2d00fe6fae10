//! Model of an inference engine with continuous batching.
//!
//! A step decodes one token of every sequence that has completed its prefill, and prefills a chunk of
//! the oldest prompts. The step time grows with the batch. A cold engine is slower, and batches above
//! its capacity make its steps many times longer.

use std::collections::HashMap;
use std::collections::VecDeque;

use hickorydoor::Class;
use hickorydoor::agent::event::UpstreamReport;
use hickorydoor::id::AttemptId;
use hickorydoor::id::VersionId;
use hickorydoor::quantity::Tokens;

/// Maximum batch size.
pub const MAX_BATCH: usize = 32;
/// Batch size up to which the steps of a cold engine are not slowed down by overload.
pub const COLD_BATCH: usize = 4;
const BASE_STEP_US: f64 = 18_000.0;
const STEP_PER_SEQUENCE_US: f64 = 500.0;
const PREFILL_PER_TOKEN_US: f64 = 62.5;
/// Maximum number of prompt tokens that one step prefills.
const PREFILL_CHUNK_TOKENS: u64 = 128;
/// Number of prefixes that fit into the cache.
const CACHED_PREFIXES: usize = 24;
/// Fraction of a prompt that needs no prefill if its prefix is cached.
const CACHED_PROMPT_SHARE: f64 = 0.75;
/// Speed of a cold engine relative to a warm one.
const COLD_SPEED: f64 = 0.3;
/// Processed tokens after which a cold engine is warm.
const WARM_UP_TOKENS: f64 = 20_000.0;
/// Relative increase of the step time for each sequence above the batch capacity.
const OVERLOAD_SLOWDOWN: f64 = 0.5;
/// Batch size at which a step with a full prefill chunk takes 37 ms; the nominal capacity is that of
/// this batch size.
const CAPACITY_BATCH: f64 = 22.0;

/// A request that is queued at an engine or part of its batch.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub attempt: AttemptId,
    pub class: Class,
    pub prefix_hash: u64,
    pub prompt_tokens: u64,
    pub remaining_prefill_tokens: u64,
    pub remaining_answer_tokens: u64,
    pub produced_tokens: u64,
}

/// Tokens that a step produced for one attempt.
#[derive(Debug)]
pub struct Output {
    pub attempt: AttemptId,
    pub tokens: u64,
    /// The attempt's first output.
    pub first: bool,
    /// The attempt's last output.
    pub done: bool,
}

#[derive(Debug)]
pub struct Engine {
    pub version: VersionId,
    /// From 0 for a cold engine to 1 for a warm one.
    pub warmth: f64,
    /// Accepts requests but makes no progress.
    pub hung: bool,
    pub down: bool,
    /// A step is in progress.
    pub stepping: bool,
    /// Number of restarts; a step that started in an earlier epoch is discarded.
    pub epoch: u64,
    chunk_tokens: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Cached prefixes, each with the value of `cache_clock` at its last use.
    cache: HashMap<u64, u64>,
    cache_clock: u64,
    /// Duration of the latest step.
    step_us: f64,
}

/// Requests per second that a warm engine serves at 37 ms per step.
pub fn capacity_per_s(uncached_prompt_tokens: f64, answer_tokens: f64) -> f64 {
    let decode_us = (BASE_STEP_US + STEP_PER_SEQUENCE_US * CAPACITY_BATCH) / CAPACITY_BATCH;
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
            cache_clock: 0,
            step_us: BASE_STEP_US,
        }
    }

    /// Batch size up to which steps are not slowed down by overload at the current warmth.
    pub fn batch_capacity(&self) -> usize {
        COLD_BATCH + (self.warmth * (MAX_BATCH - COLD_BATCH) as f64) as usize
    }

    /// Returns the number of queued and running sequences.
    pub fn sequence_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queues a sequence. Interactive sequences precede batch sequences.
    pub fn accept(&mut self, mut sequence: Sequence) {
        sequence.remaining_prefill_tokens = sequence.prompt_tokens.max(1);
        let position = match sequence.class {
            Class::Interactive => {
                let interactive = |waiting: &Sequence| waiting.class == Class::Interactive;
                self.waiting.iter().take_while(|waiting| interactive(waiting)).count()
            }
            Class::Batch => self.waiting.len(),
        };
        self.waiting.insert(position, sequence);
    }

    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.running.retain(|sequence| sequence.attempt != *attempt);
        self.waiting.retain(|sequence| sequence.attempt != *attempt);
    }

    /// Resets the warmth and the cache; the sequences stay.
    pub fn mark_cold(&mut self) {
        self.warmth = 0.0;
        self.cache.clear();
    }

    /// Restarts the engine cold and returns the attempts that it lost.
    pub fn restart(&mut self) -> Vec<AttemptId> {
        self.mark_cold();
        self.stepping = false;
        self.epoch += 1;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|sequence| sequence.attempt).collect()
    }

    /// Starts a step and returns its duration in microseconds, or `None` if no step can start.
    pub fn begin_step(&mut self) -> Option<u64> {
        if self.hung || self.down || self.stepping {
            return None;
        }
        while self.running.len() < MAX_BATCH {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            self.apply_prefix_cache(&mut sequence);
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let decoding =
            self.running.iter().filter(|sequence| sequence.remaining_prefill_tokens == 0).count();
        let prefill_tokens: u64 =
            self.running.iter().map(|sequence| sequence.remaining_prefill_tokens).sum();
        let prefill_chunk = prefill_tokens.min(PREFILL_CHUNK_TOKENS);
        let mut step_us = BASE_STEP_US + STEP_PER_SEQUENCE_US * decoding as f64;
        step_us += PREFILL_PER_TOKEN_US * prefill_chunk as f64;
        step_us /= COLD_SPEED + (1.0 - COLD_SPEED) * self.warmth;
        let excess = self.running.len().saturating_sub(self.batch_capacity());
        step_us *= 1.0 + OVERLOAD_SLOWDOWN * excess as f64;
        self.step_us = step_us;
        self.stepping = true;
        Some(step_us as u64)
    }

    /// Reduces the prefill of a sequence if its prefix is cached, and caches the prefix. Evicts the
    /// least recently used prefix if the cache is full.
    fn apply_prefix_cache(&mut self, sequence: &mut Sequence) {
        self.cache_clock += 1;
        if self.cache.insert(sequence.prefix_hash, self.cache_clock).is_some() {
            let saved = (sequence.prompt_tokens as f64 * CACHED_PROMPT_SHARE) as u64;
            sequence.remaining_prefill_tokens =
                sequence.remaining_prefill_tokens.saturating_sub(saved).max(1);
        }
        if self.cache.len() > CACHED_PREFIXES
            && let Some(oldest) = self.cache.iter().min_by_key(|(_, used)| **used)
        {
            let oldest = *oldest.0;
            self.cache.remove(&oldest);
        }
    }

    /// Completes the step and returns its outputs.
    pub fn finish_step(&mut self) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        let mut budget = PREFILL_CHUNK_TOKENS;
        let mut processed_tokens = 0;
        for sequence in &mut self.running {
            if sequence.remaining_prefill_tokens > 0 {
                let prefilled = sequence.remaining_prefill_tokens.min(budget);
                budget -= prefilled;
                sequence.remaining_prefill_tokens -= prefilled;
                processed_tokens += prefilled;
                continue;
            }
            processed_tokens += 1;
            sequence.remaining_answer_tokens -= 1;
            sequence.produced_tokens += 1;
            let done = sequence.remaining_answer_tokens == 0;
            let first = sequence.produced_tokens == 1;
            let pending = (sequence.produced_tokens - 1) % self.chunk_tokens;
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
        self.running.retain(|sequence| sequence.remaining_answer_tokens > 0);
        self.warmth = (self.warmth + processed_tokens as f64 / WARM_UP_TOKENS).min(1.0);
        outputs
    }

    pub fn report(&self) -> UpstreamReport {
        let queued_prompt_tokens = self
            .running
            .iter()
            .chain(&self.waiting)
            .map(|sequence| sequence.remaining_prefill_tokens)
            .sum();
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
