//! Structured logs, one JSON object per line: of an entry or agent on standard error, of a gateway on
//! standard output.

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::LoggerHandle;
use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value as LogValue;
use log::kv::VisitSource;
use log::kv::VisitValue;
use serde_json::Map;
use serde_json::Value;

use crate::log_writer;

/// Installs the logger of an entry or agent; it is shut down when the handle is dropped.
///
/// # Errors
/// Fails if the process already has a logger.
pub fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = LogSpecification::builder().module("hickoryd", level).build();
    log_writer::start(specification, io::stderr())
}

/// Installs the logger of a gateway; it is shut down when the handle is dropped.
///
/// # Errors
/// Fails if the process already has a logger.
pub fn start_gateway(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = LogSpecification::builder()
        .module("hickoryd", level)
        .module("hickory_platform", level)
        .build();
    log_writer::start(specification, io::stdout())
}

pub(crate) fn json_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), io::Error> {
    let mut fields = Fields::default();
    fields.0.insert("time".to_owned(), now.format_rfc3339().into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("message".to_owned(), record.args().to_string().into());
    // The visitor never fails.
    drop(record.key_values().visit(&mut fields));
    serde_json::to_writer(writer, &fields.0).map_err(io::Error::from)
}

/// Key-value pairs of a log record as JSON fields; null values are left out.
#[derive(Debug, Default)]
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: LogValue<'kvs>) -> Result<(), Error> {
        let mut field = Field(Value::Null);
        value.visit(&mut field)?;
        if !field.0.is_null() {
            self.0.insert(key.as_str().to_owned(), field.0);
        }
        Ok(())
    }
}

/// Value of one key as JSON.
#[derive(Debug)]
struct Field(Value);

impl VisitValue<'_> for Field {
    fn visit_any(&mut self, value: LogValue<'_>) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}
