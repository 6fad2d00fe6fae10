//! Digest of load and rollout evidence that gateways exchange several times a second.
//!
//! A digest fits in one datagram and replaces the previous one of its sender, so a lost digest is
//! made up for by the next.

use prost::Message;

use crate::gateway::feed_wire::record::WireRecord;
use crate::gateway::headroom::ServiceDemand;
use crate::gateway::headroom::WireServiceDemand;
use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::quarantine::QuarantineReport;
use crate::gateway::quarantine::WireQuarantine;
use crate::gateway::rate_limits::WirePeerNotice;
use crate::gateway::rate_limits::WirePermit;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::gateway::upstreams::PeerLoad;
use crate::gateway::upstreams::PeerNotice;
use crate::id::HostId;
use crate::id::IdError;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::rollouts::outcome_table::OutcomeCounts;
use crate::rollouts::outcome_table::OutcomeKey;
use crate::rollouts::outcome_table::OutcomeTable;
use crate::rollouts::outcome_table::RouteKey;
use crate::rollouts::outcome_table::Side;
use crate::rollouts::outcome_table::UpstreamGroup;
use crate::time::DurationMs;

/// Evidence about one rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestEvidence {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Store position of the order; evidence about another order is ignored.
    pub order: StorePosition,
    /// Time since the order, if the sending gateway knows it.
    pub age_ms: Option<DurationMs>,
    /// Outcomes that the sending gateway counted, without those of other gateways.
    pub outcomes: OutcomeTable,
    /// Whether the outcomes known to the sending gateway speak against the new version.
    pub objects: bool,
    /// Record that is in force at the sending gateway, as the store holds it.
    pub record: Option<RolloutRecord>,
    /// Hashes of the sessions that the gateway pins to the old version.
    pub pinned_sessions: Vec<u64>,
}

/// Prompt that was sent to an engine, which caches its shared parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// Engine that prefills the prompt.
    pub upstream: UpstreamId,
    /// Shared parts of the prompt, from its start.
    pub parts: Vec<ChainPart>,
}

/// Load and evidence of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDigest {
    /// Gateway that sent the digest.
    pub host: HostId,
    /// Start of the sender's process; later incarnations are higher.
    pub incarnation: u64,
    /// Number of the digest within the incarnation.
    pub sequence: u64,
    /// Requests and prefill time of the sender at each upstream.
    pub loads: Vec<(UpstreamId, PeerLoad)>,
    /// Evidence about rollouts that the sender counted.
    pub evidence: Vec<DigestEvidence>,
    /// Recently sent prompts; a prompt is repeated in several digests, in case one is lost.
    pub prefills: Vec<Prefill>,
    /// Prompt parts under which engines end.
    pub quarantine: QuarantineReport,
    /// What upstreams have said to the sender a moment ago.
    pub notices: Vec<PeerNotice>,
    /// Requests that wait at the sender.
    pub demands: Vec<ServiceDemand>,
    /// How long the store has answered the sender without a break; `None` if it does not.
    pub store_answering_ms: Option<DurationMs>,
}

/// Error of decoding a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum DigestError {
    /// The datagram is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// The message contains an invalid id.
    Id(IdError),
    /// The message contains an invalid record of a rollout.
    Record,
    /// The message contains an invalid limit of an upstream.
    Limit,
    /// The message contains an unknown step of a permit.
    Permit,
}

impl std::fmt::Display for DigestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "malformed digest: {error}"),
            Self::Id(error) => write!(f, "invalid id in digest: {error}"),
            Self::Record => f.write_str("invalid rollout record in digest"),
            Self::Limit => f.write_str("invalid limit of an upstream"),
            Self::Permit => f.write_str("unknown step of a permit"),
        }
    }
}

impl std::error::Error for DigestError {}

