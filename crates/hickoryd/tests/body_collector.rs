//! Bodies are held in bounded memory, and large ones that are sound are not cut.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hickoryd::body_collector::CollectError;
use hickoryd::body_collector::collect_body;
use hickoryd::body_collector::collect_within;
use hickoryd::memory_pool::MemoryPool;
use hickorydoor::memory::MemoryBudget;
use hickorydoor::memory::MemoryKind;
use hickorydoor::quantity::ByteCount;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;

/// Large responses have half of it, 1 MB.
const BUDGET_BYTES: u64 = 2 << 20;
const WAIT: Duration = Duration::from_secs(5);

/// A pool whose deadlines are kept, as the process does.
fn pool() -> MemoryPool {
    let pool = MemoryPool::new(MemoryBudget::new(ByteCount::new(BUDGET_BYTES)));
    let expired = pool.clone();
    tokio::spawn(async move {
        loop {
            expired.expire();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    pool
}

/// A body without a length, in pieces of this size.
fn pieces(count: usize, bytes: usize) -> impl Body<Data = Bytes> + Unpin {
    let piece = Bytes::from(vec![b'x'; bytes]);
    let frames =
        std::iter::repeat_n(piece, count).map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
    StreamBody::new(stream::iter(frames))
}

#[tokio::test]
async fn body_is_complete_whatever_its_pieces() {
    for (count, bytes) in [(0, 1), (1, 5), (200_000, 1), (3, 100_000), (65, 65_536)] {
        let body = collect_body(pieces(count, bytes), 8 << 20).await.unwrap();
        assert_eq!(body.len(), count * bytes);
        assert!(body.iter().all(|byte| *byte == b'x'));
    }
    let too_long = collect_body(pieces(3, 10), 29).await;
    assert_eq!(too_long, Err(CollectError::TooLong));
}

#[tokio::test]
async fn large_body_without_a_length_gives_way_and_its_memory_comes_back() {
    let pool = pool();
    for _ in 0..3 {
        let body =
            collect_within(pieces(40, 64 << 10), 8 << 20, &pool, MemoryKind::Response, WAIT).await;
        assert_eq!(body, Err(CollectError::NoMemory));
        let small =
            collect_within(pieces(4, 64 << 10), 8 << 20, &pool, MemoryKind::Response, WAIT).await;
        assert_eq!(small.map(|body| body.len()), Ok(256 << 10));
    }
}

#[tokio::test]
async fn bodies_with_lengths_wait_for_each_other_and_are_whole() {
    let pool = pool();
    // A body keeps its memory until it is dropped.
    let read = async |bytes: usize| {
        let body = Full::new(Bytes::from(vec![b'x'; bytes]));
        let read = collect_within(body, 8 << 20, &pool, MemoryKind::Response, WAIT);
        read.await.map(|body| body.len())
    };
    let sizes = [900_000, 800_000, 700_000];
    let (first, second, third) = tokio::join!(read(sizes[0]), read(sizes[1]), read(sizes[2]));
    let lengths = [first, second, third].map(Result::unwrap);
    assert_eq!(lengths, sizes);
}
