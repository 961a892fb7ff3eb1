//! What can be wrong with rows, questions and summaries, and what an operator can do about it.

use miette::Diagnostic;
use thiserror::Error;

/// Why a row, a question or a summary was refused. Nothing else is lost with it.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LocationError {
    /// Not a number that can be dialled.
    #[error("number {0:?}: not 1 to 32 of 0-9 * #, a + before them at most")]
    #[diagnostic(
        code(register::number),
        help("correct the number where the caller or the operator gave it")
    )]
    Number(String),
    /// A name that is too long or holds what no name may.
    #[error("{field} {found:?}: not up to 64 visible ASCII characters")]
    #[diagnostic(
        code(register::name),
        help("rename the class, trunk group, front or server in its settings")
    )]
    Name {
        /// Which field of the row.
        field: &'static str,
        /// What was found, cut short.
        found: String,
    },
    /// A summary's bits do not read as one.
    #[error("summary of shard {shard}: {what}")]
    #[diagnostic(
        code(register::summary),
        help("none needed: its site is asked until a sound one comes; if it goes on, compare both builds")
    )]
    Summary {
        /// The shard.
        shard: u32,
        /// What is wrong.
        what: &'static str,
    },
    /// A site has another number of shards than is allowed.
    #[error("{0} shards: wanted 1 to 65536")]
    #[diagnostic(code(register::shards), help("set `shards` in site.cue to a power of two up to 65536"))]
    Shards(usize),
}
