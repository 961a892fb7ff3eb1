//! Simulated platform on loopback, with a coordinator and a signalling server. Writes a configuration for a
//! front node to the given file, waits until the node is ready, makes calls through it and prints the result
//! of each.

#[path = "../tests/node/standin.rs"]
mod standin;

use standin::*;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;

/// Number of calls.
const CALLS: u64 = 5;

fn main() -> ExitCode {
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("usage: standin FILE");
        return ExitCode::from(2);
    };
    let server = Server::start();
    let coordinator = Coordinator::listing(&[&server]);
    let Ok(addresses) = lilacpitch_net::free_addresses(1) else {
        eprintln!("standin: no free address on loopback");
        return ExitCode::FAILURE;
    };
    let listen = addresses[0];
    if let Err(error) =
        std::fs::write(&file, config_text(listen, coordinator.address, &coordinator.known(), 256))
    {
        eprintln!("standin: {file}: {error}");
        return ExitCode::FAILURE;
    }
    println!("configuration written to {file}");
    println!("start the node: BALANCER_CONFIG={file} target/release/lilacpitch-edge node");
    wait_ready(listen);
    let mut caller = Caller::connect(listen);
    for call in 1..=CALLS {
        caller.invite(&id(call), 0, 2_000);
        let setup = server.next("launch");
        server.answer(&setup, "c=IN IP4 10.0.0.1\r\n");
        let answer = caller.next().map(|message| message.start);
        server.stop(setup.connection, &id(call), 16, serde_json::json!({}));
        let release = caller.next().map(|message| message.start);
        println!("call {call}: {}, then {}", answer.unwrap_or_default(), release.unwrap_or_default());
    }
    ExitCode::SUCCESS
}

/// Waits until the node passes a readiness check.
fn wait_ready(node: SocketAddr) {
    loop {
        std::thread::sleep(ms(100));
        if TcpStream::connect(node).is_err() {
            continue;
        }
        let mut caller = Caller::connect(node);
        caller.request("OPTIONS", &id(0));
        if caller.next_within(ms(500)).and_then(|message| message.status()) == Some(200) {
            return;
        }
    }
}
