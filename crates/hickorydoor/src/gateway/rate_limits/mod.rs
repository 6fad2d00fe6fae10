//! Limits that upstreams name in their answers.

mod limit_change;
mod limit_statement;
mod request_rate;

pub use limit_change::LimitChange;
pub use limit_statement::LimitNotice;
pub use limit_statement::LimitStatement;
pub use request_rate::RequestRate;
pub use request_rate::RequestRateError;
