//! The project's gateways as processes, with the command and the settings of the deploy file.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::send;

/// Command of the role in the deploy file, from the root of the repository.
const COMMAND: &str = "target/release/hickory-platform";
const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;

/// Loopback addresses of one run, whose ports are free.
#[derive(Clone, Copy)]
pub struct Net {
    prefix: [u8; 2],
}

impl Net {
    /// Finds addresses on which nothing listens.
    pub fn find() -> Option<Self> {
        let first = std::process::id();
        (0..200_u32).map(|offset| first.wrapping_mul(7) + offset).find_map(|number| {
            let net = Self { prefix: [64 + (number % 128) as u8, (number / 128 % 256) as u8] };
            let ports = [FRONT_PORT, READY_PORT, 9_464, 7_340, 7_341, 8_080, 8_223];
            let is_free = |host| {
                ports
                    .iter()
                    .all(|port| TcpListener::bind(SocketAddr::new(net.ip(host), *port)).is_ok())
            };
            (1..=40).all(is_free).then_some(net)
        })
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.prefix[0], self.prefix[1], host))
    }

    /// Address of the store.
    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.ip(40), 8_223)
    }

    /// Address of a server.
    pub fn server(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(10 + number), 8_080)
    }
}

/// A gateway.
pub struct Gateway {
    pub host: String,
    ip: IpAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings, as the template of the deploy file renders them, and starts the process.
    pub fn start(net: Net, number: u8, folder: &Path) -> Self {
        let ip = net.ip(number);
        let host = format!("edge-{number}");
        let store = net.store();
        let settings = format!(
            "host: \"{host}\"\ndata_centre: \"zone-a\"\nip: \"{ip}\"\ndata_centres:\n  \"zone-a\": \
             \"region-a\"\n\nlisten:\n  callers: \"{ip}:{FRONT_PORT}\"\n  ready: \
             \"{ip}:{READY_PORT}\"\nfirst_peer_port: 7340\nstore: \"{store}\"\n\
             store_lease_min_ms: 1000\nlink_mbps: 1000.0\nmemory_mb: 110\nmax_descriptors: 4100\n\
             bounds:\n  drain_ms: 2000\n  config_apply_ms: 2000\n  expose_share: 0.15\n\
             \x20 expose_extra: 30\n  stop_grace_s: 8\n  revoke_ms: 5000\n  repeat_ratio: 0.9\n\
             \x20 repeat_window_s: 10\n  repeat_extra: 58\n  session_s: 5\n"
        );
        fs::write(folder.join(format!("{host}.yaml")), settings).expect("settings file");
        let mut gateway = Self { host, ip, folder: folder.to_owned(), child: None };
        gateway.spawn();
        gateway
    }

    /// Starts the process, also after it was killed.
    pub fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.host)))
            .expect("log file");
        let child = Command::new(COMMAND)
            .env_clear()
            .env("HICKORYDOOR_BOOT", self.folder.join(format!("{}.yaml", self.host)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("gateway");
        self.child = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Waits until the gateway says that it is ready; returns whether it does in time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let ready = SocketAddr::new(self.ip, READY_PORT);
            if send(ready, request, Duration::from_secs(1)).status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
