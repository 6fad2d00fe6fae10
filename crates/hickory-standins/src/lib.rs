//! Small stand-ins for the systems that hickorydoor talks to.
//!
//! Each stand-in serves its protocol on a loopback port chosen by the system, from `start()` until
//! its handle is dropped. Faults are set on the handle while it runs:
//!
//! ```
//! use hickory_standins::Kv;
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let kv = Kv::start().await?;
//! kv.set_down(true).await?;
//! assert_eq!(kv.counts().transactions, 0);
//! # Ok(())
//! # }
//! ```

mod kv;
mod kv_faults;
mod kv_store;
mod kv_wire;
mod server;

pub use kv::Kv;
pub use kv_faults::KvCounts;
