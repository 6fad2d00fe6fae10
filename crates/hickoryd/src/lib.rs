//! The hickorydoor daemon: entry and agent roles.
