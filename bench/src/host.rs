//! Speed of the host machine, recorded so that results from different machines can be compared.

use std::time::Instant;

use celerypond_types::Digest;

use crate::table::Row;

const BLOCK: [u8; 4096] = [7; 4096];

/// Times the digest of a 4 KiB block, `seeds` * 100 times.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let samples = (0..seeds * 100).map(|_| time_digest_us()).collect();
    vec![Row::of("digest of 4 KiB", "machine speed", "us", samples)]
}

fn time_digest_us() -> f64 {
    let start = Instant::now();
    std::hint::black_box(Digest::of(std::hint::black_box(&BLOCK)));
    start.elapsed().as_secs_f64() * 1e6
}
