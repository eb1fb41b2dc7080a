//! What the caller has of an answer.

use celerypond_types::{Position, TokenId};

use crate::{
    AttemptTokenEncoder, ChainDigest, DeliveryMode, Effect, Emit, Frame, Incomplete, TokenSequence,
};

/// What the caller has of an answer, and what it gets next.
#[derive(Clone, Debug)]
pub(crate) struct CallerOutput {
    mode: DeliveryMode,
    delivered: Position,
    digest: ChainDigest,
    prefix_verified: bool,
    encoder: Option<AttemptTokenEncoder>,
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

    /// Goes on after `delivered` tokens with the digest `digest`, of which `tokens` are known.
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

    /// Takes the latest token of `sequence`, and returns what to show of it.
    ///
    /// The failure: an instance takes over an answer of which the caller has the first tokens, and
    /// its own tokens before that place are others. The symptom would be an answer joined from two.
    /// Nothing is delivered before the digest at that place agrees with the caller's.
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

    /// Checks that what was read is known to go on from what the caller has.
    pub(crate) const fn check_prefix(&self) -> Result<(), Incomplete> {
        if self.prefix_verified {
            return Ok(());
        }
        Err(Incomplete::Diverged {
            position: self.delivered,
        })
    }

    /// Returns whether the caller has nothing, so that the answer may start anew.
    pub(crate) const fn is_empty(&self) -> bool {
        self.delivered.0 == 0
    }

    /// Forgets what was not delivered.
    pub(crate) fn clear_text(&mut self) {
        self.text.clear();
    }

    /// Returns the text of an answer that is not streamed.
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
