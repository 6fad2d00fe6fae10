//! How much of an upstream's rate a gateway may issue.
//!
//! Gateways that are passed over may be gone, or cut off and still issue permits to others. So an
//! issuer issues only the share of the rate that the gateways it hears of make up among those it
//! knows: groups of gateways that do not hear each other stay within the limit together, whatever
//! their number. One that hears of a gateway ranked before it, which others cannot reach, issues a
//! quarter of that, and the next one an eighth.

use crate::gateway::rate_limits::issuer_order::IssuerOrder;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::quantity::Share;

/// Part of an upstream's rate that one gateway may issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedPart {
    /// Share of the rate.
    pub share: Share,
    /// Position of the gateway among all, by which issuers that begin at the same time space their
    /// permits.
    pub offset: Share,
}

impl IssuedPart {
    /// The whole rate.
    pub const WHOLE: Self = Self { share: Share::ONE, offset: Share::ZERO };

    /// Returns the part of `own`. `is_heard` returns whether another gateway is heard of.
    pub fn of(
        upstream: &UpstreamId,
        own: &HostId,
        gateways: &[HostId],
        is_heard: impl Fn(&HostId) -> bool,
    ) -> Self {
        let order = IssuerOrder::of(upstream);
        let own_hash = order.hash(own);
        let (mut heard, mut heard_before, mut before) = (1_usize, 0, 0_usize);
        for host in gateways.iter().filter(|host| *host != own) {
            let is_before = order.hash(host) > own_hash;
            before += usize::from(is_before);
            if is_heard(host) {
                heard += 1;
                heard_before += i32::from(is_before);
            }
        }
        let all = gateways.len().max(heard) as f64;
        let factor = if heard_before == 0 { 1.0 } else { 0.5_f64.powi(heard_before.min(8) + 1) };
        Self {
            share: Share::try_from(heard as f64 / all * factor).unwrap_or(Share::ZERO),
            offset: Share::try_from(before as f64 / all).unwrap_or(Share::ZERO),
        }
    }
}
