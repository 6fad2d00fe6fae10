//! Presence lease of an agent, which makes it the only one that may send orders to its engine.
//!
//! The agent creates its upstream's presence key, attached to a lease. The key's create revision is
//! the fencing number of every order to the engine, so a later holder always has a higher number.
//! The holder measures the lease from the time at which it sent the last renewal, so for the holder
//! the lease ends before it expires at the key-value service.

use compact_str::CompactString;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::backoff::Backoff;
use crate::id::FencingNumber;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time to live requested for a presence lease; the key-value service may grant another one.
const LEASE_TTL_MS: DurationMs = DurationMs::from_secs(180);
/// Interval of renewals. Two consecutive renewals may fail before the lease expires; 12,000 agents
/// cause 200 writes per second.
const RENEWAL_INTERVAL_MS: DurationMs = DurationMs::from_secs(60);
/// The holder stops using the lease this long before it expires, to allow for clock drift and
/// orders in flight.
const SAFETY_MARGIN_MS: DurationMs = DurationMs::from_secs(10);
/// Delay before a new holder's first order to an engine that ignores fencing numbers. Orders that
/// the previous holder sent just before its lease ended have arrived by then.
const TAKEOVER_DELAY_MS: DurationMs = DurationMs::from_secs(30);
/// Delay before trying to acquire the lease again while another agent holds the key.
const ACQUIRE_RETRY_MS: DurationMs = DurationMs::from_secs(10);

/// Value of a presence key. It identifies the holder, so that an agent recognises its own write
/// after a lost reply.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Presence {
    /// Host of the agent that holds the key.
    pub host: HostId,
    /// Incarnation of that agent; lower numbers on the same host are predecessors.
    pub incarnation: Incarnation,
    /// Id of the lease that the key is attached to, as the key-value service granted it.
    pub lease: u64,
}

/// Key-value call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseCall {
    Grant,
    CreateKey,
    DeleteKey,
    Renew,
}

/// State machine that acquires and renews an upstream's presence lease for one agent.
///
/// The caller sends what [`Self::next_call`] returns, one call at a time, and passes each outcome
/// to [`Self::on_outcome`].
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    key: CompactString,
    host: HostId,
    incarnation: Incarnation,
    lease: Option<u64>,
    valid_until_ms: TimeMs,
    fencing: Option<FencingNumber>,
    /// Highest fencing number that this holder has had.
    highest_fencing: FencingNumber,
    /// Earliest time of an order, after the delay of a takeover.
    orders_from_ms: TimeMs,
    /// Store revision of the key of an earlier incarnation of this agent, which is to be deleted.
    stale_key_revision: Option<u64>,
    in_flight: Option<LeaseCall>,
    sent_at_ms: TimeMs,
    next_call_at_ms: TimeMs,
    backoff: Backoff,
}

impl LeaseHolder {
    /// Creates a holder without a lease, which tries to acquire it from `now` on.
    pub fn new(upstream: &UpstreamId, host: HostId, incarnation: Incarnation, now: TimeMs) -> Self {
        Self {
            key: keys::presence(upstream),
            host,
            incarnation,
            lease: None,
            valid_until_ms: now,
            fencing: None,
            highest_fencing: FencingNumber::new(0),
            orders_from_ms: now,
            stale_key_revision: None,
            in_flight: None,
            sent_at_ms: now,
            next_call_at_ms: now,
            backoff: Backoff::default(),
        }
    }

    /// Fencing number for an order that is sent now; `None` while the lease is not held or the
    /// previous holder's orders may still arrive.
    pub fn fencing(&self, now: TimeMs) -> Option<FencingNumber> {
        let valid = now < self.valid_until_ms && now >= self.orders_from_ms;
        self.fencing.filter(|_| valid)
    }

    /// Returns the next key-value call, unless one is in flight or none is due.
    pub fn next_call(&mut self, now: TimeMs) -> Option<KvCall> {
        if self.in_flight.is_some() || now < self.next_call_at_ms {
            return None;
        }
        if now >= self.valid_until_ms {
            self.lease = None;
            self.fencing = None;
        }
        let (call, operation) = match (self.lease, self.fencing, self.stale_key_revision) {
            (None, _, _) => (LeaseCall::Grant, KvCall::Grant { ttl_ms: LEASE_TTL_MS }),
            (Some(lease), Some(_), _) => (LeaseCall::Renew, KvCall::KeepAlive { lease }),
            (Some(_), None, Some(revision)) => (LeaseCall::DeleteKey, self.delete_call(revision)),
            (Some(lease), None, None) => (LeaseCall::CreateKey, self.create_call(lease)),
        };
        self.in_flight = Some(call);
        self.sent_at_ms = now;
        Some(operation)
    }

