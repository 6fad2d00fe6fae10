//! A key that was withdrawn, a store that comes back from a copy, and gateways that start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Request;
use crate::common::Run;
use crate::common::Verdict;
use crate::common::configuration;
use crate::engine::Arrivals;
use crate::engine::Server;
use crate::gateway::Gateway;
use crate::http::Outcome;
use crate::store::Store;

const GATEWAYS: u8 = 3;
const SERVERS: u8 = 2;
const REVOKE: Duration = Duration::from_millis(5_000);
/// Times after the acknowledgement of the configuration without the key.
const AWAY_AT: Duration = Duration::from_millis(3_000);
const KILLED_AT: Duration = Duration::from_millis(3_200);
const STARTED_AT: Duration = Duration::from_millis(3_700);
const BACK_AT: Duration = Duration::from_millis(4_000);
/// When the operator has written again what the copy lacks.
const WRITTEN_AGAIN_AT: Duration = Duration::from_millis(7_000);
const END: Duration = Duration::from_millis(12_000);
/// Time from the copy to that acknowledgement.
const COPY_BEFORE: Duration = Duration::from_millis(500);

struct Sent {
    at: Instant,
    gateway: usize,
    key: &'static str,
    attempt: String,
    outcome: Outcome,
}

pub fn run(mut run: Run) -> Verdict {
    let store = Store::start(run.net.store(), 0);
    store.put("op/config", &configuration(1, &["key-1", "key-2"]));
    let arrivals = Arrivals::default();
    for number in 1..=SERVERS {
        let behaviour = move |server: &Server, request: &_, connection: &mut _| {
            thread::sleep(Duration::from_millis(20));
            server.answer(request, connection, "200 OK", "", "done")
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
    let mut gateways = match run.start_gateways(GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    run.record.line("a copy of the store is taken");
    thread::sleep(COPY_BEFORE);
    store.put("op/config", &configuration(2, &["key-1"]));
    let revoked = Instant::now();
    run.record.line("configuration 2, without key-2, is acknowledged");
    let mut steps = steps(run.trouble).into_iter().peekable();
    let mut clients = Vec::new();
    while revoked.elapsed() < END {
        if let Some((_, step)) = steps.next_if(|(at, _)| revoked.elapsed() >= *at) {
            match step {
                Step::StoreGoesAway => store.go_away(),
                Step::GatewaysAreKilled => gateways.iter_mut().for_each(Gateway::kill),
                Step::GatewaysStart => gateways.iter_mut().for_each(Gateway::spawn),
                Step::StoreIsBack => store.restore(&copy),
                Step::OperatorWritesAgain => {
                    store.put("op/config", &configuration(2, &["key-1"]));
                }
            }
            run.record.line(&format!("{step:?}"));
            continue;
        }
        let key = if run.random.below(2) == 0 { "key-1" } else { "key-2" };
        let gateway = run.random.below(fronts.len());
        let request = Request::new("/book/1", key, 1_500, "");
        let (front, sent) = (fronts[gateway], Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let at = Instant::now();
            let outcome = request.send(front, Duration::from_secs(2));
            sent.lock().unwrap().push(Sent { at, gateway, key, attempt: request.attempt, outcome });
        }));
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        // A client that panicked sent nothing.
        let _ended = client.join();
    }
    let sent = sent.lock().unwrap();
    let ran = arrivals.all();
    let mut broken = 0;
    for one in sent.iter() {
        let has_run = ran.iter().any(|arrival| arrival.attempt == one.attempt);
        run.record.line_at(
            one.at,
            &format!(
                "{} sent to gateway {} {:.3} s after the acknowledgement: request {}, answered {}{}",
                one.key,
                one.gateway + 1,
                one.at.saturating_duration_since(revoked).as_secs_f64(),
                one.attempt,
                one.outcome.status,
                if has_run { ", ran" } else { "" }
            ),
        );
        broken += u32::from(one.key == "key-2" && has_run && one.at > revoked + REVOKE);
    }
    run.record.line(&format!(
        "CONFIG: {broken} requests with key-2 ran that were sent later than {} ms after the \
         acknowledgement of the configuration that took it away",
        REVOKE.as_millis()
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// What happens, with its time after the acknowledgement. `TROUBLE=drill` leaves the kills out, and
/// `TROUBLE=kill` the drill, to tell them apart.
fn steps(trouble: bool) -> Vec<(Duration, Step)> {
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let all = [
        (AWAY_AT, Step::StoreGoesAway),
        (KILLED_AT, Step::GatewaysAreKilled),
        (STARTED_AT, Step::GatewaysStart),
        (BACK_AT, Step::StoreIsBack),
        (WRITTEN_AGAIN_AT, Step::OperatorWritesAgain),
    ];
    let is_kill = |step: &Step| matches!(step, Step::GatewaysAreKilled | Step::GatewaysStart);
    let is_on = |step: &Step| match only.as_str() {
        "kill" => is_kill(step),
        "drill" => !is_kill(step),
        _ => trouble,
    };
    all.into_iter().filter(|(_, step)| is_on(step)).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    StoreGoesAway,
    GatewaysAreKilled,
    GatewaysStart,
    StoreIsBack,
    OperatorWritesAgain,
}
