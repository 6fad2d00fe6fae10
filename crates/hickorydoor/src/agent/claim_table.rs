//! At-most-once claims of idempotency keys at an agent.
//!
//! A keyed call that must not be repeated runs only after its claim is confirmed as created by
//! this agent for this attempt. Claims that arrive while a commit is under way share the next
//! transaction. A claim that was created and not run is deleted again, so that the key stays
//! usable; a claim that was run keeps its response for retries.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::Rng;

use crate::agent::claim::Claim;
use crate::agent::claim::StoredResponse;
use crate::agent::claim_verdict::ClaimVerdict;
use crate::backoff::Backoff;
use crate::id::AttemptId;
use crate::message::AttemptFault;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvFault;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Claims in one transaction at most; the service allows 128 operations in one.
const MAX_GROUP: usize = 32;
/// Responses in one transaction at most, which bounds it to about 0.4 MB.
const MAX_RESPONSES: usize = 16;
/// How long a call waits for its claim before it is refused as "not run".
const CLAIM_WAIT_MS: DurationMs = DurationMs::from_secs(2);
/// Time to live of the leases under which claims live. A claim expires 24 to 25 hours after it
/// was made.
const LEASE_TTL_MS: DurationMs = DurationMs::from_secs(25 * 3600);
/// How long new claims go under the same lease.
const LEASE_USE_MS: DurationMs = DurationMs::from_secs(3600);
/// How long the deletion or the response of a claim is retried.
const CLEANUP_LIMIT_MS: DurationMs = DurationMs::from_secs(3600);

/// The call that the table waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCall {
    /// Grants a lease for new claims.
    Grant,
    /// Creates the claims of these attempts.
    Commit(Vec<AttemptId>),
    /// Stores the responses of these attempts.
    Respond(Vec<AttemptId>),
    /// Reads or deletes the claim of this attempt.
    Release(AttemptId),
}

/// How far a claim has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a commit. `replaces` is the revision of a claim of an earlier attempt of the
    /// same request, which was refused as "not run".
    Waiting { replaces: Option<u64> },
    /// Confirmed and running.
    Running { revision: u64 },
    /// Done; the response waits for being stored.
    Responding { revision: u64 },
    /// Not run; the claim is to be deleted. The revision is not known after a lost answer.
    Releasing { revision: Option<u64> },
}

#[derive(Clone, Debug)]
struct LocalClaim {
    key: CompactString,
    claim: Claim,
    phase: Phase,
    lease: u64,
    /// Whether the claim may exist in the key-value service.
    maybe_written: bool,
    until_ms: TimeMs,
}

/// Claims that an agent works on.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    claims: BTreeMap<AttemptId, LocalClaim>,
    lease: Option<(u64, TimeMs)>,
    in_flight: Option<ClaimCall>,
    backoff: Backoff,
    paused_until_ms: TimeMs,
}

impl Default for ClaimTable {
    fn default() -> Self {
        Self {
            claims: BTreeMap::new(),
            lease: None,
            in_flight: None,
            // A caller waits for its keyed call until the key-value service is tried again.
            backoff: Backoff::urgent(),
            paused_until_ms: TimeMs::default(),
        }
    }
}

impl ClaimTable {
    /// Asks for a claim. `None` means that the verdict follows later.
    pub fn request(
        &mut self,
        attempt: &AttemptId,
        key: CompactString,
        claim: Claim,
        now: TimeMs,
    ) -> Option<ClaimVerdict> {
        if let Some(verdict) = self.local_verdict(attempt, &key, &claim) {
            return Some(verdict);
        }
        if now < self.paused_until_ms {
            // The key-value service has just failed, so waiting for it would hold the caller.
            let wait_ms = self.paused_until_ms.since(now);
            return Some(ClaimVerdict::Refuse(attempt.clone(), wait_ms));
        }
        let local = LocalClaim {
            key,
            claim,
            phase: Phase::Waiting { replaces: None },
            lease: 0,
            maybe_written: false,
            until_ms: now + CLAIM_WAIT_MS,
        };
        self.claims.insert(attempt.clone(), local);
        None
    }

