//! The text that an engine generates: a function of the prompt alone, so that every check can
//! work out what an answer must be.

use std::fmt::Write;

const WORDS: [&str; 16] = [
    "glass", "mantle", "neon", "wick", "burner", "globe", "argon", "lamp", "tube", "brass", "tin",
    "flame", "sign", "spark", "coil", "lens",
];

/// The number of tokens that a prompt leads to: the number after `len=` in it, or 24.
#[must_use]
pub fn natural_length(prompt: &str) -> usize {
    let rest = prompt.split("len=").nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(24)
}

/// Token `index` of the answer to `prompt`.
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

/// The whole answer to `prompt` when at most `max_tokens` are asked for.
#[must_use]
pub fn answer(prompt: &str, max_tokens: usize) -> String {
    (0..natural_length(prompt).min(max_tokens))
        .map(|i| token(prompt, i))
        .collect()
}
