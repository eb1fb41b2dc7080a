//! The command line tool `celerypond`.
fn main() {}
