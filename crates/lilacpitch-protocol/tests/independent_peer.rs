//! Tests framing and handshake in both roles against tokio-tungstenite, an independent implementation.

use futures_util::{SinkExt, StreamExt};
use lilacpitch_protocol::frame::*;
use lilacpitch_protocol::{handshake, http};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::{frame::coding::CloseCode as TungsteniteCode, CloseFrame};
use tokio_tungstenite::tungstenite::Message as TungsteniteMessage;

/// Reads until a message is complete.
async fn next_message(stream: &mut TcpStream, decoder: &mut Decoder) -> Message {
    let mut buffer = [0; 777];
    loop {
        if let Some(message) = decoder.next().expect("valid framing") {
            return message;
        }
        let read = stream.read(&mut buffer).await.expect("a read");
        assert!(read > 0, "connection closed early");
        decoder.feed(&buffer[..read]);
    }
}

/// Reads until a head is complete; returns it and the bytes that follow it.
async fn read_head<T>(
    stream: &mut TcpStream,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, http::HeadError>,
) -> (T, Vec<u8>) {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, length)) = parse(&bytes).expect("a valid head") {
            return (head, bytes.split_off(length));
        }
        assert!(stream.read_buf(&mut bytes).await.expect("a read") > 0);
    }
}

#[tokio::test]
async fn serves_a_tungstenite_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = tokio::spawn(async move {
        let mut request = format!("ws://{address}/call").into_client_request().unwrap();
        let offered = "other.1, lilacpitch.call.1".parse().unwrap();
        request.headers_mut().insert("Sec-WebSocket-Protocol", offered);
        let (mut socket, answer) = tokio_tungstenite::connect_async(request).await.unwrap();
        assert_eq!(answer.headers()["sec-websocket-protocol"], handshake::CALL_PROTOCOL);
        for size in [0, 125, 126, 3_000, MAX_MESSAGE_BYTES] {
            socket.send(TungsteniteMessage::text("x".repeat(size))).await.unwrap();
            assert_eq!(socket.next().await.unwrap().unwrap(), TungsteniteMessage::text("x".repeat(size)));
        }
        socket.send(TungsteniteMessage::Ping(vec![1, 2].into())).await.unwrap();
        assert_eq!(socket.next().await.unwrap().unwrap(), TungsteniteMessage::Pong(vec![1, 2].into()));
        let frame = CloseFrame { code: TungsteniteCode::Normal, reason: "done".into() };
        socket.send(TungsteniteMessage::Close(Some(frame))).await.unwrap();
        let Some(Ok(TungsteniteMessage::Close(Some(close)))) = socket.next().await else {
            panic!("no close frame");
        };
        assert_eq!(close.code, TungsteniteCode::Normal);
        assert!(socket.next().await.is_none());
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    let (request, remainder) = read_head(&mut stream, http::request).await;
    let answer = handshake::server_answer(&request, handshake::CALL_PROTOCOL).unwrap();
    stream.write_all(&answer).await.unwrap();
    let mut decoder = Decoder::new(Role::Server);
    decoder.feed(&remainder);
    let mut received_sizes = Vec::new();
    loop {
        let mut out = Vec::new();
        match next_message(&mut stream, &mut decoder).await {
            Message::Text(text) => {
                received_sizes.push(text.len());
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
    client.await.unwrap();
    assert_eq!(received_sizes, [0, 125, 126, 3_000, MAX_MESSAGE_BYTES]);
}

#[tokio::test]
async fn connects_to_a_tungstenite_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        #[allow(clippy::result_large_err)]
        let select_protocol = |_: &Request, mut answer: Response| {
            let protocol = handshake::SIGNAL_PROTOCOL.parse().unwrap();
            answer.headers_mut().insert("Sec-WebSocket-Protocol", protocol);
            Ok(answer)
        };
        let mut socket = tokio_tungstenite::accept_hdr_async(stream, select_protocol).await.unwrap();
        let mut texts = 0;
        while let Some(Ok(message)) = socket.next().await {
            match message {
                TungsteniteMessage::Text(text) => {
                    texts += 1;
                    socket.send(TungsteniteMessage::Text(text)).await.unwrap();
                }
                TungsteniteMessage::Close(Some(frame)) => assert_eq!(frame.code, TungsteniteCode::Away),
                _ => {}
            }
        }
        texts
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let key = handshake::key([5; 16]);
    let host = address.to_string();
    let request = handshake::client_request(&host, "/signal", &key, handshake::SIGNAL_PROTOCOL);
    stream.write_all(&request).await.unwrap();
    let (answer, remainder) = read_head(&mut stream, http::response).await;
    handshake::check_answer(&answer, &key, handshake::SIGNAL_PROTOCOL).unwrap();
    let mut decoder = Decoder::new(Role::Client);
    decoder.feed(&remainder);
    for (index, size) in [0usize, 125, 126, 3_000, 16_000].into_iter().enumerate() {
        let (mut out, text) = (Vec::new(), "ü".repeat(size / 2));
        Encoder::text(&mut out, &text, Some([index as u8, 1, 250, 3]));
        stream.write_all(&out).await.unwrap();
        assert_eq!(next_message(&mut stream, &mut decoder).await, Message::Text(text));
    }
    let mut out = Vec::new();
    Encoder::ping(&mut out, b"ping", Some([4, 4, 4, 4]));
    Encoder::close(&mut out, CloseCode::AWAY, "front stops", Some([1, 1, 1, 1]));
    stream.write_all(&out).await.unwrap();
    assert_eq!(next_message(&mut stream, &mut decoder).await, Message::Pong(b"ping".to_vec()));
    assert!(matches!(
        next_message(&mut stream, &mut decoder).await,
        Message::Close(Some((CloseCode::AWAY, _)))
    ));
    assert_eq!(server.await.unwrap(), 5);
}
