//! The `P-Path` field of a set-up: the first choice of server, circuits, whether the call repeats one that was
//! cut, and the server of a call that is already established.

use super::callers::Rejection;
use crate::figures::FiniteNumber;
use std::ops::Bound;

/// The values of a `P-Path` field.
#[derive(Debug)]
pub(super) struct Path {
    /// Number of the server that is the call's first choice; `u32::MAX`, which no server has, for none.
    pub first_choice: u32,
    /// Number of circuits that the call takes.
    pub circuits: f64,
    /// Whether the call repeats one that was cut; the controller treats such a call as urgent.
    pub may_retry_after_cut: bool,
    /// Uid of the server at which the call is already established.
    pub established_at: Option<String>,
}

/// The response to an invalid `P-Path`.
const BAD_PATH: Rejection = (400, "Bad P-Path");
/// Exclusive upper bound of the circuits of a call.
const MAX_CIRCUITS: f64 = 1e6;

impl Path {
    /// Parses `name:value` parts separated by `;`.
    ///
    /// # Errors
    /// Returns a rejection if a part has no value, or a value is out of range.
    pub(super) fn parse(text: &str) -> Result<Path, Rejection> {
        let mut path =
            Path { first_choice: u32::MAX, circuits: 1.0, may_retry_after_cut: false, established_at: None };
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(BAD_PATH)?;
            path.set(name, value)?;
        }
        Ok(path)
    }

    /// Sets one value by its name on the wire.
    fn set(&mut self, name: &str, value: &str) -> Result<(), Rejection> {
        match name {
            // -1 stands for no first choice.
            "dest" if value == "-1" => {}
            "dest" => self.first_choice = value.parse().map_err(|_| BAD_PATH)?,
            "width" => {
                let bounds = (Bound::Excluded(0.0), Bound::Excluded(MAX_CIRCUITS));
                self.circuits = FiniteNumber::parse(value, bounds).ok_or(BAD_PATH)?.get();
            }
            "again" => {
                self.may_retry_after_cut = match value {
                    "1" => true,
                    "0" => false,
                    _ => return Err(BAD_PATH),
                }
            }
            "at" => self.established_at = Some(value.to_string()),
            // Other values are ignored, but must be numbers.
            _ => drop(FiniteNumber::parse(value, FiniteNumber::ANY).ok_or(BAD_PATH)?),
        }
        Ok(())
    }
}
