//! Connections on real sockets while they close or a message is cancelled. Each test controls when the peer
//! reads, writes and closes, and when the owner processes messages.

use lilacpitch_net::{
    CancelOutcome, Clock, CloseMode, Codec, Connection, ConnectionEnd, ConnectionEvent, DrainQuota,
    EndReason, Outbox, OutgoingMessage, QueueSize, WriteLimits,
};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Far more than the kernel buffers for one connection.
const LONG_BYTES: usize = 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(20);

/// A protocol in which each line is a message.
#[derive(Default)]
struct Lines(Vec<u8>);

impl Codec for Lines {
    type Message = String;
    type Error = Infallible;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn next_message(&mut self) -> Result<Option<String>, Infallible> {
        let Some(end) = self.0.iter().position(|b| *b == b'\n') else { return Ok(None) };
        let line: Vec<u8> = self.0.drain(..=end).collect();
        Ok(Some(String::from_utf8_lossy(&line[..end]).into()))
    }

    fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }

    fn final_response(_: &Infallible) -> Option<Vec<u8>> {
        None
    }
}

/// A connection whose owner can pause processing, and its peer.
struct TestConnection {
    peer: TcpStream,
    outbox: Outbox,
    clock: Clock,
    received: Rc<RefCell<Vec<String>>>,
    dropped: Rc<RefCell<Vec<u64>>>,
    /// Numbers of the messages that are reported as written.
    written: Rc<RefCell<Vec<u64>>>,
    is_disconnected: Rc<Cell<bool>>,
    /// Number of reports of an empty queue.
    drained: Rc<Cell<usize>>,
    /// Whether the owner processes messages; else it waits for `resumed`.
    is_processing: Rc<Cell<bool>>,
    resumed: Rc<Notify>,
    end: JoinHandle<ConnectionEnd<Infallible>>,
    next_number: u64,
}

impl TestConnection {
    async fn new() -> TestConnection {
        TestConnection::with_write_limits(None).await
    }

    async fn with_write_limits(write_limits: Option<WriteLimits>) -> TestConnection {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(16 * 1024).unwrap();
        let stream = socket.connect(listener.local_addr().unwrap()).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        let (outbox, clock) = (Outbox::default(), Clock::start());
        let received: Rc<RefCell<Vec<String>>> = Rc::default();
        let dropped: Rc<RefCell<Vec<u64>>> = Rc::default();
        let written: Rc<RefCell<Vec<u64>>> = Rc::default();
        let is_disconnected = Rc::new(Cell::new(false));
        let drained = Rc::new(Cell::new(0));
        let (is_processing, resumed) = (Rc::new(Cell::new(true)), Rc::new(Notify::new()));
        let connection = Connection {
            stream,
            codec: Lines::default(),
            clock,
            read_timeout: None,
            write_limits,
            outbox: outbox.clone(),
        };
        let shared = (outbox.clone(), received.clone(), dropped.clone(), is_disconnected.clone());
        let (drained_count, written_messages) = (drained.clone(), written.clone());
        let (may_process, on_resume) = (is_processing.clone(), resumed.clone());
        let end = spawn_local(async move {
            let (outbox, received, dropped, is_disconnected) = shared;
            let on_event = async |event: ConnectionEvent<String>| {
                match event {
                    ConnectionEvent::Message(line) => {
                        while !may_process.get() {
                            on_resume.notified().await;
                        }
                        if line.starts_with("request") {
                            // The owner answers while it processes the message.
                            outbox.push(OutgoingMessage {
                                number: 0,
                                bytes: b"answer\n".to_vec(),
                                not_after_ns: None,
                                write_by_ns: None,
                            });
                        }
                        received.borrow_mut().push(line);
                        outbox.record_processed();
                    }
                    ConnectionEvent::MessageDropped(number) => dropped.borrow_mut().push(number),
                    ConnectionEvent::MessageWritten(number) => written_messages.borrow_mut().push(number),
                    ConnectionEvent::Drained => {
                        drained_count.set(drained_count.get() + 1);
                        outbox.record_processed();
                    }
                }
                true
            };
            let (end, closing) = connection.run(|| is_disconnected.set(true), on_event).await;
            closing.drain(&Rc::new(DrainQuota::new(8))).await;
            end
        });
        TestConnection {
            peer,
            outbox,
            clock,
            received,
            dropped,
            written,
            is_disconnected,
            drained,
            is_processing,
            resumed,
            end,
            next_number: 0,
        }
    }

    /// Queues a message that repeats one letter, and returns its number.
    fn push(&mut self, letter: u8, bytes: usize, not_after_ns: Option<u64>) -> u64 {
        self.push_timed(letter, bytes, not_after_ns, None)
    }

