//! The answer to the write by which a gateway announces itself is lost, and the write is done some
//! seconds later. It puts the key under a lease that nobody renews: the gateway vanishes for the
//! others for good, and each issues permits for the same engine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Bed;
use crate::Verdict;
use crate::cases::configuration;
use crate::cases::limit::LIMIT_PER_S;
use crate::cases::limit::Load;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::store::Store;

/// Time for which the store loses answers, as on the sites.
const LOSS_FOR: Duration = Duration::from_millis(4_500);
/// When a write whose answer is lost is done: 1 to 6 s later.
const LATE: Duration = Duration::from_millis(3_000);

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), None, record);
    store.put("op/config", &configuration(1, &["key-1"]));
    let is_in_need = Arc::new(AtomicBool::new(false));
    let needs = Arc::clone(&is_in_need);
    let engine = Engine::start(
        "i-02d9e6b4",
        "registry",
        "zone-a",
        &format!("{}.30", bed.net),
        60,
        &store,
        record,
        Box::new(move |engine, request, stream| {
            let limit = LIMIT_PER_S.to_string();
            let said = [("Server-Limit", limit.as_str())];
            let more: &[(&str, &str)] = if needs.load(Ordering::Relaxed) { &said } else { &[] };
            engine.answer_whole(request, stream, Duration::from_millis(10), more)
        }),
    );
    let start = |number: u32| {
        let name = format!("edge-{number}");
        let ip = format!("{}.{}", bed.net, 11 + number);
        Gateway::start(&name, "zone-a", &ip, store.address, &bed.folder, record)
    };
    let mut gateways = vec![start(0), start(1)];
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(2));
    if bed.trouble {
        record.say("store: loses the answers of some writes, which are done later");
        let mut writes: HashMap<String, u32> = HashMap::new();
        store.lose_answers(Some(Box::new(move |text| {
            let added = ["edge-3", "edge-5"].into_iter().find(|name| text.contains(name))?;
            let count = writes.entry(added.to_owned()).or_default();
            *count += 1;
            (*count == 1).then_some(LATE)
        })));
    }
    record.say("four machines are added");
    gateways.extend((2..6).map(start));
    thread::sleep(LOSS_FOR);
    store.lose_answers(None);
    record.say("store: sound again");
    // The lease of the late writes ends 6 s after it was granted; contact_ms passes as well.
    thread::sleep(Duration::from_secs(8));
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::CannotRun;
    }
    is_in_need.store(true, Ordering::Relaxed);
    record.say(&format!("engine: names Server-Limit: {LIMIT_PER_S} from now on"));
    let until = record.now() + Duration::from_secs(20);
    let load = Load::start(&gateways, 4, Duration::from_millis(160), until, record);
    let is_broken = load.exceeds_limit(&engine, &[], record);
    for number in 0..6 {
        let key = format!("hickorydoor/gateways/edge-{number}");
        record.say(&format!("store: {key} = {:?}", store.get(&key)));
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
