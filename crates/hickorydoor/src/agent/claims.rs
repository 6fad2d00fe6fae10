//! How an agent runs keyed calls at most once.

use crate::agent::Agent;
use crate::agent::AgentKvPurpose;
use crate::agent::claim;
use crate::agent::claim::Claim;
use crate::agent::claim::StoredResponse;
use crate::agent::claim_verdict::ClaimVerdict;
use crate::agent::dispatch_fence::Seen;
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
    /// Asks for the claim of a keyed call that must not be repeated. Returns whether the call has
    /// to wait for it.
    pub(crate) fn claim(&mut self, dispatch: &Dispatch, now: TimeMs) -> bool {
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
        if let Some(verdict) = self.claims.request(&dispatch.attempt, key, claim, now) {
            self.on_verdict(verdict, now);
        }
        self.call_claims(now);
        true
    }

    pub(crate) fn tick_claims(&mut self, now: TimeMs) {
        let verdicts = self.claims.expire(now);
        for verdict in verdicts {
            self.on_verdict(verdict, now);
        }
        self.call_claims(now);
    }

    pub(crate) fn on_claims_outcome(&mut self, outcome: KvOutcome, now: TimeMs) {
        let verdicts = self.claims.on_outcome(outcome, now, &mut self.rng);
        for verdict in verdicts {
            self.on_verdict(verdict, now);
        }
        self.call_claims(now);
    }

    fn call_claims(&mut self, now: TimeMs) {
        if let Some(operation) = self.claims.next_call(now) {
            self.call_kv(AgentKvPurpose::Claims, operation);
        }
    }

    fn on_verdict(&mut self, verdict: ClaimVerdict, now: TimeMs) {
        match verdict {
            ClaimVerdict::Run(attempt) => self.run_claimed(&attempt, now),
            ClaimVerdict::Replay(attempt, response) => self.replay(&attempt, &response, now),
            ClaimVerdict::Fail(attempt, fault) => {
                self.fence.note(&attempt, Seen::PassedOn);
                self.fail_attempt(&attempt, fault);
            }
            ClaimVerdict::Refuse(attempt, wait_ms) => {
                let Some(entry) = self.entry_of(&attempt) else {
                    return;
                };
                self.attempts.remove(&attempt);
                let reason = AgentRefusal::StoreUnavailable;
                self.refuse_until(&entry, &attempt, reason, wait_ms);
            }
        }
    }

    fn run_claimed(&mut self, attempt: &AttemptId, now: TimeMs) {
        if !self.pass_on(attempt, now) {
            self.claims.release(attempt, now);
        }
    }

    fn replay(&mut self, attempt: &AttemptId, response: &StoredResponse, now: TimeMs) {
        self.fence.note(attempt, Seen::PassedOn);
        let body = response.body();
        self.on_upstream_started(attempt, response.status, response.content_type.clone(), now);
        if !body.is_empty() {
            self.on_upstream_chunk(attempt, Tokens::default(), body, now);
        }
        self.on_upstream_ended(attempt, Some(Usage::default()), now);
    }
}
