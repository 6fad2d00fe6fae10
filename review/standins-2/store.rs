//! Stand-in of the platform's store: items with revisions, long polls, transactions and leases.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::read_request;
use crate::http::write_response;
use crate::json::Json;

/// Items of a page of a range.
const PAGE_ITEMS: usize = 500;
/// How long a change can be watched for.
const HISTORY: Duration = Duration::from_secs(20);
/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    json: String,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// When changes of all keys were last asked for at each address.
    watched_at: HashMap<SocketAddr, Instant>,
    /// Until when calls at an address are not answered.
    silent_until: HashMap<SocketAddr, Instant>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Data {
    fn add_change(&mut self, key: &str, json: String) {
        let (at, revision) = (Instant::now(), self.revision);
        self.history.push(Change { at, revision, key: key.to_owned(), json });
        while self.history.first().is_some_and(|change| change.at.elapsed() > HISTORY) {
            self.forgotten = self.history.remove(0).revision;
        }
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        let json = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.add_change(key, json);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let json =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.add_change(key, json);
        }
    }

    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends_at > now);
        let leases = &self.leases;
        let ended = |item: &Item| item.lease != 0 && !leases.contains_key(&item.lease);
        let ended: Vec<String> =
            self.items.iter().filter(|(_, item)| ended(item)).map(|(key, _)| key.clone()).collect();
        for key in &ended {
            self.delete(key);
        }
        !ended.is_empty()
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":{lease}}}"
    )
}

impl Store {
    /// Starts a store without any address.
    pub fn start() -> Self {
        let data = Data { revision: 10, next_lease: 100, ..Data::default() };
        let store = Self { data: Arc::new((Mutex::new(data), Condvar::new())) };
        let timed = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                if timed.lock().end_leases() {
                    timed.data.1.notify_all();
                }
            }
        });
        store
    }

    /// Serves the store at a free port of an address. Each host that calls the store gets an address
    /// of its own, by which the store knows it.
    pub fn listen(&self, ip: IpAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))?;
        let address = listener.local_addr()?;
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream, address));
            }
        });
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().unwrap()
    }

    /// Writes an item, as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, &base64(value.as_bytes()), 0);
        self.data.1.notify_all();
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        self.lock().delete(key);
        self.data.1.notify_all();
    }

    /// Does not answer calls at an address for some time, as the store turns a machine away.
    pub fn turn_away(&self, address: SocketAddr, time: Duration) {
        self.lock().silent_until.insert(address, Instant::now() + time);
    }

    /// Returns the addresses at which changes of all keys were asked for within the last `within`.
    pub fn watchers(&self, within: Duration) -> Vec<SocketAddr> {
        let data = self.lock();
        let recent = data.watched_at.iter().filter(|(_, at)| at.elapsed() <= within);
        recent.map(|(address, _)| *address).collect()
    }

    fn serve(&self, stream: TcpStream, address: SocketAddr) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request, address);
            if self.lock().silent_until.get(&address).is_some_and(|until| Instant::now() < *until) {
                // The call is neither answered nor is its connection closed.
                thread::sleep(Duration::from_secs(10));
                return;
            }
            let headers = "Content-Type: application/json\r\n";
            if write_response(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, address: SocketAddr) -> (&'static str, String) {
        thread::sleep(CALL_TIME);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decoded(value)))
            .collect();
        let argument = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-range") => {
                ("200 OK", self.range(&argument("prefix"), &argument("after")))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = argument("prefix");
                if prefix.is_empty() {
                    self.lock().watched_at.insert(address, Instant::now());
                }
                let after = argument("after").parse().unwrap_or(0);
                let wait_ms = argument("wait_ms").parse().unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait_ms))
            }
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let ttl = Duration::from_millis(body.field("ttl_ms").number().max(1_000));
                let mut data = self.lock();
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(lease, Lease { ttl, ends_at: Instant::now() + ttl });
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some(known) => {
                        known.ends_at = Instant::now() + known.ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", known.ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let data = self.lock();
        let matching =
            data.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> =
            matching.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
            items.join(","),
            data.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            if after < data.forgotten || after > data.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let new = data
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<&str> = new.map(|change| change.json.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), data.revision);
                return ("200 OK", body);
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut data = self.lock();
        let holds = |condition: &Json| {
            let known = data.items.get(condition.field("key").text());
            known.map_or(0, |item| item.revision) == condition.field("revision").number()
        };
        if !body.field("expect_rev").list().iter().all(holds) {
            return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
        }
        let writes = body.field("writes").list();
        let leases = &data.leases;
        let is_held = |write: &Json| {
            let lease = write.field("lease").number();
            lease == 0 || leases.contains_key(&lease)
        };
        if !writes.iter().all(is_held) {
            return ("404 Not Found", "{}".to_owned());
        }
        for write in writes {
            let (key, value) = (write.field("key").text(), write.field("value").text());
            data.put(key, value, write.field("lease").number());
        }
        for key in body.field("remove").list() {
            data.delete(key.text());
        }
        let revision = data.revision;
        drop(data);
        self.data.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
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

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
