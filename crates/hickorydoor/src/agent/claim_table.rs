//! Claims of idempotency keys, which make keyed calls run at most once.
//!
//! A keyed call that is not repeatable runs only after the key-value service has confirmed that
//! this agent created the claim for this attempt. At most one call to the service is in flight;
//! claims requested meanwhile share the next transaction. The claim of a call that was not run is
//! deleted, so that the key stays usable. The claim of a call that was run stores its response for
//! retries.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::Rng;

use crate::agent::claim::Claim;
use crate::agent::claim::StoredResponse;
use crate::agent::claim_decision::ClaimDecision;
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

/// Maximum number of claims in one transaction; the service allows 128 operations per transaction.
const MAX_CLAIMS_PER_TRANSACTION: usize = 32;
/// Maximum number of responses in one transaction, which limits its size to about 0.4 MB.
const MAX_RESPONSES_PER_TRANSACTION: usize = 16;
/// How long a call waits for its claim before it is refused as "not run".
const CLAIM_TIMEOUT_MS: DurationMs = DurationMs::from_secs(2);
/// Time to live of the leases that claims are attached to. With [`LEASE_REUSE_MS`], a claim expires
/// 24 to 25 hours after it was made.
const LEASE_TTL_MS: DurationMs = DurationMs::from_secs(25 * 3600);
/// How long new claims are attached to the same lease.
const LEASE_REUSE_MS: DurationMs = DurationMs::from_secs(3600);
/// How long deleting a claim or storing its response is retried.
const CLEANUP_TIMEOUT_MS: DurationMs = DurationMs::from_secs(3600);

/// Key-value call in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCall {
    /// Requests a lease for new claims.
    Grant,
    /// Creates the claims of these attempts.
    Commit(Vec<AttemptId>),
    /// Stores the responses of these attempts.
    StoreResponses(Vec<AttemptId>),
    /// Deletes the claim of this attempt, or reads it first if its revision is unknown.
    Release(AttemptId),
}

/// Life cycle of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Not confirmed yet. If set, the revision belongs to the claim of an earlier attempt of the
    /// same request, which was refused as "not run" and is overwritten.
    Waiting { replaced_revision: Option<u64> },
    /// Confirmed; the call is in progress.
    Running { revision: u64 },
    /// The call has ended and its response is to be stored.
    StoringResponse { revision: u64 },
    /// The call was not run and the claim is to be deleted. The revision is unknown if the reply
    /// to the commit was lost.
    Releasing { revision: Option<u64> },
}

#[derive(Clone, Debug)]
struct LocalClaim {
    key: CompactString,
    claim: Claim,
    phase: Phase,
    lease: u64,
    /// Set when the outcome of a commit is unknown, so the claim may be stored.
    maybe_written: bool,
    deadline_ms: TimeMs,
}

/// Claims of one agent whose calls or key-value writes are not complete.
///
/// The caller sends what [`Self::next_call`] returns, one call at a time, and passes each outcome
/// to [`Self::on_outcome`].
#[derive(Clone, Debug)]
pub struct ClaimTable {
    claims: BTreeMap<AttemptId, LocalClaim>,
    lease: Option<(u64, TimeMs)>,
    in_flight: Option<ClaimCall>,
    backoff: Backoff,
    retry_at_ms: TimeMs,
}

impl Default for ClaimTable {
    fn default() -> Self {
        Self {
            claims: BTreeMap::new(),
            lease: None,
            in_flight: None,
            // A keyed call blocks its caller until the key-value service is retried.
            backoff: Backoff::urgent(),
            retry_at_ms: TimeMs::default(),
        }
    }
}

impl ClaimTable {
    /// Requests a claim. `None` means that [`Self::on_outcome`] or [`Self::expire`] returns the
    /// decision later.
    pub fn request(
        &mut self,
        attempt: &AttemptId,
        key: CompactString,
        claim: Claim,
        now: TimeMs,
    ) -> Option<ClaimDecision> {
        if let Some(decision) = self.decide_locally(attempt, &key, &claim) {
            return Some(decision);
        }
        if now < self.retry_at_ms {
            // The key-value service has just failed; waiting for it would only delay the caller.
            let wait_ms = self.retry_at_ms.since(now);
            return Some(ClaimDecision::Refuse(attempt.clone(), wait_ms));
        }
        let local = LocalClaim {
            key,
            claim,
            phase: Phase::Waiting { replaced_revision: None },
            lease: 0,
            maybe_written: false,
            deadline_ms: now + CLAIM_TIMEOUT_MS,
        };
        self.claims.insert(attempt.clone(), local);
        None
    }

