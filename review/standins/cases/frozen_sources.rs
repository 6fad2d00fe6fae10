//! The gateways from which another one learns the changes in the store stand still at once. It tries
//! them one after the other, and sends requests to an engine that has long been leaving.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Bed;
use crate::Verdict;
use crate::cases::Attempts;
use crate::cases::configuration;
use crate::cases::send;
use crate::engine::Engine;
use crate::engine::Run;
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::store::Store;

/// `drain_ms` of the sites.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Machines of each zone.
const ZONE_A: u32 = 20;
const ZONE_B: u32 = 17;
/// Machines that stand still: a share of 0.11 of all, and for 3.5 s, as on skladka-seats.
const FROZEN: usize = 4;
const ROUNDS: usize = 3;
const FREEZE: Duration = Duration::from_millis(3_500);

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), None, record);
    store.put("op/config", &configuration(1, &["key-1"]));
    let mut engines = Vec::new();
    for number in 0..6 {
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
    for number in 0..ZONE_A + ZONE_B {
        let ip = format!("{}.{}", bed.net, 101 + number);
        let zone = if number < ZONE_A { "zone-a" } else { "zone-b" };
        let name = format!("edge-{number}");
        gateways.push(Gateway::start(&name, zone, &ip, store.address, &bed.folder, record));
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        record.say("a gateway did not become ready");
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(10));
    // Two machines of each zone read the store; the others learn its changes from them.
    let is_reader: Vec<bool> = gateways.iter().map(|gateway| !gateway.is_following()).collect();
    let readers: Vec<usize> = (0..gateways.len()).filter(|number| is_reader[*number]).collect();
    record.say(&format!("machines that read the store: {readers:?} of {}", gateways.len()));
    if readers.len() != FROZEN {
        record.say("not two machines of each zone read the store");
        return Verdict::CannotRun;
    }
    let first_at = record.now() + Duration::from_secs(2);
    let attempts = Attempts::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let others: Vec<usize> = (0..gateways.len()).filter(|number| !is_reader[*number]).collect();
    for (index, other) in others.iter().enumerate() {
        let (record, attempts, is_over) = (record.clone(), attempts.clone(), Arc::clone(&is_over));
        let (name, address) = (gateways[*other].name.clone(), gateways[*other].callers());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(index as u64 * 15));
            while !is_over.load(Ordering::Relaxed) {
                let attempt = attempts.next(&name);
                let mut connection = Connection::new(address);
                let call = if index % 3 == 0 { ("POST", "/book/1") } else { ("GET", "/look/1") };
                send(
                    &record,
                    &mut connection,
                    call,
                    (&attempt, "key-1"),
                    Duration::from_millis(1_500),
                );
                thread::sleep(Duration::from_millis(500));
            }
        }));
    }
    let mut late = 0;
    for (round, engine) in engines[..ROUNDS].iter().enumerate() {
        // Each round begins at another moment of the readers' polls, which come every 0.8 s.
        let since_first = Duration::from_millis(18_270) * round as u32;
        thread::sleep((first_at + since_first).saturating_sub(record.now()));
        record.say("the machines that read the store stand still");
        let signal_readers = |signal: &str| {
            for reader in readers.iter().filter(|_| bed.trouble) {
                gateways[*reader].signal(signal);
            }
        };
        signal_readers("STOP");
        engine.registration.lock().unwrap().state = "draining";
        engine.beat();
        let acknowledged_at = record.now();
        record.say(&format!("engine {} reports draining, acknowledged", engine.id));
        thread::sleep(FREEZE);
        signal_readers("CONT");
        record.say("they go on");
        let arrivals = engine.arrivals.lock().unwrap();
        let is_late = |run: &&Run| run.at > acknowledged_at + DRAIN;
        let found: Vec<&Run> = arrivals.iter().filter(is_late).collect();
        for run in &found {
            record.line(&format!("late: {run:?}"));
        }
        record.say(&format!(
            "{} requests reached {} later than {DRAIN:?} after the acknowledgement, the last {:?}",
            found.len(),
            engine.id,
            found.last().map(|run| run.at - acknowledged_at)
        ));
        late += found.len();
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
