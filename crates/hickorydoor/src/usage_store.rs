//! Copies of usage that an agent keeps until the entry's bills are stored.

use std::collections::BTreeMap;

use crate::class::Class;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::VersionId;
use crate::usage::Usage;

/// Usage of one finished attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCopy {
    /// The customer that pays.
    pub customer: CustomerId,
    /// The class.
    pub class: Class,
    /// The version; absent for plain services.
    pub version: Option<VersionId>,
    /// Tokens used.
    pub usage: Usage,
}

/// Usage copies by request and attempt.
#[derive(Clone, Debug, Default)]
pub struct UsageStore {
    copies: BTreeMap<RequestId, BTreeMap<u32, UsageCopy>>,
}

impl UsageStore {
    /// Keeps the usage of a finished attempt.
    pub fn keep(&mut self, attempt: AttemptId, copy: UsageCopy) {
        self.copies.entry(attempt.request).or_default().insert(attempt.ordinal, copy);
    }

    /// Whether the usage of this attempt is kept.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        let copies = self.copies.get(&attempt.request);
        copies.is_some_and(|copies| copies.contains_key(&attempt.ordinal))
    }

    /// Drops the copies of requests whose bills are stored.
    pub fn settle(&mut self, requests: &[RequestId]) {
        for request in requests {
            self.copies.remove(request);
        }
    }

    /// Requests with copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}
