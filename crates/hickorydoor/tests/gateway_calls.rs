//! Refusals state truthfully whether a request executed, and one that may have executed is not
//! retried unless its route allows it.

mod gateway;

use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::catalog::Account;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::refusal::RefusalReason;
use hickorydoor::gateway::route::CallKind;

use crate::gateway::ENGINES;
use crate::gateway::KEY;
use crate::gateway::MAX_CONNECTIONS;
use crate::gateway::PLAIN;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::catalog;
use crate::gateway::dispatch;
use crate::gateway::is_delivered;
use crate::gateway::refusal;
use crate::gateway::registration;
use crate::gateway::route;

#[test]
fn non_idempotent_call_that_may_have_run_is_not_sent_again() {
    for fault in [
        ResponseFault::Closed,
        ResponseFault::Silent,
        ResponseFault::Garbled,
        ResponseFault::TimedOut,
    ] {
        let mut rig = Rig::with_upstreams("gw-1", 0, 3);
        let (id, effects) = rig.send(call("/book/1", "a"));
        assert!(dispatch(&effects).is_some());
        let effects = rig.end_attempt(id, AttemptOutcome::Unknown(fault));
        assert!(dispatch(&effects).is_none(), "{fault:?}");
        let status = refusal(&effects).map(|refusal| refusal.reason.status());
        assert!(matches!(status, Some(502 | 504)), "{fault:?}: {status:?}");
    }
}

#[test]
fn non_idempotent_call_that_did_not_run_is_sent_to_another_upstream() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    let (id, effects) = rig.send(call("/book/1", "a"));
    let first = dispatch(&effects).unwrap().upstream.clone();
    let effects = rig.end_attempt(id, AttemptOutcome::NotRun(NotRun::Refused));
    let second = dispatch(&effects).unwrap();
    assert_ne!(second.upstream, first);
    let effects = rig.end_attempt(id, AttemptOutcome::Served);
    assert!(is_delivered(&effects));
}

#[test]
fn error_response_to_a_non_idempotent_call_is_delivered() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    let (id, _) = rig.send(call("/book/1", "a"));
    let effects = rig.end_attempt(id, AttemptOutcome::Failed { status: 500 });
    assert!(is_delivered(&effects));
}

/// Guards against a request that has run and is answered with the upstream's own 408, 421, 429 or
/// 503, which its client takes as a promise that it has not.
#[test]
fn failed_run_of_a_call_that_must_not_be_repeated_is_not_answered_as_not_run() {
    for status in [408, 421, 429, 503] {
        let mut rig = Rig::with_upstreams("gw-1", 0, 3);
        let (id, _) = rig.send(call("/book/1", "a"));
        let effects = rig.end_attempt(id, AttemptOutcome::Failed { status });
        assert!(dispatch(&effects).is_none(), "{status}: sent again");
        assert!(!is_delivered(&effects), "{status}: delivered");
        let refusal = refusal(&effects).expect("a response of the gateway");
        assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown, "{status}");
        assert_eq!(refusal.retry_after_ms, None, "{status}");
    }
}

/// Guards against a repeatable request that loses the status of its upstream, and against a failure
/// that is taken for an error of the request and not sent to another upstream.
#[test]
fn repeatable_call_is_tried_elsewhere_and_keeps_the_status_of_its_last_upstream() {
    for status in [408, 421, 429, 503] {
        let mut rig = Rig::with_upstreams("gw-1", 0, 3);
        let (id, _) = rig.send(call("/look/1", "a"));
        let effects = rig.end_attempt(id, AttemptOutcome::Failed { status });
        assert!(dispatch(&effects).is_some(), "{status}: not sent again");
        let effects = rig.end_attempt(id, AttemptOutcome::Failed { status });
        assert!(is_delivered(&effects), "{status}: not delivered");
    }
}

/// Guards against a server that goes on to get its share of the requests, as its failures have a
/// status below 500.
#[test]
fn upstream_that_fails_with_a_promising_status_is_passed_over() {
    for status in [408, 421, 429, 503] {
        let mut rig = Rig::with_upstreams("gw-1", 0, 3);
        let mut failed = 0;
        for number in 0..60 {
            let (id, effects) = rig.send(call("/book/1", &format!("a-{number}")));
            let is_failing = dispatch(&effects).unwrap().upstream.as_str() == "p-0";
            failed += u32::from(is_failing);
            let outcome =
                if is_failing { AttemptOutcome::Failed { status } } else { AttemptOutcome::Served };
            rig.end_attempt(id, outcome);
            rig.advance(50);
        }
        assert!(failed < 60 / 3 / 2, "{status}: {failed} of 60");
    }
}

