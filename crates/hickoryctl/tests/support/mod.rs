//! Runs commands of the tool in the process of the test.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use std::path::PathBuf;

use hickory_standins::Kv;
use hickoryctl::Environment;
use hickoryctl::ExitStatus;
use hickoryctl::Report;
use hickorydoor::TimeMs;

/// 2026-12-04T03:00:00Z.
pub const NOW_MS: TimeMs = TimeMs::new(1_796_353_200_000);

pub const CONFIGURATION: &str = "\
models:
- id: brine
  prompt_cost_micros_per_1k_tokens: 100
  answer_cost_micros_per_1k_tokens: 300
  versions:
  - {id: brine-1, state: active}
data_centres:
- {id: arauco-1, region: la-rioja}
- {id: san-blas-1, region: la-rioja}
customers:
- id: almazara
  key_digests: []
  models: [brine]
";

/// A temporary file, deleted when the handle is dropped.
#[derive(Debug)]
pub struct TestFile(PathBuf);

impl TestFile {
    pub fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hickoryctl-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the directory is writable");
        Self(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        // A file that cannot be deleted is harmless.
        let _removed = std::fs::remove_file(&self.0);
    }
}

/// The tool connected to a key-value stand-in. Each invocation gets its own change id and API key.
#[derive(Debug)]
pub struct Tool {
    pub kv: Kv,
    invocations: u8,
}

impl Tool {
    pub async fn start() -> Self {
        Self { kv: Kv::start().await.expect("a port is free"), invocations: 0 }
    }

    /// Starts a stand-in that stores [`CONFIGURATION`] as revision 1.
    pub async fn configured(file_name: &str) -> Self {
        let mut tool = Self::start().await;
        let file = TestFile::new(file_name, CONFIGURATION);
        let report = tool.run(&["apply", file.path(), "--reason", "first"]).await;
        assert_eq!(report.output, "accepted as revision 1\n", "{report:?}");
        tool
    }

    pub async fn run(&mut self, arguments: &[&str]) -> Report {
        self.invocations += 1;
        let mut environment = environment();
        environment.variables.insert("HICKORY_KV".to_owned(), self.kv.server().url());
        environment.change_entropy = [self.invocations; 16];
        environment.key_entropy = [self.invocations; 32];
        run_in(&environment, arguments).await
    }

    /// Returns the output of a command, which must succeed.
    pub async fn ok(&mut self, arguments: &[&str]) -> String {
        let report = self.run(arguments).await;
        assert_eq!((report.status, report.errors.as_str()), (ExitStatus::Success, ""));
        report.output
    }
}

pub fn environment() -> Environment {
    let mut environment = Environment { now_ms: NOW_MS, ..Environment::default() };
    environment.variables.insert("USER".to_owned(), "ines".to_owned());
    environment
}

pub async fn run_in(environment: &Environment, arguments: &[&str]) -> Report {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    hickoryctl::run(&arguments, environment).await
}
