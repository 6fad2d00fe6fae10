//! A client whose connection is reset resumes its stream behind the last event, at a service with
//! little traffic.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Random;
use crate::common::Record;
use crate::common::Request;
use crate::common::Run;
use crate::common::Verdict;
use crate::common::configuration;
use crate::common::stream;
use crate::engine::Arrivals;
use crate::engine::Server;
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::store::Store;

const GATEWAYS: u8 = 3;
const ENGINES: u8 = 5;
const SERVERS: u8 = 2;
/// Time from one event of a stream to the next, and from the last one to the end.
const PACE: Duration = Duration::from_millis(400);
/// Events of an answer: a label of a few tokens.
const EVENTS: u64 = 1;
/// Resets: one gateway has `RESET_PERCENT` in a hundred of its connections reset.
const FIRST_RESET: Duration = Duration::from_secs(6);
const RESET_GAP: Duration = Duration::from_secs(2);
const RESETS: u32 = 36;
const RESET_PERCENT: usize = 55;
/// Time from one wish of the client to the next, and at least from an answer to the next wish.
const CYCLE: Duration = Duration::from_millis(800);
const THINKING: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(106);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests of a client for one answer, the first included.
const TRIES: u32 = 2;
/// Requests on the later route that are needed to judge.
const MIN_JUDGED: usize = 20;

/// One answer that a client wanted.
struct Wanted {
    at: Instant,
    is_served: bool,
}

