//! Datagrams that gateways exchange: digests, and messages about permits.
//!
//! Both have the same outer message, so that a gateway which does not know permits takes such a
//! datagram for an old digest and ignores it.

use prost::Message;

use crate::gateway::peer_digest::DigestError;
use crate::gateway::peer_digest::PeerDigest;
use crate::gateway::peer_digest::WireDigest;
use crate::gateway::rate_limits::PermitMessage;
use crate::gateway::rate_limits::WirePermit;
use crate::id::HostId;

/// A datagram of another gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load and evidence.
    Digest(Box<PeerDigest>),
    /// A message about a permit.
    Permit {
        /// Gateway that sent it.
        host: HostId,
        /// What it says.
        message: PermitMessage,
    },
}

impl PeerMessage {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Digest(digest) => digest.encode(),
            Self::Permit { host, message } => {
                WireDigest::of_permit(host, WirePermit::from(message)).encode_to_vec()
            }
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the datagram is neither a valid digest nor a message about a permit.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        let mut wire = WireDigest::decode(bytes).map_err(DigestError::Decode)?;
        match wire.permit.take() {
            Some(permit) => {
                Ok(Self::Permit { host: wire.host.parse()?, message: permit.try_into()? })
            }
            None => Ok(Self::Digest(Box::new(PeerDigest::try_from(wire)?))),
        }
    }
}
