//! The platform's store: items with revisions, watches, transactions and leases, as PROTOCOL.md
//! describes them. It may be away, come back from a copy, and lose answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::serve;
use crate::http::write_response;
use crate::json::Json;
use crate::json::base64;
use crate::json::unbase64;
use crate::record::Record;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    until: Instant,
    ttl: Duration,
}

/// What a copy of the store holds.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// Decides for a write whether its answer is lost, and after which time it is done then.
type Loss = Box<dyn FnMut(&str) -> Option<Duration> + Send>;

struct State {
    era: Option<u64>,
    copy: Copy,
    is_away: bool,
    loss: Option<Loss>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) -> u64 {
        let data = &mut self.copy;
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        data.history.push((revision, key.to_owned(), item_json(key, &item)));
        data.items.insert(key.to_owned(), item);
        revision
    }

    fn delete(&mut self, key: &str) {
        let data = &mut self.copy;
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", data.revision);
            data.history.push((data.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<String> {
        self.copy.leases.retain(|_, lease| lease.until > now);
        let leases = &self.copy.leases;
        let is_expired = |item: &Item| item.lease != 0 && !leases.contains_key(&item.lease);
        let expired = self.copy.items.iter().filter(|(_, item)| is_expired(item));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in &expired {
            self.delete(key);
        }
        expired
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts the store. With an era it states one in all its answers.
    pub fn start(ip: &str, era: Option<u64>, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store cannot listen");
        let copy = Copy {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_000,
        };
        let state = State { era, copy, is_away: false, loss: None };
        let store = Self {
            address: listener.local_addr().expect("no address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = store.clone();
        serve(listener, move |request, stream| served.handle(request, stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = expiring.shared.0.lock().unwrap();
                for key in state.expire(Instant::now()) {
                    expiring.record.line(&format!("store: lease ended, removed {key}"));
                }
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if !state.is_away {
            state.put(key, &base64(value.as_bytes()), 0);
            self.shared.1.notify_all();
        }
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let item = state.copy.items.get(key)?;
        Some(String::from_utf8_lossy(&unbase64(&item.value)).into_owned())
    }

    pub fn copy(&self) -> Copy {
        self.shared.0.lock().unwrap().copy.clone()
    }

    pub fn set_away(&self, is_away: bool) {
        self.shared.0.lock().unwrap().is_away = is_away;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, leases too.
    pub fn come_back_from(&self, mut copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        for lease in copy.leases.values_mut() {
            lease.until = now + lease.ttl;
        }
        state.copy = copy;
        state.era = state.era.map(|era| era + 1);
        state.is_away = false;
        self.shared.1.notify_all();
    }

    pub fn lose_answers(&self, loss: Option<Loss>) {
        self.shared.0.lock().unwrap().loss = loss;
    }

    fn answer(&self, stream: &mut TcpStream, status: &str, era: Option<u64>, body: &str) -> bool {
        let era = era.map(|era| era.to_string());
        let mut headers = vec![("Content-Type", "application/json")];
        headers.extend(era.as_deref().map(|era| ("Store-Era", era)));
        write_response(stream, status, &headers, body.as_bytes())
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (lock, _) = &*self.shared;
        if lock.lock().unwrap().is_away {
            return false;
        }
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let argument = |name: &str| {
            let found = query.split('&').filter_map(|part| part.split_once('='));
            found.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
        };
        if matches!(path, "/-/kv-txn" | "/-/kv-lease") {
            self.record.line(&format!("store: gets a write, POST {path}"));
        }
        match (request.word(0), path) {
            ("GET", "/-/kv-key") => self.key(stream, &argument("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(
                stream,
                &argument("prefix").unwrap_or_default(),
                &argument("after").unwrap_or_default(),
            ),
            ("GET", "/-/kv-watch") => {
                let number = |name: &str| argument(name).and_then(|value| value.parse().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.watch(
                    stream,
                    &argument("prefix").unwrap_or_default(),
                    number("after").unwrap_or(0),
                    wait,
                )
            }
            ("POST", "/-/kv-txn") => self.transact(stream, request),
            ("POST", "/-/kv-lease") => self.grant(stream, request),
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let id = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = lock.lock().unwrap();
                let era = state.era;
                let kept = state.copy.leases.get_mut(&id).map(|lease| {
                    lease.until = Instant::now() + lease.ttl;
                    lease.ttl.as_millis()
                });
                drop(state);
                match kept {
                    Some(ttl) => {
                        self.answer(stream, "200 OK", era, &format!("{{\"ttl_ms\":{ttl}}}"))
                    }
                    None => self.answer(stream, "404 Not Found", era, "{}"),
                }
            }
            _ => {
                let era = lock.lock().unwrap().era;
                self.answer(stream, "404 Not Found", era, "{}")
            }
        }
    }

    fn key(&self, stream: &mut TcpStream, key: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        let (era, item) = (state.era, state.copy.items.get(key).cloned());
        drop(state);
        match item {
            Some(item) => self.answer(stream, "200 OK", era, &item_json(key, &item)),
            None => self.answer(stream, "404 Not Found", era, "{}"),
        }
    }

    fn range(&self, stream: &mut TcpStream, prefix: &str, after: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        let items = state.copy.items.iter();
        let found = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
        let has_more = found.len() > 500;
        let page = found[..found.len().min(500)].join(",");
        let body = format!(
            "{{\"items\":[{page}],\"has_more\":{has_more},\"as_of\":{}}}",
            state.copy.revision
        );
        let era = state.era;
        drop(state);
        self.answer(stream, "200 OK", era, &body)
    }

    fn watch(&self, stream: &mut TcpStream, prefix: &str, after: u64, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let begun_in = state.era;
        loop {
            if state.is_away || state.era != begun_in {
                return false;
            }
            if after > state.copy.revision {
                let era = state.era;
                drop(state);
                return self.answer(stream, "410 Gone", era, "{}");
            }
            let history = &state.copy.history;
            let from = history.partition_point(|(revision, _, _)| *revision <= after);
            let news = history[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let news: Vec<&str> = news.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !news.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    news.join(","),
                    state.copy.revision
                );
                let era = state.era;
                drop(state);
                return self.answer(stream, "200 OK", era, &body);
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn grant(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let ttl = body.and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(1_000).max(1_000);
        let mut state = self.shared.0.lock().unwrap();
        state.copy.next_lease += 1;
        let id = state.copy.next_lease;
        let ttl = Duration::from_millis(ttl);
        state.copy.leases.insert(id, Lease { until: Instant::now() + ttl, ttl });
        let era = state.era;
        drop(state);
        let body = format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis());
        self.answer(stream, "200 OK", era, &body)
    }

    fn transact(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let lost = self.shared.0.lock().unwrap().loss.as_mut().and_then(|loss| loss(&text));
        if let Some(after) = lost {
            self.record
                .line(&format!("store: a write is done {after:?} later and not answered: {text}"));
            thread::sleep(after);
            let (status, _, _) = self.execute(&text);
            self.record.line(&format!("store: the late write got {status}: {text}"));
            // The connection stays open and returns nothing further.
            thread::sleep(Duration::from_secs(20));
            return false;
        }
        let (status, era, body) = self.execute(&text);
        self.answer(stream, status, era, &body)
    }

    fn execute(&self, text: &str) -> (&'static str, Option<u64>, String) {
        let Some(call) = Json::parse(text) else {
            return ("400 Bad Request", None, "{}".to_owned());
        };
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era;
        let rows = |name: &str| call.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let key_of =
            |row: &Json| row.get("key").and_then(Json::text).unwrap_or_default().to_owned();
        for row in rows("expect_rev") {
            let known = state.copy.items.get(&key_of(&row)).map_or(0, |item| item.revision);
            if row.get("revision").and_then(Json::number) != Some(known) {
                return ("412 Precondition Failed", era, "{\"items\":[]}".to_owned());
            }
        }
        for row in rows("writes") {
            let lease = row.get("lease").and_then(Json::number).unwrap_or(0);
            if lease != 0 && !state.copy.leases.contains_key(&lease) {
                return ("404 Not Found", era, "{}".to_owned());
            }
            let key = key_of(&row);
            if key.starts_with("op/") || key.starts_with("servers/") {
                return ("403 Forbidden", era, "{}".to_owned());
            }
        }
        let mut revision = state.copy.revision;
        for row in rows("writes") {
            let lease = row.get("lease").and_then(Json::number).unwrap_or(0);
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            revision = state.put(&key_of(&row), value, lease);
        }
        for key in rows("remove") {
            state.delete(key.text().unwrap_or_default());
        }
        self.shared.1.notify_all();
        ("200 OK", era, format!("{{\"revision\":{revision}}}"))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
