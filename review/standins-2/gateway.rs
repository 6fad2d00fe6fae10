//! Gateway processes, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::call;

const PROGRAM: &str = "target/release/hickory-platform";
const CALLER_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const FIRST_PEER_PORT: u16 = 7_340;

/// Settings that differ between the gateways of a deployment.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub host: String,
    pub zone: String,
    pub ip: IpAddr,
    pub store: SocketAddr,
    pub memory_mb: u64,
}

/// A gateway process, which ends with this value.
pub struct Gateway {
    pub settings: GatewaySettings,
    child: Child,
}

impl Gateway {
    /// Writes the settings, as the template has them, and starts the process.
    pub fn start(settings: GatewaySettings, directory: &Path) -> io::Result<Self> {
        let directory = directory.join(&settings.host);
        fs::create_dir_all(&directory)?;
        let GatewaySettings { host, zone, ip, store, memory_mb } = &settings;
        let text = format!(
            "host: \"{host}\"\ndata_centre: \"{zone}\"\nip: \"{ip}\"\ndata_centres:\n  \
             \"{zone}\": \"la-rioja\"\nlisten:\n  callers: \"{ip}:{CALLER_PORT}\"\n  \
             ready: \"{ip}:{READY_PORT}\"\nfirst_peer_port: {FIRST_PEER_PORT}\n\
             store: \"{store}\"\nstore_lease_min_ms: 1000\nlink_mbps: 1000.0\n\
             memory_mb: {memory_mb}\nmax_descriptors: 4100\nbounds:\n  drain_ms: 2000\n  \
             config_apply_ms: 2000\n  expose_share: 0.15\n  expose_extra: 30\n  \
             stop_grace_s: 8\n  revoke_ms: 5000\n  repeat_ratio: 0.9\n  repeat_window_s: 10\n  \
             repeat_extra: 58\n  session_s: 5\n"
        );
        fs::write(directory.join("settings.yaml"), text)?;
        let child = Self::spawn(&directory)?;
        Ok(Self { settings, child })
    }

    fn spawn(directory: &Path) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(directory.join("log"))?;
        Command::new(PROGRAM)
            .env("HICKORYDOOR_BOOT", directory.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    pub const fn address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.ip, CALLER_PORT)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.settings.ip, READY_PORT);
        let request = Request {
            method: "GET".to_owned(),
            target: "/-/readiness".to_owned(),
            headers: vec![("Host".to_owned(), ready.to_string())],
            body: Vec::new(),
        };
        call(ready, &request, Duration::from_millis(500)).is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Waits until all gateways are ready; returns whether they are within `timeout`.
pub fn wait_ready(gateways: &[Gateway], timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    for gateway in gateways {
        while !gateway.is_ready() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    true
}
