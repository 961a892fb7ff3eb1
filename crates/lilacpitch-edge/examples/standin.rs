//! Stand-ins for a platform on loopback: a coordinator and a signalling server. Writes a configuration for a front
//! node to the file named, waits for the node, makes calls through it and says what became of each.

#[path = "../tests/node/standin.rs"]
mod standin;

use standin::*;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;

/// Calls that are made.
const CALLS: u64 = 5;

fn main() -> ExitCode {
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("usage: standin FILE");
        return ExitCode::from(2);
    };
    let server = Server::start();
    let coordinator = Coordinator::listing(&[&server]);
    let Ok(free) = lilacpitch_net::free_addresses(1) else {
        eprintln!("standin: no address is free on loopback");
        return ExitCode::FAILURE;
    };
    let listen = free[0];
    if let Err(error) =
        std::fs::write(&file, config_text(listen, coordinator.address, &coordinator.known(), 256))
    {
        eprintln!("standin: {file}: {error}");
        return ExitCode::FAILURE;
    }
    println!("{file} is written; start the node: BALANCER_CONFIG={file} target/release/lilacpitch-edge node");
    wait_ready(listen);
    let mut caller = Caller::connect(listen);
    for call in 1..=CALLS {
        caller.invite(&id(call), 0, 2_000);
        let set_up = server.next("launch");
        server.answer(&set_up, "c=IN IP4 10.0.0.1\r\n");
        let answer = caller.next().map(|message| message.start);
        server.stop(set_up.connection, &id(call), 16, serde_json::json!({}));
        let release = caller.next().map(|message| message.start);
        println!("call {call}: {}, then {}", answer.unwrap_or_default(), release.unwrap_or_default());
    }
    ExitCode::SUCCESS
}

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
