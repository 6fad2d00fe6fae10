//! A store that comes back from an older copy brings nothing back that was withdrawn, and all
//! gateways agree with the operator once it has written again what was lost.

mod gateway;
mod property;
mod restorable;

use std::collections::BTreeSet;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::rollout::RolloutPhase;
use proptest::prelude::*;

use crate::gateway::ENGINES;
use crate::gateway::KEY;
use crate::restorable::CLOSED;
use crate::restorable::GRANTED_KEY;
use crate::restorable::LEAVING;
use crate::restorable::STEP_MS;
use crate::restorable::World;

/// Time after a revocation from which on no gateway may accept the key.
const REVOCATION_BOUND_MS: DurationMs = DurationMs::new(5_000);
/// Time in which all gateways learn what the operator has written last.
const SETTLE_MS: u64 = 8_000;

#[derive(Clone, Copy, Debug)]
enum Action {
    Grant,
    Revoke,
    Close,
    Reopen,
    Leave,
    Deregister,
    Return,
    Order,
    Copy,
    PutBack { delay_ms: u64 },
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        Just(Action::Grant),
        Just(Action::Revoke),
        Just(Action::Close),
        Just(Action::Reopen),
        Just(Action::Leave),
        Just(Action::Deregister),
        Just(Action::Return),
        Just(Action::Order),
        Just(Action::Copy),
        Just(Action::Copy),
        (200_u64..2_500).prop_map(|delay_ms| Action::PutBack { delay_ms }),
        (200_u64..2_500).prop_map(|delay_ms| Action::PutBack { delay_ms }),
    ]
}

/// Something that a gateway knows, and must not forget unless the operator changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fact {
    KeyRevoked,
    DataCentreOut,
    UpstreamLeaving,
    RolledBack,
}

type Learned = BTreeSet<Fact>;

struct Check {
    world: World,
    learned: Vec<Learned>,
    revoked_at: Option<TimeMs>,
    has_order: bool,
    requests: u64,
}

impl Check {
    fn new(gateways: u64) -> Self {
        Self {
            world: World::new(gateways),
            learned: vec![Learned::new(); gateways as usize],
            revoked_at: None,
            has_order: false,
            requests: 0,
        }
    }

    fn act(&mut self, action: Action) {
        let world = &mut self.world;
        match action {
            Action::Grant => {
                world.configure(true);
                self.revoked_at = None;
                self.forget(Fact::KeyRevoked);
            }
            Action::Revoke => {
                if world.is_granted {
                    self.revoked_at = Some(world.now);
                }
                world.configure(false);
            }
            Action::Close => world.close(true),
            Action::Reopen => {
                world.close(false);
                self.forget(Fact::DataCentreOut);
            }
            Action::Leave => world.leave(true),
            Action::Deregister => world.deregister(),
            Action::Return => {
                world.leave(false);
                self.forget(Fact::UpstreamLeaving);
            }
            Action::Order => {
                if !self.has_order {
                    world.order_rollout(20);
                }
                self.has_order = true;
            }
            Action::Copy => world.store.take_copy(),
            Action::PutBack { delay_ms } => world.put_back(delay_ms),
        }
    }

    fn forget(&mut self, fact: Fact) {
        for learned in &mut self.learned {
            learned.remove(&fact);
        }
    }

    fn learn(&mut self, index: usize, fact: Fact, is_known: bool) {
        if is_known {
            self.learned[index].insert(fact);
        }
    }

    fn knows(&self, index: usize, fact: Fact) -> bool {
        self.learned[index].contains(&fact)
    }

    /// Advances the time, with requests at every gateway.
    fn step(&mut self) -> Result<(), TestCaseError> {
        self.world.step();
        for index in 0..self.world.gateways.len() {
            self.requests += 1;
            self.check_key(index)?;
            self.check_plain(index)?;
            self.check_rollout(index)?;
        }
        Ok(())
    }

