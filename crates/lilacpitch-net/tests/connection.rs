//! The moments in which a connection ends, or a message is taken back, on real sockets: the other end reads, stops
//! reading, writes and closes on command.

use lilacpitch_net::{Clock, Codec, Connection, Draining, End, Ended, Heard, Outbox, Outgoing, TakenBack};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Far more than what the machine holds between two ends.
const LONG: usize = 1024 * 1024;
const SOON: Duration = Duration::from_secs(20);

/// A line is a message.
#[derive(Default)]
struct Lines(Vec<u8>);

impl Codec for Lines {
    type Message = String;
    type Error = String;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn next_message(&mut self) -> Result<Option<String>, String> {
        let Some(end) = self.0.iter().position(|b| *b == b'\n') else { return Ok(None) };
        let line: Vec<u8> = self.0.drain(..=end).collect();
        Ok(Some(String::from_utf8_lossy(&line[..end]).into()))
    }

    fn within_message(&self) -> bool {
        !self.0.is_empty()
    }

    fn kind(_: &String) -> &'static str {
        "line"
    }

    fn last_words(_: &String) -> Option<Vec<u8>> {
        None
    }
}

/// A connection whose messages are taken only while its owner listens, and the other end of it.
struct Scene {
    other: TcpStream,
    outbox: Outbox,
    clock: Clock,
    heard: Rc<RefCell<Vec<String>>>,
    not_written: Rc<RefCell<Vec<u64>>>,
    left: Rc<Cell<bool>>,
    /// Whether messages are taken.
    takes: Rc<Cell<bool>>,
    listens: Rc<Notify>,
    ended: JoinHandle<Ended>,
    next: u64,
}

impl Scene {
    async fn new() -> Scene {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(16 * 1024).unwrap();
        let stream = socket.connect(listener.local_addr().unwrap()).await.unwrap();
        let (other, _) = listener.accept().await.unwrap();
        let (outbox, clock) = (Outbox::default(), Clock::start());
        let heard: Rc<RefCell<Vec<String>>> = Rc::default();
        let not_written: Rc<RefCell<Vec<u64>>> = Rc::default();
        let left = Rc::new(Cell::new(false));
        let (takes, listens) = (Rc::new(Cell::new(true)), Rc::new(Notify::new()));
        let connection =
            Connection { stream, codec: Lines::default(), clock, read_timeout: None, outbox: outbox.clone() };
        let own = (outbox.clone(), heard.clone(), not_written.clone(), left.clone());
        let (may, when) = (takes.clone(), listens.clone());
        let ended = spawn_local(async move {
            let (outbox, heard, not_written, left) = own;
            let hear = async |what: Heard<String>| {
                match what {
                    Heard::Message(line) => {
                        while !may.get() {
                            when.notified().await;
                        }
                        if line.starts_with("ask") {
                            // Whoever takes a message answers it in the same step.
                            outbox.push(Outgoing {
                                number: 0,
                                bytes: b"answer\n".to_vec(),
                                not_after_ns: None,
                            });
                        }
                        heard.borrow_mut().push(line);
                        outbox.taken();
                    }
                    Heard::NotWritten(number) => not_written.borrow_mut().push(number),
                }
                true
            };
            let (ended, rest) = connection.run(|| left.set(true), hear).await;
            rest.drain(&Rc::new(Draining::new(8))).await;
            ended
        });
        Scene { other, outbox, clock, heard, not_written, left, takes, listens, ended, next: 0 }
    }

    /// Gives the connection a message of one letter; its number.
    fn push(&mut self, letter: u8, bytes: usize, not_after_ns: Option<u64>) -> u64 {
        let number = self.next;
        self.next += 1;
        self.outbox.push(Outgoing {
            number,
            bytes: [vec![letter; bytes], vec![b'\n']].concat(),
            not_after_ns,
        });
        number
    }

