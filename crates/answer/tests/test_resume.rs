//! Encoding and decoding of resume tokens.

use celerypond_answer::{
    ChainDigest, Origin, ResumeError, ResumeToken, ResumeTokenCodec, ResumeTokenKey, StreamId,
};
use celerypond_types::{Attempt, Digest, Position};
use rstest::rstest;

fn codec(key: u8, request: &str, body: &[u8]) -> ResumeTokenCodec {
    ResumeTokenCodec::new(
        &ResumeTokenKey::new([key; 32]),
        &request.into(),
        &Digest::of(body),
    )
}

fn token() -> ResumeToken {
    ResumeToken {
        origin: Origin {
            attempt: Attempt(65_537),
            stream: StreamId {
                target: "engine-3".into(),
                attempt: Attempt(2),
            },
            version: "v1".into(),
            seed: 7,
        },
        position: Position(40),
        digest: ChainDigest(0x0123_4567_89ab_cdef),
    }
}

// A caller, a proxy or a bug may change a character or truncate the text. If such a token were
// accepted, the answer would continue from a wrong position, so each change must be rejected.
#[test]
fn changed_or_truncated_token_is_rejected() {
    let codec = codec(1, "r", b"body");
    let text = codec.encode(&token());
    assert_eq!(codec.decode(&text), Ok(token()));
    for at in 0..text.len() {
        let mut bytes = text.as_bytes().to_vec();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        assert!(
            codec.decode(&changed).is_err(),
            "changed at {at}: {changed}"
        );
        assert!(codec.decode(&text[..at]).is_err(), "truncated at {at}");
    }
}

#[rstest]
#[case::other_key(codec(2, "r", b"body"))]
#[case::other_request(codec(1, "q", b"body"))]
#[case::other_body(codec(1, "r", b"another"))]
fn token_for_another_key_request_or_body_is_rejected(#[case] other: ResumeTokenCodec) {
    let text = codec(1, "r", b"body").encode(&token());
    assert_eq!(other.decode(&text), Err(ResumeError::Tag));
}
