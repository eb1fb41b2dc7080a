//! The token sequence of the stand-in engine.
//!
//! A token depends on the model, version, adapter, prompt, seed and every token before it. A wrong
//! prefix or another version therefore gives another continuation, which a test sees.

use celerypond_types::TokenId;
use rapidhash::v3::rapidhash_v3;

const VOCABULARY: u64 = 50_000;

/// What decides a token sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source<'a> {
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
pub struct Generator {
    state: u64,
}

impl Generator {
    /// Begins the sequence of `source`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_testutils::generator::{Generator, Source};
    ///
    /// let source = Source { model: "m", version: "v1", adapter: "", prompt: "cut list", seed: 7 };
    /// let all = Generator::new(&source).take(5);
    /// let mut rest = Generator::new(&source);
    /// all[..2].iter().for_each(|token| rest.absorb(*token));
    /// assert_eq!(rest.take(3), all[2..]);
    /// ```
    pub fn new(source: &Source<'_>) -> Self {
        let text = format!(
            "{}\0{}\0{}\0{}\0{}",
            source.model, source.version, source.adapter, source.prompt, source.seed
        );
        Self {
            state: rapidhash_v3(text.as_bytes()),
        }
    }

    /// Returns the token that comes next and moves past it.
    pub fn step(&mut self) -> TokenId {
        let token = TokenId((rapidhash_v3(&self.state.to_le_bytes()) % VOCABULARY) as u32);
        self.absorb(token);
        token
    }

    /// Moves past a token that is given, whatever it is.
    pub fn absorb(&mut self, token: TokenId) {
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&self.state.to_le_bytes());
        bytes[8..].copy_from_slice(&token.0.to_le_bytes());
        self.state = rapidhash_v3(&bytes);
    }

    /// Returns the next `count` tokens.
    pub fn take(mut self, count: usize) -> Vec<TokenId> {
        (0..count).map(|_| self.step()).collect()
    }
}

/// Returns the text of a token.
pub fn text(token: TokenId) -> String {
    format!("w{} ", token.0)
}
