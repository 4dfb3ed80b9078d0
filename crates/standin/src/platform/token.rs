//! Deterministic answers, so that a caller can check every token it receives.

use base::ContentDigest;

/// Hexadecimal digits of a token.
const TOKEN_DIGITS: usize = 8;

/// Token `index` of the answer to `prompt` by the weights of `manifest`.
#[must_use]
pub fn token_text(prompt: &str, manifest: &str, index: u64) -> String {
    short_digest(&format!("{manifest}\n{index}\n{prompt}"))
}

/// Confirmation that a plain service returns for a reference.
#[must_use]
pub fn confirmation(reference: &str) -> String {
    short_digest(&format!("confirmation\n{reference}"))
}

fn short_digest(text: &str) -> String {
    let mut digits = ContentDigest::of(text.as_bytes()).to_string();
    digits.truncate(TOKEN_DIGITS);
    digits
}
