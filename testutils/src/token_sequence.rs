//! The token sequence of the stand-in engine.
//!
//! A token depends on the model, version, adapter, prompt, seed and every token before it. A wrong
//! prefix or another version therefore gives another continuation, which a test sees.

use celerypond_types::TokenId;
use rapidhash::v3::rapidhash_v3;

const VOCABULARY: u64 = 50_000;

/// What decides a token sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceInputs<'a> {
    /// The model.
    pub model: &'a str,
    /// The version of the model.
    pub version: &'a str,
    /// The adapter, or an empty text.
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
    /// Begins the sequence of `inputs`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_testutils::token_sequence::{SequenceInputs, TokenSequence};
    ///
    /// let inputs = SequenceInputs { model: "m", version: "v1", adapter: "", prompt: "cut list", seed: 7 };
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

    /// Returns the token that comes next and moves past it.
    pub fn next_token(&mut self) -> TokenId {
        let token = TokenId((rapidhash_v3(&self.state.to_le_bytes()) % VOCABULARY) as u32);
        self.advance(token);
        token
    }

    /// Moves past a token that is given, whatever it is.
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

/// Returns the text of a token.
pub fn token_text(token: TokenId) -> String {
    format!("w{} ", token.0)
}
