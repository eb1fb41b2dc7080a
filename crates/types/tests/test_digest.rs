//! Tests for parsing digests.

use celerypond_types::{Digest, DigestError};
use rstest::rstest;

#[rstest]
#[case::empty("", DigestError::Length(0))]
#[case::short("ab", DigestError::Length(2))]
#[case::other_digit(&"g".repeat(64), DigestError::Digit(0))]
fn invalid_digest_is_rejected(#[case] text: &str, #[case] error: DigestError) {
    assert_eq!(text.parse::<Digest>(), Err(error));
}
