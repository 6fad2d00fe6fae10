//! Guards against requests that a stopping entry has accepted and that get no response.

mod fleet;

use std::time::Duration;

use hickory_standins::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::AnyError;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::read_response;
use crate::fleet::send;

/// Time until a request that was sent has arrived.
const TRANSIT: Duration = Duration::from_millis(100);

#[tokio::test]
async fn request_that_takes_long_is_answered_before_the_process_ends() -> Result<(), AnyError> {
    let mut fleet = Fleet::start(1, EngineSettings::new(["brine-small-1"])).await?;
    let entry = fleet.entries.remove(0);
    fleet.service.set_delay(Duration::from_secs(6));
    let url = format!("http://{}/services/registry/lot-1", entry.http_address());
    let request = tokio::spawn(async move {
        read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await
    });
    sleep(TRANSIT).await;
    entry.shutdown().await;
    entry.stopped().await;
    let response = request.await??;
    assert_eq!(response.status, 200, "{}", response.text());
    Ok(())
}

#[tokio::test]
async fn upload_that_is_not_complete_is_answered() -> Result<(), AnyError> {
    let mut fleet = Fleet::start(1, EngineSettings::new(["brine-small-1"])).await?;
    let entry = fleet.entries.remove(0);
    let mut connection = TcpStream::connect(entry.http_address()).await?;
    let head = format!(
        "POST /services/registry/lot-1 HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {CUSTOMER_KEY}\r\ncontent-length: 100\r\n\r\nhalf"
    );
    connection.write_all(head.as_bytes()).await?;
    sleep(TRANSIT).await;
    entry.shutdown().await;
    let stopped = tokio::spawn(entry.stopped());
    let mut response = String::new();
    connection.read_to_string(&mut response).await?;
    assert!(response.starts_with("HTTP/1.1 "), "the connection was closed without a response");
    assert!(fleet.service.calls().is_empty());
    stopped.await?;
    Ok(())
}