    /// Queues a message that must be written by some time.
    fn push_due(&mut self, letter: u8, write_by_ns: u64) -> u64 {
        self.push_timed(letter, 10, None, Some(write_by_ns))
    }

    fn push_timed(
        &mut self,
        letter: u8,
        bytes: usize,
        not_after_ns: Option<u64>,
        write_by_ns: Option<u64>,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.outbox.push(OutgoingMessage {
            number,
            bytes: [vec![letter; bytes], vec![b'\n']].concat(),
            not_after_ns,
            write_by_ns,
        });
        number
    }

    /// Queues a message larger than the kernel's buffers: it stays partly written until the peer reads.
    async fn fill_socket(&mut self) -> u64 {
        let number = self.push(b'.', LONG_BYTES, None);
        self.wait_until_stable().await;
        let QueueSize { messages, bytes } = self.outbox.queued();
        assert!(
            messages == 1 && bytes > 0 && bytes < LONG_BYTES,
            "{messages} messages, {bytes} bytes queued"
        );
        number
    }

    /// Waits until the queue no longer changes.
    async fn wait_until_stable(&self) {
        let mut previous = QueueSize { messages: usize::MAX, bytes: usize::MAX };
        while previous != self.outbox.queued() {
            previous = self.outbox.queued();
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Lets the owner process messages again.
    fn resume_processing(&self) {
        self.is_processing.set(true);
        self.resumed.notify_one();
    }

    /// Reads as the peer to the end of the stream; returns an error if the connection was reset.
    async fn read_all(&mut self) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        tokio::time::timeout(TIMEOUT, self.peer.read_to_end(&mut bytes))
            .await
            .expect("no end of stream in time")?;
        // The peer closes its side too.
        self.peer.shutdown().await?;
        Ok(bytes)
    }

    async fn read_line(&mut self, bytes: usize) -> Vec<u8> {
        let mut line = vec![0; bytes + 1];
        tokio::time::timeout(TIMEOUT, self.peer.read_exact(&mut line))
            .await
            .expect("no line in time")
            .unwrap();
        line
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, poll).await.expect("condition not met in time");
}

fn run_local<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test());
}

fn count_byte(bytes: &[u8], letter: u8) -> usize {
    bytes.iter().filter(|b| **b == letter).count()
}

#[test]
fn removes_cancelled_message_before_its_first_byte() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.fill_socket().await;
        let (first, _second) = (connection.push(b'a', 100, None), connection.push(b'b', 100, None));
        assert_eq!(connection.outbox.cancel(first), CancelOutcome::Removed);
        assert_eq!(connection.outbox.cancel(first), CancelOutcome::AlreadyWritten, "no longer queued");
        connection.read_line(LONG_BYTES).await;
        assert_eq!(count_byte(&connection.read_line(100).await, b'b'), 100, "the second message is written");
    });
}

#[test]
fn only_a_close_stops_a_partly_written_message() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        let number = connection.fill_socket().await;
        connection.push(b'a', 100, None);
        assert_eq!(connection.outbox.cancel(number), CancelOutcome::PartlyWritten);
        connection.outbox.close(CloseMode::Immediately);
        let read = connection.read_all().await.unwrap_or_default();
        assert!(
            count_byte(&read, b'.') < LONG_BYTES
                && count_byte(&read, b'\n') == 0
                && count_byte(&read, b'a') == 0
        );
        assert_eq!(
            connection.end.await.unwrap().written,
            number + 1,
            "a partly written message counts as written"
        );
    });
}

#[test]
fn cannot_cancel_a_written_message() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        let number = connection.push(b'a', 100, None);
        connection.read_line(100).await;
        assert_eq!(connection.outbox.cancel(number), CancelOutcome::AlreadyWritten);
    });
}

#[test]
fn drops_and_reports_a_queued_message_past_its_deadline() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.fill_socket().await;
        let expired = connection.push(b'a', 100, Some(connection.clock.now()));
        connection.push(b'b', 100, Some(u64::MAX));
        connection.read_line(LONG_BYTES).await;
        assert_eq!(
            count_byte(&connection.read_line(100).await, b'b'),
            100,
            "the expired message is not written"
        );
        assert_eq!(*connection.dropped.borrow(), [expired]);
    });
}

#[test]
fn closes_when_a_partly_written_message_expires() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        let deadline_ns = connection.clock.now() + 50_000_000;
        connection.push(b'a', LONG_BYTES, Some(deadline_ns));
        connection.wait_until_stable().await;
        wait_until(|| connection.clock.now() > deadline_ns).await;
        let read = connection.read_all().await.unwrap_or_default();
        assert!(count_byte(&read, b'a') < LONG_BYTES && count_byte(&read, b'\n') == 0, "never complete");
    });
}

