//! Two ends of a link over loopback: questions both ways, a stranger's key, rubbish, doubled bytes, silence.

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
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, ask: Request) -> ResponseFuture {
        Box::pin(async move {
            match ask {
                // Asks back over the same link before it answers.
                Request::Progress => from.request(Request::ReadIndex, SOON).await.unwrap(),
                Request::ReadIndex => Response::ReadIndex(from.peer.incarnation),
                Request::ReleaseLease => std::future::pending().await,
                _ => Response::Rejected(RejectReason::Unsupported),
            }
        })
    }
}

fn me(name: &str, life: u64, key: u8) -> LocalIdentity {
    LocalIdentity {
        name: name.into(),
        incarnation: life,
        role: Role::Front,
        keys: Keys::from_bytes([key; 32]),
    }
}

async fn pair(key: u8) -> (Result<Arc<RpcConnection>, RpcError>, Result<Arc<RpcConnection>, RpcError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (there, here) = (me("b", 2, key), me("a", 1, 1));
    let accepted = async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
    tokio::join!(connect(address, &here, Arc::new(Echo), SOON), accepted)
}

#[tokio::test]
async fn both_ends_ask_and_answer_over_one_connection() {
    let (a, b) = pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.peer.name.as_str(), b.peer.name.as_str()), ("b", "a"));
    assert_eq!(a.request(Request::Progress, SOON).await.unwrap(), Response::ReadIndex(2));
    assert_eq!(b.request(Request::ReadIndex, SOON).await.unwrap(), Response::ReadIndex(2));
}

#[tokio::test]
async fn a_stranger_is_refused_and_an_end_ends_what_waits() {
    let (a, b) = pair(9).await;
    assert!(matches!(a, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    assert!(matches!(b, Err(RpcError::Frame(_) | RpcError::Handshake(_))));
    let (a, b) = pair(1).await;
    let (a, b) = (a.unwrap(), b.unwrap());
    let asking = a.request(Request::ReleaseLease, SOON);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        b.close();
    };
    let (asked, ()) = tokio::join!(asking, ending);
    assert!(matches!(asked, Err(RpcError::Closed)));
    let late = pair(1).await.0.unwrap().request(Request::ReleaseLease, Duration::from_millis(50)).await;
    assert!(matches!(late, Err(RpcError::TimedOut)));
}

/// Two builds side by side: the other's first frame is opened, and its version refused by name.
#[tokio::test]
async fn another_version_is_refused_by_name_and_others_go_on() {
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
    let there = me("b", 2, 1);
    let accepted = async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
    let ((), refused) = tokio::join!(later, accepted);
    let version = matches!(&refused, Err(RpcError::Frame(FrameError::Version(v))) if *v == VERSION + 1);
    assert!(version, "{:?}", refused.err());
    assert!(pair(1).await.0.unwrap().request(Request::ReadIndex, SOON).await.is_ok(), "others go on");
}

#[tokio::test]
async fn doubled_and_damaged_frames_end_their_connection_alone() {
    // Between the two a relay that passes one way as it is, and says the other way's second frame twice.
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
        let (here, there) = (me("a", 1, 1), me("b", 2, 1));
        let accepted =
            async { accept(listener.accept().await.unwrap().0, &there, Arc::new(Echo), SOON).await };
        let (a, b) = tokio::join!(connect(via, &here, Arc::new(Echo), SOON), accepted);
        let (a, b) = (a.unwrap(), b.unwrap());
        let _ = a.request(Request::ReadIndex, Duration::from_millis(500)).await;
        tokio::time::timeout(SOON, b.ended())
            .await
            .expect("the end that was told twice, or rubbish, ends it");
        let (c, _d) = pair(1).await;
        assert!(c.unwrap().request(Request::ReadIndex, SOON).await.is_ok(), "others go on");
    }
}
