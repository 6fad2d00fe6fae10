//! Starts the program of the deploy file as a process of its own, and signals it.

use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

/// The word of `run` in `deploy/system.toml`; started in the root of the repository.
const PROGRAM: &str = "target/release/hickory-platform";

/// Ids of all processes that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes, and this one with it, if a run takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
        }
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

pub struct Gateway {
    pub name: String,
    pub ip: String,
    folder: String,
    child: Option<Child>,
    record: Record,
}

impl Gateway {
    /// Renders `platform/settings.yaml.template` as the platform does, and starts the process.
    pub fn start(
        name: &str,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        folder: &str,
        record: &Record,
    ) -> Self {
        let settings = format!(
            "host: \"{name}\"\ndata_centre: \"{zone}\"\nip: \"{ip}\"\ndata_centres:\n\
             \x20 \"zone-a\": \"region-a\"\n  \"zone-b\": \"region-a\"\nlisten:\n\
             \x20 callers: \"{ip}:8227\"\n  ready: \"{ip}:8220\"\nfirst_peer_port: 7340\n\
             store: \"{store}\"\nstore_lease_min_ms: 1000\nlink_mbps: 1000.0\nbounds:\n\
             \x20 drain_ms: 2000\n  config_apply_ms: 2000\n  expose_share: 0.15\n\
             \x20 expose_extra: 30\n  stop_grace_s: 8\n  revoke_ms: 5000\n  repeat_ratio: 0.9\n\
             \x20 repeat_window_s: 10\n  repeat_extra: 58\n  session_s: 5\n"
        );
        fs::write(format!("{folder}/{name}.yaml"), settings).expect("settings cannot be written");
        let mut gateway = Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            folder: folder.to_owned(),
            child: None,
            record: record.clone(),
        };
        gateway.spawn();
        gateway
    }

    pub fn spawn(&mut self) {
        let path = format!("{}/{}.log", self.folder, self.name);
        let log = fs::OpenOptions::new().create(true).append(true).open(path).expect("no log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .envs(std::env::var("PATH").map(|path| ("PATH", path)))
            .env("HICKORYDOOR_BOOT", format!("{}/{}.yaml", self.folder, self.name))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file does not start");
        self.record.line(&format!("{}: started", self.name));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn callers(&self) -> SocketAddr {
        format!("{}:8227", self.ip).parse().expect("address")
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:8220", self.ip).parse().expect("address");
        let host = [("Host", "ready".to_owned())];
        let seen = Connection::new(address).send(
            "GET",
            "/-/readiness",
            &host,
            b"",
            Duration::from_millis(500),
        );
        seen.status() == Some(200)
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process learns the changes from another one, as its log says.
    pub fn is_following(&self) -> bool {
        let log =
            fs::read_to_string(format!("{}/{}.log", self.folder, self.name)).unwrap_or_default();
        let words = ["following another gateway", "no longer following", "cannot follow"];
        let last = log.lines().rfind(|line| words.iter().any(|word| line.contains(word)));
        last.is_some_and(|line| line.contains(words[0]))
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{}: SIG{name}", self.name));
        let kill = format!("kill -{name} {}", child.id());
        let _ = Command::new("sh").arg("-c").arg(kill).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(&format!("{}: killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Memory that the process holds now, in MB.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) / 1_024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
