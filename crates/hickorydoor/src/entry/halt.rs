//! Rollout leases, and halts of versions in the stored configuration.
//!
//! The lease only prevents duplicate work; correctness does not depend on it. A holder that was
//! paused may write a halt late without harm: the transaction compares the head with the one that
//! was read, and a version whose state operators have changed in the meantime is left unchanged.

use compact_str::format_compact;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::change::ChangeRecord;
use crate::configuration::change::Operation;
use crate::configuration::change_attempt::write_call;
use crate::configuration::head::Head;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::item::ItemKind;
use crate::configuration::model::Model;
use crate::configuration::model::VersionState;
use crate::configuration::raw::RawItem;
use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::id::ChangeId;
use crate::id::ModelId;
use crate::id::OperatorId;
use crate::id::VersionId;
use crate::observation::Observation;
use crate::quantity::Share;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Operator name in the change records of halts.
const HALT_OPERATOR: &str = "rollout-guard";
const LEASE_TTL_MS: DurationMs = DurationMs::from_secs(15);
const KEEP_ALIVE_INTERVAL_MS: DurationMs = DurationMs::from_secs(5);
/// Minimum time between two attempts to acquire a lease; a random delay of up to the same length
/// is added. 560 entries make 12 reads per second for each rollout.
const ACQUIRE_INTERVAL_MS: u64 = 30_000;
/// Upper bound of the random delay between the start of a rollout and the first attempt to acquire
/// its lease.
const MAX_FIRST_ACQUIRE_DELAY_MS: u64 = 2_000;
/// Delay before a halt is retried.
const HALT_RETRY_DELAY_MS: DurationMs = DurationMs::from_secs(1);
/// Upper bound of the random delay with which an entry without the lease writes a halt. It gives
/// the lease holder time to write the halt first.
const MAX_HALT_DELAY_MS: u64 = 5_000;

impl Entry {
    pub(crate) fn tick_rollout_lease(&mut self, now: TimeMs) {
        let models = self.compared_models();
        self.guard.leased_models.retain(|model| models.contains(model));
        if self.draining || models.is_empty() {
            self.rollout.next_acquire_at_ms = None;
            return;
        }
        if let Some(lease) = self.rollout.lease.filter(|_| !self.guard.leased_models.is_empty())
            && now >= self.rollout.next_keep_alive_at_ms
        {
            self.rollout.next_keep_alive_at_ms = now + KEEP_ALIVE_INTERVAL_MS;
            self.call_kv(KvPurpose::RenewRolloutLease, KvCall::KeepAlive { lease });
        }
        let first_acquire_at =
            now + DurationMs::new(self.rng.random_range(0..MAX_FIRST_ACQUIRE_DELAY_MS));
        let acquire_at = *self.rollout.next_acquire_at_ms.get_or_insert(first_acquire_at);
        if now < acquire_at || self.rollout.acquiring_model.is_some() {
            return;
        }
        let interval_ms = ACQUIRE_INTERVAL_MS + self.rng.random_range(0..ACQUIRE_INTERVAL_MS);
        self.rollout.next_acquire_at_ms = Some(now + DurationMs::new(interval_ms));
        let unleased = models.into_iter().find(|model| !self.guard.leased_models.contains(model));
        if let Some(model) = unleased {
            self.check_lease(model);
        }
    }

    fn check_lease(&mut self, model: ModelId) {
        let compares = vec![KvCompare::Absent { key: keys::rollout_lease(&model) }];
        self.rollout.acquiring_model = Some(model);
        let check = KvCall::Transaction { compares, then: Vec::new(), otherwise: Vec::new() };
        self.call_kv(KvPurpose::CheckRolloutLease, check);
    }

    pub(crate) fn on_lease_checked(&mut self, outcome: &KvOutcome) {
        let free =
            matches!(outcome, KvOutcome::Reply(KvReply::Transaction { succeeded: true, .. }));
        match (free, self.rollout.lease) {
            (false, _) => self.rollout.acquiring_model = None,
            (true, Some(_)) => self.acquire_lease(),
            (true, None) => {
                let grant = KvCall::Grant { ttl_ms: LEASE_TTL_MS };
                self.call_kv(KvPurpose::GrantRolloutLease, grant);
            }
        }
    }

    pub(crate) fn on_lease_granted(&mut self, outcome: &KvOutcome, now: TimeMs) {
        match outcome {
            KvOutcome::Reply(KvReply::Lease { lease, .. }) => {
                self.rollout.lease = Some(*lease);
                self.rollout.next_keep_alive_at_ms = now + KEEP_ALIVE_INTERVAL_MS;
                self.acquire_lease();
            }
            _ => self.rollout.acquiring_model = None,
        }
    }

    fn acquire_lease(&mut self) {
        let Some(model) = &self.rollout.acquiring_model else {
            return;
        };
        let key = keys::rollout_lease(model);
        let value = self.settings.host.as_str().as_bytes().to_vec().into();
        let put = KvOperation::Put { key: key.clone(), value, lease: self.rollout.lease };
        let acquire = KvCall::Transaction {
            compares: vec![KvCompare::Absent { key }],
            then: vec![put],
            otherwise: Vec::new(),
        };
        self.call_kv(KvPurpose::AcquireRolloutLease, acquire);
    }

    /// Records whether the rollout lease was acquired. If the reply was lost, it counts as not
    /// held; its key expires with the key-value lease.
    pub(crate) fn on_lease_acquired(&mut self, outcome: &KvOutcome) {
        let model = self.rollout.acquiring_model.take();
        let acquired =
            matches!(outcome, KvOutcome::Reply(KvReply::Transaction { succeeded: true, .. }));
        match model {
            Some(model) if acquired => {
                self.guard.leased_models.insert(model);
            }
            _ if self.guard.leased_models.is_empty() => self.rollout.lease = None,
            _ => {}
        }
    }