#[test]
fn idempotent_call_runs_on_as_many_upstreams_as_its_route_allows() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    let (id, _) = rig.send(call("/look/1", "a"));
    let effects = rig.end_attempt(id, AttemptOutcome::Failed { status: 500 });
    assert!(dispatch(&effects).is_some());
    let effects = rig.end_attempt(id, AttemptOutcome::Failed { status: 500 });
    assert!(dispatch(&effects).is_none());
    assert!(is_delivered(&effects));
}

#[test]
fn refusal_after_a_run_does_not_say_not_run() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 1);
    let (id, _) = rig.send(call("/look/1", "a"));
    rig.end_attempt(id, AttemptOutcome::Unknown(ResponseFault::Closed));
    // The only upstream refuses every further attempt, until none is left.
    let mut status = None;
    for _ in 0..20 {
        let mut effects = rig.end_attempt(id, AttemptOutcome::NotRun(NotRun::Refused));
        effects.extend(rig.advance(50));
        if let Some(refusal) = refusal(&effects) {
            status = Some(refusal.reason.status());
            break;
        }
    }
    assert!(matches!(status, Some(502 | 504)), "{status:?}");
}

#[test]
fn request_without_an_upstream_is_refused_with_a_retry_hint() {
    let mut rig = Rig::with_upstreams("gw-1", 1, 0);
    let (_, mut effects) = rig.send(call("/look/1", "a"));
    effects.extend(rig.advance(200));
    let refusal = refusal(&effects).expect("refused before its deadline");
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn keys_are_not_trusted_when_the_configuration_may_be_out_of_date() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    assert!(rig.gateway.is_ready(rig.now));
    rig.now = rig.now + DurationMs::new(4_401);
    assert!(!rig.gateway.is_ready(rig.now));
    let (_, effects) = rig.send(call("/look/1", "a"));
    let refusal = refusal(&effects).unwrap();
    assert_eq!(refusal.reason, RefusalReason::StaleConfiguration);
    assert_eq!(refusal.reason.status(), 503);
}

#[test]
fn configuration_never_goes_back() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    rig.apply(GatewayEvent::Configured(Arc::new(catalog(5, &["key-2"]))));
    rig.apply(GatewayEvent::Configured(Arc::new(catalog(4, &[gateway::KEY]))));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert_eq!(refusal(&effects).unwrap().reason, RefusalReason::UnknownKey);
}

/// Guards against a configuration that opens all routes since it has taken the last customer away.
#[test]
fn withdrawn_key_opens_nothing_once_no_customer_is_left() {
    for accounts in [Some(Vec::new()), None] {
        let needs_key = accounts.is_some();
        let mut rig = Rig::with_upstreams("gw-1", 0, 3);
        let known = catalog(1, &[KEY]);
        let services = known.services().cloned().collect();
        let mut open = route("/open/", CallKind::Idempotent, PLAIN);
        open.public = true;
        let routes = vec![route("/look/", CallKind::Idempotent, PLAIN), open];
        let catalog = Catalog::new(2, known.limits(), routes, services, accounts);
        rig.apply(GatewayEvent::Configured(Arc::new(catalog)));
        let mut get = |path: &str, key: Option<&str>| {
            let request = Call { key: key.map(Into::into), ..call(path, "a") };
            let (_, effects) = rig.send(request);
            let reason = refusal(&effects).map(|refusal| refusal.reason);
            assert!(reason.is_none_or(|reason| reason == RefusalReason::UnknownKey), "{reason:?}");
            dispatch(&effects).is_some()
        };
        assert!(!get("/look/1", Some(KEY)), "the key was withdrawn");
        assert!(!get("/look/2", Some("key-of-nobody")));
        assert_eq!(get("/look/3", None), !needs_key, "a key is needed if customers are listed");
        assert!(get("/open/1", Some(KEY)), "a public route ignores the key");
    }
}

#[test]
fn stopping_gateway_serves_until_it_is_noticed_and_then_refuses() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    rig.apply(GatewayEvent::Stop);
    assert!(!rig.gateway.is_ready(rig.now));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_some());
    rig.advance(2_700);
    let (_, effects) = rig.send(call("/look/1", "b"));
    assert_eq!(refusal(&effects).unwrap().reason, RefusalReason::Stopping);
}

#[test]
fn draining_upstream_gets_nothing_new() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 1);
    let mut leaving = gateway::registration("p-0", gateway::PLAIN);
    leaving.draining = true;
    leaving.sequence = 2;
    rig.register(leaving);
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none());
}

#[test]
fn data_centre_that_is_taken_out_gets_nothing_new() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    rig.apply(GatewayEvent::DataCentreOut("dc-1".parse().unwrap()));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none());
    let effects = rig.apply(GatewayEvent::DataCentreIn("dc-1".parse().unwrap()));
    assert!(dispatch(&effects).is_some(), "queued requests are sent once the data centre is back");
}

