//! Messages between a gateway that watches the store and those that follow it.
//!
//! A follower says what it knows in a [`FeedHello`] and then sends numbered pings. The watcher
//! answers with the events that make up its view, sends each later event as it happens, and states
//! after each synchronization with the store how old the view is in relation to the last ping. So
//! the follower can tell the age of what it knows on its own clock.
//!
//! The messages are protobuf messages without a code generator, as those between entries and
//! agents. A configuration is compressed, since it is by far the largest item.

mod catalog;
mod error;
mod event;
mod frame;
pub mod position;
pub mod record;

pub use error::FeedError;
pub use frame::FeedHello;
pub use frame::FeedSynced;
pub use frame::FollowerMessage;
pub use frame::HELLO_PING;
pub use frame::WatcherMessage;
pub use frame::WireFollowerFrame;
pub use frame::WireWatcherFrame;
