//! A front node as a child process.

use crate::standin::{config_text, id, ms, Caller, Coordinator, Server, TIMEOUT};
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// A running front node, killed when dropped.
pub(crate) struct Node {
    pub address: SocketAddr,
    pub child: Child,
    pub config: PathBuf,
    folder: tempfile::TempDir,
    pub coordinator: Coordinator,
    sockets: u32,
}

impl Node {
    /// Starts a node with these servers, which have the ids `s0`, `s1`, ... and numbers from 0, and waits
    /// until it is ready.
    pub(crate) fn start(servers: &[&Server]) -> Node {
        Node::start_with_sockets(servers, 256)
    }

    /// Starts a node with these servers and a limit of file descriptors, and waits until it is ready.
    pub(crate) fn start_with_sockets(servers: &[&Server], sockets: u32) -> Node {
        let node = Node::spawn(Coordinator::listing(servers), sockets);
        node.wait_ready();
        node
    }

    /// Starts a server, a node with this server alone, and a caller.
    pub(crate) fn with_one_server() -> (Server, Node, Caller) {
        let server = Server::start();
        let node = Node::start(&[&server]);
        let caller = node.caller();
        (server, node, caller)
    }

    /// Starts a node that traces attempts for [`Node::last_attempt_record`], and waits until it is ready.
    pub(crate) fn start_with_trace(servers: &[&Server]) -> Node {
        let node = Node::spawn_with_log_level(Coordinator::listing(servers), 256, "lilacpitch_node=trace");
        node.wait_ready();
        node
    }

    /// Waits for a trace record of a call, and returns the last one.
    pub(crate) fn last_attempt_record(&self, call: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            let text = self.log();
            let record =
                text.lines().rev().find(|line| line.contains("controller state") && line.contains(call));
            if let Some(record) = record {
                return record.to_string();
            }
            assert!(Instant::now() < until, "no trace record of {call}");
            std::thread::sleep(ms(10));
        }
    }

    /// Returns the log, which the process writes to standard error.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Returns the resident memory of the process, in MiB.
    pub(crate) fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
    }

    /// Returns the number of open file descriptors of the process.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Starts a node without waiting until it is ready.
    pub(crate) fn spawn(coordinator: Coordinator, sockets: u32) -> Node {
        Node::spawn_with_log_level(coordinator, sockets, "warn")
    }

    /// Starts a node with a changed configuration, without waiting until it is ready.
    pub(crate) fn spawn_with_config(
        coordinator: Coordinator,
        sockets: u32,
        edit_config: impl Fn(String) -> String,
    ) -> Node {
        Node::spawn_with(coordinator, sockets, "warn", edit_config)
    }

    /// Suspends the process while `action` runs.
    pub(crate) fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TIMEOUT;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "the process is not suspended");
            std::thread::sleep(ms(1));
        }
        let result = action();
        self.signal(Signal::SIGCONT);
        result
    }

    fn spawn_with_log_level(coordinator: Coordinator, sockets: u32, level: &str) -> Node {
        Node::spawn_with(coordinator, sockets, level, |text| text)
    }

    fn spawn_with(
        coordinator: Coordinator,
        sockets: u32,
        level: &str,
        edit_config: impl Fn(String) -> String,
    ) -> Node {
        let folder = tempfile::tempdir().unwrap();
        let config = folder.path().join("config.json");
        let address = lilacpitch_net::free_addresses(1).unwrap()[0];
        let text = config_text(address, coordinator.address, &coordinator.known(), sockets);
        std::fs::write(&config, edit_config(text)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .arg("node")
            .env("BALANCER_CONFIG", &config)
            .env("LILACPITCH_LOG", level)
            .stderr(std::fs::File::create(folder.path().join("log")).unwrap())
            .spawn()
            .unwrap();
        Node { address, child, config, folder, coordinator, sockets }
    }

    /// Connects a caller.
    pub(crate) fn caller(&self) -> Caller {
        Caller::connect(self.address)
    }

    /// Waits until a readiness check passes.
    pub(crate) fn wait_ready(&self) {
        let until = Instant::now() + TIMEOUT;
        while self.check_readiness() != Some(200) {
            assert!(Instant::now() < until, "the node does not become ready");
            std::thread::sleep(ms(10));
        }
    }

    /// Returns the status of a readiness check, if it is answered.
    pub(crate) fn check_readiness(&self) -> Option<u16> {
        TcpStream::connect(self.address).ok()?;
        let mut caller = self.caller();
        caller.request("OPTIONS", &id(0xfeed));
        caller.next_within(ms(500)).and_then(|message| message.status())
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, signal: nix::sys::signal::Signal) {
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Replaces the configuration file by one with another coordinator.
    pub(crate) fn move_coordinator(&self, coordinator: &Coordinator) {
        let text = config_text(self.address, coordinator.address, &coordinator.known(), self.sockets);
        self.replace_config(&text);
    }

    /// Replaces the configuration file.
    pub(crate) fn replace_config(&self, text: &str) {
        let new_config = self.folder.path().join("new.json");
        std::fs::write(&new_config, text).unwrap();
        std::fs::rename(new_config, &self.config).unwrap();
    }

    /// Waits until the process exits, and returns its exit code; `None` if it is killed by a signal or does
    /// not exit in time.
    pub(crate) fn exit_code(&mut self, timeout: Duration) -> Option<i32> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(ms(10));
        }
        None
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
