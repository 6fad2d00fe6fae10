//! How much of the traffic may be retried.
//!
//! Each request earns a share of a retry for its customer and for the entry, and a retry needs a
//! whole one from both. Retries therefore never exceed that share of the requests by more than
//! the initial credit, so that an overload is not amplified.

use std::collections::HashMap;

use crate::id::CustomerId;
use crate::quantity::Share;

/// Retries that a customer may save up, and starts with, so that small customers can retry at all.
const CUSTOMER_CREDIT: f64 = 10.0;
/// The same for the whole entry.
const ENTRY_CREDIT: f64 = 100.0;
/// Customers with a credit of their own; the others share the entry's.
const MAX_CUSTOMERS: usize = 4_096;

/// Retries that may be made now.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    customers: HashMap<CustomerId, f64>,
    entry: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { customers: HashMap::new(), entry: ENTRY_CREDIT }
    }
}

impl RetryBudget {
    /// Most retries of a customer after `requests` requests with this share.
    pub fn bound(requests: u64, share: Share) -> f64 {
        CUSTOMER_CREDIT + requests as f64 * share.as_f64()
    }

    /// Counts a request of a customer whose share is `share`.
    pub fn earn(&mut self, customer: &CustomerId, share: Share) {
        let earned = share.as_f64();
        self.entry = (self.entry + earned).min(ENTRY_CREDIT);
        if let Some(credit) = self.customers.get_mut(customer) {
            *credit = (*credit + earned).min(CUSTOMER_CREDIT);
        } else if self.customers.len() < MAX_CUSTOMERS {
            self.customers.insert(customer.clone(), CUSTOMER_CREDIT);
        }
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn spend(&mut self, customer: &CustomerId) -> bool {
        if self.entry < 1.0 {
            return false;
        }
        if let Some(credit) = self.customers.get_mut(customer) {
            if *credit < 1.0 {
                return false;
            }
            *credit -= 1.0;
        }
        self.entry -= 1.0;
        true
    }
}
