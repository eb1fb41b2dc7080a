//! The deterministic token sequence of the stand-in engine.
//!
//! Each token depends on the model, version, adapter, prompt, seed and all tokens before it. If a
//! generation is resumed with a wrong prefix or another version, its continuation differs, so that
//! a test can detect the mistake.

use celerypond_types::TokenId;
use rapidhash::v3::rapidhash_v3;

const VOCABULARY_SIZE: u64 = 50_000;

/// The inputs that determine a token sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceInputs<'a> {
    /// The model.
    pub model: &'a str,
    /// The version of the model.
    pub version: &'a str,
    /// The adapter, or an empty string for none.
    pub adapter: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The sampling seed.
    pub seed: u64,
}

/// The state of a token sequence at one position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSequence {
    state: u64,
}

impl TokenSequence {
    /// Creates the sequence for `inputs`, positioned before its first token.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_testutils::token_sequence::{SequenceInputs, TokenSequence};
    ///
    /// let inputs = SequenceInputs {
    ///     model: "m",
    ///     version: "v1",
    ///     adapter: "",
    ///     prompt: "cut list",
    ///     seed: 7,
    /// };
    /// let all = TokenSequence::new(&inputs).take(5);
    /// let mut rest = TokenSequence::new(&inputs);
    /// all[..2].iter().for_each(|token| rest.advance(*token));
    /// assert_eq!(rest.take(3), all[2..]);
    /// ```
    pub fn new(inputs: &SequenceInputs<'_>) -> Self {
        let text = format!(
            "{}\0{}\0{}\0{}\0{}",
            inputs.model, inputs.version, inputs.adapter, inputs.prompt, inputs.seed
        );
        Self {
            state: rapidhash_v3(text.as_bytes()),
        }
    }

    /// Returns the next token and advances past it.
    pub fn next_token(&mut self) -> TokenId {
        let token = TokenId((rapidhash_v3(&self.state.to_le_bytes()) % VOCABULARY_SIZE) as u32);
        self.advance(token);
        token
    }

    /// Advances past a given token, such as one of a prefix. It may differ from the token that
    /// [`next_token`](Self::next_token) would have returned.
    pub fn advance(&mut self, token: TokenId) {
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&self.state.to_le_bytes());
        bytes[8..].copy_from_slice(&token.0.to_le_bytes());
        self.state = rapidhash_v3(&bytes);
    }

    /// Returns the next `count` tokens.
    pub fn take(mut self, count: usize) -> Vec<TokenId> {
        (0..count).map(|_| self.next_token()).collect()
    }
}

/// Returns the text that a token stands for.
pub fn token_text(token: TokenId) -> String {
    format!("w{} ", token.0)
}
