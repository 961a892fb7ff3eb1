//! Two ends of a connection over loopback: requests in both directions, another key, another version, damaged
//! and duplicate frames, and requests without a response.

use lilacpitch_fleet::error::FrameError;
use lilacpitch_fleet::frame::FrameWriter;
use lilacpitch_fleet::message::*;
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Responds to the requests of these tests. `Progress` sends a request of its own, `ReadIndex` responds with
/// the peer's incarnation, and `ReleaseLease` never responds.
struct TestHandler;

impl RequestHandler for TestHandler {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        Box::pin(async move {
            match request {
                // Sends a request of its own over the same connection before it responds.
                Request::Progress => from.request(Request::ReadIndex, TIMEOUT).await.unwrap(),
                Request::ReadIndex => Response::ReadIndex(from.peer.incarnation),
                Request::ReleaseLease => std::future::pending().await,
                _ => Response::Rejected(RejectReason::Unsupported),
            }
        })
    }
}

fn identity(name: &str, incarnation: u64, key: u8) -> LocalIdentity {
    LocalIdentity { name: name.into(), incarnation, role: Role::Front, keys: Keys::from_bytes([key; 32]) }
}

/// Connects process `a` (incarnation 1) to process `b` (incarnation 2), which has this key; `a` has key 1.
async fn connect_pair(
    key: u8,
) -> (Result<Arc<RpcConnection>, RpcError>, Result<Arc<RpcConnection>, RpcError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (a, b) = (identity("a", 1, 1), identity("b", 2, key));
    let accepted =
        async { accept(listener.accept().await.unwrap().0, &b, Arc::new(TestHandler), TIMEOUT).await };
    tokio::join!(connect(address, &Role::Front, &a, Arc::new(TestHandler), TIMEOUT), accepted)
}

#[tokio::test]
async fn both_ends_send_requests_over_one_connection() {
    let (a, b) = connect_pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.peer.name.as_str(), b.peer.name.as_str()), ("b", "a"));
    assert_eq!(a.request(Request::Progress, TIMEOUT).await.unwrap(), Response::ReadIndex(2));
    assert_eq!(b.request(Request::ReadIndex, TIMEOUT).await.unwrap(), Response::ReadIndex(2));
}

#[tokio::test]
async fn rejects_another_key_and_fails_requests_when_the_connection_closes_or_times_out() {
    let (a, b) = connect_pair(9).await;
    assert!(matches!(a, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    assert!(matches!(b, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    let (a, b) = connect_pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    let request = a.request(Request::ReleaseLease, TIMEOUT);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        b.close();
    };
    let (result, ()) = tokio::join!(request, ending);
    assert!(matches!(result, Err(RpcError::Closed)));
    let late =
        connect_pair(1).await.0.unwrap().request(Request::ReleaseLease, Duration::from_millis(50)).await;
    assert!(matches!(late, Err(RpcError::TimedOut)));
}

/// While two builds run side by side, the first frame of the other build is opened and rejected by its
/// version.
#[tokio::test]
async fn rejects_another_version_and_keeps_other_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let hello = Hello {
        version: VERSION + 1,
        name: "newer".to_string(),
        incarnation: 1,
        role: Role::Front,
        nonce: 7,
    };
    let mut writer = FrameWriter::new(Keys::from_bytes([1; 32]));
    let frame = writer.seal(&Body::Hello(hello), [3; 24]).unwrap();
    let newer_process = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_u32(frame.len() as u32).await.unwrap();
        stream.write_all(&frame).await.unwrap();
        // Returns when the other end has closed the connection.
        drop(stream.read_to_end(&mut Vec::new()).await);
    };
    let b = identity("b", 2, 1);
    let accepted =
        async { accept(listener.accept().await.unwrap().0, &b, Arc::new(TestHandler), TIMEOUT).await };
    let ((), result) = tokio::join!(newer_process, accepted);
    let is_version_error =
        matches!(&result, Err(RpcError::Frame(FrameError::Version(found))) if *found == VERSION + 1);
    assert!(is_version_error, "{:?}", result.err());
    assert!(
        connect_pair(1).await.0.unwrap().request(Request::ReadIndex, TIMEOUT).await.is_ok(),
        "other connections are kept"
    );
}

#[tokio::test]
async fn duplicate_or_damaged_frame_ends_only_its_own_connection() {
    // A relay between the two ends copies the direction from b to a unchanged. Of the frames from a to b it
    // damages or duplicates the second one.
    for is_damaged in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, relay_address) = (listener.local_addr().unwrap(), relay.local_addr().unwrap());
        tokio::spawn(async move {
            let (mut stream_a, mut stream_b) =
                (relay.accept().await.unwrap().0, TcpStream::connect(address).await.unwrap());
            let ((mut read_a, mut write_a), (mut read_b, mut write_b)) = (stream_a.split(), stream_b.split());
            let a_to_b = async {
                for frame in 0.. {
                    let length = read_a.read_u32().await.unwrap_or(0);
                    let mut bytes = vec![0; length as usize];
                    if length == 0 || read_a.read_exact(&mut bytes).await.is_err() {
                        return;
                    }
                    if frame == 1 && is_damaged {
                        bytes[30] ^= 1;
                    }
                    let copies = if frame == 1 && !is_damaged { 2 } else { 1 };
                    for _ in 0..copies {
                        if write_b.write_u32(length).await.is_err()
                            || write_b.write_all(&bytes).await.is_err()
                        {
                            return;
                        }
                    }
                }
            };
            tokio::join!(a_to_b, async { drop(tokio::io::copy(&mut read_b, &mut write_a).await) });
        });
        let (identity_a, identity_b) = (identity("a", 1, 1), identity("b", 2, 1));
        let accepted = async {
            accept(listener.accept().await.unwrap().0, &identity_b, Arc::new(TestHandler), TIMEOUT).await
        };
        let (a, b) = tokio::join!(
            connect(relay_address, &Role::Front, &identity_a, Arc::new(TestHandler), TIMEOUT),
            accepted
        );
        let (a, b) = (a.unwrap(), b.unwrap());
        let _ = a.request(Request::ReadIndex, Duration::from_millis(500)).await;
        tokio::time::timeout(TIMEOUT, b.ended())
            .await
            .expect("the end that received a duplicate or damaged frame closes the connection");
        let (other_a, _other_b) = connect_pair(1).await;
        assert!(
            other_a.unwrap().request(Request::ReadIndex, TIMEOUT).await.is_ok(),
            "other connections are kept"
        );
    }
}

