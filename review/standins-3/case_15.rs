//! A part that ends each engine that begins to write an answer on it, while all gateways are killed now
//! and then.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Request;
use crate::common::Run;
use crate::common::Verdict;
use crate::common::configuration;
use crate::common::stream;
use crate::engine::Arrivals;
use crate::engine::Server;
use crate::gateway::Gateway;
use crate::http::Outcome;
use crate::store::Store;

const GATEWAYS: u8 = 3;
const ENGINES: u8 = 4;
/// Parts of a prompt between the first, which all share, and the last, which is its own.
const PARTS: usize = 2;
/// Parts that prompts are made of.
const POOL: usize = 100000;
const SOUND_PER_S: f64 = 8.0;
const CRASHING_PER_S: f64 = 0.3;
/// Time with sound requests alone.
const WARM_UP: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(108);
/// When all gateways are killed, and how long after that they start again.
const KILLS: [Duration; 5] = [
    Duration::from_secs(28),
    Duration::from_secs(44),
    Duration::from_secs(60),
    Duration::from_secs(76),
    Duration::from_secs(92),
];
const START_AFTER: Duration = Duration::from_millis(500);
/// Time from an engine's end until it is back.
const BACK_AFTER: Duration = Duration::from_secs(4);
/// The part; longer than the others, so that none of them ends like it.
const CRASHING_PART: &str = "deadbeef77:10";
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests with the part that may reach engines later than `CONTACT` after the fifth crash.
const MAX_LATE: usize = 3;

struct Sent {
    at: Instant,
    is_sound: bool,
    attempt: String,
    outcome: Outcome,
}

pub fn run(mut run: Run) -> Verdict {
    let store = Store::start(run.net.store(), 0);
    store.put("op/config", &configuration(1, &["key-1"]));
    let arrivals = Arrivals::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for number in 1..=ENGINES {
        let (crashes, record) = (Arc::clone(&crashes), run.record.clone());
        let behaviour = move |server: &Server, request: &_, connection: &mut _| {
            // Reading the prompt.
            thread::sleep(Duration::from_millis(200));
            let request: &crate::http::Message = request;
            if request.header("x-hickorydoor-prompt-prefix").contains(CRASHING_PART) {
                crashes.lock().unwrap().push(Instant::now());
                record.line(&format!("{} crashes", server.id));
                server.crash(BACK_AFTER);
                return Ok(());
            }
            stream(server, request, connection, 13, Duration::from_millis(70))
        };
        Server::start(
            &format!("engine-{number}"),
            "engines",
            run.net.server(number),
            &store,
            &arrivals,
            behaviour,
        );
    }
    let mut gateways = match run.start_gateways(GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    let pool: Vec<String> =
        (0..POOL).map(|_| format!("{:06x}:10", run.random.next() & 0xff_ffff)).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut kills = KILLS.iter().filter(|_| run.trouble).peekable();
    let mut starts: Vec<Instant> = Vec::new();
    while started.elapsed() < LENGTH {
        if kills.next_if(|at| started.elapsed() >= **at).is_some() {
            run.record.line("all gateways are killed");
            gateways.iter_mut().for_each(Gateway::kill);
            thread::sleep(START_AFTER);
            gateways.iter_mut().for_each(Gateway::spawn);
            run.record.line("all gateways are started");
            starts.push(Instant::now());
        }
        let is_warm = started.elapsed() >= WARM_UP;
        let all = SOUND_PER_S + if is_warm { CRASHING_PER_S } else { 0.0 };
        thread::sleep(run.random.wait(all));
        let is_sound = !is_warm || (run.random.below(1_000) as f64) < 1_000.0 * SOUND_PER_S / all;
        let mut parts: Vec<&str> =
            (0..PARTS).map(|_| pool[run.random.below(POOL)].as_str()).collect();
        if !is_sound {
            parts[run.random.below(PARTS)] = CRASHING_PART;
        }
        let more = format!(
            "X-Hickorydoor-Model: *\r\nX-Hickorydoor-Token-Count: 13000,60\r\n\
             X-Hickorydoor-Prompt-Prefix: a1:500,{},{:010x}:20\r\n",
            parts.join(","),
            run.random.next() & 0xff_ffff_ffff
        );
        let request = Request::new("/draft/1", "key-1", 12_000, &more);
        let gateway = gateways[run.random.below(gateways.len())].front();
        let sent = Arc::clone(&sent);
        clients.push(thread::spawn(move || {
            let at = Instant::now();
            let outcome = request.send(gateway, Duration::from_secs(13));
            let attempt = request.attempt.clone();
            sent.lock().unwrap().push(Sent { at, is_sound, attempt, outcome });
        }));
    }
    for client in clients {
        // A client that panicked sent nothing.
        let _ended = client.join();
    }
    let sent = sent.lock().unwrap();
    let crashes = crashes.lock().unwrap().clone();
    judge(&run, &sent, &crashes, &starts, &arrivals)
}

fn judge(
    run: &Run,
    sent: &[Sent],
    crashes: &[Instant],
    starts: &[Instant],
    arrivals: &Arrivals,
) -> Verdict {
    let record = &run.record;
    let mut reached: HashMap<String, usize> = HashMap::new();
    for arrival in arrivals.all() {
        *reached.entry(arrival.attempt.clone()).or_default() += 1;
    }
    for one in sent {
        record.line_at(
            one.at,
            &format!(
                "{} request {} answered {} after {} ms, {}, reached engines {} times",
                if one.is_sound { "sound" } else { "crashing" },
                one.attempt,
                one.outcome.status,
                one.outcome.took_ms,
                if one.outcome.whole { "whole" } else { "not whole" },
                reached.get(&one.attempt).copied().unwrap_or(0)
            ),
        );
    }
    record.line(&format!("{} crashes", crashes.len()));
    let Some(fifth) = crashes.get(4).copied() else {
        record.line("fewer than five crashes");
        return Verdict::Held;
    };
    // A machine is in touch again when the contact time has passed since its process started.
    let is_in_touch =
        |at: Instant| starts.iter().all(|start| at < *start || at.duration_since(*start) > CONTACT);
    let late: Vec<Instant> = arrivals
        .all()
        .iter()
        .filter(|arrival| arrival.prefix.contains(CRASHING_PART))
        .map(|arrival| arrival.at)
        .filter(|at| *at > fifth + CONTACT && is_in_touch(*at))
        .collect();
    for at in &late {
        record.line_at(*at, "a request with the part reaches an engine late");
    }
    record.line(&format!(
        "BUDGET: fifth crash at {:.1}; {} requests with the part reached engines later than {} ms \
         after it from machines in touch, {MAX_LATE} are allowed",
        record.seconds(fifth),
        late.len(),
        CONTACT.as_millis()
    ));
    // What a kill of the gateways broke off is left out.
    let is_near = |one: &&Sent| {
        let ended_at = one.at + Duration::from_millis(one.outcome.took_ms);
        let from = ended_at - Duration::from_secs(2);
        starts.iter().any(|start| *start > from && *start < ended_at + Duration::from_secs(2))
    };
    let cut =
        sent.iter().filter(|one| one.is_sound && !one.outcome.whole).filter(|one| !is_near(one));
    record.line(&format!("{} sound answers were broken off, apart from the kills", cut.count()));
    if late.len() > MAX_LATE { Verdict::Broken } else { Verdict::Held }
}
