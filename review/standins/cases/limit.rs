//! Requests to an engine that names a limit, and how many of them it gets.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::cases::Attempts;
use crate::cases::send;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::http::Connection;
use crate::record::Record;

/// What the engine names in `Server-Limit`.
pub const LIMIT_PER_S: f64 = 10.0;
/// Window in which the requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// `contact_ms` of the sites.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from an answer that a machine passed on until its requests count.
const HEARD_FOR: Duration = Duration::from_millis(500);

/// Clients of all gateways.
pub struct Load {
    clients: Vec<JoinHandle<()>>,
    /// When each machine first passed on an answer.
    heard: Arc<Mutex<HashMap<String, Duration>>>,
    begun_at: Duration,
}

impl Load {
    /// Starts clients at each gateway, which ask one after the other until `until`.
    pub fn start(
        gateways: &[Gateway],
        clients: u64,
        pause: Duration,
        until: Duration,
        record: &Record,
    ) -> Self {
        let mut load = Self { clients: Vec::new(), heard: Arc::default(), begun_at: record.now() };
        let attempts = Attempts::default();
        for gateway in gateways {
            for number in 0..clients {
                let (record, attempts) = (record.clone(), attempts.clone());
                let heard = Arc::clone(&load.heard);
                let (name, address) = (gateway.name.clone(), gateway.callers());
                load.clients.push(thread::spawn(move || {
                    thread::sleep(pause * number as u32 / clients as u32);
                    while record.now() < until {
                        let attempt = attempts.next(&name);
                        let mut connection = Connection::new(address);
                        let call = ("GET", "/look/1");
                        let deadline = Duration::from_millis(1_500);
                        let seen =
                            send(&record, &mut connection, call, (&attempt, "key-1"), deadline);
                        if seen.status() == Some(200) {
                            let now = record.now();
                            heard.lock().unwrap().entry(name.clone()).or_insert(now);
                        }
                        thread::sleep(pause);
                    }
                }));
            }
        }
        load
    }

    /// Waits for the clients. Returns whether the engine got more than the rule allows from machines
    /// other than the `excused` ones.
    pub fn exceeds_limit(self, engine: &Engine, excused: &[String], record: &Record) -> bool {
        for client in self.clients {
            let _ = client.join();
        }
        let heard = self.heard.lock().unwrap();
        let arrivals = engine.arrivals.lock().unwrap();
        let is_counted = |machine: &str, at: Duration| {
            let is_excused = excused.iter().any(|name| name == machine);
            let known = heard.get(machine).is_some_and(|heard_at| at > *heard_at + HEARD_FOR);
            !is_excused && known && at > self.begun_at + CONTACT
        };
        let counted: Vec<Duration> = arrivals
            .iter()
            .filter(|run| {
                let machine = run.attempt.rsplit_once('-').map_or("", |(machine, _)| machine);
                is_counted(machine, run.at)
            })
            .map(|run| run.at)
            .collect();
        let in_window = |from: Duration| {
            counted.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
        };
        let most = counted.iter().map(|from| (in_window(*from), *from)).max().unwrap_or_default();
        let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
        record.say(&format!(
            "{} machines passed on an answer; {} arrivals counted, at most {} in {WINDOW:?} from \
             {:?}, allowed {allowed}",
            heard.len(),
            counted.len(),
            most.0,
            most.1
        ));
        most.0 as f64 > allowed
    }
}
