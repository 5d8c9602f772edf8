//! The one binary.
fn main() {}
