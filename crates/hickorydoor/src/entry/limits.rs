//! Applies customer limits, deadlines and retry budgets, including operator exceptions.

use crate::class::Class;
use crate::configuration::customer::CustomerLimits;
use crate::configuration::exception::Override;
use crate::entry::Entry;
use crate::entry::request_state::RequestState;
use crate::host_record::HostRecord;
use crate::host_record::HostRole;
use crate::host_record::HostState;
use crate::id::CustomerId;
use crate::id::Serial;
use crate::quantity::Share;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// An attempt counts as stalled when its response has not started after this many times the
/// expected time to the first token.
const STALL_FACTOR: u64 = 4;
/// An attempt never counts as stalled before this many first-token targets have passed.
const MIN_STALL_TARGETS: u64 = 3;

impl Entry {
    pub(crate) fn update_entry_count(&mut self, records: &[HostRecord]) {
        let live = |record: &&HostRecord| {
            record.role == HostRole::Entry && record.state == HostState::Live
        };
        self.limits.set_entries(records.iter().filter(live).count());
    }

    /// Charges an accepted request to its customer's limits and adds its share to the retry budget.
    pub(crate) fn check_limits(
        &mut self,
        state: &mut RequestState,
        now: TimeMs,
    ) -> Result<(), Refusal> {
        let limits = self.effective_limits(&state.customer, now);
        let work = self.expected_work(state);
        let expected_tokens = work.prompt_tokens.get() + work.answer_tokens.get();
        self.limits
            .admit(&state.customer, &limits, expected_tokens, now)
            .map_err(|wait_ms| Refusal::not_run(RefusalReason::OverLimit).retry_after(wait_ms))?;
        state.reserved_tokens = expected_tokens;
        let share = self.retry_budget_share(&state.customer, now);
        self.retries.deposit(&state.customer, share);
        Ok(())
    }

    fn effective_limits(&self, customer: &CustomerId, now: TimeMs) -> CustomerLimits {
        let configuration = self.config.current();
        let mut overrides = configuration.overrides(now).filter_map(|change| match change {
            Override::CustomerLimits { customer: named, limits } if named == customer => {
                Some(*limits)
            }
            _ => None,
        });
        let own = configuration.customers.get(customer).map(|known| known.limits);
        overrides.next_back().or(own).unwrap_or_default()
    }

    /// Returns the deadline of requests that do not set one.
    pub(crate) fn default_deadline(
        &self,
        customer: &CustomerId,
        class: Class,
        now: TimeMs,
    ) -> DurationMs {
        let configuration = self.config.current();
        if class == Class::Batch {
            return configuration.defaults.batch_deadline_ms;
        }
        let mut overrides = configuration.overrides(now).filter_map(|change| match change {
            Override::InteractiveDeadline { customer: named, deadline_ms } => {
                (named == customer).then_some(*deadline_ms)
            }
            _ => None,
        });
        overrides.next_back().unwrap_or(configuration.defaults.interactive_deadline_ms)
    }

    fn retry_budget_share(&self, customer: &CustomerId, now: TimeMs) -> Share {
        let configuration = self.config.current();
        let mut overrides = configuration.overrides(now).filter_map(|change| match change {
            Override::RetryBudget { customer: named, share } if named == customer => Some(*share),
            _ => None,
        });
        overrides.next_back().unwrap_or(configuration.defaults.retry_budget)
    }

    /// Takes one retry of this request from the budget; returns whether there was one.
    pub(crate) fn try_take_retry(&mut self, serial: Serial) -> bool {
        let customer = self.requests.get(&serial).map(|state| state.customer.clone());
        customer.is_some_and(|customer| self.retries.try_withdraw(&customer))
    }

    /// Moves retryable requests whose response is long overdue to another upstream, since the
    /// engine probably hangs.
    pub(crate) fn move_stalled_requests(&mut self, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms.get();
        let mut stalled = Vec::new();
        for (serial, state) in &self.requests {
            let Some(attempt) = state.attempt.as_ref().filter(|_| state.is_repeatable()) else {
                continue;
            };
            let unanswered = attempt.response_head.is_none() && attempt.link_lost_at_ms.is_none();
            let expected_ms = attempt.expected_first_token_ms.get() * STALL_FACTOR;
            let stall_timeout_ms = DurationMs::new(expected_ms.max(target_ms * MIN_STALL_TARGETS));
            if unanswered && !state.head_sent && now >= attempt.sent_at_ms + stall_timeout_ms {
                stalled.push((*serial, attempt.agent.clone()));
            }
        }
        stalled.sort_unstable();
        for (serial, agent) in stalled {
            self.move_attempt(serial, &agent, now);
        }
    }
}
