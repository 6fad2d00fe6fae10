//! BUDGET: a part of a prompt on which engines crash is kept from the engines.

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
const FATAL_PART: &str = "fa7a1";
/// The rule counts requests from so long after the fifth crash on.
const CONTACT_MS: u64 = 3_000;
/// The rule allows so many.
const ALLOWED: usize = 3;

struct Plan {
    gateways: u8,
    engines: u8,
    /// Parts that all requests share, in their order.
    shared_parts: usize,
    /// Position of the fatal part among them.
    fatal_position: usize,
    sound_interval_ms: u64,
    fatal_interval_ms: u64,
    length_ms: u64,
    is_resumable: bool,
    work: Work,
}

/// Each prompt has more parts than one end of an engine can be blamed on.
pub fn long_prompt(setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    let plan = Plan {
        gateways: 3,
        engines: 8,
        shared_parts: 72,
        fatal_position: 68,
        sound_interval_ms: 120,
        fatal_interval_ms: 1_500,
        length_ms: 45_000,
        is_resumable: false,
        work: Work::Stream {
            first: Duration::from_millis(150),
            gap: Duration::from_millis(100),
            events: 15,
        },
    };
    run(&plan, setting)
}

/// Few requests arrive beside those with the part, as at night.
pub fn quiet_service(setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    let plan = Plan {
        gateways: 3,
        engines: 3,
        shared_parts: 2,
        fatal_position: 1,
        sound_interval_ms: 10_000,
        fatal_interval_ms: 3_000,
        length_ms: 90_000,
        is_resumable: false,
        work: Work::Stream {
            first: Duration::from_millis(150),
            gap: Duration::from_millis(100),
            events: 90,
        },
    };
    run(&plan, setting)
}

fn configuration(is_resumable: bool) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-chat\",\"host\":\"{HOST}\",\
         \"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":3000,\
         \"priority\":1,\"sizes\":[\"small\",\"large\"],\"service\":\"llm\",\"max_attempts\":3,\
         \"public\":false,\"sticky\":true,\"resumable\":{is_resumable},\"gap_target_ms\":1000}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":370,\
         \"cold_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":64,\"kv_tokens\":361732,\
         \"kv_token_bytes\":163840,\"link_mbps\":130000.0,\"models\":[{{\"name\":\"small\",\
         \"cost\":0.0085}},{{\"name\":\"large\",\"cost\":0.13}}]}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"customer\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn run(plan: &Plan, setting: &Setting) -> Result<Verdict, Box<dyn Error>> {
    let record = &setting.record;
    let store = Store::start();
    store.put("op/config", &configuration(plan.is_resumable));
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..plan.engines {
        let settings = EngineSettings {
            name: format!("i-{number}"),
            service: "llm".to_owned(),
            zone: "aimogasta".to_owned(),
            slots: 64,
            work: plan.work.clone(),
            fatal_part: setting.has_trouble.then(|| FATAL_PART.to_owned()),
            restarts_after: Duration::from_secs(3),
        };
        Engine::start(setting.ip(100 + number), settings, &store, &seen, record)?;
    }
    let mut gateways = Vec::new();
    for number in 0..plan.gateways {
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
    record.say("the gateways are ready");
    let callers = Callers::new(record);
    let begin_ms = record.now_ms();
    // Ten seconds of sound requests come first.
    let fatal_from_ms = begin_ms + 10_000;
    let end_ms = begin_ms + plan.length_ms;
    let (mut sound_at, mut fatal_at) = (begin_ms, fatal_from_ms);
    let mut number = 0;
    while sound_at.min(fatal_at) < end_ms {
        let is_fatal = fatal_at < sound_at;
        let at_ms = sound_at.min(fatal_at);
        record.sleep_until(at_ms);
        number += 1;
        let gateway = &gateways[number % gateways.len()];
        let parts = parts(plan, is_fatal, number);
        let kind = if is_fatal { "fatal" } else { "sound" };
        callers.send(gateway.address(), request(&format!("{kind}{number:06}"), &parts));
        if is_fatal {
            fatal_at += plan.fatal_interval_ms;
        } else {
            sound_at += plan.sound_interval_ms;
        }
    }
    callers.wait();
    check(setting, &seen.lock().unwrap(), &callers, &mut gateways)
}

/// Returns the parts of a prompt with their lengths: the shared ones, and one of its own.
fn parts(plan: &Plan, is_fatal: bool, number: usize) -> Vec<(String, u32)> {
    let mut parts: Vec<(String, u32)> =
        (0..plan.shared_parts).map(|position| (format!("{:x}", 0x5000 + position), 40)).collect();
    if is_fatal {
        parts[plan.fatal_position].0 = FATAL_PART.to_owned();
    }
    parts.push((format!("{:x}", 0x90_0000 + number), 60));
    parts
}

fn request(attempt: &str, parts: &[(String, u32)]) -> Call {
    let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
    let listed: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
    Call {
        attempt: attempt.to_owned(),
        method: "POST",
        path: "/chat/1".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 15_000,
        headers: vec![
            ("X-Hickorydoor-Model".to_owned(), "*".to_owned()),
            ("X-Hickorydoor-Token-Count".to_owned(), format!("{tokens},60")),
            ("X-Hickorydoor-Prompt-Prefix".to_owned(), listed.join(",")),
        ],
        body: b"{}".to_vec(),
    }
}

fn check(
    setting: &Setting,
    seen: &Seen,
    callers: &Callers,
    gateways: &mut [Gateway],
) -> Result<Verdict, Box<dyn Error>> {
    let record = &setting.record;
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Err("a gateway has ended by itself".into());
    }
    let outcomes = callers.outcomes();
    let sound: Vec<_> = outcomes.iter().filter(|o| o.attempt.starts_with("sound")).collect();
    let served = sound.iter().filter(|outcome| outcome.is_served()).count();
    let broken = sound.iter().filter(|outcome| outcome.is_broken()).count();
    record.say(&format!(
        "sound requests: {} sent, {served} served, {broken} broken off; {} engines crashed",
        sound.len(),
        seen.crashes.len()
    ));
    if !setting.has_trouble {
        let is_sound = served * 100 >= sound.len() * 95 && seen.crashes.is_empty();
        return Ok(if is_sound { Verdict::Held } else { Verdict::Broken });
    }
    let Some((fifth_ms, _)) = seen.crashes.get(4) else {
        record.say("fewer than five engines crashed");
        return Ok(Verdict::Held);
    };
    let counted_from_ms = fifth_ms + CONTACT_MS;
    let fatal = seen.arrivals.iter().filter(|arrival| arrival.has_fatal_part);
    let late: Vec<_> = fatal.filter(|arrival| arrival.at_ms > counted_from_ms).collect();
    record.say(&format!(
        "the fifth engine crashed at {fifth_ms} ms; after {counted_from_ms} ms {} requests with the \
         part reached engines ({ALLOWED} are allowed)",
        late.len()
    ));
    for arrival in &late {
        record.line(&format!(
            "late: request {} reached {} at {} ms",
            arrival.attempt, arrival.engine, arrival.at_ms
        ));
    }
    Ok(if late.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
