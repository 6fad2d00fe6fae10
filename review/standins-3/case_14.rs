//! A server that runs requests and fails some of them with a status that is a promise at a client.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Request;
use crate::common::Run;
use crate::common::Verdict;
use crate::common::configuration;
use crate::engine::Arrivals;
use crate::engine::Server;
use crate::http::Outcome;
use crate::store::Store;

const GATEWAYS: u8 = 2;
const SERVERS: u8 = 8;
/// The first server fails this many in a hundred of its requests, from and for these times.
const FAILED_PERCENT: u64 = 40;
const GREY_FROM: Duration = Duration::from_secs(5);
const GREY_FOR: Duration = Duration::from_millis(6_500);
const LENGTH: Duration = Duration::from_secs(18);
const BOOKINGS_PER_S: f64 = 20.0;
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

struct Sent {
    at: Instant,
    booking: u64,
    attempt: String,
    outcome: Outcome,
}

pub fn run(mut run: Run) -> Verdict {
    let store = Store::start(run.net.store(), 0);
    store.put("op/config", &configuration(1, &["key-1"]));
    let arrivals = Arrivals::default();
    let is_grey = Arc::new(AtomicBool::new(false));
    for number in 1..=SERVERS {
        let (is_grey, count) = (Arc::clone(&is_grey), AtomicU64::new(0));
        let behaviour = move |server: &Server, request: &_, connection: &mut _| {
            // The request runs.
            thread::sleep(Duration::from_millis(30));
            let has_turn = count.fetch_add(FAILED_PERCENT, Ordering::SeqCst) % 100 < FAILED_PERCENT;
            if number == 1 && has_turn && is_grey.load(Ordering::SeqCst) {
                let failure = "booked, but the ledger did not answer";
                return server.answer(request, connection, "503 Service Unavailable", "", failure);
            }
            server.answer(request, connection, "200 OK", "", "booked")
        };
        let address = run.net.server(number);
        Server::start(
            &format!("server-{number}"),
            "registry",
            address,
            &store,
            &arrivals,
            behaviour,
        );
    }
    let gateways = match run.start_gateways(GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut booking = 0;
    while started.elapsed() < LENGTH {
        thread::sleep(run.random.wait(BOOKINGS_PER_S));
        let is_time = (GREY_FROM..GREY_FROM + GREY_FOR).contains(&started.elapsed());
        if is_grey.swap(is_time && run.trouble, Ordering::SeqCst) != (is_time && run.trouble) {
            run.record.line(if is_time { "server-1 is grey" } else { "server-1 is sound again" });
        }
        booking += 1;
        let number = booking;
        let front = gateways[run.random.below(gateways.len())].front();
        let sent = Arc::clone(&sent);
        clients.push(thread::spawn(move || {
            // A client sends a booking once more after a promise that it has not run.
            for _ in 0..2 {
                let request = Request::new("/book/1", "key-1", 1_500, "");
                let at = Instant::now();
                let outcome = request.send(front, Duration::from_secs(2));
                let is_refused = PROMISES.contains(&outcome.status);
                let attempt = request.attempt;
                sent.lock().unwrap().push(Sent { at, booking: number, attempt, outcome });
                if !is_refused {
                    break;
                }
            }
        }));
    }
    for client in clients {
        // A client that panicked sent nothing.
        let _ended = client.join();
    }
    let ran = arrivals.all();
    let sent = sent.lock().unwrap();
    let (mut broken, mut runs_of) = (0, std::collections::BTreeMap::<u64, usize>::new());
    for one in sent.iter() {
        let runs = ran.iter().filter(|arrival| arrival.attempt == one.attempt).count();
        let is_broken = runs > 0 && PROMISES.contains(&one.outcome.status);
        broken += u32::from(is_broken);
        *runs_of.entry(one.booking).or_default() += runs;
        run.record.line_at(
            one.at,
            &format!(
                "booking {} request {} answered {}, ran {runs} times{}",
                one.booking,
                one.attempt,
                one.outcome.status,
                if is_broken { ", though the answer promises that it has not" } else { "" }
            ),
        );
    }
    let doubled = runs_of.values().filter(|runs| **runs > 1).count();
    run.record.line(&format!(
        "REFUSED: {broken} requests of a non_idempotent route were answered 408, 421, 429 or 503 and \
         have run; {doubled} bookings were made twice, as clients honour the promise"
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
