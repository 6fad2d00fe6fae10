//! Servers of a service. They register in the store, check for whom a request is meant, and keep a
//! list of what reached them and what they ran.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Connection;
use crate::http::Message;
use crate::store::Store;

/// Time between two registrations; one that is missing for three of them is removed.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    /// Parts of its prompt.
    pub prefix: String,
}

/// All arrivals at all servers.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }
}

type Behaviour = Arc<dyn Fn(&Server, &Message, &mut Connection) -> io::Result<()> + Send + Sync>;

/// A server. Clones share it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    store: Store,
    arrivals: Arrivals,
    behaviour: Behaviour,
    is_up: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    ended_at: Arc<Mutex<Option<Instant>>>,
}

fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64)
}

impl Server {
    /// Starts a server that answers as `behaviour` does.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        store: &Store,
        arrivals: &Arrivals,
        behaviour: impl Fn(&Self, &Message, &mut Connection) -> io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            address,
            store: store.clone(),
            arrivals: arrivals.clone(),
            behaviour: Arc::new(behaviour),
            is_up: Arc::new(AtomicBool::new(true)),
            sequence: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            open: Arc::default(),
            ended_at: Arc::default(),
        };
        server.listen();
        server.register();
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        server
    }

    /// Writes the entry, as each heartbeat does.
    pub fn register(&self) {
        if !self.is_up.load(Ordering::SeqCst) {
            let ended_at = *self.ended_at.lock().unwrap();
            if ended_at.is_some_and(|at| at.elapsed() > 3 * HEARTBEAT) {
                self.store.remove(&format!("servers/{}", self.id));
            }
            return;
        }
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born.load(Ordering::SeqCst),
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Ends as a process does that crashes, and is back after a while under the same id.
    pub fn crash(&self, back_after: Duration) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        *self.ended_at.lock().unwrap() = Some(Instant::now());
        for stream in self.open.lock().unwrap().drain(..) {
            // It may be closed already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(back_after);
            server.sequence.store(0, Ordering::SeqCst);
            server.born.store(unix_ms(), Ordering::SeqCst);
            server.is_up.store(true, Ordering::SeqCst);
            server.listen();
            server.register();
        });
    }

    /// Accepts connections until the server ends.
    fn listen(&self) {
        let listener = TcpListener::bind(self.address).expect("server address");
        listener.set_nonblocking(true).expect("server socket");
        let server = self.clone();
        thread::spawn(move || {
            while server.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _peer)) => server.begin(stream),
                    Err(_none_waits) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn begin(&self, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() {
            return;
        }
        if let Ok(handle) = stream.try_clone() {
            let mut open = self.open.lock().unwrap();
            open.retain(|known| known.peer_addr().is_ok());
            open.push(handle);
        }
        let server = self.clone();
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            // The end of a connection is no failure of the server.
            let _ended = server.serve(&mut connection);
            let _closed = connection.stream.shutdown(Shutdown::Both);
        });
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        loop {
            let request = connection.read_message()?;
            let attempt = request.header("x-hickorydoor-attempt-id").to_owned();
            let expected = request.header("x-hickorydoor-expect-instance");
            if !expected.is_empty() && expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n\
                     X-Hickorydoor-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.stream.write_all(head.as_bytes())?;
                continue;
            }
            self.arrivals.0.lock().unwrap().push(Arrival {
                at: Instant::now(),
                attempt,
                prefix: request.header("x-hickorydoor-prompt-prefix").to_owned(),
            });
            (self.behaviour)(self, &request, connection)?;
        }
    }

    /// Head of an answer to a request, up to the headers of its body.
    pub fn head(&self, request: &Message, status: &str) -> String {
        let attempt = request.header("x-hickorydoor-attempt-id");
        format!(
            "HTTP/1.1 {status}\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n\
             X-Hickorydoor-Response-Seal: {}.{attempt}\r\n",
            self.id
        )
    }

    /// Answers a request with a whole body.
    pub fn answer(
        &self,
        request: &Message,
        connection: &mut Connection,
        status: &str,
        more: &str,
        body: &str,
    ) -> io::Result<()> {
        let head = self.head(request, status);
        let answer = format!("{head}{more}Content-Length: {}\r\n\r\n{body}", body.len());
        connection.stream.write_all(answer.as_bytes())
    }
}
