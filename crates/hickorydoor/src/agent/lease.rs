//! The presence lease of an agent and its fencing number.
//!
//! The agent holds a key of its upstream under a lease. The create revision of the key is the
//! fencing number on every order to the engine: a later holder always has a higher one. The holder
//! counts the lease from the moment at which it sent the last renewal, so on its own clock the
//! lease ends before it ends at the key-value service.

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

/// Time to live of a presence lease. Renewals of 12,000 agents make 200 writes a second.
const TTL_MS: DurationMs = DurationMs::from_secs(180);
/// Time between two renewals; two of them may fail in a row.
const RENEW_MS: DurationMs = DurationMs::from_secs(60);
/// Part of the lease that the holder does not use: clocks that drift apart and orders under way.
const MARGIN_MS: DurationMs = DurationMs::from_secs(10);
/// Time that a new holder waits before its first order to an engine that ignores fencing numbers.
/// An order that the earlier holder sent in its last moment has arrived by then.
const SETTLE_MS: DurationMs = DurationMs::from_secs(30);
/// Time before a key that another holder has is tried again.
const RETRY_MS: DurationMs = DurationMs::from_secs(10);

/// Content of a presence key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Presence {
    /// The agent's host.
    pub host: HostId,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// The call that a holder waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseCall {
    Grant,
    Claim,
    Remove,
    Renew,
}

/// An agent as the holder, or the would-be holder, of its upstream's lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    key: CompactString,
    host: HostId,
    incarnation: Incarnation,
    lease: Option<u64>,
    valid_until_ms: TimeMs,
    fencing: Option<FencingNumber>,
    orders_from_ms: TimeMs,
    /// Store revision of the key of an earlier incarnation of this agent, which is to be removed.
    stale_key: Option<u64>,
    in_flight: Option<LeaseCall>,
    sent_at_ms: TimeMs,
    next_call_at_ms: TimeMs,
    backoff: Backoff,
}

impl LeaseHolder {
    /// A holder that has no lease yet.
    pub fn new(upstream: &UpstreamId, host: HostId, incarnation: Incarnation, now: TimeMs) -> Self {
        Self {
            key: keys::presence(upstream),
            host,
            incarnation,
            lease: None,
            valid_until_ms: now,
            fencing: None,
            orders_from_ms: now,
            stale_key: None,
            in_flight: None,
            sent_at_ms: now,
            next_call_at_ms: now,
            backoff: Backoff::default(),
        }
    }

    /// The fencing number, if an order may be given now.
    pub fn fencing(&self, now: TimeMs) -> Option<FencingNumber> {
        let valid = now < self.valid_until_ms && now >= self.orders_from_ms;
        self.fencing.filter(|_| valid)
    }

    /// The next call to the key-value service, if one is due.
    pub fn next_call(&mut self, now: TimeMs) -> Option<KvCall> {
        if self.in_flight.is_some() || now < self.next_call_at_ms {
            return None;
        }
        if now >= self.valid_until_ms {
            self.lease = None;
            self.fencing = None;
        }
        let (call, operation) = match (self.lease, self.fencing, self.stale_key) {
            (None, _, _) => (LeaseCall::Grant, KvCall::Grant { ttl_ms: TTL_MS }),
            (Some(lease), Some(_), _) => (LeaseCall::Renew, KvCall::KeepAlive { lease }),
            (Some(_), None, Some(revision)) => (LeaseCall::Remove, self.remove_call(revision)),
            (Some(lease), None, None) => (LeaseCall::Claim, self.claim_call(lease)),
        };
        self.in_flight = Some(call);
        self.sent_at_ms = now;
        Some(operation)
    }

    fn presence(&self, lease: u64) -> Presence {
        Presence { host: self.host.clone(), incarnation: self.incarnation, lease }
    }

    fn claim_call(&self, lease: u64) -> KvCall {
        // Serialising plain structs with string keys cannot fail.
        let value = serde_json::to_vec(&self.presence(lease)).unwrap_or_default().into();
        let key = self.key.clone();
        KvCall::Transaction {
            compares: vec![KvCompare::Absent { key: key.clone() }],
            then: vec![KvOperation::Put { key: key.clone(), value, lease: Some(lease) }],
            otherwise: vec![KvOperation::Get { key }],
        }
    }

    fn remove_call(&self, store_revision: u64) -> KvCall {
        let key = self.key.clone();
        KvCall::Transaction {
            compares: vec![KvCompare::ModifiedAt { key: key.clone(), store_revision }],
            then: vec![KvOperation::Delete { key }],
            otherwise: Vec::new(),
        }
    }

    /// Takes over the answer to the call under way. `checks_fencing` tells whether the engine
    /// rejects stale fencing numbers.
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
                LeaseCall::Claim,
                KvOutcome::Reply(KvReply::Transaction { succeeded, store_revision, results }),
            ) => {
                if succeeded {
                    self.hold(store_revision, checks_fencing, now);
                } else {
                    let pair = results.first().and_then(|pairs| pairs.first());
                    self.on_taken(pair, checks_fencing, now);
                }
            }
            (LeaseCall::Remove, KvOutcome::Reply(_)) => self.stale_key = None,
            _ => {
                let pause_ms = self.backoff.record_failure(rng);
                self.next_call_at_ms = now + pause_ms;
            }
        }
    }

    fn on_lease(&mut self, lease: u64, ttl_ms: DurationMs, now: TimeMs) {
        self.backoff.record_success();
        if ttl_ms <= MARGIN_MS {
            self.lease = None;
            self.fencing = None;
            return;
        }
        self.lease = Some(lease);
        self.valid_until_ms = self.sent_at_ms + ttl_ms - MARGIN_MS;
        self.next_call_at_ms = if self.fencing.is_some() { now + RENEW_MS } else { now };
    }

    fn hold(&mut self, create_revision: u64, checks_fencing: bool, now: TimeMs) {
        self.backoff.record_success();
        self.fencing = Some(FencingNumber::new(create_revision));
        self.orders_from_ms = if checks_fencing { now } else { now + SETTLE_MS };
        self.next_call_at_ms = now + RENEW_MS;
    }

    fn on_taken(&mut self, pair: Option<&KvPair>, checks_fencing: bool, now: TimeMs) {
        self.next_call_at_ms = now + RETRY_MS;
        let Some(pair) = pair else {
            return;
        };
        let Ok(found) = serde_json::from_slice::<Presence>(&pair.value) else {
            return;
        };
        let own = self.lease.map(|lease| self.presence(lease));
        if own.as_ref() == Some(&found) {
            // An earlier claim took effect and its answer was lost.
            self.hold(pair.create_revision, checks_fencing, now);
            return;
        }
        let replaced = found.host == self.host && found.incarnation <= self.incarnation;
        if replaced && checks_fencing {
            // An earlier incarnation of this agent; the engine rejects what it may still order. Other
            // engines must wait until the key expires with its lease.
            self.stale_key = Some(pair.modify_revision);
            self.next_call_at_ms = now;
        }
    }

    /// Ends the lease at a graceful stop, so that a successor need not wait.
    pub fn revoke(&mut self) -> Option<KvCall> {
        self.fencing = None;
        self.lease.take().map(|lease| KvCall::Revoke { lease })
    }
}
