//! The daemon `celerypondd`.
fn main() {}
