//! Joins the frames of several attempts into one sequence of tokens.

use celerypond_types::{Attempt, Position, RequestKey, TokenId, VersionName};

use crate::{ChainDigest, Done, FinishReason, Frame};

/// Joins the frames of several attempts into one sequence of tokens, without a gap or a repeat.
///
/// # Examples
///
/// ```
/// use celerypond_answer::{Frame, TokenSequence, Verdict};
/// use celerypond_types::{Attempt, Position, TokenId};
///
/// let mut sequence = TokenSequence::new("r".into(), "v1".into(), Attempt(0), 100);
/// let frame = Frame {
///     request: "r".into(),
///     attempt: Attempt(0),
///     version: "v1".into(),
///     position: Position(0),
///     token: TokenId(9),
///     text: "nine".into(),
/// };
/// assert_eq!(sequence.accept(&frame), Verdict::Accepted);
/// assert_eq!(sequence.accept(&frame), Verdict::Duplicate);
/// assert_eq!(sequence.tokens(), [TokenId(9)]);
/// ```
#[derive(Clone, Debug)]
pub struct TokenSequence {
    request: RequestKey,
    version: VersionName,
    attempt: Attempt,
    limit: u32,
    tokens: Vec<TokenId>,
    digest: ChainDigest,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The token is the next one.
    Accepted,
    /// The answer is whole.
    Complete(FinishReason),
    /// The token was already taken; drop it.
    Duplicate,
    /// It comes from another attempt than the one in force; drop it.
    Superseded {
        /// The attempt it comes from.
        attempt: Attempt,
    },
    /// Tokens are missing before it; resume from `expected`.
    Gap {
        /// The position of the first missing token.
        expected: Position,
        /// The position that came.
        found: Position,
    },
    /// It answers another request; the connection can't be trusted.
    WrongRequest,
    /// Another version generated it; the target can't be trusted.
    WrongVersion,
    /// It contradicts what was taken before: another token at the same position, tokens beyond the
    /// limit, or an end before the last token or before the limit it claims to have reached.
    Contradiction {
        /// The position of the contradiction.
        position: Position,
    },
}

impl TokenSequence {
    /// Starts an answer of at most `limit` tokens.
    pub fn new(request: RequestKey, version: VersionName, attempt: Attempt, limit: u32) -> Self {
        Self {
            request,
            version,
            attempt,
            limit,
            tokens: Vec::new(),
            digest: ChainDigest::default(),
        }
    }

    /// Puts `tokens` before the first frame; they are the answer so far.
    #[must_use]
    pub fn with_prefix(mut self, tokens: Vec<TokenId>) -> Self {
        self.digest = ChainDigest::of(&tokens);
        self.tokens = tokens;
        self
    }

    /// Takes frames of `attempt` from now on, and of no other.
    pub fn set_attempt(&mut self, attempt: Attempt) {
        self.attempt = attempt;
    }

    /// Takes a token if it is the next one.
    ///
    /// The failure: frames of a superseded attempt, of another request on a reused connection, of
    /// another version, or repeated ones arrive late. The symptom would be a missing, repeated or
    /// foreign token in the answer. All four fields and the position must match, and one value
    /// holds the whole sequence, so no order of arrival can put a token in twice or out of place.
    pub fn accept(&mut self, frame: &Frame) -> Verdict {
        if let Some(verdict) = self.check_source(&frame.request, frame.attempt) {
            return verdict;
        }
        if frame.version != self.version {
            return Verdict::WrongVersion;
        }
        let next = self.next();
        if frame.position > next {
            return Verdict::Gap {
                expected: next,
                found: frame.position,
            };
        }
        if frame.position < next {
            return self.check_repeated(frame);
        }
        if next.0 >= self.limit {
            return Verdict::Contradiction { position: next };
        }
        self.tokens.push(frame.token);
        self.digest = self.digest.with(frame.token);
        Verdict::Accepted
    }

    /// Checks the end of a stream against the tokens taken.
    ///
    /// The failure: a stream is cut short, yet its end is announced. The symptom would be a part
    /// that passes for the whole. The length must agree, and an end for reaching the limit must
    /// have reached it.
    pub fn finish(&self, done: &Done) -> Verdict {
        if let Some(verdict) = self.check_source(&done.request, done.attempt) {
            return verdict;
        }
        let next = self.next();
        if done.length > next {
            return Verdict::Gap {
                expected: next,
                found: done.length,
            };
        }
        let short = done.reason == FinishReason::Length && done.length.0 < self.limit;
        if done.length < next || short {
            return Verdict::Contradiction {
                position: done.length,
            };
        }
        Verdict::Complete(done.reason)
    }

    /// Returns the position of the next token.
    pub fn next(&self) -> Position {
        // A limit of u32 tokens bounds the length.
        Position(self.tokens.len() as u32)
    }

    /// Returns the token ids taken so far: the exact prefix for the next attempt.
    pub fn tokens(&self) -> &[TokenId] {
        &self.tokens
    }

    /// Returns the digest of the token ids taken so far.
    pub const fn digest(&self) -> ChainDigest {
        self.digest
    }

    /// Returns the attempt whose frames are taken.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the version that generates the answer.
    pub const fn version(&self) -> &VersionName {
        &self.version
    }

    fn check_source(&self, request: &RequestKey, attempt: Attempt) -> Option<Verdict> {
        if *request != self.request {
            return Some(Verdict::WrongRequest);
        }
        (attempt != self.attempt).then_some(Verdict::Superseded { attempt })
    }

    fn check_repeated(&self, frame: &Frame) -> Verdict {
        if self.tokens[frame.position.0 as usize] == frame.token {
            return Verdict::Duplicate;
        }
        Verdict::Contradiction {
            position: frame.position,
        }
    }
}
