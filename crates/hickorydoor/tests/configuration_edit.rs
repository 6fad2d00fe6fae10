//! Compares in-place changes with a configuration built from scratch.
//!
//! Guards against stale indexes, skipped validation, and rejected changes that are partly applied.

use std::collections::BTreeMap;

use hickorydoor::Configuration;
use hickorydoor::KeyDigest;
use hickorydoor::configuration::cascade::Cascade;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::configuration::customer::CustomerLimits;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::item::ItemKey;
use hickorydoor::configuration::item::ItemKind;
use hickorydoor::configuration::model::Model;
use hickorydoor::configuration::model::Version;
use hickorydoor::configuration::model::VersionState;
use hickorydoor::configuration::service::Service;
use hickorydoor::id::Revision;
use hickorydoor::quantity::CostMicros;
use hickorydoor::quantity::Share;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::sample::subsequence;

mod property;

const MODELS: [&str; 3] = ["a", "b", "c"];
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
const CASCADES: [&str; 2] = ["c", "d"];
const SERVICES: [&str; 2] = ["s", "t"];
const CUSTOMERS: [&str; 3] = ["x", "y", "z"];
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

fn subset_of(texts: &'static [&'static str]) -> impl Strategy<Value = Vec<&'static str>> {
    subsequence(texts, 0..=texts.len())
}

fn one_of(texts: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    proptest::sample::select(texts)
}

fn ids<T: for<'a> TryFrom<&'a str>>(texts: &[&str]) -> Vec<T> {
    texts.iter().filter_map(|text| T::try_from(text).ok()).collect()
}

fn model() -> impl Strategy<Value = Item> {
    (one_of(&MODELS), subset_of(&VERSIONS)).prop_map(|(id, versions)| {
        let version = |id: &&str| Version {
            id: id.parse().expect("id"),
            state: VersionState::Active,
            canary_share: Share::from_percent(0),
        };
        Item::Model(Model {
            id: id.parse().expect("id"),
            prompt_cost_micros_per_1k_tokens: CostMicros::new(1),
            answer_cost_micros_per_1k_tokens: CostMicros::new(1),
            versions: versions.iter().map(version).collect(),
        })
    })
}

fn customer() -> impl Strategy<Value = Item> {
    (
        one_of(&CUSTOMERS),
        subset_of(&KEYS),
        subset_of(&MODELS),
        subset_of(&VERSIONS),
        subset_of(&CASCADES),
        subset_of(&SERVICES),
    )
        .prop_map(|(id, keys, models, versions, cascades, services)| {
            Item::Customer(Customer {
                id: id.parse().expect("id"),
                key_digests: keys.iter().map(|key| KeyDigest::of_key(key)).collect(),
                models: ids(&models),
                versions: ids(&versions),
                cascades: ids(&cascades),
                services: ids(&services),
                limits: CustomerLimits::default(),
                weight: 1,
            })
        })
}

fn item() -> impl Strategy<Value = Item> {
    let cascade = (one_of(&CASCADES), subset_of(&MODELS)).prop_map(|(id, steps)| {
        let id = id.parse().expect("id");
        Item::Cascade(Cascade { id, steps: ids(&steps), release_score: 0.5 })
    });
    let service = one_of(&SERVICES).prop_map(|name| {
        let name = name.parse().expect("name");
        Item::Service(Service { name, repeatable_methods: Vec::new() })
    });
    prop_oneof![3 => model(), 3 => customer(), 1 => cascade, 1 => service]
}

fn operation() -> impl Strategy<Value = Operation> {
    let kind = prop_oneof![
        Just(ItemKind::Model),
        Just(ItemKind::Customer),
        Just(ItemKind::Cascade),
        Just(ItemKind::Service)
    ];
    let id = one_of(&["a", "b", "c", "d", "s", "t", "x", "y", "z"]);
    let delete =
        (kind, id).prop_map(|(kind, id)| Operation::Delete(ItemKey { kind, id: id.into() }));
    prop_oneof![3 => item().prop_map(Operation::Put), 1 => delete]
}

proptest! {
    #![proptest_config(property::config(5, 500))]

    #[test]
    fn in_place_changes_equal_a_rebuilt_configuration(
        changes in proptest::collection::vec(proptest::collection::vec(operation(), 1..4), 1..30),
    ) {
        let mut configuration = Configuration::default();
        let mut items: BTreeMap<ItemKey, Item> = BTreeMap::new();
        for change in changes {
            let mut next = items.clone();
            for operation in &change {
                match operation {
                    Operation::Put(item) => next.insert(item.key(), item.clone()),
                    Operation::Delete(key) => next.remove(key),
                };
            }
            let built = Configuration::from_items(Revision::new(0), next.values().cloned());
            let applied = configuration.apply_operations(&change);
            prop_assert_eq!(applied.is_ok(), built.is_ok(), "{:?} {:?}", applied, built);
            if let Ok(built) = built {
                prop_assert_eq!(&configuration, &built);
                items = next;
            } else {
                let before = Configuration::from_items(Revision::new(0), items.values().cloned());
                prop_assert_eq!(Ok(&configuration), before.as_ref());
            }
        }
    }
}
