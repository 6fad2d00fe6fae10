//! An agent whose link the entry had closed was never connected again.
//!
//! The reducer was not told that a link is down when it had asked for that itself.

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
/// The entry closes a silent link after 18 s.
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
async fn an_agent_that_fell_silent_is_connected_again() -> Result<(), AnyError> {
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
    // The first connection stays open and silent.
    tokio::time::timeout(TIMEOUT, listener.accept()).await??;
    drop(first);
    Ok(())
}
