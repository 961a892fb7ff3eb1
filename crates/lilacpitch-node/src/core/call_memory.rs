//! The memory of all calls, and how it is divided among callers.
//!
//! Each call is charged for its records, and while it is open for its set-up and the copy that is sent to a
//! server. The open calls of a caller may take up as much as they leave free at most (a dynamic threshold, as
//! for the queues of a shared-memory switch: Choudhury and Hahne, 1998). So callers with many or long set-ups
//! take up no more than an equal part each, and there is always room for one that has few.

use super::calls::SetupRequest;
use super::ended_calls::ENDED_CALL_BYTES;
use super::{CallerId, NodeCore};

/// Memory of the records of one call in the tables of the core and the controller, in bytes.
const CALL_RECORD_BYTES: usize = 1024;
/// Memory of one release that waits for a caller, in bytes.
const WAITING_RELEASE_BYTES: usize = 32;
/// Memory of one id that is in use after its call, in bytes.
const RETIRED_ID_BYTES: usize = 64;
/// One in this many bytes of the memory for calls may be taken up by ended ones.
const ENDED_CALLS_FRACTION: usize = 8;

/// The memory that is charged to calls, in bytes.
#[derive(Debug)]
pub(super) struct CallMemory {
    used: usize,
    limit: usize,
}

impl CallMemory {
    /// Creates an account that has no limit.
    pub(super) fn unlimited() -> Self {
        CallMemory { used: 0, limit: usize::MAX }
    }

    /// Returns the memory that is charged.
    pub(super) fn used(&self) -> usize {
        self.used
    }
}

impl NodeCore {
    /// Limits the memory of all calls, in bytes.
    pub fn with_call_memory(mut self, limit: usize) -> Self {
        self.call_memory.limit = limit;
        self
    }

    /// Returns the memory that is left for calls.
    fn free_call_memory(&self) -> usize {
        let waiting = self.waiting_releases.len() * WAITING_RELEASE_BYTES;
        let ended = self.ended_calls.len() * ENDED_CALL_BYTES;
        let retired = (self.retired_wire_ids.len() + self.ending_wire_ids.len()) * RETIRED_ID_BYTES;
        let others = waiting + ended + retired;
        self.call_memory.limit.saturating_sub(self.call_memory.used).saturating_sub(others)
    }

    /// Returns how many ended calls may be kept.
    pub(super) fn max_ended_calls(&self) -> usize {
        self.call_memory.limit / ENDED_CALLS_FRACTION / ENDED_CALL_BYTES
    }

    /// Returns the memory of an open call of this request, whose message for a server has `line_bytes`.
    pub(super) fn open_call_bytes(request: &SetupRequest, line_bytes: usize) -> usize {
        let texts = request.number.len() + request.body.len() + request.copied_fields.len();
        CALL_RECORD_BYTES + texts + line_bytes
    }

    /// Whether there is memory for another open call of a caller.
    pub(super) fn has_memory_for_setup(&self, caller: CallerId, bytes: usize) -> bool {
        let charged = self.callers.get(&caller).map_or(0, |caller| caller.charged_bytes);
        charged.saturating_add(bytes) <= self.free_call_memory().saturating_sub(bytes)
    }

    /// Whether there is memory to adopt another call. Nothing shows that a call which a caller reports stands,
    /// so half of the memory is kept for others.
    pub(super) fn has_memory_to_adopt(&self) -> bool {
        self.call_memory.limit / 2 + CALL_RECORD_BYTES <= self.free_call_memory()
    }

    /// Charges an open call, and its caller.
    pub(super) fn charge_open_call(&mut self, caller: CallerId, bytes: usize) {
        self.call_memory.used += bytes;
        self.callers.entry(caller).and_modify(|caller| caller.charged_bytes += bytes);
    }

    /// Charges an established call, and returns by how many bytes.
    pub(super) fn charge_established_call(&mut self) -> usize {
        self.call_memory.used += CALL_RECORD_BYTES;
        CALL_RECORD_BYTES
    }

    /// Removes the charge of an open call, which is established or over.
    pub(super) fn discharge_open_call(&mut self, caller: CallerId, bytes: usize) {
        self.call_memory.used -= bytes;
        self.callers.entry(caller).and_modify(|caller| caller.charged_bytes -= bytes);
    }

    /// Removes the charge of an established call, which is over.
    pub(super) fn discharge_established_call(&mut self, bytes: usize) {
        self.call_memory.used -= bytes;
    }
}
