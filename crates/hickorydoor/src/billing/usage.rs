//! Token usage of attempts.

use std::ops::AddAssign;

use crate::quantity::Tokens;

/// Numbers of tokens that an attempt used; zero for plain services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens in the answer.
    pub answer_tokens: Tokens,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, rhs: Self) {
        self.prompt_tokens += rhs.prompt_tokens;
        self.answer_tokens += rhs.answer_tokens;
    }
}
