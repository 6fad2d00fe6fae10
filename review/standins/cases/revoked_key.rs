//! A gateway that starts again while the store is away in a drill takes the older copy for the
//! truth, and a key that was taken away long ago is in use again.

use std::thread;
use std::time::Duration;

use crate::Bed;
use crate::Verdict;
use crate::cases::Attempts;
use crate::cases::configuration;
use crate::cases::send;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::store::Store;

/// `revoke_ms` of the sites.
const REVOKE: Duration = Duration::from_millis(5_000);

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), Some(1), record);
    store.put("op/config", &configuration(1, &["key-kept", "key-taken"]));
    let mut engines = Vec::new();
    for number in 0..2 {
        let ip = format!("{}.{}", bed.net, 30 + number);
        engines.push(Engine::start(
            &format!("i-{number}"),
            "registry",
            "zone-a",
            &ip,
            6,
            &store,
            record,
            Box::new(|engine, request, stream| {
                engine.answer_whole(request, stream, Duration::from_millis(5), &[])
            }),
        ));
    }
    let mut gateways = Vec::new();
    for number in 0..3 {
        let ip = format!("{}.{}", bed.net, 11 + number);
        let name = format!("edge-{number}");
        gateways.push(Gateway::start(&name, "zone-a", &ip, store.address, &bed.folder, record));
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        record.say("a gateway did not become ready");
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let attempts = Attempts::default();
    let ask = |gateway: &Gateway, key: &str| {
        let attempt = attempts.next(&gateway.name);
        let mut connection = Connection::new(gateway.callers());
        let seen = send(
            record,
            &mut connection,
            ("GET", "/look/1"),
            (&attempt, key),
            Duration::from_millis(1_500),
        );
        (attempt, seen)
    };
    for gateway in &gateways {
        for key in ["key-kept", "key-taken"] {
            if ask(gateway, key).1.status() != Some(200) {
                record.say("a key does not work before it is taken away");
                return Verdict::CannotRun;
            }
        }
    }
    let copy = store.copy();
    let revoked = configuration(2, &["key-kept"]);
    store.put("op/config", &revoked);
    let acknowledged_at = record.now();
    record.say("operator: version 2 takes key-taken away, acknowledged");
    thread::sleep(REVOKE + Duration::from_millis(500));
    for gateway in &gateways {
        if ask(gateway, "key-taken").1.status() != Some(401) {
            record.say("the key works although it was taken away");
        }
    }
    if bed.trouble {
        record.say("store: away for a moment");
        store.set_away(true);
        gateways[2].kill();
        thread::sleep(Duration::from_millis(300));
        gateways[2].spawn();
        thread::sleep(Duration::from_millis(1_500));
        store.come_back_from(copy);
        record.say("store: back from the copy, Store-Era 2");
    } else {
        gateways[2].kill();
        thread::sleep(Duration::from_millis(300));
        gateways[2].spawn();
        thread::sleep(Duration::from_millis(1_500));
    }
    let back_at = record.now();
    let mut sent_late = Vec::new();
    let mut has_written_again = !bed.trouble;
    while record.now() < back_at + Duration::from_secs(6) {
        if !has_written_again && record.now() >= back_at + Duration::from_millis(3_000) {
            store.put("op/config", &revoked);
            record.say("operator: version 2 is written again");
            has_written_again = true;
        }
        for gateway in &gateways {
            if record.now() > acknowledged_at + REVOKE {
                sent_late.push(ask(gateway, "key-taken").0);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    // The gateways serve what is allowed at the end.
    if !gateways.iter().all(|gateway| ask(gateway, "key-kept").1.status() == Some(200)) {
        record.say("the key that was kept does not work at the end");
        return Verdict::CannotRun;
    }
    let mut ran = 0;
    for engine in &engines {
        let runs = engine.runs.lock().unwrap();
        ran += runs.iter().filter(|run| sent_late.contains(&run.attempt)).count();
    }
    record.say(&format!(
        "{} requests with the key sent later than {REVOKE:?} after the acknowledgement, {ran} of them ran",
        sent_late.len()
    ));
    if ran > 0 { Verdict::Broken } else { Verdict::Held }
}
