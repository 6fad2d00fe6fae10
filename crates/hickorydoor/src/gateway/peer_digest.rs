//! What gateways tell each other, several times a second, in one datagram.
//!
//! A digest replaces the one before; a lost one is made up for by the next.

use prost::Message;

use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::rollout::RolloutEvidence;
use crate::gateway::upstream::PeerLoad;
use crate::id::HostId;
use crate::id::IdError;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::rollouts::evidence::Evidence;

/// Evidence about the rollout that one order started.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestEvidence {
    /// The service.
    pub service: ServiceName,
    /// Store revision of the order.
    pub order_revision: u64,
    /// The counters.
    pub evidence: RolloutEvidence,
    /// Hashes of the sessions that the gateway keeps on the old version.
    pub kept_sessions: Vec<u64>,
}

/// A prompt that an upstream was given to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRead {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The shared parts.
    pub parts: Vec<ChainPart>,
}

/// One gateway's load and evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDigest {
    /// The gateway.
    pub host: HostId,
    /// Start of its process; a higher one is later.
    pub incarnation: u64,
    /// Number of the digest within the incarnation.
    pub sequence: u64,
    /// Its load at upstreams.
    pub loads: Vec<(UpstreamId, PeerLoad)>,
    /// What it counted about rollouts.
    pub evidence: Vec<DigestEvidence>,
    /// Prompts that it sent lately; the same ones stand in several reports.
    pub reads: Vec<PromptRead>,
}

/// A datagram that is not a digest.
#[derive(Clone, Debug, PartialEq)]
pub enum DigestError {
    /// The bytes cannot be decoded.
    Decode(prost::DecodeError),
    /// An id is not valid.
    Id(IdError),
}

impl std::fmt::Display for DigestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "the digest cannot be decoded: {error}"),
            Self::Id(error) => write!(f, "the digest holds a bad id: {error}"),
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
    reading_ms: u32,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireEvidence {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    order_revision: u64,
    /// Attempts, errors and slow answers of the target, then of the baseline.
    #[prost(uint64, repeated, tag = "3")]
    counters: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    kept_sessions: Vec<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRead {
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
    reads: Vec<WireRead>,
}

impl PeerDigest {
    /// The digest as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        WireDigest::from(self).encode_to_vec()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Fails if the bytes are not a digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        Self::try_from(WireDigest::decode(bytes).map_err(DigestError::Decode)?)
    }
}

impl From<&PeerDigest> for WireDigest {
    fn from(digest: &PeerDigest) -> Self {
        let load = |(upstream, load): &(UpstreamId, PeerLoad)| WireLoad {
            upstream: upstream.to_string(),
            in_flight: load.in_flight,
            reading_ms: load.reading_ms.max(0.0) as u32,
        };
        let evidence = |known: &DigestEvidence| WireEvidence {
            service: known.service.to_string(),
            order_revision: known.order_revision,
            counters: [known.evidence.target, known.evidence.baseline]
                .iter()
                .flat_map(|counted| [counted.attempts, counted.errors, counted.slow])
                .collect(),
            kept_sessions: known.kept_sessions.clone(),
        };
        Self {
            host: digest.host.to_string(),
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            loads: digest.loads.iter().map(load).collect(),
            evidence: digest.evidence.iter().map(evidence).collect(),
            reads: digest.reads.iter().map(WireRead::from).collect(),
        }
    }
}

impl TryFrom<WireDigest> for PeerDigest {
    type Error = DigestError;

    fn try_from(wire: WireDigest) -> Result<Self, DigestError> {
        let mut loads = Vec::with_capacity(wire.loads.len());
        for load in wire.loads {
            let known =
                PeerLoad { in_flight: load.in_flight, reading_ms: f64::from(load.reading_ms) };
            loads.push((load.upstream.parse()?, known));
        }
        let mut evidence = Vec::with_capacity(wire.evidence.len());
        for known in wire.evidence {
            evidence.push(DigestEvidence::try_from(known)?);
        }
        let mut reads = Vec::with_capacity(wire.reads.len());
        for read in wire.reads {
            reads.push(PromptRead::try_from(read)?);
        }
        Ok(Self {
            host: wire.host.parse()?,
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            loads,
            evidence,
            reads,
        })
    }
}

impl From<&PromptRead> for WireRead {
    fn from(read: &PromptRead) -> Self {
        Self {
            upstream: read.upstream.to_string(),
            chains: read.parts.iter().map(|part| part.chain).collect(),
            tokens: read.parts.iter().map(|part| part.tokens).collect(),
        }
    }
}

impl TryFrom<WireRead> for PromptRead {
    type Error = DigestError;

    fn try_from(wire: WireRead) -> Result<Self, DigestError> {
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
            order_revision: wire.order_revision,
            evidence: RolloutEvidence { target: evidence_from(0), baseline: evidence_from(3) },
            kept_sessions: wire.kept_sessions,
        })
    }
}