    /// The verdict that this agent's own claims of the key give.
    fn local_verdict(
        &self,
        attempt: &AttemptId,
        key: &CompactString,
        claim: &Claim,
    ) -> Option<ClaimVerdict> {
        let running = |local: &&LocalClaim| {
            local.key == *key && !matches!(local.phase, Phase::Releasing { .. })
        };
        let local = self.claims.values().find(running)?;
        let attempt = attempt.clone();
        if local.claim.request_digest != claim.request_digest {
            return Some(ClaimVerdict::Fail(attempt, AttemptFault::KeyReused));
        }
        Some(match &local.claim.response {
            Some(response) => ClaimVerdict::Replay(attempt, response.clone()),
            None => ClaimVerdict::Fail(attempt, AttemptFault::DuplicateInProgress),
        })
    }

    /// Whether the attempt waits for its claim.
    pub fn is_waiting(&self, attempt: &AttemptId) -> bool {
        let local = self.claims.get(attempt);
        local.is_some_and(|local| matches!(local.phase, Phase::Waiting { .. }))
    }

    /// Whether the attempt runs under a claim.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        let local = self.claims.get(attempt);
        local.is_some_and(|local| matches!(local.phase, Phase::Running { .. }))
    }

    /// Gives up a claim whose call is certainly not run.
    pub fn release(&mut self, attempt: &AttemptId, now: TimeMs) {
        let committing = self.is_committing(attempt);
        let Some(local) = self.claims.get_mut(attempt) else {
            return;
        };
        let revision = match local.phase {
            Phase::Running { revision } => Some(revision),
            _ => None,
        };
        if revision.is_none() && !local.maybe_written && !committing {
            self.claims.remove(attempt);
            return;
        }
        local.phase = Phase::Releasing { revision };
        local.until_ms = now + CLEANUP_LIMIT_MS;
    }

    fn is_committing(&self, attempt: &AttemptId) -> bool {
        matches!(&self.in_flight, Some(ClaimCall::Commit(group)) if group.contains(attempt))
    }

    /// Ends a claim whose call has run. Without a response, retries learn that the outcome is
    /// unknown.
    pub fn finish(&mut self, attempt: &AttemptId, response: Option<StoredResponse>, now: TimeMs) {
        let Some(local) = self.claims.get_mut(attempt) else {
            return;
        };
        let Phase::Running { revision } = local.phase else {
            return;
        };
        if response.is_none() {
            self.claims.remove(attempt);
            return;
        }
        local.claim.response = response;
        local.phase = Phase::Responding { revision };
        local.until_ms = now + CLEANUP_LIMIT_MS;
    }

    /// Refuses calls that have waited too long, and drops cleanup that has failed for too long.
    pub fn expire(&mut self, now: TimeMs) -> Vec<ClaimVerdict> {
        let late = |local: &LocalClaim| {
            now >= local.until_ms && !matches!(local.phase, Phase::Running { .. })
        };
        let expired: Vec<AttemptId> = self
            .claims
            .iter()
            .filter(|(_, local)| late(local))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        let wait_ms = self.paused_until_ms.since(now) + DurationMs::from_secs(1);
        let mut verdicts = Vec::new();
        for attempt in expired {
            if self.is_waiting(&attempt) {
                self.release(&attempt, now);
                verdicts.push(ClaimVerdict::Refuse(attempt, wait_ms));
            } else {
                self.claims.remove(&attempt);
            }
        }
        verdicts
    }

    /// The next call to the key-value service, if one is due and none is under way.
    pub fn next_call(&mut self, now: TimeMs) -> Option<KvCall> {
        if self.in_flight.is_some() || now < self.paused_until_ms {
            return None;
        }
        let (call, operation) = self
            .commit_call(now)
            .or_else(|| self.respond_call())
            .or_else(|| self.release_call())?;
        self.in_flight = Some(call);
        Some(operation)
    }

    fn commit_call(&mut self, now: TimeMs) -> Option<(ClaimCall, KvCall)> {
        let mut group = Vec::new();
        let (mut compares, mut then, mut otherwise) = (Vec::new(), Vec::new(), Vec::new());
        let lease = self.lease.filter(|(_, granted)| now < *granted + LEASE_USE_MS);
        for (attempt, local) in &mut self.claims {
            let Phase::Waiting { replaces } = local.phase else {
                continue;
            };
            let Some((lease, _)) = lease else {
                return Some((ClaimCall::Grant, KvCall::Grant { ttl_ms: LEASE_TTL_MS }));
            };
            local.lease = lease;
            let key = local.key.clone();
            compares.push(match replaces {
                Some(store_revision) => KvCompare::ModifiedAt { key: key.clone(), store_revision },
                None => KvCompare::Absent { key: key.clone() },
            });
            let value = local.claim.encode();
            then.push(KvOperation::Put { key: key.clone(), value, lease: Some(lease) });
            otherwise.push(KvOperation::Get { key });
            group.push(attempt.clone());
            if group.len() == MAX_GROUP {
                break;
            }
        }
        let operation = KvCall::Transaction { compares, then, otherwise };
        (!group.is_empty()).then_some((ClaimCall::Commit(group), operation))
    }

    fn respond_call(&self) -> Option<(ClaimCall, KvCall)> {
        let mut group = Vec::new();
        let (mut compares, mut then, mut otherwise) = (Vec::new(), Vec::new(), Vec::new());
        for (attempt, local) in &self.claims {
            let Phase::Responding { revision: store_revision } = local.phase else {
                continue;
            };
            let key = local.key.clone();
            compares.push(KvCompare::ModifiedAt { key: key.clone(), store_revision });
            let value = local.claim.encode();
            then.push(KvOperation::Put { key: key.clone(), value, lease: Some(local.lease) });
            otherwise.push(KvOperation::Get { key });
            group.push(attempt.clone());
            if group.len() == MAX_RESPONSES {
                break;
            }
        }
        let operation = KvCall::Transaction { compares, then, otherwise };
        (!group.is_empty()).then_some((ClaimCall::Respond(group), operation))
    }

    fn release_call(&self) -> Option<(ClaimCall, KvCall)> {
        let releasing = |local: &LocalClaim| matches!(local.phase, Phase::Releasing { .. });
        let (attempt, local) = self.claims.iter().find(|(_, local)| releasing(local))?;
        let key = local.key.clone();
        let read = vec![KvOperation::Get { key: key.clone() }];
        let operation = match local.phase {
            Phase::Releasing { revision: Some(store_revision) } => KvCall::Transaction {
                compares: vec![KvCompare::ModifiedAt { key: key.clone(), store_revision }],
                then: vec![KvOperation::Delete { key }],
                otherwise: Vec::new(),
            },
            _ => KvCall::Transaction { compares: Vec::new(), then: read, otherwise: Vec::new() },
        };
        Some((ClaimCall::Release(attempt.clone()), operation))
    }

    /// Takes over the answer to the call under way.
    pub fn on_outcome<R: Rng>(
        &mut self,
        outcome: KvOutcome,
        now: TimeMs,
        rng: &mut R,
    ) -> Vec<ClaimVerdict> {
        let Some(call) = self.in_flight.take() else {
            return Vec::new();
        };
        match (call, outcome) {
            (ClaimCall::Grant, KvOutcome::Reply(KvReply::Lease { lease, .. })) => {
                self.backoff.record_success();
                self.lease = Some((lease, now));
                Vec::new()
            }
            (
                call,
                KvOutcome::Reply(KvReply::Transaction { succeeded, store_revision, results }),
            ) => {
                self.backoff.record_success();
                self.on_transaction(call, succeeded, store_revision, &results, now)
            }
            (call, outcome) => {
                self.on_fault(&call, &outcome, now, rng);
                Vec::new()
            }
        }
    }

    fn on_fault<R: Rng>(
        &mut self,
        call: &ClaimCall,
        outcome: &KvOutcome,
        now: TimeMs,
        rng: &mut R,
    ) {
        let pause_ms = self.backoff.record_failure(rng);
        self.paused_until_ms = now + pause_ms;
        match outcome {
            KvOutcome::Fault(KvFault::NotSent) => {}
            KvOutcome::Fault(KvFault::Rejected) => {
                // The lease may have lapsed; claims go under a new one.
                self.lease = None;
            }
            _ => {
                if let ClaimCall::Commit(group) = call {
                    for attempt in group {
                        if let Some(local) = self.claims.get_mut(attempt) {
                            local.maybe_written = true;
                        }
                    }
                }
            }
        }
    }

    fn on_transaction(
        &mut self,
        call: ClaimCall,
        succeeded: bool,
        store_revision: u64,
        results: &[Vec<KvPair>],
        now: TimeMs,
    ) -> Vec<ClaimVerdict> {
        match call {
            ClaimCall::Commit(group) if succeeded => {
                let confirm = |attempt| self.confirm(attempt, store_revision, now);
                group.iter().filter_map(confirm).collect()
            }
            ClaimCall::Commit(group) => {
                let pairs = results.iter().map(|pairs| pairs.first());
                let found = group.iter().zip(pairs);
                found.filter_map(|(attempt, pair)| self.resolve(attempt, pair, now)).collect()
            }
            ClaimCall::Respond(group) => {
                for (index, attempt) in group.iter().enumerate() {
                    let pair = results.get(index).and_then(|pairs| pairs.first());
                    self.on_responded(attempt, succeeded, pair);
                }
                Vec::new()
            }
            ClaimCall::Release(attempt) => {
                self.on_released(&attempt, results);
                Vec::new()
            }
            ClaimCall::Grant => Vec::new(),
        }
    }

    /// The claim is this attempt's own.
    fn confirm(&mut self, attempt: &AttemptId, revision: u64, now: TimeMs) -> Option<ClaimVerdict> {
        let local = self.claims.get_mut(attempt)?;
        if !matches!(local.phase, Phase::Waiting { .. }) {
            // The call was given up while the commit was under way.
            local.phase = Phase::Releasing { revision: Some(revision) };
            local.until_ms = now + CLEANUP_LIMIT_MS;
            return None;
        }
        local.phase = Phase::Running { revision };
        Some(ClaimVerdict::Run(attempt.clone()))
    }

    /// Decides on a claim of a transaction that failed because some key existed.
    fn resolve(
        &mut self,
        attempt: &AttemptId,
        pair: Option<&KvPair>,
        now: TimeMs,
    ) -> Option<ClaimVerdict> {
        let local = self.claims.get_mut(attempt)?;
        let Some(pair) = pair else {
            // Another claim of the group existed; this one is tried again.
            if let Phase::Waiting { replaces } = &mut local.phase {
                *replaces = None;
            }
            return None;
        };
        let Ok(found) = serde_json::from_slice::<Claim>(&pair.value) else {
            return Some(self.lose(attempt, AttemptFault::OutcomeUnknown));
        };
        if found.is_same_holder(&local.claim) {
            return self.confirm(attempt, pair.modify_revision, now);
        }
        let Phase::Waiting { replaces } = &mut local.phase else {
            // The key belongs to another call, so there is nothing to release.
            self.claims.remove(attempt);
            return None;
        };
        if found.request_digest != local.claim.request_digest {
            return Some(self.lose(attempt, AttemptFault::KeyReused));
        }
        if let Some(response) = found.response {
            self.claims.remove(attempt);
            return Some(ClaimVerdict::Replay(attempt.clone(), response));
        }
        if found.precedes(attempt) {
            // The entry moves such a call on only after the earlier attempt was refused as
            // "not run", and a refused attempt is never run.
            *replaces = Some(pair.modify_revision);
            return None;
        }
        Some(self.lose(attempt, AttemptFault::OutcomeUnknown))
    }

    fn lose(&mut self, attempt: &AttemptId, fault: AttemptFault) -> ClaimVerdict {
        self.claims.remove(attempt);
        ClaimVerdict::Fail(attempt.clone(), fault)
    }

    fn on_responded(&mut self, attempt: &AttemptId, succeeded: bool, pair: Option<&KvPair>) {
        let Some(local) = self.claims.get_mut(attempt) else {
            return;
        };
        let found = pair.and_then(|pair| serde_json::from_slice::<Claim>(&pair.value).ok());
        let unanswered =
            found.filter(|found| found.is_same_holder(&local.claim) && found.response.is_none());
        match (succeeded, unanswered, pair) {
            (false, Some(_), Some(pair)) => {
                local.phase = Phase::Responding { revision: pair.modify_revision };
            }
            _ => {
                self.claims.remove(attempt);
            }
        }
    }

    fn on_released(&mut self, attempt: &AttemptId, results: &[Vec<KvPair>]) {
        let Some(local) = self.claims.get_mut(attempt) else {
            return;
        };
        let Phase::Releasing { revision: None } = local.phase else {
            self.claims.remove(attempt);
            return;
        };
        let pair = results.first().and_then(|pairs| pairs.first());
        let own = pair.filter(|pair| {
            let found = serde_json::from_slice::<Claim>(&pair.value).ok();
            found.is_some_and(|found| found.is_same_holder(&local.claim))
        });
        match own {
            Some(pair) => {
                local.phase = Phase::Releasing { revision: Some(pair.modify_revision) };
            }
            None => {
                self.claims.remove(attempt);
            }
        }
    }

    /// Whether nothing waits for the key-value service.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
