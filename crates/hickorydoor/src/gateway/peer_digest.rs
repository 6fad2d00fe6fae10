//! Digest of load and rollout evidence that gateways exchange several times a second.
//!
//! A digest fits in one datagram and replaces the previous one of its sender, so a lost digest is
//! made up for by the next.

use prost::Message;

use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::quarantine::QuarantineReport;
use crate::gateway::quarantine::WireQuarantine;
use crate::gateway::rollout::RolloutEvidence;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::gateway::upstream::PeerLoad;
use crate::id::HostId;
use crate::id::IdError;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::rollouts::evidence::Evidence;

/// Evidence about one rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestEvidence {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Store position of the order; evidence about another order is ignored.
    pub order: StorePosition,
    /// Evidence that the sending gateway counted, without that of other gateways.
    pub evidence: RolloutEvidence,
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
}

/// Error of decoding a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum DigestError {
    /// The datagram is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// The message contains an invalid id.
    Id(IdError),
}

impl std::fmt::Display for DigestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "malformed digest: {error}"),
            Self::Id(error) => write!(f, "invalid id in digest: {error}"),
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
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireEvidence {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    order_revision: u64,
    /// Attempts, errors and slow attempts of the target, then of the baseline.
    #[prost(uint64, repeated, tag = "3")]
    counters: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    pinned_sessions: Vec<u64>,
    #[prost(uint64, tag = "5")]
    order_era: u64,
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

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireDigest {
    #[prost(string, tag = "1")]
    host: String,
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

impl From<&PeerDigest> for WireDigest {
    fn from(digest: &PeerDigest) -> Self {
        let load = |(upstream, load): &(UpstreamId, PeerLoad)| WireLoad {
            upstream: upstream.to_string(),
            in_flight: load.in_flight,
            prefill_ms: load.prefill_ms.max(0.0) as u32,
        };
        let evidence = |entry: &DigestEvidence| WireEvidence {
            service: entry.service.to_string(),
            order_revision: entry.order.revision,
            order_era: entry.order.era.get(),
            counters: [entry.evidence.target, entry.evidence.baseline]
                .iter()
                .flat_map(|counted| [counted.attempts, counted.errors, counted.slow])
                .collect(),
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
        }
    }
}

impl TryFrom<WireDigest> for PeerDigest {
    type Error = DigestError;

    fn try_from(wire: WireDigest) -> Result<Self, DigestError> {
        let mut loads = Vec::with_capacity(wire.loads.len());
        for load in wire.loads {
            let peer_load =
                PeerLoad { in_flight: load.in_flight, prefill_ms: f64::from(load.prefill_ms) };
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
        let counter = |index: usize| wire.counters.get(index).copied().unwrap_or_default();
        let evidence_from = |first: usize| Evidence {
            attempts: counter(first),
            errors: counter(first + 1),
            slow: counter(first + 2),
            ..Evidence::default()
        };
        Ok(Self {
            service: wire.service.parse()?,
            order: StorePosition::new(StoreEra::new(wire.order_era), wire.order_revision),
            evidence: RolloutEvidence { target: evidence_from(0), baseline: evidence_from(3) },
            pinned_sessions: wire.pinned_sessions,
        })
    }
}
