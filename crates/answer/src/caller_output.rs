//! The part of an answer that the caller has.

use celerypond_types::{Position, TokenId};

use crate::{
    AttemptTokenEncoder, ChainDigest, DeliveryMode, Effect, Emit, Frame, Incomplete, TokenSequence,
};

/// Tracks what was delivered to the caller, and decides what to deliver next.
#[derive(Clone, Debug)]
pub(crate) struct CallerOutput {
    mode: DeliveryMode,
    /// The number of tokens that the caller has.
    delivered: Position,
    /// The digest of those tokens.
    digest: ChainDigest,
    /// Whether the tokens read so far were verified to start with those of the caller.
    prefix_verified: bool,
    encoder: Option<AttemptTokenEncoder>,
    /// The text so far of a buffered answer.
    text: String,
}

impl CallerOutput {
    pub(crate) const fn new(mode: DeliveryMode) -> Self {
        Self {
            mode,
            delivered: Position(0),
            digest: ChainDigest(0),
            prefix_verified: true,
            encoder: None,
            text: String::new(),
        }
    }

    /// Continues after `delivered` tokens with the digest `digest`; `tokens` are the known first
    /// ones.
    pub(crate) fn resumed(
        mode: DeliveryMode,
        delivered: Position,
        digest: ChainDigest,
        tokens: &[TokenId],
        text: String,
    ) -> Self {
        Self {
            mode,
            delivered,
            digest,
            prefix_verified: delivered.0 == 0 || ChainDigest::of(tokens) == digest,
            encoder: None,
            text,
        }
    }

    /// Encodes the resume tokens of later tokens with `encoder`.
    pub(crate) fn set_encoder(&mut self, encoder: AttemptTokenEncoder) {
        self.encoder = Some(encoder);
    }

    /// Adds the latest token of `sequence`, and returns the effect that delivers it, if any.
    ///
    /// An instance that takes over an answer may generate other first tokens than those that the
    /// caller has, and the caller would get an answer joined from two. Therefore nothing is
    /// delivered until the digest at the caller's position matches.
    pub(crate) fn push(
        &mut self,
        frame: Frame,
        sequence: &TokenSequence,
    ) -> Result<Option<Effect>, Incomplete> {
        if self.mode == DeliveryMode::Buffered {
            self.text.push_str(&frame.text);
            return Ok(None);
        }
        let length = sequence.next();
        if length <= self.delivered {
            return self.verify_prefix(length, sequence.digest()).map(|()| None);
        }
        self.check_prefix()?;
        self.delivered = length;
        self.digest = sequence.digest();
        let resume_token = self
            .encoder
            .as_ref()
            .map(|encoder| encoder.encode(length, self.digest));
        Ok(Some(Effect::Emit(Emit {
            position: frame.position,
            token: frame.token,
            text: frame.text,
            resume_token: resume_token.unwrap_or_default(),
        })))
    }

    /// Checks that the tokens read so far were verified to start with those of the caller.
    pub(crate) const fn check_prefix(&self) -> Result<(), Incomplete> {
        if self.prefix_verified {
            return Ok(());
        }
        Err(Incomplete::Diverged {
            position: self.delivered,
        })
    }

    /// Returns whether nothing was delivered, so that the answer may start again.
    pub(crate) const fn is_empty(&self) -> bool {
        self.delivered.0 == 0
    }

    /// Discards text that was not delivered.
    pub(crate) fn clear_text(&mut self) {
        self.text.clear();
    }

    /// Returns the text of a buffered answer.
    pub(crate) fn text(&self) -> Option<&str> {
        (self.mode == DeliveryMode::Buffered).then_some(self.text.as_str())
    }

    fn verify_prefix(&mut self, length: Position, digest: ChainDigest) -> Result<(), Incomplete> {
        if length == self.delivered {
            self.prefix_verified = digest == self.digest;
            return self.check_prefix();
        }
        Ok(())
    }
}