impl From<IdError> for DigestError {
    fn from(error: IdError) -> Self {
        Self::Id(error)
    }
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireLoad {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint32, tag = "3")]
    prefill_ms: u32,
    /// Time since a response of the upstream last started.
    #[prost(uint64, optional, tag = "4")]
    response_age_ms: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireEvidence {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    order_revision: u64,
    #[prost(fixed64, repeated, tag = "4")]
    pinned_sessions: Vec<u64>,
    #[prost(uint64, tag = "5")]
    order_era: u64,
    #[prost(uint64, optional, tag = "6")]
    age_ms: Option<u64>,
    #[prost(message, repeated, tag = "7")]
    outcomes: Vec<WireOutcome>,
    #[prost(uint64, tag = "8")]
    sent_to_target: u64,
    #[prost(uint64, tag = "9")]
    sent: u64,
    #[prost(bool, tag = "10")]
    objects: bool,
    #[prost(message, optional, tag = "11")]
    record: Option<WireRecord>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireOutcome {
    #[prost(bool, tag = "1")]
    is_target: bool,
    #[prost(fixed32, tag = "2")]
    route: u32,
    #[prost(uint32, tag = "3")]
    group: u32,
    #[prost(uint32, tag = "4")]
    answers: u32,
    #[prost(uint32, tag = "5")]
    errors: u32,
    #[prost(uint32, tag = "6")]
    timed: u32,
    #[prost(sint32, tag = "7")]
    slowdown_sum: i32,
    #[prost(uint32, tag = "8")]
    slowdown_square_sum: u32,
    #[prost(uint32, tag = "9")]
    late: u32,
    #[prost(uint32, tag = "10")]
    unanswered: u32,
    #[prost(uint32, tag = "11")]
    paced: u32,
    #[prost(uint32, tag = "12")]
    at_full_pace: u32,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WirePrefill {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(fixed64, repeated, tag = "2")]
    chains: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    tokens: Vec<u32>,
}

/// Wire type of a datagram between gateways.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub(super) struct WireDigest {
    #[prost(string, tag = "1")]
    pub(super) host: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(message, repeated, tag = "4")]
    loads: Vec<WireLoad>,
    #[prost(message, repeated, tag = "5")]
    evidence: Vec<WireEvidence>,
    #[prost(message, repeated, tag = "6")]
    prefills: Vec<WirePrefill>,
    #[prost(message, optional, tag = "7")]
    quarantine: Option<WireQuarantine>,
    #[prost(message, repeated, tag = "8")]
    notices: Vec<WirePeerNotice>,
    /// Present if the datagram is about a permit and not a digest.
    #[prost(message, optional, tag = "9")]
    pub(super) permit: Option<WirePermit>,
    #[prost(message, repeated, tag = "11")]
    demands: Vec<WireServiceDemand>,
    #[prost(uint64, optional, tag = "12")]
    store_answering_ms: Option<u64>,
}

impl PeerDigest {
    /// Encodes the digest as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        WireDigest::from(self).encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the datagram is not a valid digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        Self::try_from(WireDigest::decode(bytes).map_err(DigestError::Decode)?)
    }
}

impl WireDigest {
    /// Builds a datagram that is about a permit, with nothing that a digest has.
    pub(super) fn of_permit(host: &HostId, permit: WirePermit) -> Self {
        Self { host: host.to_string(), permit: Some(permit), ..Self::default() }
    }
}

impl From<&PeerDigest> for WireDigest {
    fn from(digest: &PeerDigest) -> Self {
        let load = |(upstream, load): &(UpstreamId, PeerLoad)| WireLoad {
            upstream: upstream.to_string(),
            in_flight: load.in_flight,
            prefill_ms: load.prefill_ms.max(0.0) as u32,
            response_age_ms: load.response_age_ms.map(DurationMs::get),
        };
        let evidence = |entry: &DigestEvidence| WireEvidence {
            service: entry.service.to_string(),
            order_revision: entry.order.revision,
            order_era: entry.order.era.get(),
            age_ms: entry.age_ms.map(DurationMs::get),
            outcomes: entry.outcomes.iter().map(WireOutcome::from).collect(),
            sent_to_target: entry.outcomes.sent_to_target(),
            sent: entry.outcomes.sent(),
            objects: entry.objects,
            record: entry.record.as_ref().map(WireRecord::from),
            pinned_sessions: entry.pinned_sessions.clone(),
        };
        Self {
            host: digest.host.to_string(),
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            loads: digest.loads.iter().map(load).collect(),
            evidence: digest.evidence.iter().map(evidence).collect(),
            prefills: digest.prefills.iter().map(WirePrefill::from).collect(),
            quarantine: Some(WireQuarantine::from(&digest.quarantine)),
            notices: digest.notices.iter().map(WirePeerNotice::from).collect(),
            permit: None,
            demands: digest.demands.iter().map(WireServiceDemand::from).collect(),
            store_answering_ms: digest.store_answering_ms.map(DurationMs::get),
        }
    }
}

