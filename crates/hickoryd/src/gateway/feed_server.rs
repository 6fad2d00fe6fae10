//! Port on which other gateways follow this one, to learn the changes in the store.
//!
//! The view contains API keys, so only the hosts of gateways that are present in the store are
//! served.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::gateway::feed_wire::FeedHello;
use hickorydoor::gateway::feed_wire::FollowerMessage;
use hickorydoor::gateway::feed_wire::HELLO_PING;
use hickorydoor::gateway::feed_wire::WireFollowerFrame;
use hickorydoor::gateway::feed_wire::WireWatcherFrame;
use log::debug;
use log::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::connection::accept;
use crate::gateway::core::Core;
use crate::gateway::followers::FollowerState;
use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link::framed_reader;
use crate::link::read_message;
use crate::link::write_messages;

/// Maximum time until a follower has sent its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a new follower is kept waiting until its host is known and this gateway knows enough.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval of the checks while a new follower waits.
const ADMISSION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts followers until the task is aborted.
pub async fn serve_feed(listener: TcpListener, core: Rc<Core>) {
    loop {
        let (stream, peer) = accept(&listener).await;
        let core = Rc::clone(&core);
        spawn_local(async move {
            match serve_follower(stream, peer.ip(), &core).await {
                Ok(()) => debug!(address:% = peer; "follower disconnected"),
                Err(error) => debug!(address:% = peer, reason:% = error; "follower disconnected"),
            }
        });
    }
}

async fn serve_follower(stream: TcpStream, ip: IpAddr, core: &Rc<Core>) -> Result<(), LinkError> {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(reason:% = error; "cannot set TCP_NODELAY; small writes may be delayed");
    }
    let (reader, writer) = stream.into_split();
    let mut frames = framed_reader(reader);
    let first = read_message::<WireFollowerFrame, FollowerMessage, _>(&mut frames);
    let first = timeout(HELLO_TIMEOUT, first).await.map_err(|_elapsed| LinkError::Timeout)??;
    let Some(FollowerMessage::Hello(hello)) = first else {
        return Err(LinkError::UnexpectedHello);
    };
    let state = Rc::new(FollowerState::default());
    state.record_ping(HELLO_PING, core.now());
    wait_for_admission(&hello, ip, core).await?;
    let (queue, reader) = LinkQueue::new();
    core.add_follower(&hello, queue, &state);
    info!(address:% = ip; "gateway follows this one");
    let read_pings = async {
        while let Some(message) = read_message::<WireFollowerFrame, _, _>(&mut frames).await? {
            if let FollowerMessage::Ping(number) = message {
                core.on_ping(&state, number);
            }
        }
        Ok(())
    };
    tokio::select! {
        result = write_messages::<WireWatcherFrame, _, _>(writer, reader) => result,
        result = read_pings => result,
    }
}

/// Waits until the host `ip` is that of a known gateway and this gateway knows all that the
/// follower knows. Fails at once if the store does not answer, since another gateway may know more.
async fn wait_for_admission(hello: &FeedHello, ip: IpAddr, core: &Core) -> Result<(), LinkError> {
    let until = Instant::now() + ADMISSION_TIMEOUT;
    while !(core.can_be_followed(hello) && core.peer_addresses().contains(&ip)) {
        let has_started = core.store_position().is_some();
        if Instant::now() >= until || has_started && !core.is_view_current() {
            return Err(LinkError::Timeout);
        }
        sleep(ADMISSION_CHECK_INTERVAL).await;
    }
    Ok(())
}
