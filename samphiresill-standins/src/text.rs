//! The text that the engine stand-in generates. It depends only on the prompt, so that a test can
//! compute the expected text.

use std::fmt::Write;

const WORDS: [&str; 16] = [
    "glass", "mantle", "neon", "wick", "burner", "globe", "argon", "lamp", "tube", "brass", "tin",
    "flame", "sign", "spark", "coil", "lens",
];

/// Returns the number of tokens that `prompt` yields without a limit: the number after the first
/// `len=` in it, or 24.
#[must_use]
pub fn unlimited_length(prompt: &str) -> usize {
    let suffix = prompt.split("len=").nth(1).unwrap_or_default();
    let digits: String = suffix.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(24)
}

/// Returns the token at `index` of the completion of `prompt`.
#[must_use]
pub fn token(prompt: &str, index: usize) -> String {
    let mut hash = blake3::Hasher::new();
    hash.update(prompt.as_bytes())
        .update(&(index as u64).to_le_bytes());
    let bytes = hash.finalize();
    let mut token = String::from(" ");
    let word = WORDS[usize::from(bytes.as_bytes()[0] % 16)];
    let _ = write!(token, "{word}{}", bytes.as_bytes()[1]);
    token
}

/// Returns the full text of the completion of `prompt`, limited to `max_tokens` tokens.
#[must_use]
pub fn completion(prompt: &str, max_tokens: usize) -> String {
    (0..unlimited_length(prompt).min(max_tokens))
        .map(|i| token(prompt, i))
        .collect()
}
