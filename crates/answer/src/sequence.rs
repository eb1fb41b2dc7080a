//! The token sequence of an answer, joined from the frames of several attempts.

use celerypond_types::{Attempt, Position, RequestKey, TokenId, VersionName};

use crate::{ChainDigest, Done, FinishReason, Frame};

/// The token sequence of an answer, joined from the frames of several attempts without gaps or
/// repetitions.
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
    /// The answer is complete.
    Complete(FinishReason),
    /// The token is already in the sequence; ignore it.
    Duplicate,
    /// The event is from another attempt than the current one; ignore it.
    Superseded {
        /// The attempt of the event.
        attempt: Attempt,
    },
    /// Tokens before this event are missing; resume from `expected`.
    Gap {
        /// The position of the first missing token.
        expected: Position,
        /// The position of the event.
        found: Position,
    },
    /// The event belongs to another request; the connection can't be trusted.
    WrongRequest,
    /// The token is from another version; the target can't be trusted.
    WrongVersion,
    /// The event contradicts earlier ones: it has another token at the same position, a token
    /// beyond the limit, or an end before the last token or before the limit that it claims was
    /// reached.
    Contradiction {
        /// The position of the contradiction.
        position: Position,
    },
}

impl TokenSequence {
    /// Creates the empty sequence of an answer of at most `limit` tokens.
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

    /// Sets the tokens of the answer so far, which precede the first frame.
    #[must_use]
    pub fn with_prefix(mut self, tokens: Vec<TokenId>) -> Self {
        self.digest = ChainDigest::of(&tokens);
        self.tokens = tokens;
        self
    }

    /// Sets the current attempt; frames of all others are ignored from now on.
    pub fn set_attempt(&mut self, attempt: Attempt) {
        self.attempt = attempt;
    }

    /// Appends the token of a frame if it is the next one.
    ///
    /// Late frames can arrive from a superseded attempt, from another version, from another request
    /// on a reused connection, or repeatedly. So that no token is missing, repeated or from
    /// elsewhere, the request, attempt, version and position must match. All tokens go through this
    /// one sequence, so no order of arrival can add a token twice or at a wrong position.
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

    /// Checks the end event of a stream against the tokens received.
    ///
    /// The event may arrive although tokens are missing, and an incomplete answer would be taken
    /// for a complete one. Therefore the length must match, and if the event says that the limit
    /// was reached, it must have been.
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
        // The length is limited by `limit`, a u32.
        Position(self.tokens.len() as u32)
    }

    /// Returns the token ids so far, which are the prefix for the next attempt.
    pub fn tokens(&self) -> &[TokenId] {
        &self.tokens
    }

    /// Returns the digest of the token ids so far.
    pub const fn digest(&self) -> ChainDigest {
        self.digest
    }

    /// Returns the current attempt.
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
