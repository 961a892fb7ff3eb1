//! The fronts under test: processes, or the same front on a thread, where safeguards can be switched off.

use lilacpitch_config::Edge;
use lilacpitch_edge::core::Safeguards;
use lilacpitch_edge::net::{
    run, serve_handshake, Clock, ConnectionEvent, Outgoing, Ready, WebSocketConnection,
};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake::CALL_PROTOCOL;
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Longest time that a front may take to start listening on a thread, or to stop.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Ticks per second in `/proc`; 100 on every Linux port in use.
const USER_HZ: f64 = 100.0;
/// Messages queued for a caller of [`Program::Null`].
const QUEUE: usize = 65_536;

/// What to run as a front.
#[derive(Debug, Clone)]
pub enum Program {
    /// A program and the arguments that precede those of `lilacpitch-edge`.
    Process(PathBuf, Vec<String>),
    /// The front on a thread of this process, with these safeguards.
    Thread(Safeguards),
    /// No front: every set-up is answered at once as established. Used to measure the testbed's own latency.
    Null,
}

/// Why a front could not be run.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The process could not be started, or its output could not be read.
    #[error("{0}: {1}")]
    Process(String, std::io::Error),
    /// It ended before it listened, or its first output was not the expected one.
    #[error("the front did not start: {0}")]
    NotReady(String),
    /// It did not stop in time or not cleanly.
    #[error("the front did not stop cleanly: {0}")]
    NotStopped(String),
}

/// A running front.
#[derive(Debug)]
pub struct RunningEdge {
    /// The address callers connect to.
    pub callers: SocketAddr,
    host: Host,
}

#[derive(Debug)]
enum Host {
    Process(Child),
    Thread(oneshot::Sender<()>, JoinHandle<Result<(), String>>),
}

/// Resources that a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceUsage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MiB.
    pub peak_mib: f64,
}

impl Program {
    /// This program itself as a front, by its hidden subcommand `edge`.
    pub fn current_executable() -> std::io::Result<Self> {
        Ok(Program::Process(std::env::current_exe()?, vec!["edge".into()]))
    }

    /// Starts a front with a settings file and waits until it listens.
    pub fn start(&self, config: &Path) -> Result<RunningEdge, EdgeError> {
        match self {
            Program::Process(program, arguments) => start_process(program, arguments, config),
            Program::Thread(safeguards) => start_thread(*safeguards, config),
            Program::Null => start_null(),
        }
    }
}

fn start_process(program: &Path, arguments: &[String], config: &Path) -> Result<RunningEdge, EdgeError> {
    let failed = |e| EdgeError::Process(program.display().to_string(), e);
    let mut child = Command::new(program)
        .args(arguments)
        .args(["run", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .stdin(Stdio::null())
        .spawn()
        .map_err(failed)?;
    let mut line = String::new();
    let Some(output) = child.stdout.take() else { return Err(EdgeError::NotReady("no output".into())) };
    BufReader::new(output).read_line(&mut line).map_err(failed)?;
    let ready: serde_json::Value =
        serde_json::from_str(&line).map_err(|e| EdgeError::NotReady(format!("{line:?}: {e}")))?;
    let callers = ready["callers"].as_str().and_then(|a| a.parse().ok());
    let Some(callers) = callers else { return Err(EdgeError::NotReady(line)) };
    Ok(RunningEdge { callers, host: Host::Process(child) })
}

fn start_thread(safeguards: Safeguards, config: &Path) -> Result<RunningEdge, EdgeError> {
    let settings = Edge::load(config).map_err(|e| EdgeError::NotReady(e.to_string()))?.value;
    let (stop, stopped) = oneshot::channel();
    let (ready_sender, ready_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        // Sending fails if the receiver has timed out.
        let ready = |ready: Ready| ready_sender.send(ready).unwrap_or(());
        let stop = async {
            let _ = stopped.await;
        };
        let result = tokio::task::LocalSet::new().block_on(&runtime, run(settings, safeguards, ready, stop));
        result.map_err(|e| e.to_string())
    });
    match ready_receiver.recv_timeout(START_STOP_TIMEOUT) {
        Ok(ready) => Ok(RunningEdge { callers: ready.callers, host: Host::Thread(stop, thread) }),
        Err(error) => Err(EdgeError::NotReady(error.to_string())),
    }
}

fn start_null() -> Result<RunningEdge, EdgeError> {
    let failed = |e| EdgeError::Process("a socket".into(), e);
    let (listener, callers) = crate::standin::bind().map_err(failed)?;
    let (stop, stopped) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let serving = async move {
            let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            let serve = async {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(answer_all(stream));
                }
            };
            tokio::select! {
                () = serve => {}
                _ = stopped => {}
            }
            Ok(())
        };
        tokio::task::LocalSet::new().block_on(&runtime, serving)
    });
    Ok(RunningEdge { callers, host: Host::Thread(stop, thread) })
}