    /// Fills all that lies between the two ends: a message that has begun to leave and can't be finished.
    async fn fill(&mut self) -> u64 {
        let number = self.push(b'.', LONG, None);
        self.settled().await;
        let (messages, bytes) = self.outbox.waiting();
        assert!(messages == 1 && bytes > 0 && bytes < LONG, "{messages} messages, {bytes} bytes wait");
        number
    }

    /// Until what waits stays as it is.
    async fn settled(&self) {
        let mut before = (usize::MAX, usize::MAX);
        while before != self.outbox.waiting() {
            before = self.outbox.waiting();
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// The owner takes messages again.
    fn take(&self) {
        self.takes.set(true);
        self.listens.notify_one();
    }

    /// All that the other end reads until the end; an error where it was reset.
    async fn read_all(&mut self) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        tokio::time::timeout(SOON, self.other.read_to_end(&mut bytes)).await.expect("an end")?;
        // It closes in its turn.
        self.other.shutdown().await?;
        Ok(bytes)
    }

    async fn read_line(&mut self, bytes: usize) -> Vec<u8> {
        let mut line = vec![0; bytes + 1];
        tokio::time::timeout(SOON, self.other.read_exact(&mut line)).await.expect("in time").unwrap();
        line
    }
}

async fn until(what: impl Fn() -> bool) {
    let done = async {
        while !what() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(SOON, done).await.expect("in time");
}

fn play<F: Future<Output = ()>>(scene: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, scene());
}

fn count(bytes: &[u8], letter: u8) -> usize {
    bytes.iter().filter(|b| **b == letter).count()
}

#[test]
fn a_message_of_which_no_byte_has_left_is_taken_back_and_never_leaves() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.fill().await;
        let (first, _second) = (scene.push(b'a', 100, None), scene.push(b'b', 100, None));
        assert_eq!(scene.outbox.take_back(first), TakenBack::Whole);
        assert_eq!(scene.outbox.take_back(first), TakenBack::TooLate, "it is not there any more");
        scene.read_line(LONG).await;
        assert_eq!(count(&scene.read_line(100).await, b'b'), 100, "the next one follows");
    });
}

#[test]
fn one_that_has_begun_to_leave_is_kept_back_by_the_connections_end_alone() {
    play(|| async {
        let mut scene = Scene::new().await;
        let number = scene.fill().await;
        scene.push(b'a', 100, None);
        assert_eq!(scene.outbox.take_back(number), TakenBack::Begun);
        scene.outbox.end(End::Now);
        let read = scene.read_all().await.unwrap_or_default();
        assert!(count(&read, b'.') < LONG && count(&read, b'\n') == 0 && count(&read, b'a') == 0);
        assert_eq!(scene.ended.await.unwrap().written, number + 1, "it may have been read in part");
    });
}

#[test]
fn one_that_has_left_is_not_taken_back() {
    play(|| async {
        let mut scene = Scene::new().await;
        let number = scene.push(b'a', 100, None);
        scene.read_line(100).await;
        assert_eq!(scene.outbox.take_back(number), TakenBack::TooLate);
    });
}

#[test]
fn what_waits_past_its_last_moment_is_not_written_and_that_is_told() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.fill().await;
        let late = scene.push(b'a', 100, Some(scene.clock.now()));
        scene.push(b'b', 100, Some(u64::MAX));
        scene.read_line(LONG).await;
        assert_eq!(count(&scene.read_line(100).await, b'b'), 100, "the late one never leaves");
        assert_eq!(*scene.not_written.borrow(), [late]);
    });
}

#[test]
fn one_half_written_at_its_last_moment_ends_with_its_connection() {
    play(|| async {
        let mut scene = Scene::new().await;
        let until_ns = scene.clock.now() + 50_000_000;
        scene.push(b'a', LONG, Some(until_ns));
        scene.settled().await;
        until(|| scene.clock.now() > until_ns).await;
        let read = scene.read_all().await.unwrap_or_default();
        assert!(count(&read, b'a') < LONG && count(&read, b'\n') == 0, "never whole");
    });
}

