//! Tests of the stand-ins for plain services, ratings, the host list and the weight store.

mod support;

use std::time::Duration;

use hickory_standins::Host;
use hickory_standins::HostList;
use hickory_standins::HostRole;
use hickory_standins::HostState;
use hickory_standins::RatingService;
use hickory_standins::Service;
use hickory_standins::WeightStore;
use http::StatusCode;
use serde_json::json;
use support::get_json;
use support::post;
use support::send;

// Guards against a dropped response that hides an execution, and against a rejected call that
// counts as one.
#[tokio::test]
async fn the_service_records_executed_calls() {
    let service = Service::start().await.expect("a port is free");
    let url = || format!("{}/lots/7?force=1", service.server().url());
    let key = [("idempotency-key", "k1")];
    service.drop_responses(1);
    assert_eq!(send("POST", url(), &key, "release").await, None);
    service.reject_calls(1);
    let (status, _) = send("POST", url(), &key, "release").await.expect("a response");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(service.execution_count(b"release"), 1);
    let call = &service.calls()[0];
    assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "/lots/7?force=1"));
    assert_eq!(call.idempotency_key.as_deref(), Some("k1"));
}

// Guards against the score of another version, and against ratings during an outage.
#[tokio::test]
async fn the_rating_service_scores_by_version() {
    let rating = RatingService::start(0.9).await.expect("a port is free");
    rating.set_version_score("brine-2", 0.4);
    let rate = async |version: &str| {
        let call = json!({"version": version, "prompt": "p", "answer": "a"});
        post(format!("{}/rate", rating.server().url()), &call).await.expect("a response")
    };
    assert_eq!(rate("brine-1").await.1.as_ref(), br#"{"score":0.9}"#);
    assert_eq!(rate("brine-2").await.1.as_ref(), br#"{"score":0.4}"#);
    rating.set_outage(true);
    assert_eq!(rate("brine-1").await.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rating.calls().len(), 2);
}

// Guards against hosts of another region, and against changes that become visible before the lag
// has passed.
#[tokio::test]
async fn the_host_list_filters_by_region_and_delays_changes() {
    let list = HostList::start().await.expect("a port is free");
    let host = |name: &str, region: &str| Host {
        host: name.to_owned(),
        role: HostRole::Agent,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "arauco-1".to_owned(),
        region: region.to_owned(),
        state: HostState::Live,
    };
    list.set_hosts(vec![host("a", "la-rioja"), host("b", "presov")]);
    let url = || format!("{}/hosts?region=la-rioja", list.server().url());
    let hosts = get_json(url()).await;
    assert_eq!(hosts.as_array().expect("an array").len(), 1);
    assert_eq!((&hosts[0]["host"], &hosts[0]["state"]), (&json!("a"), &json!("live")));
    list.set_lag(Duration::from_hours(1));
    list.update(|hosts| hosts[0].state = HostState::Leaving);
    assert_eq!(get_json(url()).await, json!([]));
    list.set_lag(Duration::ZERO);
    assert_eq!(get_json(url()).await[0]["state"], "leaving");
}

// Guards against truncated downloads, and against downloads of unknown versions.
#[tokio::test]
async fn the_weight_store_sends_complete_weights() {
    let store = WeightStore::start(u64::MAX).await.expect("a port is free");
    store.add_version("brine-1", 40_000);
    let (_, body) = send("GET", format!("{}/weights/brine-1", store.server().url()), &[], "")
        .await
        .expect("a response");
    assert_eq!(body.len(), 40_000);
    let missing = send("GET", format!("{}/weights/brine-9", store.server().url()), &[], "").await;
    assert_eq!(missing.expect("a response").0, StatusCode::NOT_FOUND);
    assert_eq!(store.download_count("brine-1"), 1);
}
