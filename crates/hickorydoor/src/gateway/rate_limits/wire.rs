//! Wire types of what upstreams say, and of permits.

use prost::Message;

use crate::gateway::peer_digest::DigestError;
use crate::gateway::rate_limits::AgedLimit;
use crate::gateway::rate_limits::PermitId;
use crate::gateway::rate_limits::PermitMessage;
use crate::gateway::rate_limits::PermitStep;
use crate::gateway::rate_limits::RequestRate;
use crate::gateway::upstreams::PeerNotice;
use crate::time::DurationMs;

const REQUEST: u32 = 1;
const RETURN: u32 = 2;
const GRANTED: u32 = 3;
const DENIED: u32 = 4;

/// Wire type of what an upstream has said, in a digest.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WirePeerNotice {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    started_unix_ms: u64,
    #[prost(message, optional, tag = "3")]
    limit: Option<WireLimit>,
    #[prost(bool, tag = "4")]
    is_leaving: bool,
}

#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
struct WireLimit {
    #[prost(double, optional, tag = "1")]
    per_s: Option<f64>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

/// Wire type of a message about a permit.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WirePermit {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    upstream: String,
    #[prost(uint64, tag = "3")]
    started_unix_ms: u64,
    #[prost(message, optional, tag = "4")]
    limit: Option<WireLimit>,
    #[prost(uint32, tag = "5")]
    step: u32,
    #[prost(uint64, tag = "6")]
    time_ms: u64,
}

impl From<AgedLimit> for WireLimit {
    fn from(limit: AgedLimit) -> Self {
        Self { per_s: limit.rate.map(RequestRate::per_s), age_ms: limit.age_ms.get() }
    }
}

impl TryFrom<WireLimit> for AgedLimit {
    type Error = DigestError;

    fn try_from(wire: WireLimit) -> Result<Self, DigestError> {
        let rate = wire.per_s.map(RequestRate::try_from).transpose();
        Ok(Self {
            rate: rate.map_err(|_error| DigestError::Limit)?,
            age_ms: DurationMs::new(wire.age_ms),
        })
    }
}

impl From<&PeerNotice> for WirePeerNotice {
    fn from(notice: &PeerNotice) -> Self {
        Self {
            upstream: notice.upstream.to_string(),
            started_unix_ms: notice.started_unix_ms,
            limit: notice.limit.map(WireLimit::from),
            is_leaving: notice.is_leaving,
        }
    }
}

impl TryFrom<WirePeerNotice> for PeerNotice {
    type Error = DigestError;

    fn try_from(wire: WirePeerNotice) -> Result<Self, DigestError> {
        Ok(Self {
            upstream: wire.upstream.parse()?,
            started_unix_ms: wire.started_unix_ms,
            is_leaving: wire.is_leaving,
            limit: wire.limit.map(AgedLimit::try_from).transpose()?,
        })
    }
}

impl From<&PermitMessage> for WirePermit {
    fn from(message: &PermitMessage) -> Self {
        let (step, time_ms) = match message.step {
            PermitStep::Request { max_wait_ms } => (REQUEST, max_wait_ms),
            PermitStep::Return => (RETURN, DurationMs::new(0)),
            PermitStep::Granted { after_ms } => (GRANTED, after_ms),
            PermitStep::Denied { after_ms } => (DENIED, after_ms),
        };
        Self {
            id: message.id.0,
            upstream: message.upstream.to_string(),
            started_unix_ms: message.started_unix_ms,
            limit: message.limit.map(WireLimit::from),
            step,
            time_ms: time_ms.get(),
        }
    }
}

impl TryFrom<WirePermit> for PermitMessage {
    type Error = DigestError;

    fn try_from(wire: WirePermit) -> Result<Self, DigestError> {
        let time_ms = DurationMs::new(wire.time_ms);
        let step = match wire.step {
            REQUEST => PermitStep::Request { max_wait_ms: time_ms },
            RETURN => PermitStep::Return,
            GRANTED => PermitStep::Granted { after_ms: time_ms },
            DENIED => PermitStep::Denied { after_ms: time_ms },
            _ => return Err(DigestError::Permit),
        };
        Ok(Self {
            id: PermitId(wire.id),
            upstream: wire.upstream.parse()?,
            started_unix_ms: wire.started_unix_ms,
            limit: wire.limit.map(AgedLimit::try_from).transpose()?,
            step,
        })
    }
}
