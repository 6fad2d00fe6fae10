//! Guards against a session that changes its version at another gateway during a rollout.
//!
//! The session had started on the old version. The second gateway did not know it, and sent it to
//! the new version because its hash is in the canary share.

mod gateway;

use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::rollout::RolloutPhase;
use hickorydoor::gateway::rollout::RolloutRecord;
use hickorydoor::quantity::Share;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::order;
use crate::gateway::position;
use crate::gateway::registration;

fn rig(host: &str) -> Rig {
    let mut rig = Rig::with_upstreams(host, 2, 0);
    for index in 0..2 {
        let mut new = registration(&format!("n-{index}"), ENGINES);
        new.version = "v2".into();
        rig.register(new);
    }
    rig.apply(GatewayEvent::RolloutOrdered { order: order(10), age_ms: None });
    rig
}

fn record() -> GatewayEvent {
    GatewayEvent::RolloutRecorded(RolloutRecord {
        service: ENGINES.parse().unwrap(),
        target: "v2".into(),
        order: position(1, 10),
        phase: RolloutPhase::Canary,
        share: Share::from_percent(7),
        order_age_ms: None,
        position: position(1, 11),
    })
}

fn version(rig: &mut Rig, session: &str) -> String {
    let mut request = call("/draft/1", session);
    request.session = Some(session.into());
    let (id, effects) = rig.send(request);
    let version = dispatch(&effects).unwrap().version.to_string();
    rig.end_attempt(id, AttemptOutcome::Served);
    version
}

/// Returns a session in the canary share, which a gateway that does not know it sends to the new
/// version.
fn session_in_the_canary_share() -> String {
    let mut fresh = rig("gw-0");
    fresh.apply(record());
    let names = (0..1_000).map(|index| format!("session-{index}"));
    let mut names = names.filter(|name| version(&mut fresh, name) == "v2");
    names.next().expect("a share of the sessions goes to the new version")
}

#[test]
fn session_keeps_its_version_at_another_gateway() {
    let session = session_in_the_canary_share();
    let (mut one, mut two) = (rig("gw-1"), rig("gw-2"));
    assert_eq!(version(&mut one, &session), "v1");
    one.apply(record());
    two.apply(record());
    let digest = one.gateway.digest(one.now);
    two.apply(GatewayEvent::Digest(Box::new(digest)));
    assert_eq!(version(&mut two, &session), "v1");
}

#[test]
fn session_keeps_its_version_while_a_long_request_runs() {
    let session = session_in_the_canary_share();
    let mut one = rig("gw-1");
    let mut request = call("/draft/1", "long");
    request.session = Some(session.as_str().into());
    let (id, _) = one.send(request);
    one.apply(record());
    one.apply(GatewayEvent::FirstEvent { call: id });
    one.advance(8_000);
    one.end_attempt(id, AttemptOutcome::Served);
    one.advance(2_000);
    assert_eq!(version(&mut one, &session), "v1");
}