#[test]
fn close_flushes_only_messages_without_a_deadline() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.fill_socket().await;
        connection.push(b'a', 100, Some(u64::MAX));
        connection.push(b'b', 100, None);
        connection.outbox.close(CloseMode::AfterFlush);
        let read = connection.read_all().await.unwrap();
        assert_eq!((count_byte(&read, b'a'), count_byte(&read, b'b')), (0, 100));
    });
}

#[test]
fn unread_input_does_not_discard_the_final_response() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        // Everything is written; what the peer sends meanwhile is no longer read.
        connection.push(b'a', 100, None);
        connection.wait_until_stable().await;
        connection.outbox.close(CloseMode::AfterFlush);
        connection.peer.write_all(&[b'x'; 4000]).await.unwrap();
        let read = connection.read_all().await.expect("not reset");
        assert_eq!(count_byte(&read, b'a'), 100);
    });
}

#[test]
fn message_that_crosses_an_eviction_cancels_it() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        // The bytes have arrived before the eviction is requested, but are unread.
        connection.peer.write_all(b"call\n").await.unwrap();
        connection.outbox.close(CloseMode::IfIdle);
        wait_until(|| connection.received.borrow().len() == 1).await;
        connection.push(b'a', 100, None);
        connection.read_line(100).await;
        assert_eq!(connection.outbox.close_mode(), None, "the connection stays open");
        // Nothing has arrived before this eviction, so the connection is closed gracefully.
        connection.outbox.close(CloseMode::IfIdle);
        assert_eq!(connection.read_all().await.unwrap(), b"");
        assert_eq!(connection.end.await.unwrap().reason.to_string(), "evicted");
    });
}

#[test]
fn partial_message_does_not_cancel_an_eviction() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.peer.write_all(b"partial").await.unwrap();
        connection.outbox.close(CloseMode::IfIdle);
        assert_eq!(connection.read_all().await.unwrap(), b"");
        assert_eq!(connection.end.await.unwrap().reason.to_string(), "evicted");
    });
}

#[test]
fn unprocessed_message_keeps_an_evicted_connection_open() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.is_processing.set(false);
        connection.peer.write_all(b"one\ntwo\n").await.unwrap();
        wait_until(|| connection.outbox.unprocessed() > 0).await;
        connection.outbox.close(CloseMode::IfIdle);
        // The owner cancels the eviction and processes the messages, as the driver does.
        connection.outbox.cancel_eviction();
        connection.resume_processing();
        wait_until(|| connection.received.borrow().len() == 2).await;
        connection.push(b'a', 100, None);
        connection.read_line(100).await;
    });
}

#[test]
fn answers_all_received_messages_before_closing() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.is_processing.set(false);
        connection.peer.write_all(b"request one\n").await.unwrap();
        wait_until(|| connection.outbox.unprocessed() == 1).await;
        // This message waits in the receive buffer while the owner is busy with the first.
        connection.peer.write_all(b"request two\n").await.unwrap();
        connection.outbox.close(CloseMode::AfterAnswers);
        connection.resume_processing();
        assert_eq!(connection.read_all().await.unwrap(), b"answer\nanswer\n");
    });
}

#[test]
fn slow_reader_gets_all_output_before_the_close() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.fill_socket().await;
        connection.outbox.close(CloseMode::AfterAnswers);
        // Longer than a closing connection waits for its peer.
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(count_byte(&connection.read_all().await.unwrap(), b'.'), LONG_BYTES);
    });
}

#[test]
fn reports_a_close_before_unprocessed_messages_are_processed() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.is_processing.set(false);
        connection.peer.write_all(b"one\ntwo\n").await.unwrap();
        wait_until(|| connection.outbox.unprocessed() > 0).await;
        connection.peer.write_all(b"three\n").await.unwrap();
        connection.peer.shutdown().await.unwrap();
        wait_until(|| connection.is_disconnected.get()).await;
        assert!(connection.received.borrow().is_empty(), "reported only after the messages");
        connection.resume_processing();
        wait_until(|| connection.end.is_finished()).await;
        assert_eq!(connection.end.await.unwrap().reason.to_string(), "closed by peer");
        assert_eq!(*connection.received.borrow(), ["one", "two", "three"]);
    });
}

/// Limits with a short time for the peer to accept something.
const WRITE_LIMITS: WriteLimits =
    WriteLimits { pause_reading_bytes: 1024, stall_timeout: Duration::from_millis(200) };

#[test]
fn reads_nothing_while_too_much_waits_and_continues_once_the_peer_reads() {
    run_local(|| async {
        let limits = WriteLimits { stall_timeout: TIMEOUT, ..WRITE_LIMITS };
        let mut connection = TestConnection::with_write_limits(Some(limits)).await;
        connection.fill_socket().await;
        connection.peer.write_all(b"request\n").await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(connection.received.borrow().len(), 0, "read while too much waits");
        connection.read_line(LONG_BYTES).await;
        assert_eq!(connection.read_line("answer".len()).await, b"answer\n");
    });
}

