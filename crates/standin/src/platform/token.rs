//! Deterministic response contents, so that a caller can check every token that it receives.

use base::ContentDigest;

/// Length of a token in hexadecimal digits.
const TOKEN_DIGITS: usize = 8;

/// Token `index` of the response to `prompt` that the weights with manifest digest `manifest` generate.
#[must_use]
pub fn token_text(prompt: &str, manifest: &str, index: u64) -> String {
    short_digest(&format!("{manifest}\n{index}\n{prompt}"))
}

/// Confirmation code that a plain service returns for a reference.
#[must_use]
pub fn confirmation(reference: &str) -> String {
    short_digest(&format!("confirmation\n{reference}"))
}

fn short_digest(text: &str) -> String {
    let mut digits = ContentDigest::of(text.as_bytes()).to_string();
    digits.truncate(TOKEN_DIGITS);
    digits
}
