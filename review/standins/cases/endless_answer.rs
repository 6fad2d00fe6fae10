//! An engine in trouble begins an answer and then sends bytes without end, a few at a time. The gateway
//! keeps a read buffer for each piece, and exceeds the memory of its machine.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::http::Seen;
use crate::store::Store;

/// `memory_mb` of an `edge` machine of skladka-seats.
const MEMORY_MB: u64 = 110;
/// Requests on kept connections that may end without an answer.
const ALLOWED: usize = 3;

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&format!("{}.1", bed.net), None, record);
    store.put("op/config", &configuration(1, &["key-1"]));
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for number in 0..2 {
        let ip = format!("{}.{}", bed.net, 30 + number);
        engines.push(Engine::start(
            &format!("i-app-{number}"),
            "registry",
            "zone-a",
            &ip,
            6,
            &store,
            record,
            Box::new(|engine, request, stream| {
                engine.answer_whole(request, stream, Duration::from_millis(60), &[])
            }),
        ));
    }
    for number in 0..3 {
        let ip = format!("{}.{}", bed.net, 40 + number);
        let trouble = Arc::clone(&is_in_trouble);
        engines.push(Engine::start(
            &format!("i-llm-{number}"),
            "engines",
            "zone-a",
            &ip,
            64,
            &store,
            record,
            Box::new(move |engine, request, stream| {
                if number > 0 || !trouble.load(Ordering::Relaxed) {
                    return engine.answer_stream(request, stream, 10, Duration::from_millis(30));
                }
                let attempt = engine.begin(request);
                let mut is_open =
                    engine.write_head(stream, &attempt, "500 Internal Server Error", "text/plain");
                let mut sent = 0;
                let chunk = format!("20\r\n{}\r\n", "x".repeat(32));
                while is_open {
                    is_open = stream.write_all(chunk.as_bytes()).is_ok();
                    sent += 32;
                    thread::sleep(Duration::from_millis(4));
                }
                engine
                    .record
                    .line(&format!("{}: {attempt} was closed after {sent} bytes", engine.id));
                false
            }),
        ));
    }
    let mut gateway = Gateway::start(
        "edge-0",
        "zone-a",
        &format!("{}.11", bed.net),
        store.address,
        &bed.folder,
        record,
    );
    if !gateway.wait_ready() {
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(1));
    record.say(&format!("gateway: {} MB before", gateway.memory_mb()));
    let attempts = Attempts::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let closed: Arc<Mutex<Vec<String>>> = Arc::default();
    let address = gateway.callers();
    let mut clients = Vec::new();
    for number in 0..60_u64 {
        let (record, attempts) = (record.clone(), attempts.clone());
        let (is_over, closed) = (Arc::clone(&is_over), Arc::clone(&closed));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(number * 33));
            let mut connection = Connection::new(address);
            // Bookings at 30 a second, reports at 15.
            let is_booking = number < 15;
            while !is_over.load(Ordering::Relaxed) {
                let attempt = attempts.next(if is_booking { "book" } else { "report" });
                let (call, deadline) = if is_booking {
                    (("POST", "/book/1"), Duration::from_millis(1_500))
                } else {
                    (("POST", "/report/1"), Duration::from_millis(15_000))
                };
                let seen = send(&record, &mut connection, call, (&attempt, "key-1"), deadline);
                if seen == Seen::Closed {
                    closed.lock().unwrap().push(attempt);
                }
                thread::sleep(Duration::from_millis(if is_booking { 440 } else { 2_700 }));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if bed.trouble {
        record.say("i-llm-0 is in trouble from now on");
        is_in_trouble.store(true, Ordering::Relaxed);
    }
    let begun_at = record.now();
    let (mut most_mb, mut ends) = (0, 0);
    while record.now() < begun_at + Duration::from_secs(30) {
        let now_mb = gateway.memory_mb();
        most_mb = most_mb.max(now_mb);
        if now_mb > MEMORY_MB {
            ends += 1;
            record.say(&format!(
                "platform: {now_mb} MB, over the memory of the machine; the process is killed"
            ));
            gateway.kill();
            thread::sleep(Duration::from_millis(200));
            gateway.spawn();
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let closed = closed.lock().unwrap();
    let lost = engines[..2].iter().flat_map(|engine| engine.runs.lock().unwrap().clone());
    let lost: Vec<String> = lost.map(|run| run.attempt).filter(|id| closed.contains(id)).collect();
    record.say(&format!(
        "at most {most_mb} MB of {MEMORY_MB}; killed {ends} times; {} requests on kept connections \
         ran at sound engines and were closed without an answer, allowed {ALLOWED}: {lost:?}",
        lost.len()
    ));
    if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