    /// Decides from this agent's own claims of the same key, without a key-value call.
    fn decide_locally(
        &self,
        attempt: &AttemptId,
        key: &CompactString,
        claim: &Claim,
    ) -> Option<ClaimDecision> {
        let is_active = |local: &&LocalClaim| {
            local.key == *key && !matches!(local.phase, Phase::Releasing { .. })
        };
        let local = self.claims.values().find(is_active)?;
        let attempt = attempt.clone();
        if local.claim.request_digest != claim.request_digest {
            return Some(ClaimDecision::Fail(attempt, AttemptFault::KeyReused));
        }
        Some(match &local.claim.response {
            Some(response) => ClaimDecision::Replay(attempt, response.clone()),
            None => ClaimDecision::Fail(attempt, AttemptFault::DuplicateInProgress),
        })
    }

    /// Whether the attempt has requested a claim that is not decided yet.
    pub fn is_waiting(&self, attempt: &AttemptId) -> bool {
        let local = self.claims.get(attempt);
        local.is_some_and(|local| matches!(local.phase, Phase::Waiting { .. }))
    }

    /// Whether the attempt is in progress under a confirmed claim.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        let local = self.claims.get(attempt);
        local.is_some_and(|local| matches!(local.phase, Phase::Running { .. }))
    }

    /// Releases a claim whose call was certainly not run. The stored claim, if any, is deleted.
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
        local.deadline_ms = now + CLEANUP_TIMEOUT_MS;
    }

    fn is_committing(&self, attempt: &AttemptId) -> bool {
        matches!(&self.in_flight, Some(ClaimCall::Commit(group)) if group.contains(attempt))
    }

    /// Completes a claim whose call has run. Without a response, retries are answered with an
    /// unknown outcome.
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
        local.phase = Phase::StoringResponse { revision };
        local.deadline_ms = now + CLEANUP_TIMEOUT_MS;
    }

    /// Refuses calls whose claim was not decided in time, and abandons deletions and responses that
    /// could not be stored in time.
    pub fn expire(&mut self, now: TimeMs) -> Vec<ClaimDecision> {
        let is_expired = |local: &LocalClaim| {
            now >= local.deadline_ms && !matches!(local.phase, Phase::Running { .. })
        };
        let expired: Vec<AttemptId> = self
            .claims
            .iter()
            .filter(|(_, local)| is_expired(local))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        let wait_ms = self.retry_at_ms.since(now) + DurationMs::from_secs(1);
        let mut decisions = Vec::new();
        for attempt in expired {
            if self.is_waiting(&attempt) {
                self.release(&attempt, now);
                decisions.push(ClaimDecision::Refuse(attempt, wait_ms));
            } else {
                self.claims.remove(&attempt);
            }
        }
        decisions
    }

    /// Returns the next key-value call, unless one is in flight, the table backs off after a
    /// failure or nothing is to be done.
    pub fn next_call(&mut self, now: TimeMs) -> Option<KvCall> {
        if self.in_flight.is_some() || now < self.retry_at_ms {
            return None;
        }
        let (call, operation) = self
            .commit_call(now)
            .or_else(|| self.store_responses_call())
            .or_else(|| self.release_call())?;
        self.in_flight = Some(call);
        Some(operation)
    }

    fn commit_call(&mut self, now: TimeMs) -> Option<(ClaimCall, KvCall)> {
        let mut group = Vec::new();
        let (mut compares, mut then, mut otherwise) = (Vec::new(), Vec::new(), Vec::new());
        let lease = self.lease.filter(|(_, granted)| now < *granted + LEASE_REUSE_MS);
        for (attempt, local) in &mut self.claims {
            let Phase::Waiting { replaced_revision } = local.phase else {
                continue;
            };
            let Some((lease, _)) = lease else {
                return Some((ClaimCall::Grant, KvCall::Grant { ttl_ms: LEASE_TTL_MS }));
            };
            local.lease = lease;
            let key = local.key.clone();
            compares.push(match replaced_revision {
                Some(store_revision) => KvCompare::ModifiedAt { key: key.clone(), store_revision },
                None => KvCompare::Absent { key: key.clone() },
            });
            let value = local.claim.encode();
            then.push(KvOperation::Put { key: key.clone(), value, lease: Some(lease) });
            otherwise.push(KvOperation::Get { key });
            group.push(attempt.clone());
            if group.len() == MAX_CLAIMS_PER_TRANSACTION {
                break;
            }
        }
        let operation = KvCall::Transaction { compares, then, otherwise };
        (!group.is_empty()).then_some((ClaimCall::Commit(group), operation))
    }

    fn store_responses_call(&self) -> Option<(ClaimCall, KvCall)> {
        let mut group = Vec::new();
        let (mut compares, mut then, mut otherwise) = (Vec::new(), Vec::new(), Vec::new());
        for (attempt, local) in &self.claims {
            let Phase::StoringResponse { revision: store_revision } = local.phase else {
                continue;
            };
            let key = local.key.clone();
            compares.push(KvCompare::ModifiedAt { key: key.clone(), store_revision });
            let value = local.claim.encode();
            then.push(KvOperation::Put { key: key.clone(), value, lease: Some(local.lease) });
            otherwise.push(KvOperation::Get { key });
            group.push(attempt.clone());
            if group.len() == MAX_RESPONSES_PER_TRANSACTION {
                break;
            }
        }
        let operation = KvCall::Transaction { compares, then, otherwise };
        (!group.is_empty()).then_some((ClaimCall::StoreResponses(group), operation))
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

    /// Applies the outcome of the call in flight.
    pub fn on_outcome<R: Rng>(
        &mut self,
        outcome: KvOutcome,
        now: TimeMs,
        rng: &mut R,
    ) -> Vec<ClaimDecision> {
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
        self.retry_at_ms = now + pause_ms;
        match outcome {
            KvOutcome::Fault(KvFault::NotSent) => {}
            KvOutcome::Fault(KvFault::Rejected) => {
                // The lease may have expired; a new one is requested for further claims.
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
    ) -> Vec<ClaimDecision> {
        match call {
            ClaimCall::Commit(group) if succeeded => {
                let confirm = |attempt| self.confirm(attempt, store_revision, now);
                group.iter().filter_map(confirm).collect()
            }
            ClaimCall::Commit(group) => {
                let pairs = results.iter().map(|pairs| pairs.first());
                let found = group.iter().zip(pairs);
                found
                    .filter_map(|(attempt, pair)| self.resolve_conflict(attempt, pair, now))
                    .collect()
            }
            ClaimCall::StoreResponses(group) => {
                for (index, attempt) in group.iter().enumerate() {
                    let pair = results.get(index).and_then(|pairs| pairs.first());
                    self.on_response_stored(attempt, succeeded, pair);
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

    /// Marks the claim as stored by this attempt.
    fn confirm(
        &mut self,
        attempt: &AttemptId,
        revision: u64,
        now: TimeMs,
    ) -> Option<ClaimDecision> {
        let local = self.claims.get_mut(attempt)?;
        if !matches!(local.phase, Phase::Waiting { .. }) {
            // The call was cancelled or refused while the commit was in flight.
            local.phase = Phase::Releasing { revision: Some(revision) };
            local.deadline_ms = now + CLEANUP_TIMEOUT_MS;
            return None;
        }
        local.phase = Phase::Running { revision };
        Some(ClaimDecision::Run(attempt.clone()))
    }

    /// Decides on one claim of a transaction that failed because a key existed. `pair` is what the
    /// claim's own key holds.
    fn resolve_conflict(
        &mut self,
        attempt: &AttemptId,
        pair: Option<&KvPair>,
        now: TimeMs,
    ) -> Option<ClaimDecision> {
        let local = self.claims.get_mut(attempt)?;
        let Some(pair) = pair else {
            // The transaction failed because of another claim of the group; retry this one.
            if let Phase::Waiting { replaced_revision } = &mut local.phase {
                *replaced_revision = None;
            }
            return None;
        };
        let Ok(found) = serde_json::from_slice::<Claim>(&pair.value) else {
            return Some(self.fail(attempt, AttemptFault::OutcomeUnknown));
        };
        if found.is_same_holder(&local.claim) {
            return self.confirm(attempt, pair.modify_revision, now);
        }
        let Phase::Waiting { replaced_revision } = &mut local.phase else {
            // The key belongs to another call, so there is nothing to release.
            self.claims.remove(attempt);
            return None;
        };
        if found.request_digest != local.claim.request_digest {
            return Some(self.fail(attempt, AttemptFault::KeyReused));
        }
        if let Some(response) = found.response {
            self.claims.remove(attempt);
            return Some(ClaimDecision::Replay(attempt.clone(), response));
        }
        if found.precedes(attempt) {
            // The entry sends a further attempt of such a call only after the earlier one was
            // refused as "not run", and a refused attempt is never run.
            *replaced_revision = Some(pair.modify_revision);
            return None;
        }
        Some(self.fail(attempt, AttemptFault::OutcomeUnknown))
    }

    fn fail(&mut self, attempt: &AttemptId, fault: AttemptFault) -> ClaimDecision {
        self.claims.remove(attempt);
        ClaimDecision::Fail(attempt.clone(), fault)
    }

    fn on_response_stored(&mut self, attempt: &AttemptId, succeeded: bool, pair: Option<&KvPair>) {
        let Some(local) = self.claims.get_mut(attempt) else {
            return;
        };
        let found = pair.and_then(|pair| serde_json::from_slice::<Claim>(&pair.value).ok());
        let without_response =
            found.filter(|found| found.is_same_holder(&local.claim) && found.response.is_none());
        match (succeeded, without_response, pair) {
            (false, Some(_), Some(pair)) => {
                local.phase = Phase::StoringResponse { revision: pair.modify_revision };
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

    /// Whether no claim is pending, in progress or to be cleaned up.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
