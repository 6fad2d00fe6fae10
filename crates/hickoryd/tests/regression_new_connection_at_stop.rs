//! Guards against a graceful shutdown that resets a connection while a request is in transit.

use std::time::Duration;

use hickory_standins::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;

/// Allows the server to observe the shutdown before the request is sent.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(100);

#[tokio::test]
async fn an_idle_connection_gets_a_response_after_a_shutdown() -> Result<(), AnyError> {
    let mut fleet = Fleet::start(1, EngineSettings::new(["brine-small-1"])).await?;
    let entry = fleet.entries.remove(0);
    let mut connection = TcpStream::connect(entry.http_address()).await?;
    entry.shutdown().await;
    let stopped = tokio::spawn(entry.stopped());
    tokio::time::sleep(SHUTDOWN_DELAY).await;
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         connection: close\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    connection.read_to_string(&mut response).await?;
    assert!(response.starts_with("HTTP/1.1 "), "the connection was closed without a response");
    stopped.await?;
    Ok(())
}

/// Guards against a kept connection that is closed while its next request is in transit.
#[tokio::test]
async fn a_kept_connection_gets_a_response_after_a_shutdown() -> Result<(), AnyError> {
    let mut fleet = Fleet::start(1, EngineSettings::new(["brine-small-1"])).await?;
    let entry = fleet.entries.remove(0);
    let mut connection = TcpStream::connect(entry.http_address()).await?;
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).await?;
    let mut first = vec![0; 4_096];
    assert!(connection.read(&mut first).await? > 0);
    entry.shutdown().await;
    let stopped = tokio::spawn(entry.stopped());
    tokio::time::sleep(SHUTDOWN_DELAY).await;
    connection.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    connection.read_to_string(&mut response).await?;
    assert!(response.starts_with("HTTP/1.1 "), "the connection was closed without a response");
    stopped.await?;
    Ok(())
}
