//! Guards against a planned stop that resets a connection whose first request is under way.

use std::time::Duration;

use hickory_standins::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;

const PROPAGATION: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_connection_without_a_request_is_answered_after_a_stop() -> Result<(), AnyError> {
    let mut fleet = Fleet::start(1, EngineSettings::new(["brine-small-1"])).await?;
    let entry = fleet.entries.remove(0);
    let mut connection = TcpStream::connect(entry.http_address()).await?;
    entry.shutdown().await;
    let stopped = tokio::spawn(entry.stopped());
    tokio::time::sleep(PROPAGATION).await;
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         connection: close\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await?;
    assert!(answer.starts_with("HTTP/1.1 "), "the connection was closed without an answer");
    stopped.await?;
    Ok(())
}
