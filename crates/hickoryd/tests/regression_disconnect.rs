//! Guards against an entry that never reconnects to an agent after closing its link.
//!
//! The reducer was not notified of the loss of a link that it had closed itself, and so did not start
//! a new connection.

use std::time::Duration;

use hickory_standins::EngineSettings;
use hickory_standins::Host;
use hickory_standins::HostRole;
use hickory_standins::HostState;
use hickorydoor::AgentMessage;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Revision;
use hickorydoor::message::AgentHello;
use hickorydoor::message::Offer;
use hickorydoor::wire::AgentFrame;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

mod fleet;

use fleet::AnyError;
use fleet::Fleet;

const HOST: &str = "agent-8";
/// The entry closes a silent link after 18 s, which leaves 10 s for the second connection.
const TIMEOUT: Duration = Duration::from_secs(28);

fn hello() -> Result<Vec<u8>, AnyError> {
    let hello = AgentHello {
        agent: HOST.parse()?,
        upstream: HOST.parse()?,
        incarnation: Incarnation::new(1),
        data_centre: "arauco-1".parse()?,
        region: "la-rioja".parse()?,
        offer: Offer::Service { service: "registry".parse()? },
        revision: Revision::new(1),
        draining: false,
    };
    let frame = AgentFrame::from(AgentMessage::Hello(hello)).encode_to_vec();
    let mut framed = u32::try_from(frame.len())?.to_be_bytes().to_vec();
    framed.extend_from_slice(&frame);
    Ok(framed)
}

#[tokio::test]
async fn the_entry_reconnects_to_an_agent_that_became_silent() -> Result<(), AnyError> {
    let fleet = Fleet::start(1, EngineSettings::new(["brine-small-1", "brine-large-1"])).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let silent = Host {
        host: HOST.to_owned(),
        role: HostRole::Agent,
        address: listener.local_addr()?,
        data_centre: "arauco-1".to_owned(),
        region: "la-rioja".to_owned(),
        state: HostState::Live,
    };
    fleet.hosts.update(|hosts| hosts.push(silent));
    let (mut first, _) = tokio::time::timeout(TIMEOUT, listener.accept()).await??;
    first.write_all(&hello()?).await?;
    // The agent keeps the first connection open but sends nothing more.
    tokio::time::timeout(TIMEOUT, listener.accept()).await??;
    drop(first);
    Ok(())
}