    fn check_key(&mut self, index: usize) -> Result<(), TestCaseError> {
        let attempt = format!("k-{}", self.requests);
        let is_accepted =
            self.world.gateways[index].probe("/look/1", GRANTED_KEY, &attempt).is_some();
        if let Some(revoked_at) = self.revoked_at {
            let age_ms = self.world.now.since(revoked_at);
            prop_assert!(!is_accepted || age_ms <= REVOCATION_BOUND_MS, "after {age_ms}");
            prop_assert!(!is_accepted || !self.knows(index, Fact::KeyRevoked), "accepted again");
            let catalog = self.world.gateways[index].rig.gateway.catalog();
            let is_known = catalog.is_some_and(|known| known.account(GRANTED_KEY).is_none());
            self.learn(index, Fact::KeyRevoked, is_known);
        }
        Ok(())
    }

    fn check_plain(&mut self, index: usize) -> Result<(), TestCaseError> {
        for number in 0..3 {
            let attempt = format!("p-{}-{number}", self.requests);
            let chosen = self.world.gateways[index].probe("/look/1", KEY, &attempt);
            let Some((upstream, _)) = chosen else {
                continue;
            };
            let is_out = self.knows(index, Fact::DataCentreOut);
            let is_leaving = self.knows(index, Fact::UpstreamLeaving);
            prop_assert!(!is_out || upstream != "p-2", "{index} uses a closed one");
            prop_assert!(!is_leaving || upstream != LEAVING, "{index} uses a left one");
        }
        let gateway = &self.world.gateways[index].rig.gateway;
        let is_out = gateway.is_out(&CLOSED.parse().unwrap());
        let is_in_use = gateway.is_in_use(&LEAVING.parse().unwrap());
        self.learn(index, Fact::DataCentreOut, self.world.is_closed && is_out);
        self.learn(index, Fact::UpstreamLeaving, self.world.is_leaving && !is_in_use);
        Ok(())
    }

    fn check_rollout(&mut self, index: usize) -> Result<(), TestCaseError> {
        let attempt = format!("d-{}", self.requests);
        let chosen = self.world.gateways[index].probe("/draft/1", KEY, &attempt);
        let is_on_target = chosen.is_some_and(|(_, version)| version == "v2");
        let is_rolled_back = self.knows(index, Fact::RolledBack);
        prop_assert!(!is_rolled_back || !is_on_target, "{index} tries the version again");
        let gateway = &self.world.gateways[index].rig.gateway;
        let phase = gateway.rollout_phase(&ENGINES.parse().unwrap());
        self.learn(index, Fact::RolledBack, phase == Some(RolloutPhase::RolledBack));
        Ok(())
    }

    fn run(&mut self, ms: u64) -> Result<(), TestCaseError> {
        for _ in 0..ms / STEP_MS {
            self.step()?;
        }
        Ok(())
    }

    /// All gateways know what the operator and the upstreams have written last.
    fn check_settled(&self) -> Result<(), TestCaseError> {
        for poller in &self.world.gateways {
            let gateway = &poller.rig.gateway;
            let known = gateway.catalog().expect("a configuration was read");
            prop_assert_eq!(known.version(), self.world.version);
            prop_assert_eq!(known.account(GRANTED_KEY).is_some(), self.world.is_granted);
            prop_assert_eq!(gateway.is_out(&CLOSED.parse().unwrap()), self.world.is_closed);
            prop_assert_eq!(gateway.is_in_use(&LEAVING.parse().unwrap()), !self.world.is_leaving);
            prop_assert!(gateway.is_ready(poller.rig.now));
        }
        if self.learned.iter().any(|learned| learned.contains(&Fact::RolledBack)) {
            let phase = self.world.store.record().map(|record| record.phase);
            prop_assert_eq!(phase, Some(RolloutPhase::RolledBack));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(property::config(22, 24))]

    #[test]
    fn restores_bring_nothing_back_that_was_withdrawn(
        actions in proptest::collection::vec((0_u64..2_000, action()), 1..30),
    ) {
        let mut check = Check::new(3);
        check.run(1_000)?;
        for (delay_ms, action) in actions {
            check.run(delay_ms)?;
            check.act(action);
        }
        check.run(SETTLE_MS)?;
        check.check_settled()?;
    }
}
