//! In-memory log of the steps of recent requests, which explains their routing to operators.

use std::collections::HashMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use hickorydoor::TimeMs;
use hickorydoor::id::RequestId;
use serde::Serialize;

/// Maximum number of requests in the log. With a few steps of about 300 bytes each, it stays under
/// 4 MB.
const MAX_REQUESTS: usize = 2048;
/// Maximum number of steps kept for each request. Retries and cascades add a few.
const MAX_STEPS: usize = 16;

/// Step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RequestStep {
    pub at_ms: TimeMs,
    /// `dispatched`, `refused`, `failed` or `ended`.
    pub step: &'static str,
    /// Number of the attempt, counted from 0; `None` for the end of the request.
    pub attempt: Option<u32>,
    /// Agent of the attempt, or the last one of a request that ended.
    pub agent: Option<CompactString>,
    /// Version to run, or the last one of a request that ended; `None` for service calls and for the
    /// steps `refused` and `failed`.
    pub version: Option<CompactString>,
    /// Reason for the step, or the outcome of the request.
    pub reason: CompactString,
}

/// Steps of the newest requests.
#[derive(Debug, Default)]
pub struct RequestLog {
    steps: HashMap<RequestId, Vec<RequestStep>>,
    order: VecDeque<RequestId>,
}

impl RequestLog {
    /// Adds a step, and evicts the oldest request if the log is full.
    pub fn add(&mut self, request: &RequestId, step: RequestStep) {
        if let Some(steps) = self.steps.get_mut(request) {
            if steps.len() < MAX_STEPS {
                steps.push(step);
            }
            return;
        }
        if self.order.len() == MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.steps.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.steps.insert(request.clone(), vec![step]);
    }

    /// Returns the steps of a request, oldest first. Empty if the request is not in the log.
    pub fn get(&self, request: &RequestId) -> Vec<RequestStep> {
        self.steps.get(request).cloned().unwrap_or_default()
    }
}
