//! Tokens used by attempts.

use std::ops::AddAssign;

use crate::quantity::Tokens;

/// Tokens that an attempt used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub answer_tokens: Tokens,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, rhs: Self) {
        self.prompt_tokens += rhs.prompt_tokens;
        self.answer_tokens += rhs.answer_tokens;
    }
}
