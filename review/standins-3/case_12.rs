//! A part of long prompts that ends each engine that begins to write an answer on it.

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
use crate::http::Outcome;
use crate::store::Store;

const GATEWAYS: u8 = 3;
const ENGINES: u8 = 4;
/// Parts of a prompt between the first, which all share, and the last, which is its own.
const PARTS: usize = 1_500;
/// `header_bytes` of the configuration.
const HEAD_LIMIT: usize = 16_384;
/// Parts that prompts are made of.
const POOL: usize = 100_000;
const SOUND_PER_S: f64 = 6.0;
const CRASHING_PER_S: f64 = 6.0;
/// Time with sound requests alone.
const WARM_UP: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(80);
/// Time from an engine's end until it is back.
const BACK_AFTER: Duration = Duration::from_secs(4);
/// The part; longer than the others, so that none of them ends like it.
const CRASHING_PART: &str = "deadbeef77:10";
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests with the part that may reach engines later than `CONTACT` after the fifth crash.
const MAX_LATE: usize = 3;
/// Requests that each side of the comparison needs.
const MIN_COMPARED: usize = 20;

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
        let (crashes, record, trouble) = (Arc::clone(&crashes), run.record.clone(), run.trouble);
        let behaviour = move |server: &Server, request: &_, connection: &mut _| {
            // Reading the prompt.
            thread::sleep(Duration::from_millis(200));
            let request: &crate::http::Message = request;
            if trouble && request.header("x-hickorydoor-prompt-prefix").contains(CRASHING_PART) {
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
    let gateways = match run.start_gateways(GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    let pool: Vec<String> =
        (0..POOL).map(|_| format!("{:06x}:10", run.random.next() & 0xff_ffff)).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut longest = 0;
    while started.elapsed() < LENGTH {
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
        longest = longest.max(request.head_bytes());
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
    run.record.line(&format!("the longest head has {longest} bytes, {HEAD_LIMIT} are allowed"));
    if longest > HEAD_LIMIT {
        return Verdict::NotRun("a head is too long".to_owned());
    }
    let sent = sent.lock().unwrap();
    let crashes = crashes.lock().unwrap().clone();
    judge(&run, started, &sent, &crashes, &arrivals)
}

fn judge(
    run: &Run,
    started: Instant,
    sent: &[Sent],
    crashes: &[Instant],
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
    let is_crashing = |prefix: &str| prefix.contains(CRASHING_PART);
    let late = arrivals
        .all()
        .iter()
        .filter(|arrival| is_crashing(&arrival.prefix) && arrival.at > fifth + CONTACT)
        .count();
    record.line(&format!(
        "BUDGET: fifth crash at {:.1}; {late} requests with the part reached engines later than {} ms \
         after it, {MAX_LATE} are allowed",
        record.seconds(fifth),
        CONTACT.as_millis()
    ));
    let begun = |from: Instant, until: Instant| {
        let of_time = sent.iter().filter(|one| one.is_sound && one.at >= from && one.at < until);
        let (all, begun) = of_time.fold((0_usize, 0_usize), |(all, begun), one| {
            (all + 1, begun + usize::from(one.outcome.status == 200 && one.outcome.begun))
        });
        (all, begun)
    };
    let last = sent.iter().filter(|one| !one.is_sound).map(|one| one.at).max().unwrap_or(started);
    let (all_before, begun_before) = begun(started, started + WARM_UP - Duration::from_secs(1));
    let (all_after, begun_after) = begun(fifth + 2 * CONTACT, last);
    let is_lost = all_before >= MIN_COMPARED
        && all_after >= MIN_COMPARED
        && 2 * begun_after * all_before < begun_before * all_after;
    record.line(&format!(
        "LOST: {begun_before} of {all_before} sound requests began before the first crash, \
         {begun_after} of {all_after} from {} ms after the fifth, while such requests came: {}",
        2 * CONTACT.as_millis(),
        if is_lost { "less than half as often" } else { "half as often or more" }
    ));
    if late > MAX_LATE || is_lost { Verdict::Broken } else { Verdict::Held }
}