/// Guards against requests that leave the regions of their route.
#[test]
fn route_with_regions_uses_only_upstreams_in_them() {
    let mut rig = Rig::new("gw-1");
    let mut route = route("/look/", CallKind::Idempotent, PLAIN);
    route.regions = vec!["norte".parse().unwrap()];
    let mut catalog = catalog(2, &[KEY]);
    catalog = Catalog::new(
        2,
        catalog.limits(),
        vec![route],
        vec![catalog.service(&PLAIN.parse().unwrap()).unwrap().clone()],
        Some(vec![Account {
            customer: "customer-1".parse().unwrap(),
            keys: vec![KEY.into()],
            priority: None,
            weight: None,
        }]),
    );
    rig.apply(GatewayEvent::Configured(Arc::new(catalog)));
    for (id, region) in [("p-south", Some("sur")), ("p-none", None)] {
        let mut elsewhere = registration(id, PLAIN);
        elsewhere.region = region.map(|region| region.parse().unwrap());
        rig.register(elsewhere);
    }
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none());
    let mut local = registration("p-north", PLAIN);
    local.region = Some("norte".parse().unwrap());
    let effects = rig.apply(GatewayEvent::Registered(Box::new(local)));
    assert_eq!(dispatch(&effects).unwrap().upstream.as_str(), "p-north");
}

/// Guards against connections that an upstream resets because it has too many.
#[test]
fn upstream_gets_no_more_calls_than_it_accepts_connections() {
    let mut rig = Rig::new("gw-1");
    let mut upstream = registration("p-0", PLAIN);
    upstream.slots = 1_000;
    rig.register(upstream);
    let mut sent = 0;
    for number in 0..400 {
        let (_, effects) = rig.send(call("/look/1", &format!("a-{number}")));
        sent += u32::from(dispatch(&effects).is_some());
    }
    assert_eq!(sent, MAX_CONNECTIONS);
}

#[test]
fn stream_resumes_on_another_upstream_after_its_last_event() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    let (id, effects) = rig.send(call("/draft/1", "a"));
    let first = dispatch(&effects).unwrap().upstream.clone();
    rig.apply(GatewayEvent::FirstEvent { call: id });
    let effects =
        rig.end_attempt_after(id, AttemptOutcome::Unknown(ResponseFault::Closed), Some(12));
    let second = dispatch(&effects).unwrap();
    assert_ne!(second.upstream, first);
    assert_eq!(second.last_event, Some(12));
    assert_eq!(second.min_confidence, None, "an answer that has started is not discarded");
}

#[test]
fn dispatch_states_the_remaining_time() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    let (id, _) = rig.send(call("/draft/1", "a"));
    rig.now = rig.now + DurationMs::new(4_000);
    rig.sync_store();
    let effects = rig.end_attempt(id, AttemptOutcome::Unknown(ResponseFault::Closed));
    assert_eq!(dispatch(&effects).unwrap().remaining_ms, DurationMs::new(11_000));
}

fn is_abandoned(effects: &[GatewayEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, GatewayEffect::Abandon { .. }))
}

/// Guards against stalled streams that never end, although another upstream could go on with them.
#[test]
fn stalled_stream_is_resumed_on_another_upstream() {
    let mut rig = Rig::with_upstreams("gw-1", 2, 0);
    let (id, _) = rig.send(call("/draft/1", "a"));
    rig.apply(GatewayEvent::FirstEvent { call: id });
    assert!(is_abandoned(&rig.apply(GatewayEvent::Stalled { call: id })));
    assert!(!is_abandoned(&rig.apply(GatewayEvent::Stalled { call: id })), "only once");
    let effects =
        rig.end_attempt_after(id, AttemptOutcome::Unknown(ResponseFault::Silent), Some(3));
    assert_eq!(dispatch(&effects).unwrap().last_event, Some(3));
}

/// Guards against slow but sound streams that are cut although nobody else can go on with them.
#[test]
fn stalled_stream_goes_on_if_no_other_upstream_can_resume_it() {
    let mut rig = Rig::with_upstreams("gw-1", 1, 0);
    let (id, _) = rig.send(call("/draft/1", "a"));
    rig.apply(GatewayEvent::FirstEvent { call: id });
    assert!(!is_abandoned(&rig.apply(GatewayEvent::Stalled { call: id })));

    // The last attempt that the route allows.
    let mut rig = Rig::with_upstreams("gw-1", 5, 0);
    let (id, _) = rig.send(call("/draft/1", "a"));
    for _ in 0..2 {
        rig.apply(GatewayEvent::FirstEvent { call: id });
        rig.end_attempt_after(id, AttemptOutcome::Unknown(ResponseFault::Closed), Some(1));
    }
    assert!(!is_abandoned(&rig.apply(GatewayEvent::Stalled { call: id })));

    let mut rig = Rig::new("gw-1");
    let mut route = route("/once/", CallKind::Streaming, ENGINES);
    route.resumable = false;
    let known = catalog(1, &[KEY]);
    let services = known.services().cloned().collect();
    let accounts = known.accounts().cloned().collect();
    let catalog = Catalog::new(2, known.limits(), vec![route], services, Some(accounts));
    rig.apply(GatewayEvent::Configured(Arc::new(catalog)));
    for index in 0..3 {
        rig.register(registration(&format!("e-{index}"), ENGINES));
    }
    let (id, effects) = rig.send(call("/once/1", "a"));
    assert!(dispatch(&effects).is_some());
    assert!(!is_abandoned(&rig.apply(GatewayEvent::Stalled { call: id })));
}

