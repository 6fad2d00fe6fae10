//! Guards against models without observations that are assumed to be as slow as the largest one.
//!
//! After a restart, placement never stepped down to smaller models for that reason, and the engines
//! were overloaded.

mod gateway;

use hickorydoor::gateway::model_table::ModelTable;

#[test]
fn cheaper_models_are_expected_to_be_faster() {
    let catalog = gateway::catalog(1, &[]);
    let spec = catalog.service(&gateway::ENGINES.parse().unwrap()).unwrap();
    let mut table = ModelTable::default();
    table.set_prices(&spec.models);
    let token_ms = |model: &str| table.token_ms(&model.parse().unwrap());
    assert!(token_ms("small") < token_ms("middle") / 2.0);
    assert!(token_ms("middle") < token_ms("large"));
}
