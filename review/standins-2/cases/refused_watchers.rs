//! CONFIG: gateways in touch apply a configuration in time although the store turns others away.
//!
//! Two gateways of a data centre poll the store, and the others learn its changes from these. The
//! store turns both away without an answer and serves the others, and meanwhile the operator writes a
//! configuration with a new key and a new route.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::client::Call;
use crate::client::Callers;
use crate::client::HOST;
use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::engine::Seen;
use crate::engine::Work;
use crate::gateway::Gateway;
use crate::gateway::GatewaySettings;
use crate::gateway::wait_ready;
use crate::store::Store;

const GATEWAYS: u8 = 6;
const OLD_KEY: &str = "key-that-stays";
const NEW_KEY: &str = "key-that-is-added";
/// Bound of the rule, as the settings of the gateways state it.
const CONFIG_APPLY_MS: u64 = 2_000;
/// How long the store turns the gateways away.
const REFUSAL_MS: u64 = 9_000;
/// How often this happens.
const ROUNDS: u64 = 3;
const ROUND_MS: u64 = 30_000;
/// Interval between requests.
const INTERVAL_MS: u64 = 10;

fn route(name: &str, path: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{path}\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":1,\
         \"service\":\"app\",\"max_attempts\":1,\"public\":false,\"resumable\":false}}"
    )
}

/// Returns the configuration of a round: each has a key and a route more than the one before.
fn configuration(round: u64) -> String {
    let mut routes = vec![route("r-book", "/book/")];
    let mut keys = vec![format!("\"{OLD_KEY}\"")];
    for number in 1..=round {
        routes.push(route(&format!("r-{number}"), &format!("/new{number}/")));
        keys.push(format!("\"{NEW_KEY}-{number}\""));
    }
    format!(
        "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"app\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"customer\",\"api_keys\":[{}],\"priority\":1}}]}}",
        3 + 2 * round,
        routes.join(","),
        keys.join(",")
    )
}

pub fn run(setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    let record = &setting.record;
    let store = Store::start();
    store.put("op/config", &configuration(0));
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..6 {
        let settings = EngineSettings {
            name: format!("i-{number}"),
            service: "app".to_owned(),
            zone: "aimogasta".to_owned(),
            slots: 20,
            work: Work::Plain { takes: Duration::from_millis(20) },
            fatal_part: None,
            restarts_after: Duration::from_secs(3),
        };
        Engine::start(setting.ip(100 + number), settings, &store, &seen, record)?;
    }
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let settings = GatewaySettings {
            host: format!("edge-{number:02}"),
            zone: "aimogasta".to_owned(),
            ip: setting.ip(10 + number),
            store: store.listen(setting.ip(200 + number))?,
            memory_mb: 110,
        };
        gateways.push(Gateway::start(settings, &setting.directory)?);
    }
    if !wait_ready(&gateways, Duration::from_secs(20)) {
        return Err("the gateways are not ready".into());
    }
    // Until the roles are settled.
    let begin_ms = record.now_ms() + 8_000;
    record.sleep_until(begin_ms);
    let callers = Callers::new(record);
    let mut is_broken = false;
    for round in 1..=ROUNDS {
        let at_ms = begin_ms + (round - 1) * ROUND_MS;
        record.sleep_until(at_ms);
        is_broken |= play(round, setting, &store, &gateways, &callers)?;
    }
    callers.wait();
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Err("a gateway has ended by itself".into());
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Plays one round; returns whether the rule was broken.
fn play(
    round: u64,
    setting: &Setting,
    store: &Store,
    gateways: &[Gateway],
    callers: &Callers,
) -> Result<bool, Box<dyn Error>> {
    let record = &setting.record;
    // Gateways that have just started or lost their source poll the store for a while, too.
    let settled_by_ms = record.now_ms() + 8_000;
    let watchers = loop {
        let watchers = store.watchers(Duration::from_millis(1_900));
        if watchers.len() == 2 || record.now_ms() >= settled_by_ms {
            break watchers;
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    let is_watcher = |gateway: &&Gateway| watchers.contains(&gateway.settings.store);
    let refused: Vec<&Gateway> = gateways.iter().filter(is_watcher).collect();
    let hosts: Vec<&str> = refused.iter().map(|gateway| gateway.settings.host.as_str()).collect();
    if refused.len() != 2 {
        return Err(format!("{} gateways poll the store: {hosts:?}", refused.len()).into());
    }
    if setting.has_trouble {
        for gateway in &refused {
            store.turn_away(gateway.settings.store, Duration::from_millis(REFUSAL_MS));
        }
        record.say(&format!("round {round}: {hosts:?} are turned away at {} ms", record.now_ms()));
    }
    record.sleep_until(record.now_ms() + 100);
    store.put("op/config", &configuration(round));
    let acknowledged_ms = record.now_ms();
    record.say(&format!("round {round}: configuration acknowledged at {acknowledged_ms} ms"));
    let others: Vec<SocketAddr> =
        gateways.iter().filter(|gateway| !is_watcher(gateway)).map(Gateway::address).collect();
    let first_ms = acknowledged_ms + CONFIG_APPLY_MS;
    let mut sent = Vec::new();
    let mut at_ms = acknowledged_ms;
    let mut number = 0;
    while at_ms < acknowledged_ms + 6_000 {
        record.sleep_until(at_ms);
        let attempt = format!("new{round}x{number:05}");
        callers.send(others[number % others.len()], call(&attempt, round));
        sent.push(attempt);
        number += 1;
        at_ms += INTERVAL_MS;
    }
    callers.wait();
    let outcomes = callers.outcomes();
    let of_round = outcomes.iter().filter(|outcome| sent.contains(&outcome.attempt));
    let late: Vec<_> = of_round
        .filter(|outcome| outcome.sent_ms > first_ms)
        .filter(|outcome| matches!(outcome.status(), 401 | 404))
        .collect();
    let last_ms = late.iter().map(|outcome| outcome.sent_ms - acknowledged_ms).max();
    record.say(&format!(
        "round {round}: {} requests with the new key on the new route that were sent more than \
         {CONFIG_APPLY_MS} ms after the acknowledgement were refused with 401 or 404, the last one \
         {last_ms:?} ms after it",
        late.len()
    ));
    Ok(!late.is_empty())
}

fn call(attempt: &str, round: u64) -> Call {
    Call {
        attempt: attempt.to_owned(),
        method: "POST",
        path: format!("/new{round}/1"),
        key: format!("{NEW_KEY}-{round}"),
        deadline_ms: 1_500,
        headers: Vec::new(),
        body: b"{}".to_vec(),
    }
}