/// Answers every set-up of a caller's connection as established.
async fn answer_all(mut stream: TcpStream) {
    let Ok((_, unread_bytes)) = serve_handshake(&mut stream, "/call", CALL_PROTOCOL).await else { return };
    let (outgoing, mut queue) = mpsc::channel(QUEUE);
    let connection = WebSocketConnection {
        stream,
        role: Role::Server,
        clock: Clock::start(),
        rng: StdRng::seed_from_u64(0),
        quiet: None,
        write_limits: None,
        has_client_left: std::sync::Arc::default(),
    };
    let on_event = async |event| {
        if let ConnectionEvent::Text(text) = event {
            if let Ok(FromCaller::Setup { call, .. }) = FromCaller::decode(&text) {
                let answer =
                    ToCaller::Final { call, answer: Answer::Stands, come_back_ms: None, cause: None };
                let text = answer.encode();
                return outgoing
                    .try_send(Outgoing { number: 0, text, not_after_ns: None, reports_written: false })
                    .is_ok();
            }
        }
        true
    };
    connection.run(&unread_bytes, &mut queue, on_event).await;
}

impl RunningEdge {
    /// Suspends its process, or resumes it. Returns `false` for a thread, which can't be suspended.
    pub fn freeze(&self, on: bool) -> bool {
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT })
    }

    /// Sends its process a signal. Returns `false` if it is a thread or the process has ended.
    pub fn signal(&self, signal: Signal) -> bool {
        match &self.host {
            Host::Process(child) => kill(Pid::from_raw(child.id() as i32), signal).is_ok(),
            Host::Thread(..) => false,
        }
    }

    /// Kills its process (`SIGKILL`) and waits until it has ended. Returns `false` for a thread.
    pub fn kill(&mut self) -> bool {
        match &mut self.host {
            Host::Process(child) => child.kill().and_then(|()| child.wait()).is_ok(),
            Host::Thread(..) => false,
        }
    }

    /// Resources that its process has used; `None` for a thread.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        match &self.host {
            Host::Process(child) => resource_usage(child.id()),
            Host::Thread(..) => None,
        }
    }

    /// Requests it to stop and waits until it has.
    pub fn stop(self) -> Result<(), EdgeError> {
        self.signal(Signal::SIGTERM);
        match self.host {
            Host::Thread(stop, thread) => {
                let _ = stop.send(());
                match thread.join() {
                    Ok(Ok(())) => Ok(()),
                    Ok(Err(error)) => Err(EdgeError::NotStopped(error)),
                    Err(_) => Err(EdgeError::NotStopped("it panicked".into())),
                }
            }
            Host::Process(mut child) => {
                let deadline = Instant::now() + START_STOP_TIMEOUT;
                loop {
                    match child.try_wait() {
                        Ok(Some(status)) if status.success() => return Ok(()),
                        Ok(Some(status)) => return Err(EdgeError::NotStopped(status.to_string())),
                        Ok(None) if Instant::now() < deadline => {
                            std::thread::sleep(Duration::from_millis(20))
                        }
                        _ => {
                            let _ = child.kill();
                            let _ = child.wait();
                            return Err(EdgeError::NotStopped("it had to be killed".into()));
                        }
                    }
                }
            }
        }
    }
}

/// Resources that a process has used, as the kernel reports them in `/proc`.
pub fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The fields after the name, which may itself contain spaces and parentheses. The first is field 3, the
    // state; utime and stime, in ticks, are fields 14 and 15.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kib: f64 = peak.split_whitespace().next()?.parse().ok()?;
    Some(ResourceUsage { cpu_s: ticks / USER_HZ, peak_mib: peak_kib / 1024.0 })
}
