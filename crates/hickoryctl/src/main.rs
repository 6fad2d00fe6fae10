//! Command-line tool for hickorydoor operators.

fn main() {}
