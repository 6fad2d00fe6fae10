//! A stream to a caller is complete only if its task says so.

use bytes::Bytes;
use hickoryd::gateway::ResponseBody;
use hickoryd::gateway::StreamPiece;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Guards against a task that ends without a word, whose stream then looks complete.
#[tokio::test]
async fn stream_whose_task_ends_without_its_end_is_broken_off() {
    for ends in [true, false] {
        let (events, receiver) = mpsc::channel(4);
        events.send(StreamPiece::Event(Bytes::from_static(b"id: 1\n\n"))).await.unwrap();
        if ends {
            events.send(StreamPiece::End).await.unwrap();
        }
        drop(events);
        let collected = ResponseBody::Stream(receiver).collect().await;
        assert_eq!(collected.is_ok(), ends);
    }
}
