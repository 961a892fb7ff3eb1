//! Errors in records, queries and summaries, each with a hint for the operator.

use miette::Diagnostic;
use thiserror::Error;

/// Why a record, a query or a summary was rejected. The store is left as it was.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LocationError {
    /// A text that is not a valid dialled number.
    #[error("number {0:?}: not 1 to 32 of 0-9 * #, with a + before them at most")]
    #[diagnostic(
        code(register::number),
        help("correct the number where the caller or the operator gave it")
    )]
    Number(String),
    /// A name that is too long or contains a character that is not allowed.
    #[error("{field} {found:?}: not up to 64 visible ASCII characters")]
    #[diagnostic(
        code(register::name),
        help("rename the class, trunk group, front or server in its settings")
    )]
    Name {
        /// The field of the record.
        field: &'static str,
        /// The name found, truncated.
        found: String,
    },
    /// A summary that cannot be decoded or contradicts itself.
    #[error("summary of shard {shard}: {what}")]
    #[diagnostic(
        code(register::summary),
        help(
            "nothing to do: a valid one is requested from the site; if this recurs, compare the two builds"
        )
    )]
    Summary {
        /// Index of the shard.
        shard: u32,
        /// The mistake found.
        what: &'static str,
    },
    /// A number of shards outside the allowed range.
    #[error("{0} shards: wanted 1 to 65536")]
    #[diagnostic(code(register::shards), help("set `shards` in site.cue to a power of two up to 65536"))]
    Shards(usize),
}
