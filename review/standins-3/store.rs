//! The platform's store: items with revisions, watches, transactions and leases. It can be away for
//! a moment and come back from a copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;
use crate::json::parse;

/// Items of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: key and event.
    history: Vec<(u64, String, String)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        let ended = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease));
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.delete(&key);
        }
    }
}

#[derive(Default)]
struct Shared {
    state: State,
    era: u64,
    is_away: bool,
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

/// A copy from which the store can come back.
pub struct Copy(State);

impl Store {
    /// Starts a store that states `era` in all its answers.
    pub fn start(address: SocketAddr, era: u64) -> Self {
        let listener = TcpListener::bind(address).expect("store address");
        let shared =
            Shared { era, state: State { revision: 1, ..State::default() }, is_away: false };
        let store = Self { shared: Arc::new((Mutex::new(shared), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.shared.0.lock().unwrap().state.expire();
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes what the operator or a server writes; returns when it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes what a server has written.
    pub fn remove(&self, key: &str) {
        self.shared.0.lock().unwrap().state.delete(key);
        self.shared.1.notify_all();
    }

    /// Takes a copy.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().state.clone())
    }

    /// Answers nothing from now on.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let mut shared = self.shared.0.lock().unwrap();
        shared.state = copy.0.clone();
        shared.era += 1;
        shared.is_away = false;
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            let Some((status, body, era)) = self.answer(&request) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status, body and era of an answer; `None` if the store is away.
    fn answer(&self, request: &Message) -> Option<(u16, String, u64)> {
        let (_method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = parse(&String::from_utf8_lossy(&request.body));
        let (mutex, changed) = &*self.shared;
        let mut shared = mutex.lock().unwrap();
        if shared.is_away {
            return None;
        }
        if path == "/-/kv-watch" {
            let until = Instant::now() + Duration::from_millis(number("wait_ms"));
            let (era, after, prefix) = (shared.era, number("after"), text("prefix"));
            loop {
                // Waiting watches are cut when the store goes away.
                if shared.is_away || shared.era != era {
                    return None;
                }
                let state = &shared.state;
                if after > state.revision {
                    return Some((410, "{}".to_owned(), era));
                }
                let events: Vec<&str> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events = events.join(",");
                    let body = format!("{{\"events\":[{events}],\"as_of\":{}}}", state.revision);
                    return Some((200, body, era));
                }
                shared = changed.wait_timeout(shared, left).unwrap().0;
            }
        }
        let era = shared.era;
        let state = &mut shared.state;
        let (status, body) = match path {
            "/-/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let keys: Vec<(&String, &Item)> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let page: Vec<String> =
                    keys.iter().take(PAGE).map(|(key, item)| item.json(key)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
                    page.join(","),
                    keys.len() > PAGE,
                    state.revision
                );
                (200, body)
            }
            "/-/kv-txn" => transact(state, &body),
            "/-/kv-lease" => {
                let ttl_ms = body.get("ttl_ms").number();
                state.next_lease += 1;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(state.next_lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", state.next_lease))
            }
            _ => match path.strip_prefix("/-/kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
                Some(id) => match state.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                },
                None => (404, "{}".to_owned()),
            },
        };
        changed.notify_all();
        Some((status, body, era))
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let holds = body.get("expect_rev").list().iter().all(|row| {
        let known = state.items.get(row.get("key").text());
        known.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        return (412, "{\"items\":[]}".to_owned());
    }
    let writes = body.get("writes").list();
    let has_lease = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
    if !writes.iter().all(|write| has_lease(write.get("lease").number())) {
        return (404, "{}".to_owned());
    }
    for write in writes {
        let value = write.get("value").text().to_owned();
        state.put(write.get("key").text(), value, write.get("lease").number());
    }
    for key in body.get("remove").list() {
        state.delete(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = escaped.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
