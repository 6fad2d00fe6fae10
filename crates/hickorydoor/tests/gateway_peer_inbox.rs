//! Datagrams that wait because the process is short of time: the newest digest of each gateway is
//! kept, and messages about permits come first.

use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::peer_inbox::Filed;
use hickorydoor::gateway::peer_inbox::PeerInbox;
use hickorydoor::gateway::peer_message::PeerMessage;
use hickorydoor::gateway::quarantine::QuarantineReport;
use hickorydoor::gateway::rate_limits::PermitId;
use hickorydoor::gateway::rate_limits::PermitMessage;
use hickorydoor::gateway::rate_limits::PermitStep;

fn digest(host: &str, incarnation: u64, sequence: u64) -> Vec<u8> {
    let digest = PeerDigest {
        host: host.parse().unwrap(),
        incarnation,
        sequence,
        loads: Vec::new(),
        evidence: Vec::new(),
        prefills: Vec::new(),
        quarantine: QuarantineReport::default(),
        notices: Vec::new(),
        demands: Vec::new(),
        store_answering_ms: None,
    };
    digest.encode()
}

fn handled(inbox: &mut PeerInbox) -> Vec<String> {
    let messages = std::iter::from_fn(|| inbox.pop());
    let label = |bytes: Vec<u8>| match PeerMessage::decode(&bytes).unwrap() {
        PeerMessage::Digest(digest) => {
            format!("{}/{}/{}", digest.host, digest.incarnation, digest.sequence)
        }
        PeerMessage::Permit { host, .. } => format!("{host}/permit"),
    };
    messages.map(label).collect()
}

/// Guards against callers that wait behind digests that newer ones have replaced.
#[test]
fn one_digest_of_each_gateway_waits() {
    let mut inbox = PeerInbox::default();
    for sequence in 1..=50 {
        for peer in 0..67 {
            inbox.push(&digest(&format!("gw-{peer}"), 1, sequence)).unwrap();
        }
    }
    assert_eq!(inbox.len(), 67);
    let handled = handled(&mut inbox);
    assert!(handled.iter().all(|label| label.ends_with("/1/50")), "{handled:?}");
}

#[test]
fn newest_digest_wins_and_keeps_the_turn_of_the_first() {
    let mut inbox = PeerInbox::default();
    assert_eq!(inbox.push(&digest("gw-1", 2, 1)).unwrap(), Filed::Kept);
    assert_eq!(inbox.push(&digest("gw-2", 1, 1)).unwrap(), Filed::Kept);
    assert_eq!(inbox.push(&digest("gw-1", 1, 9)).unwrap(), Filed::Dropped);
    assert_eq!(inbox.push(&digest("gw-1", 2, 3)).unwrap(), Filed::Replaced);
    assert_eq!(inbox.push(&digest("gw-1", 2, 2)).unwrap(), Filed::Dropped);
    assert_eq!(handled(&mut inbox), ["gw-1/2/3", "gw-2/1/1"]);
    assert!(inbox.is_empty());
}

#[test]
fn messages_about_permits_come_first() {
    let mut inbox = PeerInbox::default();
    inbox.push(&digest("gw-1", 1, 1)).unwrap();
    let message = PermitMessage {
        id: PermitId(7),
        upstream: "e-1".parse().unwrap(),
        started_unix_ms: 1,
        limit: None,
        step: PermitStep::Return,
    };
    let permit = PeerMessage::Permit { host: "gw-2".parse().unwrap(), message };
    inbox.push(&permit.encode()).unwrap();
    assert_eq!(handled(&mut inbox), ["gw-2/permit", "gw-1/1/1"]);
}

#[test]
fn bytes_that_are_no_message_are_rejected() {
    let mut inbox = PeerInbox::default();
    assert!(inbox.push(b"\xff\xff\xff").is_err());
    assert!(inbox.is_empty());
}
