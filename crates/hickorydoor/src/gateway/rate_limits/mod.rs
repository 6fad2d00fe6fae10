//! Limits that upstreams name in their answers, and permits to send requests within them.
//!
//! A limit holds for all gateways together. One gateway issues the permits of an upstream
//! ([`SilentIssuers`] chooses it): each other gateway asks it for a permit before it sends a request
//! there. So the whole rate can be used, whatever the number of gateways and however uneven their
//! demand, and no more than that:
//!
//! - [`PermitIssuer`] spaces permits by the interval of the rate. It saves none up, and it can issue
//!   one that becomes valid a little later, for a request that waits.
//! - [`Permits`] are those that a gateway holds for an upstream. A request that could go elsewhere
//!   waits a few milliseconds for the answer at most. One that could not waits only if a permit is
//!   in sight, and is rejected at once otherwise.
//! - A gateway that does not answer, or is not heard of, is passed over. An issuer issues the share
//!   of the rate that the gateways it hears of make up ([`IssuedPart`]), so all issuers together
//!   stay within the limit, however many gateways are lost or cut off.
//! - A [`LimitStatement`] is what is known of a limit. The latest answer counts, whichever gateway
//!   received it; [`UpstreamNews`](super::upstreams::UpstreamNews) tells the others in digests, and each [`PermitMessage`] repeats it.
//!   A limit near zero still allows a request now and then, as only an answer can raise it.

mod issued_part;
mod issuer_order;
mod limit_change;
mod limit_statement;
mod permit_issuer;
mod permit_message;
mod permits;
mod request_rate;
mod silent_issuers;
mod wire;

pub use issued_part::IssuedPart;
pub use limit_change::LimitChange;
pub use limit_statement::LimitNotice;
pub use limit_statement::LimitStatement;
pub use permit_issuer::PermitIssuer;
pub use permit_issuer::WantedPermit;
pub use permit_message::AgedLimit;
pub use permit_message::PermitId;
pub use permit_message::PermitMessage;
pub use permit_message::PermitStep;
pub use permits::HeldPermit;
pub use permits::Overdue;
pub use permits::PendingPermit;
pub use permits::PermitAccess;
pub use permits::Permits;
pub use request_rate::RequestRate;
pub use request_rate::RequestRateError;
pub use silent_issuers::SilentIssuers;
pub use wire::WirePeerNotice;
pub use wire::WirePermit;
