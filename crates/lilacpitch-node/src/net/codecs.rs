//! The codecs of a node's connections: SIP from callers, JSON lines from servers.

use crate::signalling::{LineDecoder, LineError, ServerMessage};
use lilacpitch_net::Codec;
use lilacpitch_sip::{Decoder, Message, SipError};
use std::collections::BTreeSet;

/// SIP from a caller.
#[derive(Default)]
pub(super) struct SipCodec(Decoder);

impl Codec for SipCodec {
    type Message = Message;
    type Error = SipError;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    fn next_message(&mut self) -> Result<Option<Message>, SipError> {
        self.0.next_message()
    }

    fn has_partial_message(&self) -> bool {
        self.0.has_partial_message()
    }

    fn final_response(error: &SipError) -> Option<Vec<u8>> {
        error.final_response().map(|(status, reason, request)| request.encode_response(status, reason))
    }

    /// Removes each set-up whose CANCEL was read in the same batch: it was not handled, and its caller no
    /// longer waits for it. The CANCEL stays and is answered.
    fn remove_cancelled(batch: &mut Vec<Message>) {
        let call_id_of = |message: &Message, method: &str| match message {
            Message::Request(request) if request.method == method => request.call_id.clone(),
            _ => None,
        };
        let mut cancelled = BTreeSet::new();
        for index in (0..batch.len()).rev() {
            cancelled.extend(call_id_of(&batch[index], "CANCEL"));
            if call_id_of(&batch[index], "INVITE").is_some_and(|id| cancelled.remove(&id)) {
                batch.remove(index);
            }
        }
    }
}

/// JSON lines from a signalling server.
#[derive(Default)]
pub(super) struct LineCodec(LineDecoder);

impl Codec for LineCodec {
    type Message = ServerMessage;
    type Error = LineError;

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