/// Guards against a new process that comes up at the address of one that has gone and is taken for it: requests went
/// to the wrong process.
#[tokio::test]
async fn process_that_has_taken_the_address_of_another_gets_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (gone, other) = (Role::Process("east".into(), 1), Role::Process("west".into(), 1));
    let listening = LocalIdentity { role: other.clone(), ..identity("b", 2, 1) };
    let (requests, handled) = tokio::sync::watch::channel(0);
    let counting = Arc::new(CountingHandler(requests));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = accept(stream, &listening, counting.clone(), TIMEOUT).await;
        }
    });
    let dial =
        |role: &Role| Dialer::new(address, role.clone(), identity("a", 1, 1), Arc::new(TestHandler), TIMEOUT);
    let result = dial(&gone).request(Request::ReadIndex, TIMEOUT).await;
    let is_wrong_peer = matches!(&result, Err(RpcError::WrongPeer { found, .. }) if *found == other);
    assert!(is_wrong_peer, "{result:?}");
    assert_eq!(*handled.borrow(), 0);
    assert_eq!(dial(&other).request(Request::ReadIndex, TIMEOUT).await.unwrap(), Response::Done);
}

/// Counts the requests that it handles.
struct CountingHandler(tokio::sync::watch::Sender<u64>);

impl RequestHandler for CountingHandler {
    fn handle(self: Arc<Self>, _: Arc<RpcConnection>, _: Request) -> ResponseFuture {
        self.0.send_modify(|count| *count += 1);
        Box::pin(std::future::ready(Response::Done))
    }
}

/// Guards against anyone who connects and makes a process occupy as much memory as the longest message, without the
/// key.
#[tokio::test]
async fn long_frame_before_the_hello_ends_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let b = identity("b", 2, 1);
    let stranger = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_u32(64 * 1024).await.unwrap();
        drop(stream.read_to_end(&mut Vec::new()).await);
    };
    let accepted =
        async { accept(listener.accept().await.unwrap().0, &b, Arc::new(TestHandler), TIMEOUT).await };
    let started = std::time::Instant::now();
    let ((), result) = tokio::join!(stranger, accepted);
    assert!(matches!(result, Err(RpcError::Handshake(_))), "{:?}", result.err());
    assert!(started.elapsed() < TIMEOUT / 2, "closed by the time limit only");
}

/// Guards against requests that are handled for a peer that has closed its connection with them unread.
#[tokio::test]
async fn requests_that_are_unread_when_their_peer_leaves_are_not_handled() {
    const REQUESTS: usize = 200;
    let (listener, relay) =
        (TcpListener::bind("127.0.0.1:0").await.unwrap(), TcpListener::bind("127.0.0.1:0").await.unwrap());
    let (address, relay_address) = (listener.local_addr().unwrap(), relay.local_addr().unwrap());
    let (requests, handled) = tokio::sync::watch::channel(0);
    let server = tokio::spawn(async move {
        let (identity, handler) = (identity("b", 2, 1), Arc::new(CountingHandler(requests)));
        accept(listener.accept().await.unwrap().0, &identity, handler, TIMEOUT).await.unwrap()
    });
    // Passes the Hello on, and all else at once with the close.
    let relayed = tokio::spawn(async move {
        let (from, mut to) = (relay.accept().await.unwrap().0, TcpStream::connect(address).await.unwrap());
        let ((mut read_from, mut write_from), (mut read_to, mut write_to)) = (from.into_split(), to.split());
        let back = async {
            let length = read_to.read_u32().await.unwrap();
            let mut hello = vec![0; length as usize];
            read_to.read_exact(&mut hello).await.unwrap();
            write_from.write_u32(length).await.unwrap();
            write_from.write_all(&hello).await.unwrap();
        };
        let on = async {
            let length = read_from.read_u32().await.unwrap();
            let mut hello = vec![0; length as usize];
            read_from.read_exact(&mut hello).await.unwrap();
            write_to.write_u32(length).await.unwrap();
            write_to.write_all(&hello).await.unwrap();
        };
        tokio::join!(back, on);
        let mut rest = Vec::new();
        read_from.read_to_end(&mut rest).await.unwrap();
        write_to.write_all(&rest).await.unwrap();
        write_to.shutdown().await.unwrap();
        rest.len()
    });
    let identity = identity("a", 1, 1);
    let client =
        connect(relay_address, &Role::Front, &identity, Arc::new(TestHandler), TIMEOUT).await.unwrap();
    let server = server.await.unwrap();
    let sent = (0..REQUESTS).map(|_| client.request(Request::ReadIndex, Duration::from_millis(100)));
    futures_util::future::join_all(sent).await;
    client.close();
    assert!(relayed.await.unwrap() > REQUESTS * 10, "not all requests were sent");
    tokio::time::timeout(TIMEOUT, server.ended()).await.expect("not closed");
    assert_eq!(*handled.borrow(), 0, "handled for a peer that has left");
}
