//! Merged timeline of the logs of several processes, for a request, a target or a time range.
//!
//! Log files are parsed into [`record::Record`]s, and the clocks of the processes are aligned
//! ([`clocks`]). A [`filter::Filter`] selects records, which are rendered as plain text ([`text`])
//! or as an HTML page ([`html`]), or summarized in sentences ([`explain`]).

pub mod clocks;
pub mod evenness;
pub mod explain;
pub mod filter;
pub mod html;
pub mod record;
pub mod text;

#[cfg(test)]
mod tests;