impl TryFrom<WireDigest> for PeerDigest {
    type Error = DigestError;

    fn try_from(wire: WireDigest) -> Result<Self, DigestError> {
        let mut loads = Vec::with_capacity(wire.loads.len());
        for load in wire.loads {
            let peer_load = PeerLoad {
                in_flight: load.in_flight,
                prefill_ms: f64::from(load.prefill_ms),
                response_age_ms: load.response_age_ms.map(DurationMs::new),
            };
            loads.push((load.upstream.parse()?, peer_load));
        }
        let mut evidence = Vec::with_capacity(wire.evidence.len());
        for entry in wire.evidence {
            evidence.push(DigestEvidence::try_from(entry)?);
        }
        let mut prefills = Vec::with_capacity(wire.prefills.len());
        for prefill in wire.prefills {
            prefills.push(Prefill::try_from(prefill)?);
        }
        Ok(Self {
            host: wire.host.parse()?,
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            loads,
            evidence,
            prefills,
            quarantine: QuarantineReport::try_from(wire.quarantine.unwrap_or_default())?,
            notices: wire
                .notices
                .into_iter()
                .map(PeerNotice::try_from)
                .collect::<Result<_, _>>()?,
            demands: wire
                .demands
                .into_iter()
                .map(ServiceDemand::try_from)
                .collect::<Result<_, _>>()?,
            store_answering_ms: wire.store_answering_ms.map(DurationMs::new),
        })
    }
}

impl From<&Prefill> for WirePrefill {
    fn from(prefill: &Prefill) -> Self {
        Self {
            upstream: prefill.upstream.to_string(),
            chains: prefill.parts.iter().map(|part| part.chain).collect(),
            tokens: prefill.parts.iter().map(|part| part.tokens).collect(),
        }
    }
}

impl TryFrom<WirePrefill> for Prefill {
    type Error = DigestError;

    fn try_from(wire: WirePrefill) -> Result<Self, DigestError> {
        let parts = wire.chains.into_iter().zip(wire.tokens);
        let parts = parts.map(|(chain, tokens)| ChainPart { chain, tokens }).collect();
        Ok(Self { upstream: wire.upstream.parse()?, parts })
    }
}

impl TryFrom<WireEvidence> for DigestEvidence {
    type Error = DigestError;

    fn try_from(wire: WireEvidence) -> Result<Self, DigestError> {
        let outcomes = wire.outcomes.iter().map(WireOutcome::to_counts);
        Ok(Self {
            service: wire.service.parse()?,
            order: StorePosition::new(StoreEra::new(wire.order_era), wire.order_revision),
            age_ms: wire.age_ms.map(DurationMs::new),
            outcomes: OutcomeTable::new(outcomes, wire.sent_to_target, wire.sent),
            objects: wire.objects,
            record: wire
                .record
                .map(RolloutRecord::try_from)
                .transpose()
                .map_err(|_error| DigestError::Record)?,
            pinned_sessions: wire.pinned_sessions,
        })
    }
}

impl From<(&OutcomeKey, &OutcomeCounts)> for WireOutcome {
    fn from((key, counts): (&OutcomeKey, &OutcomeCounts)) -> Self {
        Self {
            is_target: key.side == Side::Target,
            route: key.route.get(),
            group: u32::from(key.group.get()),
            answers: counts.answers,
            errors: counts.errors,
            timed: counts.timed,
            slowdown_sum: counts.slowdown_sum,
            slowdown_square_sum: counts.slowdown_square_sum,
            late: counts.late,
            unanswered: counts.unanswered,
            paced: counts.paced,
            at_full_pace: counts.at_full_pace,
        }
    }
}

impl WireOutcome {
    const fn to_counts(&self) -> (OutcomeKey, OutcomeCounts) {
        let key = OutcomeKey {
            side: if self.is_target { Side::Target } else { Side::Baseline },
            route: RouteKey::new(self.route),
            group: UpstreamGroup::new(self.group as u8),
        };
        let counts = OutcomeCounts {
            answers: self.answers,
            errors: self.errors,
            timed: self.timed,
            slowdown_sum: self.slowdown_sum,
            slowdown_square_sum: self.slowdown_square_sum,
            late: self.late,
            unanswered: self.unanswered,
            paced: self.paced,
            at_full_pace: self.at_full_pace,
        };
        (key, counts)
    }
}
