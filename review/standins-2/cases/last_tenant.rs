//! CONFIG, ROUTE: once a configuration has taken the last tenant away, its key opens nothing, and
//! neither does a key that no configuration ever held.

use std::collections::BTreeMap;
use std::error::Error;
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

const KEY: &str = "key-of-the-customer";
const UNKNOWN_KEY: &str = "key-that-was-never-given-out";
const GATEWAYS: u8 = 2;
/// Bound of the rule, as the settings of the gateways state it.
const REVOKE_MS: u64 = 5_000;
const INTERVAL_MS: u64 = 50;
/// When the operator takes the tenant away, and how long requests go on.
const REMOVED_AT_MS: u64 = 5_000;
const LENGTH_MS: u64 = 20_000;

fn configuration(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-book\",\"host\":\"{HOST}\",\
         \"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":300,\
         \"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

pub fn run(setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    let record = &setting.record;
    let store = Store::start();
    let tenant = format!("{{\"name\":\"customer\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}");
    store.put("op/config", &configuration(3, &tenant));
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..3 {
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
            host: format!("edge-{number}"),
            zone: "aimogasta".to_owned(),
            ip: setting.ip(10 + number),
            store: store.listen(setting.ip(200 + number))?,
            memory_mb: 110,
        };
        gateways.push(Gateway::start(settings, &setting.directory)?);
    }
    if !wait_ready(&gateways, Duration::from_secs(15)) {
        return Err("the gateways are not ready".into());
    }
    let callers = Callers::new(record);
    let begin_ms = record.now_ms();
    let mut removed_ms = None;
    let mut number = 0;
    while record.now_ms() < begin_ms + LENGTH_MS {
        if removed_ms.is_none() && record.now_ms() >= begin_ms + REMOVED_AT_MS {
            if setting.has_trouble {
                store.put("op/config", &configuration(5, ""));
                record.say(&format!("the tenant is taken away at {} ms", record.now_ms()));
            }
            // The store has acknowledged the configuration by now.
            removed_ms = Some(record.now_ms());
        }
        number += 1;
        let gateway = gateways[number % gateways.len()].address();
        let (attempt, key) = match number / 2 % 2 {
            0 => (format!("once-valid{number:05}"), KEY),
            _ => (format!("unknown{number:05}"), UNKNOWN_KEY),
        };
        callers.send(gateway, call(&attempt, key));
        record.sleep_until(begin_ms + number as u64 * INTERVAL_MS);
    }
    callers.wait();
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Err("a gateway has ended by itself".into());
    }
    let seen = seen.lock().unwrap();
    let runs = seen.arrivals.iter().filter(|arrival| arrival.has_run);
    let runs: Vec<&str> = runs.map(|arrival| arrival.attempt.as_str()).collect();
    let outcomes = callers.outcomes();
    let from_ms = removed_ms.ok_or("no configuration was written")? + REVOKE_MS;
    let ran = |attempt: &str| runs.contains(&attempt);
    let of = |kind: &'static str| outcomes.iter().filter(move |o| o.attempt.starts_with(kind));
    let unknown = of("unknown").filter(|outcome| ran(&outcome.attempt)).count();
    let late: Vec<_> = of("once-valid").filter(|outcome| outcome.sent_ms > from_ms).collect();
    let withdrawn = late.iter().filter(|outcome| ran(&outcome.attempt)).count();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for outcome in &late {
        *statuses.entry(outcome.status()).or_default() += 1;
    }
    record.say(&format!(
        "{unknown} of {} requests ran whose key no configuration ever held",
        of("unknown").count()
    ));
    record.say(&format!(
        "{withdrawn} of {} requests ran that were sent with the customer's key later than \
         {REVOKE_MS} ms after that time; answered {statuses:?}",
        late.len()
    ));
    if !setting.has_trouble {
        let is_sound = unknown == 0 && withdrawn == late.len();
        return Ok(if is_sound { Verdict::Held } else { Verdict::Broken });
    }
    Ok(if unknown + withdrawn > 0 { Verdict::Broken } else { Verdict::Held })
}

fn call(attempt: &str, key: &str) -> Call {
    Call {
        attempt: attempt.to_owned(),
        method: "POST",
        path: "/book/1".to_owned(),
        key: key.to_owned(),
        deadline_ms: 1_500,
        headers: Vec::new(),
        body: b"{}".to_vec(),
    }
}
