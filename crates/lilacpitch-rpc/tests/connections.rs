//! Two ends of a connection over loopback: requests both ways, a foreign key, damaged and duplicate frames, silence.

use lilacpitch_fleet::error::FrameError;
use lilacpitch_fleet::frame::FrameWriter;
use lilacpitch_fleet::message::*;
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SOON: Duration = Duration::from_secs(10);

struct Echo;

impl RequestHandler for Echo {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        Box::pin(async move {
            match request {
                // Sends a request of its own over the same connection before it responds.
                Request::Progress => from.request(Request::ReadIndex, SOON).await.unwrap(),
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

async fn pair(key: u8) -> (Result<Arc<RpcConnection>, RpcError>, Result<Arc<RpcConnection>, RpcError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (there, here) = (identity("b", 2, key), identity("a", 1, 1));
    let accepted = async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
    tokio::join!(connect(address, &here, Arc::new(Echo), SOON), accepted)
}

#[tokio::test]
async fn both_ends_send_requests_over_one_connection() {
    let (a, b) = pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.peer.name.as_str(), b.peer.name.as_str()), ("b", "a"));
    assert_eq!(a.request(Request::Progress, SOON).await.unwrap(), Response::ReadIndex(2));
    assert_eq!(b.request(Request::ReadIndex, SOON).await.unwrap(), Response::ReadIndex(2));
}

#[tokio::test]
async fn rejects_a_foreign_key_and_fails_requests_in_flight_when_the_connection_ends() {
    let (a, b) = pair(9).await;
    assert!(matches!(a, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    assert!(matches!(b, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    let (a, b) = pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    let request = a.request(Request::ReleaseLease, SOON);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        b.close();
    };
    let (result, ()) = tokio::join!(request, ending);
    assert!(matches!(result, Err(RpcError::Closed)));
    let late = pair(1).await.0.unwrap().request(Request::ReleaseLease, Duration::from_millis(50)).await;
    assert!(matches!(late, Err(RpcError::TimedOut)));
}

/// Two builds side by side: the other's first frame is opened, and its version rejected by its number.
#[tokio::test]
async fn rejects_another_version_by_its_number_and_keeps_other_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (name, role) = ("later".to_string(), Role::Front);
    let hello = Hello { version: VERSION + 1, name, incarnation: 1, role, nonce: 7 };
    let mut writer = FrameWriter::new(Keys::from_bytes([1; 32]));
    let frame = writer.seal(&Body::Hello(hello), [3; 24]).unwrap();
    let later = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_u32(frame.len() as u32).await.unwrap();
        stream.write_all(&frame).await.unwrap();
        // Until the other end has ended it.
        drop(stream.read_to_end(&mut Vec::new()).await);
    };
    let there = identity("b", 2, 1);
    let accepted = async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
    let ((), refused) = tokio::join!(later, accepted);
    let version = matches!(&refused, Err(RpcError::Frame(FrameError::Version(v))) if *v == VERSION + 1);
    assert!(version, "{:?}", refused.err());
    assert!(
        pair(1).await.0.unwrap().request(Request::ReadIndex, SOON).await.is_ok(),
        "other connections go on"
    );
}

#[tokio::test]
async fn duplicate_or_damaged_frame_ends_its_connection_alone() {
    // Between the two a relay that passes one direction as it is, and the second frame of the other one twice, or damaged.
    for damage in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (to, via) = (listener.local_addr().unwrap(), relay.local_addr().unwrap());
        tokio::spawn(async move {
            let (mut near, mut far) =
                (relay.accept().await.unwrap().0, TcpStream::connect(to).await.unwrap());
            let ((mut nr, mut nw), (mut fr, mut fw)) = (near.split(), far.split());
            let forth = async {
                for frame in 0.. {
                    let length = nr.read_u32().await.unwrap_or(0);
                    let mut bytes = vec![0; length as usize];
                    if length == 0 || nr.read_exact(&mut bytes).await.is_err() {
                        return;
                    }
                    if frame == 1 && damage {
                        bytes[30] ^= 1;
                    }
                    for _ in 0..if frame == 1 && !damage { 2 } else { 1 } {
                        if fw.write_u32(length).await.is_err() || fw.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                }
            };
            tokio::join!(forth, async { drop(tokio::io::copy(&mut fr, &mut nw).await) });
        });
        let (here, there) = (identity("a", 1, 1), identity("b", 2, 1));
        let accepted =
            async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
        let (a, b) = tokio::join!(connect(via, &here, Arc::new(Echo), SOON), accepted);
        let (a, b) = (a.unwrap(), b.unwrap());
        let _ = a.request(Request::ReadIndex, Duration::from_millis(500)).await;
        tokio::time::timeout(SOON, b.ended())
            .await
            .expect("the end that received a frame twice, or a damaged one, ends it");
        let (c, _d) = pair(1).await;
        assert!(c.unwrap().request(Request::ReadIndex, SOON).await.is_ok(), "other connections go on");
    }
}
