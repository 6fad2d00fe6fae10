//! What an upstream says of itself in its answers, at the sockets of an entry and its agents.

mod fleet;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hickory_standins::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::AnyError;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::read_response;
use crate::fleet::send;

const LOAD: Duration = Duration::from_secs(4);
const INTERVAL: Duration = Duration::from_millis(25);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a service that answers each request with this head and an empty body.
async fn start_service(head: &'static str) -> Result<(String, Arrivals), AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    let arrivals = Arrivals::default();
    let shared = Arc::clone(&arrivals);
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let arrivals = Arc::clone(&shared);
            tokio::spawn(async move { drop(answer(stream, head, &arrivals).await) });
        }
    });
    Ok((url, arrivals))
}

async fn answer(mut stream: TcpStream, head: &str, arrivals: &Arrivals) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    arrivals.lock().unwrap().push(Instant::now());
    stream.write_all(format!("HTTP/1.1 {head}Content-Length: 0\r\n\r\n").as_bytes()).await
}

/// Sends requests for a while; returns their statuses and when the service was reached.
async fn play(head: &'static str) -> Result<(Vec<u16>, Vec<Duration>), AnyError> {
    let (url, arrivals) = start_service(head).await?;
    let options = FleetOptions { service_url: Some(url), ..FleetOptions::default() };
    let fleet = Fleet::start_with(1, EngineSettings::new(["brine-small-1"]), options).await?;
    let until = Instant::now() + LOAD;
    let mut tasks = Vec::new();
    while Instant::now() < until {
        let url = format!("{}/services/registry/lot-{}", fleet.url(0), tasks.len());
        tasks.push(tokio::spawn(async move {
            read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await
        }));
        sleep(INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await??.status);
    }
    let arrivals = arrivals.lock().unwrap();
    let first = *arrivals.first().unwrap();
    Ok((statuses, arrivals.iter().map(|at| at.duration_since(first)).collect()))
}

fn count_from(arrivals: &[Duration], from: Duration) -> usize {
    arrivals.iter().filter(|at| **at >= from).count()
}

#[tokio::test]
async fn named_limit_is_kept() -> Result<(), AnyError> {
    let (statuses, arrivals) = play("200 OK\r\nX-Hickorydoor-Limit: 3\r\n").await?;
    let allowed = (1.5 * LOAD.as_secs_f64() * 3.0) as usize + 5;
    println!("{} of {} requests reached it, allowed {allowed}", arrivals.len(), statuses.len());
    assert!(arrivals.len() <= allowed, "{} of {}", arrivals.len(), statuses.len());
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 3, "{served} of {}", statuses.len());
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    Ok(())
}

#[tokio::test]
async fn pause_is_kept() -> Result<(), AnyError> {
    let (statuses, arrivals) = play("503 Service Unavailable\r\nRetry-After: 3.5\r\n").await?;
    let late = count_from(&arrivals, Duration::from_millis(500))
        - count_from(&arrivals, Duration::from_millis(3_500));
    println!("{late} of {} requests reached it in its pause", statuses.len());
    assert!(late <= 2, "{late} of {}", statuses.len());
    Ok(())
}

#[tokio::test]
async fn upstream_that_leaves_gets_nothing_after_its_notice() -> Result<(), AnyError> {
    let (statuses, arrivals) = play("200 OK\r\nX-Hickorydoor-Leaving: 1\r\n").await?;
    let late = count_from(&arrivals, Duration::from_secs(2));
    println!("{late} of {} requests reached it late", statuses.len());
    assert_eq!(late, 0);
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    Ok(())
}
