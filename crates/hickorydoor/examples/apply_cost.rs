//! Measures the time to apply one configuration change as the number of customers grows.
//!
//! Run with `cargo run --release -p hickorydoor --example apply_cost`.

use std::time::Instant;

use hickorydoor::Configuration;
use hickorydoor::KeyDigest;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::configuration::customer::CustomerLimits;
use hickorydoor::configuration::item::Item;
use hickorydoor::id::IdError;
use hickorydoor::id::Revision;

const CHANGES_PER_SIZE: u64 = 200;

fn customer(index: u64) -> Result<Customer, IdError> {
    Ok(Customer {
        id: format!("customer-{index}").parse()?,
        key_digests: vec![KeyDigest::of_key(&format!("key-{index}"))],
        models: Vec::new(),
        versions: Vec::new(),
        cascades: Vec::new(),
        services: Vec::new(),
        limits: CustomerLimits::default(),
        weight: 1,
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for customers in [10, 100, 1_000, 10_000] {
        let items: Result<Vec<Item>, IdError> =
            (0..customers).map(|index| customer(index).map(Item::Customer)).collect();
        let mut configuration = Configuration::from_items(Revision::new(0), items?)?;
        let mut records = Vec::new();
        for index in 0..CHANGES_PER_SIZE {
            let updated = Customer { weight: 2, ..customer(index % customers)? };
            records.push(ChangeRecord {
                revision: Revision::new(index + 1),
                change: format!("change-{index}").parse()?,
                operator: "operator".parse()?,
                reason: "measurement".into(),
                made_at_ms: TimeMs::new(0),
                operations: vec![Operation::Put(Item::Customer(updated))],
            });
        }
        let started_at = Instant::now();
        for record in &records {
            configuration.apply(record)?;
        }
        let per_change_us = started_at.elapsed().as_secs_f64() * 1e6 / CHANGES_PER_SIZE as f64;
        println!("{customers:>6} customers: {per_change_us:>9.2} us per change");
    }
    Ok(())
}
