//! The codecs of a node's connections: SIP from callers, JSON lines from servers.

use crate::signalling::{LineDecoder, LineError, ServerMessage};
use lilacpitch_net::Codec;
use lilacpitch_sip::{Decoder, Message, SipError};
use std::collections::BTreeSet;

/// SIP from a caller.
#[derive(Default)]
pub(super) struct SipCodec {
    decoder: Decoder,
    /// Number of the next message among those that were looked at ahead.
    next_message: usize,
    /// Numbers of the set-ups among them that are left out.
    cancelled: BTreeSet<usize>,
}

impl Codec for SipCodec {
    type Message = Message;
    type Error = SipError;

    fn free_bytes(&self) -> usize {
        self.decoder.free_bytes()
    }

    fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// Finds each set-up whose CANCEL was read with it: it was not handled, and its caller no longer waits for
    /// it. The CANCEL stays and is answered.
    fn look_ahead(&mut self) {
        self.next_message = 0;
        self.cancelled.clear();
        let has_cancel = self.decoder.unread().windows(CANCEL.len()).any(|bytes| bytes == CANCEL.as_bytes());
        if has_cancel {
            self.cancelled = cancelled_setups(self.decoder.clone());
        }
    }

    fn next_message(&mut self) -> Result<Option<Message>, SipError> {
        loop {
            let message = self.decoder.next_message()?;
            if message.is_some() {
                self.next_message += 1;
            }
            if message.is_none() || !self.cancelled.remove(&(self.next_message - 1)) {
                return Ok(message);
            }
        }
    }

    fn has_partial_message(&self) -> bool {
        self.decoder.has_partial_message()
    }

    fn final_response(error: &SipError) -> Option<Vec<u8>> {
        error.final_response().map(|(status, reason, request)| request.encode_response(status, reason))
    }
}

/// The method that cancels a set-up.
const CANCEL: &str = "CANCEL";

/// Returns the numbers of the set-ups that a later CANCEL among these messages cancels.
fn cancelled_setups(mut messages: Decoder) -> BTreeSet<usize> {
    let mut requests = Vec::new();
    while let Ok(Some(message)) = messages.next_message() {
        let request = match message {
            Message::Request(request) if request.method == "INVITE" || request.method == CANCEL => {
                request.call_id.map(|call_id| (request.method == CANCEL, call_id))
            }
            _ => None,
        };
        requests.push(request);
    }
    let (mut cancelled_calls, mut cancelled_setups) = (BTreeSet::new(), BTreeSet::new());
    for (number, request) in requests.into_iter().enumerate().rev() {
        match request {
            Some((true, call_id)) => _ = cancelled_calls.insert(call_id),
            Some((false, call_id)) if cancelled_calls.remove(&call_id) => {
                cancelled_setups.insert(number);
            }
            _ => {}
        }
    }
    cancelled_setups
}

/// JSON lines from a signalling server.
#[derive(Default)]
pub(super) struct LineCodec(LineDecoder);

impl Codec for LineCodec {
    type Message = ServerMessage;
    type Error = LineError;

    fn free_bytes(&self) -> usize {
        self.0.free_bytes()
    }

    fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    fn next_message(&mut self) -> Result<Option<ServerMessage>, LineError> {
        self.0.next_line()?.map(|line| ServerMessage::decode(&line)).transpose()
    }

    /// Lines of servers have no read timeout.
    fn has_partial_message(&self) -> bool {
        false
    }

    fn final_response(_: &LineError) -> Option<Vec<u8>> {
        None
    }
}