/// Guards against a request that is sent on knowledge from before a pause of the process.
#[test]
fn process_that_was_paused_sends_nothing_until_it_is_in_sync() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    rig.now = rig.now + DurationMs::new(3_000);
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none());
    // The upstream left during the pause; the next synchronization says so.
    for index in 0..2 {
        rig.apply(GatewayEvent::Deregistered(format!("p-{index}").parse().unwrap()));
    }
    rig.apply(GatewayEvent::StoreAnswered);
    let position = rig.gateway.store_position().unwrap();
    let effects = rig.apply(GatewayEvent::StoreSynced { synced_at: rig.now, position });
    assert_eq!(dispatch(&effects).unwrap().upstream.as_str(), "p-2");
}

/// Guards against a process that stops serving for good because the store is away after a pause.
#[test]
fn process_that_was_paused_goes_on_if_the_store_does_not_answer() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 3);
    rig.now = rig.now + DurationMs::new(2_000);
    rig.apply(GatewayEvent::StoreUnreachable);
    for _ in 0..32 {
        rig.now = rig.now + DurationMs::new(50);
        rig.apply(GatewayEvent::Tick);
    }
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_some());
}

/// Guards against requests that each try another upstream behind a link that carries nothing back.
#[test]
fn data_centre_that_cannot_be_reached_is_avoided_as_a_whole() {
    let mut rig = Rig::new("gw-1");
    for index in 0..12 {
        let mut known = registration(&format!("p-{index}"), PLAIN);
        known.data_centre = if index < 9 { "dc-1" } else { "dc-2" }.parse().unwrap();
        rig.register(known);
    }
    let mut failed_connections = 0;
    for number in 0..40 {
        let (id, mut effects) = rig.send(call("/book/1", &format!("a-{number}")));
        while let Some(sent) = dispatch(&effects) {
            let index: usize = sent.upstream.as_str()[2..].parse().unwrap();
            if index >= 9 {
                rig.end_attempt(id, AttemptOutcome::Served);
                break;
            }
            failed_connections += 1;
            effects = rig.end_attempt(id, AttemptOutcome::NotRun(NotRun::Unreachable));
        }
        rig.advance(50);
    }
    // Two upstreams that show it, and one try each 1.5 s of the 2 s.
    assert!(failed_connections <= 4, "{failed_connections}");
}

/// Guards against a data centre that stays avoided although it can be reached again.
#[test]
fn data_centre_is_used_again_once_an_upstream_of_it_answers() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 4);
    let mut remote = registration("p-9", PLAIN);
    remote.data_centre = "dc-2".parse().unwrap();
    rig.register(remote);
    let (id, _) = rig.send(call("/look/1", "a"));
    for _ in 0..2 {
        let effects = rig.end_attempt(id, AttemptOutcome::NotRun(NotRun::Unreachable));
        assert!(dispatch(&effects).is_some());
    }
    rig.end_attempt(id, AttemptOutcome::Served);
    let (id, effects) = rig.send(call("/look/1", "b"));
    assert_eq!(dispatch(&effects).unwrap().upstream.as_str(), "p-9");
    rig.end_attempt(id, AttemptOutcome::Served);
    rig.advance(3_000);
    let (_, effects) = rig.send(call("/look/1", "c"));
    assert_ne!(dispatch(&effects).unwrap().upstream.as_str(), "p-9");
}

/// Guards against an attempt that is sent although its time has passed since it was decided.
#[test]
fn attempt_that_was_decided_too_late_to_be_sent_has_not_run() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 2);
    let (id, effects) = rig.send(call("/look/1", "a"));
    let sent = dispatch(&effects).unwrap().clone();
    assert_eq!(sent.time_left(rig.now), Some(DurationMs::new(800)));
    rig.now = rig.now + DurationMs::new(790);
    assert_eq!(sent.time_left(rig.now), None);
    let effects = rig.end_attempt(id, AttemptOutcome::NotRun(NotRun::Expired));
    assert_eq!(refusal(&effects).unwrap().reason, RefusalReason::TimedOutWaiting);
}