pub fn run(mut run: Run) -> Verdict {
    let store = Store::start(run.net.store(), 0);
    let both = configuration(2, &["key-1"]);
    let first = configuration(1, &["key-1"]);
    let from = first.find("{\"name\":\"draft\"").expect("route");
    let to = first.find("{\"name\":\"book\"").expect("route");
    store.put("op/config", &[&first[..from], &first[to..]].concat());
    let arrivals = Arrivals::default();
    for number in 1..=ENGINES {
        let behaviour = |server: &Server, request: &_, connection: &mut _| {
            thread::sleep(Duration::from_millis(200));
            stream(server, request, connection, EVENTS, PACE)
        };
        let address = run.net.server(number);
        Server::start(
            &format!("engine-{number}"),
            "engines",
            address,
            &store,
            &arrivals,
            behaviour,
        );
    }
    for number in 1..=SERVERS {
        let behaviour = |server: &Server, request: &_, connection: &mut _| {
            thread::sleep(Duration::from_millis(20));
            server.answer(request, connection, "200 OK", "", "stock")
        };
        let address = run.net.server(ENGINES + number);
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
    store.put("op/config", &both);
    run.record.line("configuration 2 adds the route draft");
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    let started = Instant::now();
    // The client of the later route stays with one gateway, as its connections do.
    let cut = Arc::new(AtomicBool::new(false));
    let streams = thread::spawn({
        let (record, cut, front) = (run.record.clone(), Arc::clone(&cut), fronts[0]);
        let random = run.random.clone();
        move || {
            let mut wanted = Vec::new();
            let mut random = random;
            while started.elapsed() < LENGTH {
                let at = Instant::now();
                let is_served = want_label(front, &cut, &mut random, &record);
                wanted.push(Wanted { at, is_served });
                let next = (at + CYCLE).max(Instant::now() + THINKING);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            wanted
        }
    });
    let looks = thread::spawn({
        let front = fronts[1];
        move || {
            let mut wanted = Vec::new();
            while started.elapsed() < LENGTH {
                let at = Instant::now();
                let request = Request::new("/look/1", "key-1", 1_500, "");
                let outcome = request.send(front, Duration::from_secs(2));
                wanted.push(Wanted { at, is_served: outcome.status == 200 && outcome.whole });
                thread::sleep(Duration::from_millis(200));
            }
            wanted
        }
    });
    let mut last_reset = started;
    for number in 0..RESETS {
        let at = FIRST_RESET + RESET_GAP * number;
        thread::sleep((started + at).saturating_duration_since(Instant::now()));
        if !run.trouble {
            continue;
        }
        last_reset = Instant::now();
        let gateway = run.random.below(usize::from(GATEWAYS));
        let is_hit = gateway == 0 && run.random.below(100) < RESET_PERCENT;
        run.record.line(&format!(
            "{RESET_PERCENT} in 100 connections of gateway {} are reset{}",
            gateway + 1,
            if is_hit { ", the client's among them" } else { "" }
        ));
        if is_hit {
            cut.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(20));
            cut.store(false, Ordering::SeqCst);
        }
    }
    let (Ok(streams), Ok(looks)) = (streams.join(), looks.join()) else {
        return Verdict::NotRun("a client panicked".to_owned());
    };
    judge(&run, last_reset, &streams, &looks)
}

/// Wants one answer: a stream that is resumed behind the last event after a broken connection.
fn want_label(
    front: SocketAddr,
    cut: &Arc<AtomicBool>,
    random: &mut Random,
    record: &Record,
) -> bool {
    let own = random.next() & 0xff_ffff_ffff;
    let mut last_event = 0;
    for _ in 0..TRIES {
        let resumed = match last_event {
            0 => String::new(),
            id => format!("Last-Event-Id: {id}\r\n"),
        };
        let more = format!(
            "X-Hickorydoor-Model: *\r\nX-Hickorydoor-Token-Count: 820,4\r\n\
             X-Hickorydoor-Prompt-Prefix: a1:800,{own:010x}:20\r\n{resumed}"
        );
        let request = Request::new("/draft/1", "key-1", 12_000, &more);
        let at = Instant::now();
        let (status, end) = read_stream(front, &request, cut, &mut last_event);
        record.line_at(
            at,
            &format!(
                "request {}{} answered {status}, {}, last event {last_event}",
                request.attempt,
                if resumed.is_empty() { "" } else { " (resumes)" },
                match &end {
                    Ok(()) => "whole".to_owned(),
                    Err(error) => format!("not whole: {error}"),
                }
            ),
        );
        match (status, end) {
            (200, Ok(())) => return true,
            // A promise that it has not run, with a time to return that is too long to wait.
            (503, _) => return false,
            _ => {}
        }
    }
    false
}

fn read_stream(
    front: SocketAddr,
    request: &Request,
    cut: &Arc<AtomicBool>,
    last_event: &mut u64,
) -> (u16, io::Result<()>) {
    let mut status = 0;
    let end = (|| {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        let mut connection = Connection::with_cut(stream, Arc::clone(cut))?;
        connection.stream.write_all(request.bytes())?;
        let head = connection.read_head()?;
        status = head.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        if head.headers.contains_key("content-length") {
            return Ok(());
        }
        loop {
            let event = connection.read_chunk()?;
            if event.is_empty() {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&event).into_owned();
            for line in text.lines() {
                if let Some(id) = line.strip_prefix("id: ").and_then(|id| id.parse().ok()) {
                    *last_event = id;
                }
            }
        }
    })();
    (status, end)
}

fn judge(run: &Run, last_reset: Instant, streams: &[Wanted], looks: &[Wanted]) -> Verdict {
    let steady = last_reset + CONTACT;
    let share = |wanted: &[Wanted]| {
        let of_time: Vec<&Wanted> = wanted.iter().filter(|one| one.at > steady).collect();
        (of_time.len(), of_time.iter().filter(|one| one.is_served).count())
    };
    let (later, later_served) = share(streams);
    let (first, first_served) = share(looks);
    let is_broken = later >= MIN_JUDGED
        && first >= MIN_JUDGED
        && 4 * later_served * first < first_served * later;
    run.record.line(&format!(
        "CONFIG: in steady state, from {} ms after the last reset on, {later_served} of {later} requests \
         on the route that was added later were served, and {first_served} of {first} on a first route: {}",
        CONTACT.as_millis(),
        if is_broken { "less than a quarter as often" } else { "a quarter as often or more" }
    ));
    if later < MIN_JUDGED || first < MIN_JUDGED {
        return Verdict::NotRun("too few requests in steady state".to_owned());
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
