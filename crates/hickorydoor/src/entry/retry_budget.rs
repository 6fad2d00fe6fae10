//! Retry budget, which keeps retries from amplifying an overload.
//!
//! Each request adds a fraction of a retry to the credit of its customer and of the entry, and each
//! retry takes a whole one from both. Retries therefore exceed that fraction of the requests by no
//! more than the initial credit.

use std::collections::HashMap;

use crate::id::CustomerId;
use crate::quantity::Share;

/// Initial and maximum credit of a customer, in retries. It lets customers with few requests retry
/// at all.
const CUSTOMER_CREDIT_RETRIES: f64 = 10.0;
/// Initial and maximum credit of the whole entry, in retries.
const ENTRY_CREDIT_RETRIES: f64 = 100.0;
/// Maximum number of customers with a credit of their own, which bounds memory use. The retries of
/// other customers take from the entry's credit alone.
const MAX_CUSTOMERS: usize = 4_096;

/// Retry credits of one entry and its customers.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    customer_credits: HashMap<CustomerId, f64>,
    entry_credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { customer_credits: HashMap::new(), entry_credit: ENTRY_CREDIT_RETRIES }
    }
}

impl RetryBudget {
    /// Returns the upper bound on the retries of a customer after `requests` requests that each add
    /// `share` of a retry.
    pub fn max_retries(requests: u64, share: Share) -> f64 {
        CUSTOMER_CREDIT_RETRIES + requests as f64 * share.as_f64()
    }

    /// Adds the credit for one request of a customer: `share` of a retry.
    pub fn deposit(&mut self, customer: &CustomerId, share: Share) {
        let earned = share.as_f64();
        self.entry_credit = (self.entry_credit + earned).min(ENTRY_CREDIT_RETRIES);
        if let Some(credit) = self.customer_credits.get_mut(customer) {
            *credit = (*credit + earned).min(CUSTOMER_CREDIT_RETRIES);
        } else if self.customer_credits.len() < MAX_CUSTOMERS {
            self.customer_credits.insert(customer.clone(), CUSTOMER_CREDIT_RETRIES);
        }
    }

    /// Takes one retry from the customer's and the entry's credit. Returns `false` and takes nothing
    /// if either has less than one left.
    pub fn try_withdraw(&mut self, customer: &CustomerId) -> bool {
        if self.entry_credit < 1.0 {
            return false;
        }
        if let Some(credit) = self.customer_credits.get_mut(customer) {
            if *credit < 1.0 {
                return false;
            }
            *credit -= 1.0;
        }
        self.entry_credit -= 1.0;
        true
    }
}
