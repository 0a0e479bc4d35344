//! What became of a request, a target or a span of time, from the logs of all processes.
//!
//! Logs are read into [`line::Line`]s, whose clocks are aligned ([`clocks`]); a [`filter::Filter`]
//! selects some; they are shown as [`text`], as a [`page`], or explained in sentences ([`explain`]).

pub mod clocks;
pub mod explain;
pub mod filter;
pub mod line;
pub mod page;
pub mod text;

#[cfg(test)]
mod tests;
