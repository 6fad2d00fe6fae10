//! Why recent requests went where they went.

use std::collections::HashMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use hickorydoor::TimeMs;
use hickorydoor::id::RequestId;
use serde::Serialize;

/// Requests that are remembered; at about 300 bytes a note this stays under 4 MB.
const MAX_REQUESTS: usize = 2048;
/// Notes for each request; retries and cascade steps make a few.
const MAX_NOTES: usize = 16;

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RequestStep {
    /// When it happened.
    pub at_ms: TimeMs,
    /// What happened: `dispatched`, `refused`, `failed` or `ended`.
    pub step: &'static str,
    /// The attempt, counted from 0.
    pub attempt: Option<u32>,
    /// The agent.
    pub agent: Option<CompactString>,
    /// The version.
    pub version: Option<CompactString>,
    /// Why, or how it ended.
    pub reason: CompactString,
}

/// Notes on the newest requests.
#[derive(Debug, Default)]
pub struct RequestLog {
    notes: HashMap<RequestId, Vec<RequestStep>>,
    order: VecDeque<RequestId>,
}

impl RequestLog {
    /// Adds a note; the oldest request is forgotten when the log is full.
    pub fn add(&mut self, request: &RequestId, note: RequestStep) {
        if let Some(notes) = self.notes.get_mut(request) {
            if notes.len() < MAX_NOTES {
                notes.push(note);
            }
            return;
        }
        if self.order.len() == MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.notes.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.notes.insert(request.clone(), vec![note]);
    }

    /// Notes on a request, oldest first.
    pub fn get(&self, request: &RequestId) -> Vec<RequestStep> {
        self.notes.get(request).cloned().unwrap_or_default()
    }
}