    fn presence(&self, lease: u64) -> Presence {
        Presence { host: self.host.clone(), incarnation: self.incarnation, lease }
    }

    fn create_call(&self, lease: u64) -> KvCall {
        // Serialising a plain struct with string keys cannot fail.
        let value = serde_json::to_vec(&self.presence(lease)).unwrap_or_default().into();
        let key = self.key.clone();
        KvCall::Transaction {
            compares: vec![KvCompare::Absent { key: key.clone() }],
            then: vec![KvOperation::Put { key: key.clone(), value, lease: Some(lease) }],
            otherwise: vec![KvOperation::Get { key }],
        }
    }

    fn delete_call(&self, store_revision: u64) -> KvCall {
        let key = self.key.clone();
        KvCall::Transaction {
            compares: vec![KvCompare::ModifiedAt { key: key.clone(), store_revision }],
            then: vec![KvOperation::Delete { key }],
            otherwise: Vec::new(),
        }
    }

    /// Applies the outcome of the call in flight. `checks_fencing` says whether the engine rejects
    /// orders with stale fencing numbers.
    pub fn on_outcome<R: Rng>(
        &mut self,
        outcome: KvOutcome,
        checks_fencing: bool,
        now: TimeMs,
        rng: &mut R,
    ) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        match (call, outcome) {
            (
                LeaseCall::Grant | LeaseCall::Renew,
                KvOutcome::Reply(KvReply::Lease { lease, ttl_ms }),
            ) => {
                self.on_lease(lease, ttl_ms, now);
            }
            (
                LeaseCall::CreateKey,
                KvOutcome::Reply(KvReply::Transaction { succeeded, store_revision, results }),
            ) => {
                if succeeded {
                    self.on_acquired(store_revision, checks_fencing, now);
                } else {
                    let pair = results.first().and_then(|pairs| pairs.first());
                    self.on_key_exists(pair, checks_fencing, now);
                }
            }
            (LeaseCall::DeleteKey, KvOutcome::Reply(_)) => self.stale_key_revision = None,
            _ => {
                let pause_ms = self.backoff.record_failure(rng);
                self.next_call_at_ms = now + pause_ms;
            }
        }
    }

    fn on_lease(&mut self, lease: u64, ttl_ms: DurationMs, now: TimeMs) {
        self.backoff.record_success();
        if ttl_ms <= SAFETY_MARGIN_MS {
            self.lease = None;
            self.fencing = None;
            return;
        }
        self.lease = Some(lease);
        self.valid_until_ms = self.sent_at_ms + ttl_ms - SAFETY_MARGIN_MS;
        self.next_call_at_ms = if self.fencing.is_some() { now + RENEWAL_INTERVAL_MS } else { now };
    }

    fn on_acquired(&mut self, create_revision: u64, checks_fencing: bool, now: TimeMs) {
        self.backoff.record_success();
        let fencing = FencingNumber::new(create_revision);
        if fencing <= self.highest_fencing {
            // The service came back from an older copy and assigns revisions again. The engine would
            // reject this number, so the key is created anew until the number is higher.
            self.stale_key_revision = Some(create_revision);
            self.next_call_at_ms = now + ACQUIRE_RETRY_MS;
            return;
        }
        self.highest_fencing = fencing;
        self.fencing = Some(fencing);
        self.orders_from_ms = if checks_fencing { now } else { now + TAKEOVER_DELAY_MS };
        self.next_call_at_ms = now + RENEWAL_INTERVAL_MS;
    }

    fn on_key_exists(&mut self, pair: Option<&KvPair>, checks_fencing: bool, now: TimeMs) {
        self.next_call_at_ms = now + ACQUIRE_RETRY_MS;
        let Some(pair) = pair else {
            return;
        };
        let Ok(found) = serde_json::from_slice::<Presence>(&pair.value) else {
            return;
        };
        let own = self.lease.map(|lease| self.presence(lease));
        if own.as_ref() == Some(&found) {
            // An earlier write of the key took effect, but its reply was lost.
            self.on_acquired(pair.create_revision, checks_fencing, now);
            return;
        }
        let is_predecessor = found.host == self.host && found.incarnation <= self.incarnation;
        if is_predecessor && checks_fencing {
            // The key belongs to an earlier incarnation of this agent. The engine rejects its late
            // orders, so the key can be deleted at once. With an engine that ignores fencing
            // numbers, the agent waits until the key expires with its lease.
            self.stale_key_revision = Some(pair.modify_revision);
            self.next_call_at_ms = now;
        }
    }

    /// Stops issuing fencing numbers and returns the call that revokes the lease, so that a
    /// successor does not have to wait for its expiry. `None` if no lease is held.
    pub fn revoke(&mut self) -> Option<KvCall> {
        self.fencing = None;
        self.lease.take().map(|lease| KvCall::Revoke { lease })
    }
}
