//! Two machines are killed: the one that issues the permits for an engine in need, and the one that
//! would do so in its place. Each of the others then issues permits to itself.

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

const MACHINES: u32 = 19;
/// The machines that are killed: a share of 0.105.
const KILLED: [u32; 2] = [5, 15];
/// Time until they are started again.
const DOWN_FOR: Duration = Duration::from_millis(3_500);

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), None, record);
    store.put("op/config", &configuration(1, &["key-1"]));
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
            engine.answer_whole(request, stream, Duration::from_millis(10), &said)
        }),
    );
    let start = |number: u32| {
        let ip = format!("{}.{}", bed.net, 101 + number);
        Gateway::start(&format!("edge-{number}"), "zone-a", &ip, store.address, &bed.folder, record)
    };
    let mut gateways: Vec<Gateway> = (0..MACHINES).map(start).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.say("a gateway did not become ready");
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(8));
    let until = record.now() + Duration::from_secs(30);
    let load = Load::start(&gateways, 1, Duration::from_millis(100), until, record);
    thread::sleep(Duration::from_secs(15));
    if bed.trouble {
        record.say("two machines are killed");
        for number in KILLED {
            gateways[number as usize].kill();
        }
        thread::sleep(DOWN_FOR);
        for number in KILLED {
            gateways[number as usize].spawn();
        }
        record.say("they are started again");
    }
    let excused = KILLED.map(|number| format!("edge-{number}"));
    let is_broken = load.exceeds_limit(&engine, &excused, record);
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