    /// Drops all rollout leases if the service reports that the key-value lease has expired. Any
    /// other failure keeps them: no other entry can acquire a lease while the service is
    /// unreachable.
    pub(crate) fn on_lease_renewed(&mut self, outcome: &KvOutcome) {
        if let KvOutcome::Reply(KvReply::Lease { ttl_ms, .. }) = outcome
            && *ttl_ms == DurationMs::default()
        {
            self.rollout.lease = None;
            self.guard.leased_models.clear();
        }
    }

    /// Delays the next halt by a random time unless this entry holds the lease of the version's
    /// model.
    pub(crate) fn delay_halt(&mut self, version: &VersionId, now: TimeMs) {
        let model = self.config.current().version(version).map(|(model, _)| &model.id);
        if model.is_none_or(|model| !self.guard.leased_models.contains(model)) {
            let delay_ms = self.rng.random_range(0..MAX_HALT_DELAY_MS);
            self.rollout.next_halt_at_ms = now + DurationMs::new(delay_ms);
        }
    }

    /// Starts a halt of the first stopped version that has a fallback, unless one is in progress.
    pub(crate) fn tick_halts(&mut self, now: TimeMs) {
        if self.rollout.halting_version.is_some() || now < self.rollout.next_halt_at_ms {
            return;
        }
        let mut stopped = self.guard.stops.keys();
        let Some(version) = stopped.find(|version| self.fallback(version).is_some()).cloned()
        else {
            return;
        };
        let Some((model, _)) = self.config.current().version(&version) else {
            return;
        };
        let item = keys::item(&ItemKey { kind: ItemKind::Model, id: model.id.as_str().into() });
        let read = KvCall::Transaction {
            compares: Vec::new(),
            then: vec![KvOperation::Get { key: keys::HEAD.into() }, KvOperation::Get { key: item }],
            otherwise: Vec::new(),
        };
        self.rollout.halting_version = Some(version);
        self.call_kv(KvPurpose::ReadForHalt, read);
    }

    pub(crate) fn on_halt_state_read(&mut self, outcome: KvOutcome, now: TimeMs) {
        self.rollout.next_halt_at_ms = now + HALT_RETRY_DELAY_MS;
        let Some(version) = self.rollout.halting_version.take() else {
            return;
        };
        let KvOutcome::Reply(KvReply::Transaction { results, .. }) = outcome else {
            self.record(Observation::KvUnavailable);
            return;
        };
        if let Some(write) = self.halt_transaction(&version, &results, now) {
            self.rollout.halting_version = Some(version);
            self.call_kv(KvPurpose::WriteHalt, write);
        }
    }

    /// Builds the transaction that halts the version. Returns `None` if the version is no longer in
    /// the state in which it was stopped, has no fallback, or the stored data cannot be decoded.
    fn halt_transaction(
        &mut self,
        version: &VersionId,
        results: &[Vec<KvPair>],
        now: TimeMs,
    ) -> Option<KvCall> {
        let [head, item] = results else {
            return None;
        };
        let (head, item) = (head.first()?, item.first()?);
        let revision = serde_json::from_slice::<Head>(&head.value).ok()?.revision.next();
        let raw: RawItem = serde_json::from_slice(&item.value).ok()?;
        let Item::Model(mut model) = Item::try_from(raw).ok()? else {
            return None;
        };
        let stop = self.guard.stops.get(version)?.clone();
        if model.version(version)?.state != stop.state {
            return None;
        }
        let fallback = self.fallback(version)?;
        apply_halt(&mut model, version, &fallback);
        let record = ChangeRecord {
            revision,
            change: self.next_change_id(version)?,
            operator: OperatorId::try_from(HALT_OPERATOR).ok()?,
            reason: format_compact!("{version} halted by {}: {}", self.settings.host, stop.reason),
            made_at_ms: now,
            operations: vec![Operation::Put(Item::Model(model))],
        };
        // Every change writes the head, so an unchanged head implies an unchanged model.
        Some(write_call(&record, Some(head.modify_revision)))
    }

    fn next_change_id(&mut self, version: &VersionId) -> Option<ChangeId> {
        self.rollout.halt_count += 1;
        let settings = &self.settings;
        let unique_name = format_compact!(
            "{version}/{}/{}/{}",
            settings.host,
            settings.incarnation,
            self.rollout.halt_count
        );
        ChangeId::try_from(format_compact!("halt-{:016x}", xxh3_64(unique_name.as_bytes()))).ok()
    }

    /// Records a halt that was written. A lost reply needs no handling, since the next read shows
    /// whether the halt took effect.
    pub(crate) fn on_halt_written(&mut self, outcome: &KvOutcome) {
        let version = self.rollout.halting_version.take();
        let written =
            matches!(outcome, KvOutcome::Reply(KvReply::Transaction { succeeded: true, .. }));
        if let Some(version) = version.filter(|_| written) {
            self.record(Observation::VersionHalted { version });
        }
    }
}

/// Halts a version and activates its fallback, so that a draining fallback accepts new sessions
/// again.
fn apply_halt(model: &mut Model, version: &VersionId, fallback: &VersionId) {
    for known in &mut model.versions {
        if known.id == *version {
            known.state = VersionState::Halted;
            known.canary_share = Share::ZERO;
        } else if known.id == *fallback {
            known.state = VersionState::Active;
        }
    }
}
