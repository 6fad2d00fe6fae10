//! How an entry applies limits and retry budgets, with the exceptions in force.

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

/// A first token that is late by this factor shows that the engine hangs.
const LATE_FACTOR: u64 = 4;
/// No first token is late before this multiple of its target.
const MIN_LATE_TARGETS: u64 = 3;

impl Entry {
    pub(crate) fn update_entry_count(&mut self, records: &[HostRecord]) {
        let live = |record: &&HostRecord| {
            record.role == HostRole::Entry && record.state == HostState::Live
        };
        self.limits.set_entries(records.iter().filter(live).count());
    }

    /// Counts an accepted request against its customer's limits.
    pub(crate) fn check_limits(
        &mut self,
        state: &mut RequestState,
        now: TimeMs,
    ) -> Result<(), Refusal> {
        let limits = self.limits_of(&state.customer, now);
        let work = self.work(state);
        let expected_tokens = work.prompt_tokens.get() + work.answer_tokens.get();
        self.limits
            .admit(&state.customer, &limits, expected_tokens, now)
            .map_err(|wait_ms| Refusal::not_run(RefusalReason::OverLimit).retry_after(wait_ms))?;
        state.limited_tokens = expected_tokens;
        let share = self.retry_share(&state.customer, now);
        self.retries.earn(&state.customer, share);
        Ok(())
    }

    fn limits_of(&self, customer: &CustomerId, now: TimeMs) -> CustomerLimits {
        let configuration = self.config.current();
        let mut changed = configuration.overrides(now).filter_map(|change| match change {
            Override::CustomerLimits { customer: named, limits } if named == customer => {
                Some(*limits)
            }
            _ => None,
        });
        let own = configuration.customers.get(customer).map(|known| known.limits);
        changed.next_back().or(own).unwrap_or_default()
    }

    /// Deadline of a customer's requests that name none.
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
        let mut changed = configuration.overrides(now).filter_map(|change| match change {
            Override::InteractiveDeadline { customer: named, deadline_ms } => {
                (named == customer).then_some(*deadline_ms)
            }
            _ => None,
        });
        changed.next_back().unwrap_or(configuration.defaults.interactive_deadline_ms)
    }

    fn retry_share(&self, customer: &CustomerId, now: TimeMs) -> Share {
        let configuration = self.config.current();
        let mut changed = configuration.overrides(now).filter_map(|change| match change {
            Override::RetryBudget { customer: named, share } if named == customer => Some(*share),
            _ => None,
        });
        changed.next_back().unwrap_or(configuration.defaults.retry_budget)
    }

    /// Takes a retry of this request from the budget.
    pub(crate) fn may_retry(&mut self, serial: Serial) -> bool {
        let customer = self.requests.get(&serial).map(|state| state.customer.clone());
        customer.is_some_and(|customer| self.retries.spend(&customer))
    }

    /// Moves requests whose first token is far beyond its expected time to another upstream.
    pub(crate) fn move_late_requests(&mut self, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms.get();
        let mut late = Vec::new();
        for (serial, state) in &self.requests {
            let Some(attempt) = state.attempt.as_ref().filter(|_| state.is_repeatable()) else {
                continue;
            };
            let silent = attempt.started.is_none() && attempt.link_lost_at_ms.is_none();
            let expected_ms = attempt.expected_first_token_ms.get() * LATE_FACTOR;
            let late_ms = DurationMs::new(expected_ms.max(target_ms * MIN_LATE_TARGETS));
            if silent && !state.head_sent && now >= attempt.sent_at_ms + late_ms {
                late.push((*serial, attempt.agent.clone()));
            }
        }
        late.sort_unstable();
        for (serial, agent) in late {
            self.move_attempt(serial, &agent, now);
        }
    }
}
