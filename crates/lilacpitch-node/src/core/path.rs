//! The `P-Path` field of a set-up: first choice of server, circuits, retries, and where an established call is.

use super::callers::Rejection;

/// A caller's `P-Path`.
#[derive(Debug)]
pub(super) struct Path {
    /// Number of the server that is the first choice; `u32::MAX` for none, which no server has.
    pub first_choice: u32,
    /// Circuits that the call takes.
    pub circuits: f64,
    /// Whether the call may be retried after an attempt that may have reached a server.
    pub may_retry_after_cut: bool,
    /// The server at which the call is established already.
    pub established_at: Option<String>,
}

/// The response to a `P-Path` that can't be read.
const BAD_PATH: Rejection = (400, "Bad P-Path");
/// Calls take fewer circuits than this.
const MAX_CIRCUITS: f64 = 1e6;

impl Path {
    /// Parses `name:value` parts joined by `;`.
    ///
    /// # Errors
    /// Where a part has no value, or a value is out of its range.
    pub(super) fn parse(text: &str) -> Result<Path, Rejection> {
        let mut path =
            Path { first_choice: u32::MAX, circuits: 1.0, may_retry_after_cut: false, established_at: None };
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(BAD_PATH)?;
            path.set(name, value)?;
        }
        Ok(path)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), Rejection> {
        match name {
            // -1: no first choice.
            "dest" if value == "-1" => {}
            "dest" => self.first_choice = value.parse().map_err(|_| BAD_PATH)?,
            "width" => {
                let circuits =
                    value.parse::<f64>().ok().filter(|w| w.is_finite() && *w > 0.0 && *w < MAX_CIRCUITS);
                self.circuits = circuits.ok_or(BAD_PATH)?;
            }
            "again" => {
                self.may_retry_after_cut = match value {
                    "1" => true,
                    "0" => false,
                    _ => return Err(BAD_PATH),
                }
            }
            "at" => self.established_at = Some(value.to_string()),
            // Further values are not used, but must be numbers.
            _ => drop(value.parse::<f64>().map_err(|_| BAD_PATH)?),
        }
        Ok(())
    }
}
