//! Guards against a stream that ends as if it were complete although its continuation failed.
//!
//! An engine crashed in the middle of a stream, the engines that were to resume it answered 500,
//! and that error response was delivered after the part that the caller already had.

mod gateway;

use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::ResponseFault;

use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::is_aborted;
use crate::gateway::is_delivered;

#[test]
fn failed_continuation_aborts_the_stream() {
    let mut rig = Rig::with_upstreams("gw-1", 4, 0);
    let (id, _) = rig.send(call("/draft/1", "a"));
    rig.apply(GatewayEvent::FirstEvent { call: id });
    rig.end_attempt_after(id, AttemptOutcome::Unknown(ResponseFault::Closed), Some(9));
    rig.end_attempt_after(id, AttemptOutcome::Failed { status: 500 }, Some(9));
    let effects = rig.end_attempt_after(id, AttemptOutcome::Failed { status: 500 }, Some(9));
    assert!(is_aborted(&effects));
    assert!(!is_delivered(&effects));
}
