//! Our framing and handshake against tokio-tungstenite, an independent implementation, in both roles.

use futures_util::{SinkExt, StreamExt};
use lilacpitch_protocol::frame::*;
use lilacpitch_protocol::{handshake, http};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::{frame::coding::CloseCode as TheirCode, CloseFrame};
use tokio_tungstenite::tungstenite::Message as Theirs;

/// Reads until one message is whole.
async fn next(stream: &mut TcpStream, decoder: &mut Decoder) -> Message {
    let mut buffer = [0; 777];
    loop {
        if let Some(message) = decoder.next().expect("their framing is sound") {
            return message;
        }
        let read = stream.read(&mut buffer).await.expect("a read");
        assert!(read > 0, "closed early");
        decoder.feed(&buffer[..read]);
    }
}

/// Reads until a head is whole; returns it and what came behind it.
async fn head<T>(
    stream: &mut TcpStream,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, http::HeadError>,
) -> (T, Vec<u8>) {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, taken)) = parse(&bytes).expect("a sound head") {
            return (head, bytes.split_off(taken));
        }
        assert!(stream.read_buf(&mut bytes).await.expect("a read") > 0);
    }
}

#[tokio::test]
async fn we_serve_their_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let theirs = tokio::spawn(async move {
        let mut request = format!("ws://{address}/call").into_client_request().unwrap();
        let offered = "other.1, lilacpitch.call.1".parse().unwrap();
        request.headers_mut().insert("Sec-WebSocket-Protocol", offered);
        let (mut socket, answer) = tokio_tungstenite::connect_async(request).await.unwrap();
        assert_eq!(answer.headers()["sec-websocket-protocol"], handshake::CALL_PROTOCOL);
        for size in [0, 125, 126, 3_000, MAX_MESSAGE_BYTES] {
            socket.send(Theirs::text("x".repeat(size))).await.unwrap();
            assert_eq!(socket.next().await.unwrap().unwrap(), Theirs::text("x".repeat(size)));
        }
        socket.send(Theirs::Ping(vec![1, 2].into())).await.unwrap();
        assert_eq!(socket.next().await.unwrap().unwrap(), Theirs::Pong(vec![1, 2].into()));
        let frame = CloseFrame { code: TheirCode::Normal, reason: "done".into() };
        socket.send(Theirs::Close(Some(frame))).await.unwrap();
        assert!(
            matches!(socket.next().await, Some(Ok(Theirs::Close(Some(f)))) if f.code == TheirCode::Normal)
        );
        assert!(socket.next().await.is_none());
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    let (request, rest) = head(&mut stream, http::request).await;
    let answer = handshake::server_answer(&request, handshake::CALL_PROTOCOL).unwrap();
    stream.write_all(&answer).await.unwrap();
    let mut decoder = Decoder::new(Role::Server);
    decoder.feed(&rest);
    let mut seen = Vec::new();
    loop {
        let mut out = Vec::new();
        match next(&mut stream, &mut decoder).await {
            Message::Text(text) => {
                seen.push(text.len());
                Encoder::text(&mut out, &text, None);
            }
            Message::Ping(bytes) => Encoder::pong(&mut out, &bytes, None),
            Message::Close(Some((CloseCode::NORMAL, reason))) => {
                assert_eq!(reason, "done");
                Encoder::close(&mut out, CloseCode::NORMAL, "", None);
                stream.write_all(&out).await.unwrap();
                break;
            }
            other => panic!("{other:?}"),
        }
        stream.write_all(&out).await.unwrap();
    }
    drop(stream);
    theirs.await.unwrap();
    assert_eq!(seen, [0, 125, 126, 3_000, MAX_MESSAGE_BYTES]);
}

#[tokio::test]
async fn their_server_serves_us() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let theirs = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        #[allow(clippy::result_large_err)]
        let choose = |_: &Request, mut answer: Response| {
            let protocol = handshake::SIGNAL_PROTOCOL.parse().unwrap();
            answer.headers_mut().insert("Sec-WebSocket-Protocol", protocol);
            Ok(answer)
        };
        let mut socket = tokio_tungstenite::accept_hdr_async(stream, choose).await.unwrap();
        let mut texts = 0;
        while let Some(Ok(message)) = socket.next().await {
            match message {
                Theirs::Text(text) => {
                    texts += 1;
                    socket.send(Theirs::Text(text)).await.unwrap();
                }
                Theirs::Close(Some(frame)) => assert_eq!(frame.code, TheirCode::Away),
                _ => {}
            }
        }
        texts
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let key = handshake::key([5; 16]);
    let host = address.to_string();
    let asked = handshake::client_request(&host, "/signal", &key, handshake::SIGNAL_PROTOCOL);
    stream.write_all(&asked).await.unwrap();
    let (answer, rest) = head(&mut stream, http::response).await;
    handshake::check_answer(&answer, &key, handshake::SIGNAL_PROTOCOL).unwrap();
    let mut decoder = Decoder::new(Role::Client);
    decoder.feed(&rest);
    for (turn, size) in [0usize, 125, 126, 3_000, 16_000].into_iter().enumerate() {
        let (mut out, text) = (Vec::new(), "ü".repeat(size / 2));
        Encoder::text(&mut out, &text, Some([turn as u8, 1, 250, 3]));
        stream.write_all(&out).await.unwrap();
        assert_eq!(next(&mut stream, &mut decoder).await, Message::Text(text));
    }
    let mut out = Vec::new();
    Encoder::ping(&mut out, b"beat", Some([4, 4, 4, 4]));
    Encoder::close(&mut out, CloseCode::AWAY, "front stops", Some([1, 1, 1, 1]));
    stream.write_all(&out).await.unwrap();
    assert_eq!(next(&mut stream, &mut decoder).await, Message::Pong(b"beat".to_vec()));
    assert!(matches!(next(&mut stream, &mut decoder).await, Message::Close(Some((CloseCode::AWAY, _)))));
    assert_eq!(theirs.await.unwrap(), 5);
}
