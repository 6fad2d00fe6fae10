//! Connects the claim table to the agent, so that calls with an idempotency key run at most once.

use crate::agent::Agent;
use crate::agent::AgentKvPurpose;
use crate::agent::claim;
use crate::agent::claim::Claim;
use crate::agent::claim::StoredResponse;
use crate::agent::claim_decision::ClaimDecision;
use crate::agent::dispatch_fence::FenceState;
use crate::billing::usage::Usage;
use crate::id::AttemptId;
use crate::message::AgentRefusal;
use crate::message::Call;
use crate::message::Dispatch;
use crate::quantity::Tokens;
use crate::store::keys;
use crate::store::kv_call::KvOutcome;
use crate::time::TimeMs;

impl Agent {
    /// Requests the claim of a keyed call that is not repeatable. Returns whether the claim decides
    /// how the call proceeds; otherwise the caller forwards it.
    pub(crate) fn request_claim(&mut self, dispatch: &Dispatch, now: TimeMs) -> bool {
        let Call::Service(call) = &dispatch.call else {
            return false;
        };
        let Some(idempotency_key) = call.idempotency_key.as_ref().filter(|_| !call.repeatable)
        else {
            return false;
        };
        let digest = claim::key_digest(&dispatch.customer, idempotency_key);
        let key = keys::claim(&call.service, &digest);
        let claim = Claim {
            attempt: dispatch.attempt.to_string().into(),
            agent: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            request_digest: claim::request_digest(call),
            claimed_at_ms: now,
            response: None,
        };
        if let Some(decision) = self.claims.request(&dispatch.attempt, key, claim, now) {
            self.apply_decision(decision, now);
        }
        self.send_claims_call(now);
        true
    }

    pub(crate) fn tick_claims(&mut self, now: TimeMs) {
        let decisions = self.claims.expire(now);
        for decision in decisions {
            self.apply_decision(decision, now);
        }
        self.send_claims_call(now);
    }

    pub(crate) fn on_claims_outcome(&mut self, outcome: KvOutcome, now: TimeMs) {
        let decisions = self.claims.on_outcome(outcome, now, &mut self.rng);
        for decision in decisions {
            self.apply_decision(decision, now);
        }
        self.send_claims_call(now);
    }

    fn send_claims_call(&mut self, now: TimeMs) {
        if let Some(operation) = self.claims.next_call(now) {
            self.call_kv(AgentKvPurpose::Claims, operation);
        }
    }

    fn apply_decision(&mut self, decision: ClaimDecision, now: TimeMs) {
        match decision {
            ClaimDecision::Run(attempt) => self.forward_claimed(&attempt, now),
            ClaimDecision::Replay(attempt, response) => self.replay(&attempt, &response, now),
            ClaimDecision::Fail(attempt, fault) => {
                self.fence.record(&attempt, FenceState::Forwarded);
                self.fail_attempt(&attempt, fault);
            }
            ClaimDecision::Refuse(attempt, wait_ms) => {
                let Some(entry) = self.entry_of(&attempt) else {
                    return;
                };
                self.attempts.remove(&attempt);
                let reason = AgentRefusal::StoreUnavailable;
                self.refuse_with_retry_after(&entry, &attempt, reason, wait_ms);
            }
        }
    }

    fn forward_claimed(&mut self, attempt: &AttemptId, now: TimeMs) {
        if !self.forward_attempt(attempt, now) {
            self.claims.release(attempt, now);
        }
    }

    fn replay(&mut self, attempt: &AttemptId, response: &StoredResponse, now: TimeMs) {
        self.fence.record(attempt, FenceState::Forwarded);
        let body = response.body();
        self.on_upstream_started(attempt, response.status, response.content_type.clone(), now);
        if !body.is_empty() {
            self.on_upstream_chunk(attempt, Tokens::default(), body, now);
        }
        self.on_upstream_ended(attempt, Some(Usage::default()), now);
    }
}