#[test]
fn ends_with_a_peer_that_accepts_nothing_but_not_with_one_that_reads_slowly() {
    run_local(|| async {
        let mut slow = TestConnection::with_write_limits(Some(WRITE_LIMITS)).await;
        slow.push(b'.', 4 * LONG_BYTES, None);
        // Takes several times as long as the peer may accept nothing.
        let mut chunk = vec![0; LONG_BYTES / 8];
        for _ in 0..32 {
            slow.peer.read_exact(&mut chunk).await.unwrap();
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        assert!(!slow.end.is_finished(), "ended with a peer that reads");
        let mut stalled = TestConnection::with_write_limits(Some(WRITE_LIMITS)).await;
        stalled.fill_socket().await;
        let end = tokio::time::timeout(TIMEOUT, stalled.end).await.expect("not ended").unwrap();
        assert_eq!(end.reason.to_string(), "peer does not read");
    });
}

#[test]
fn reports_an_empty_queue_once_and_ends_if_it_does_not_empty() {
    run_local(|| async {
        let mut connection = TestConnection::with_write_limits(Some(WRITE_LIMITS)).await;
        connection.push(b'a', 10, None);
        connection.outbox.report_when_empty();
        connection.read_line(10).await;
        connection.push(b'b', 10, None);
        connection.read_line(10).await;
        let drained = connection.drained.clone();
        wait_until(|| drained.get() == 1).await;
        // The report is due, but little waits: the peer must accept it in time all the same.
        connection.fill_socket().await;
        connection.outbox.report_when_empty();
        let end = tokio::time::timeout(TIMEOUT, connection.end).await.expect("not ended").unwrap();
        assert_eq!((end.reason.to_string().as_str(), drained.get()), ("peer does not read", 1));
    });
}

#[test]
fn keeps_a_peer_that_reads_while_its_owner_is_busy_for_longer_than_the_stall_timeout() {
    run_local(|| async {
        // Whether the connection ends depends on the order in which it looks at what is ready.
        for _ in 0..8 {
            let limits = WriteLimits { pause_reading_bytes: usize::MAX, ..WRITE_LIMITS };
            let mut connection = TestConnection::with_write_limits(Some(limits)).await;
            connection.is_processing.set(false);
            connection.fill_socket().await;
            connection.outbox.report_when_empty();
            connection.push(b'b', 1, None);
            tokio::time::sleep(WRITE_LIMITS.stall_timeout / 4).await;
            connection.peer.write_all(b"one\n").await.unwrap();
            wait_until(|| connection.outbox.unprocessed() > 0).await;
            // Reads all that was sent, so that the socket accepts more.
            let (mut chunk, mut read) = (vec![0; LONG_BYTES], 0);
            let timeout = 2 * WRITE_LIMITS.stall_timeout;
            while let Ok(count) = tokio::time::timeout(timeout, connection.peer.read(&mut chunk)).await {
                read += count.unwrap();
            }
            connection.resume_processing();
            connection.read_line(LONG_BYTES - read).await;
            connection.read_line(1).await;
            let drained = connection.drained.clone();
            wait_until(|| drained.get() == 1).await;
        }
    });
}

/// Guards against a second attempt beside one whose end is not written: the owner can tell when it is.
#[test]
fn reports_a_message_once_it_is_written_whole() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        connection.fill_socket().await;
        let due = connection.push_due(b'e', connection.clock.now() + 60_000_000_000);
        connection.wait_until_stable().await;
        assert_eq!(*connection.written.borrow(), [] as [u64; 0], "reported before it is written");
        let mut chunk = vec![0; 64 * 1024];
        while connection.written.borrow().is_empty() {
            assert!(connection.peer.read(&mut chunk).await.unwrap() > 0);
        }
        assert_eq!(*connection.written.borrow(), [due]);
        assert_eq!(connection.outbox.write_by(), None);
    });
}

#[test]
fn ends_with_a_message_that_is_not_written_in_time_unless_the_peer_reads() {
    run_local(|| async {
        let mut connection = TestConnection::new().await;
        let due_ns = connection.clock.now() + 100_000_000;
        let written = connection.push_due(b'e', due_ns);
        connection.read_line(10).await;
        connection.fill_socket().await;
        let pushed = Instant::now();
        connection.push_due(b'f', connection.clock.now() + 200_000_000);
        let end = connection.end.await.unwrap();
        assert!(matches!(end.reason, EndReason::WriteOverdue), "{}", end.reason);
        assert!(pushed.elapsed() >= Duration::from_millis(200), "after {:?}", pushed.elapsed());
        assert_eq!(*connection.written.borrow(), [written]);
    });
}
