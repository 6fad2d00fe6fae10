//! A part of a prompt crashes each engine, and the gateways keep it away. Then all gateways are killed
//! at once and started again: they know nothing of the part, and can't find it again, since hardly
//! any other request survives on engines that crash one after the other.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Bed;
use crate::Verdict;
use crate::cases::Attempts;
use crate::cases::configuration;
use crate::crashing::CrashingEngine;
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

/// `contact_ms` of the sites.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests with the part that may reach engines after the time that the rule gives.
const ALLOWED: usize = 3;
const ENGINES: u32 = 6;
const GATEWAYS: u32 = 3;
/// The part that crashes engines, and the one in its place in sound requests.
const BAD_PART: &str = "bad0";
const SOUND_PART: &str = "600d";
/// Sound requests come 10 times a second, those with the part twice a second.
const SOUND_EVERY: Duration = Duration::from_millis(100);
const BAD_EVERY: Duration = Duration::from_millis(500);
/// When the first request with the part comes, when the gateways are killed, and when the last
/// request comes, since the first one.
const BAD_FROM: Duration = Duration::from_secs(10);
const KILLED_AT: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(50);
const DEADLINE: Duration = Duration::from_secs(8);

/// What became of a sound request.
struct Sound {
    sent_at: Duration,
    is_served: bool,
}

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), None, record);
    store.put("op/config", &configuration(1, &["key-1"]));
    let start_engine = |number: u32| {
        let ip = format!("{}.{}", bed.net, 40 + number);
        CrashingEngine::start(&format!("i-{number}"), &ip, BAD_PART, &store, record)
    };
    let engines: Vec<CrashingEngine> = (0..ENGINES).map(start_engine).collect();
    let start_gateway = |number: u32| {
        let ip = format!("{}.{}", bed.net, 11 + number);
        let name = format!("edge-{number}");
        Gateway::start(&name, "zone-a", &ip, store.address, &bed.folder, record)
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(start_gateway).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let begun_at = record.now();
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let attempts = Attempts::default();
    let clients = [
        start_clients(&gateways, false, begun_at, &attempts, &sound, record),
        start_clients(&gateways, true, begun_at + BAD_FROM, &attempts, &sound, record),
    ];
    thread::sleep((begun_at + KILLED_AT).saturating_sub(record.now()));
    let crashes_before = crashes(&engines).len();
    record.say(&format!("{crashes_before} engines have crashed so far"));
    if bed.trouble {
        record.say("all gateways are killed at once and started again");
        gateways.iter_mut().for_each(Gateway::kill);
        thread::sleep(Duration::from_millis(300));
        gateways.iter_mut().for_each(Gateway::spawn);
    }
    let in_touch_from = record.now() + CONTACT;
    for client in clients {
        let _ = client.join();
    }
    let crashes = crashes(&engines);
    let fifth = crashes.get(4).copied();
    let counted_from = fifth.map(|fifth| (fifth + CONTACT).max(in_touch_from));
    let reached = engines.iter().flat_map(|engine| engine.arrivals.lock().unwrap().clone());
    let late = reached.filter(|run| counted_from.is_some_and(|from| run.at > from)).count();
    record.say(&format!(
        "{} crashes in all; {late} requests with the part reached engines later than {CONTACT:?} \
         after the fifth and the start of the gateways, allowed {ALLOWED}",
        crashes.len()
    ));
    let sound = sound.lock().unwrap();
    let served = |from: Duration, to: Duration| {
        let sent = sound.iter().filter(|one| one.sent_at >= from && one.sent_at < to);
        let (all, served) =
            sent.fold((0, 0), |(all, served), one| (all + 1, served + u32::from(one.is_served)));
        format!("{served} of {all}")
    };
    record.say(&format!(
        "sound requests served: {} before {KILLED_AT:?}, {} later than 2 x {CONTACT:?} after that",
        served(begun_at, begun_at + KILLED_AT - DEADLINE),
        served(begun_at + KILLED_AT + 2 * CONTACT, begun_at + LENGTH)
    ));
    if late > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Times at which engines crashed, in order.
fn crashes(engines: &[CrashingEngine]) -> Vec<Duration> {
    let all = engines.iter().flat_map(|engine| engine.crashes.lock().unwrap().clone());
    let mut all: Vec<Duration> = all.collect();
    all.sort();
    all
}

/// Sends requests at a steady rate, to one gateway after the other, from `from` until the end.
fn start_clients(
    gateways: &[Gateway],
    is_bad: bool,
    from: Duration,
    attempts: &Attempts,
    sound: &Arc<Mutex<Vec<Sound>>>,
    record: &Record,
) -> JoinHandle<()> {
    let addresses: Vec<_> = gateways.iter().map(Gateway::callers).collect();
    let (attempts, sound, record) = (attempts.clone(), Arc::clone(sound), record.clone());
    let until = from + LENGTH - if is_bad { BAD_FROM } else { Duration::ZERO };
    thread::spawn(move || {
        thread::sleep(from.saturating_sub(record.now()));
        let mut requests = Vec::new();
        for (number, address) in addresses.into_iter().cycle().enumerate() {
            if record.now() >= until {
                break;
            }
            let attempt = attempts.next(if is_bad { "bad" } else { "sound" });
            let (sound, record) = (Arc::clone(&sound), record.clone());
            requests.push(thread::spawn(move || {
                let sent_at = record.now();
                let part = if is_bad { BAD_PART } else { SOUND_PART };
                let prefix = format!("5c1e07a2:800,{part}:410,{:x}:250", 0x1_0000 + number);
                let headers = [
                    ("Host", "api.example".to_owned()),
                    ("X-Hickorydoor-Attempt-Id", attempt.clone()),
                    ("X-Hickorydoor-Deadline-Ms", DEADLINE.as_millis().to_string()),
                    ("X-Hickorydoor-Key", "key-1".to_owned()),
                    ("X-Hickorydoor-Model", "m0".to_owned()),
                    ("X-Hickorydoor-Token-Count", "1460,80".to_owned()),
                    ("X-Hickorydoor-Prompt-Prefix", prefix),
                ];
                record.line(&format!("client: sends {attempt} to {address}"));
                let mut connection = Connection::new(address);
                let seen = connection.send("POST", "/draft/1", &headers, b"", DEADLINE);
                let status = seen.status();
                record.line(&format!("client: {attempt} got {status:?}"));
                if !is_bad {
                    let is_served = status == Some(200);
                    sound.lock().unwrap().push(Sound { sent_at, is_served });
                }
            }));
            thread::sleep(if is_bad { BAD_EVERY } else { SOUND_EVERY });
        }
        for request in requests {
            let _ = request.join();
        }
    })
}