#[test]
fn the_end_of_a_connection_flushes_answers_but_no_set_up() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.fill().await;
        scene.push(b'a', 100, Some(u64::MAX));
        scene.push(b'b', 100, None);
        scene.outbox.end(End::Done);
        let read = scene.read_all().await.unwrap();
        assert_eq!((count(&read, b'a'), count(&read, b'b')), (0, 100));
    });
}

#[test]
fn unread_bytes_do_not_take_the_last_answer_back() {
    play(|| async {
        let mut scene = Scene::new().await;
        // All was written; what the other end says meanwhile is not read any more.
        scene.push(b'a', 100, None);
        scene.settled().await;
        scene.outbox.end(End::Done);
        scene.other.write_all(&[b'x'; 4000]).await.unwrap();
        let read = scene.read_all().await.expect("not reset");
        assert_eq!(count(&read, b'a'), 100);
    });
}

#[test]
fn a_message_that_crosses_an_eviction_is_heard_and_ends_it() {
    play(|| async {
        let mut scene = Scene::new().await;
        // The bytes are there first, the eviction is said before anybody looked.
        scene.other.write_all(b"call\n").await.unwrap();
        scene.outbox.end(End::Evict);
        until(|| scene.heard.borrow().len() == 1).await;
        scene.push(b'a', 100, None);
        scene.read_line(100).await;
        assert_eq!(scene.outbox.ending(), None, "it goes on");
        // The other order: nothing was there, and it is closed in order.
        scene.outbox.end(End::Evict);
        assert_eq!(scene.read_all().await.unwrap(), b"");
        assert_eq!(scene.ended.await.unwrap().why, "evicted");
    });
}

#[test]
fn bytes_that_are_no_whole_message_do_not_keep_a_connection() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.other.write_all(b"half of one").await.unwrap();
        scene.outbox.end(End::Evict);
        assert_eq!(scene.read_all().await.unwrap(), b"");
        assert_eq!(scene.ended.await.unwrap().why, "evicted");
    });
}

#[test]
fn a_message_that_is_read_and_not_taken_yet_keeps_its_connection() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.takes.set(false);
        scene.other.write_all(b"one\ntwo\n").await.unwrap();
        until(|| scene.outbox.pending() == 2).await;
        scene.outbox.end(End::Evict);
        // The owner takes them and takes the eviction back, as the driver does.
        scene.outbox.keep();
        scene.take();
        until(|| scene.heard.borrow().len() == 2).await;
        scene.push(b'a', 100, None);
        scene.read_line(100).await;
    });
}

#[test]
fn all_that_arrived_is_heard_and_answered_before_a_connection_is_finished() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.takes.set(false);
        scene.other.write_all(b"ask one\n").await.unwrap();
        until(|| scene.outbox.pending() == 1).await;
        // This one lies in the receive buffer, behind the one whose owner is busy.
        scene.other.write_all(b"ask two\n").await.unwrap();
        scene.outbox.end(End::Finish);
        scene.take();
        assert_eq!(scene.read_all().await.unwrap(), b"answer\nanswer\n");
    });
}

#[test]
fn a_slow_reader_gets_all_of_it_before_its_connection_is_finished() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.fill().await;
        scene.outbox.end(End::Finish);
        // Longer than a connection that is closed lingers.
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(count(&scene.read_all().await.unwrap(), b'.'), LONG);
    });
}

#[test]
fn a_close_is_told_though_what_came_before_it_is_not_taken_yet() {
    play(|| async {
        let mut scene = Scene::new().await;
        scene.takes.set(false);
        scene.other.write_all(b"one\ntwo\n").await.unwrap();
        until(|| scene.outbox.pending() == 2).await;
        scene.other.write_all(b"three\n").await.unwrap();
        scene.other.shutdown().await.unwrap();
        until(|| scene.left.get()).await;
        assert!(scene.heard.borrow().is_empty(), "ahead of what waits");
        scene.take();
        until(|| scene.ended.is_finished()).await;
        assert_eq!(scene.ended.await.unwrap().why, "closed by the other end");
        assert_eq!(*scene.heard.borrow(), ["one", "two", "three"]);
    });
}
