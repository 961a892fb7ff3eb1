//! Fronts to be tried: real processes, or the same front on a thread with a guard switched off.

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

/// How long a front may take to stop.
const STOP: Duration = Duration::from_secs(20);

/// What runs as a front.
#[derive(Debug, Clone)]
pub enum Program {
    /// A program that takes the arguments of `lilacpitch-edge`, behind these.
    Process(PathBuf, Vec<String>),
    /// The same front on a thread of this process, with these guards.
    Thread(Safeguards),
    /// No front: whatever is asked for stands at once. For telling the laboratory's own cost.
    Null,
}

/// Why a front could not be run.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The process could not be started or read.
    #[error("{0}: {1}")]
    Process(String, std::io::Error),
    /// It ended before it listened, or said something else.
    #[error("the front did not start: {0}")]
    NotReady(String),
    /// It did not stop, or not cleanly.
    #[error("the front did not stop cleanly: {0}")]
    NotStopped(String),
}

/// A front that runs.
#[derive(Debug)]
pub struct Running {
    /// Where callers reach it.
    pub callers: SocketAddr,
    what: What,
}

#[derive(Debug)]
enum What {
    Process(Child),
    Thread(oneshot::Sender<()>, JoinHandle<Result<(), String>>),
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Used {
    /// Seconds of processor time.
    pub cpu_s: f64,
    /// Most memory held at once, in MiB.
    pub peak_mib: f64,
}

impl Program {
    /// This program itself as a front: its hidden sub-command `edge`.
    pub fn this() -> std::io::Result<Self> {
        Ok(Program::Process(std::env::current_exe()?, vec!["edge".into()]))
    }

    /// Starts a front with this settings file and waits until it listens.
    pub fn start(&self, config: &Path) -> Result<Running, EdgeError> {
        match self {
            Program::Process(program, first) => start_process(program, first, config),
            Program::Thread(guards) => start_thread(*guards, config),
            Program::Null => start_null(),
        }
    }
}

fn start_process(program: &Path, first: &[String], config: &Path) -> Result<Running, EdgeError> {
    let failed = |e| EdgeError::Process(program.display().to_string(), e);
    let mut child = Command::new(program)
        .args(first)
        .args(["run", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .stdin(Stdio::null())
        .spawn()
        .map_err(failed)?;
    let mut line = String::new();
    let Some(out) = child.stdout.take() else { return Err(EdgeError::NotReady("no output".into())) };
    BufReader::new(out).read_line(&mut line).map_err(failed)?;
    let ready: serde_json::Value =
        serde_json::from_str(&line).map_err(|e| EdgeError::NotReady(format!("{line:?}: {e}")))?;
    let callers = ready["callers"].as_str().and_then(|a| a.parse().ok());
    let Some(callers) = callers else { return Err(EdgeError::NotReady(line)) };
    Ok(Running { callers, what: What::Process(child) })
}

fn start_thread(guards: Safeguards, config: &Path) -> Result<Running, EdgeError> {
    let settings = Edge::load(config).map_err(|e| EdgeError::NotReady(e.to_string()))?.value;
    let (stop, stopped) = oneshot::channel();
    let (tell, told) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        // Who started it may have given up waiting.
        let ready = |ready: Ready| tell.send(ready).unwrap_or(());
        let stop = async {
            let _ = stopped.await;
        };
        let ran = tokio::task::LocalSet::new().block_on(&runtime, run(settings, guards, ready, stop));
        ran.map_err(|e| e.to_string())
    });
    match told.recv_timeout(STOP) {
        Ok(ready) => Ok(Running { callers: ready.callers, what: What::Thread(stop, thread) }),
        Err(error) => Err(EdgeError::NotReady(error.to_string())),
    }
}

fn start_null() -> Result<Running, EdgeError> {
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
    Ok(Running { callers, what: What::Thread(stop, thread) })
}

async fn answer_all(mut stream: TcpStream) {
    let Ok((_, rest)) = serve_handshake(&mut stream, "/call", CALL_PROTOCOL).await else { return };
    let (out, mut queue) = mpsc::channel(65_536);
    let connection = WebSocketConnection {
        stream,
        role: Role::Server,
        clock: Clock::start(),
        rng: StdRng::seed_from_u64(0),
        quiet: None,
    };
    let on_event = async |event| {
        if let ConnectionEvent::Text(text) = event {
            if let Ok(FromCaller::Setup { call, .. }) = FromCaller::decode(&text) {
                let answer =
                    ToCaller::Final { call, answer: Answer::Stands, come_back_ms: None, cause: None };
                let text = answer.encode();
                return out.try_send(Outgoing { number: 0, text, not_after_ns: None }).is_ok();
            }
        }
        true
    };
    connection.run(&rest, &mut queue, on_event).await;
}

impl Running {
    /// Stops its process for now, or lets it go on; a thread can't be.
    pub fn freeze(&self, on: bool) -> bool {
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT })
    }

    /// Sends its process a signal; `false`: it is a thread, or gone.
    pub fn signal(&self, signal: Signal) -> bool {
        match &self.what {
            What::Process(child) => kill(Pid::from_raw(child.id() as i32), signal).is_ok(),
            What::Thread(..) => false,
        }
    }

    /// Kills its process, without a word, and waits until it is gone; `false`: it is a thread.
    pub fn kill(&mut self) -> bool {
        match &mut self.what {
            What::Process(child) => child.kill().and_then(|()| child.wait()).is_ok(),
            What::Thread(..) => false,
        }
    }

    /// What its process has used; nothing is known of a thread.
    pub fn used(&self) -> Option<Used> {
        match &self.what {
            What::Process(child) => used(child.id()),
            What::Thread(..) => None,
        }
    }

    /// Asks it to stop and waits until it has.
    pub fn stop(self) -> Result<(), EdgeError> {
        self.signal(Signal::SIGTERM);
        match self.what {
            What::Thread(stop, thread) => {
                let _ = stop.send(());
                match thread.join() {
                    Ok(Ok(())) => Ok(()),
                    Ok(Err(error)) => Err(EdgeError::NotStopped(error)),
                    Err(_) => Err(EdgeError::NotStopped("it panicked".into())),
                }
            }
            What::Process(mut child) => {
                let until = Instant::now() + STOP;
                loop {
                    match child.try_wait() {
                        Ok(Some(status)) if status.success() => return Ok(()),
                        Ok(Some(status)) => return Err(EdgeError::NotStopped(status.to_string())),
                        Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(20)),
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

/// What a process has used, from the kernel's own account of it.
pub fn used(pid: u32) -> Option<Used> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Behind the name, which may hold anything: state is field 3, utime and stime are 14 and 15, in ticks.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kib: f64 = peak.split_whitespace().next()?.parse().ok()?;
    // The kernel's USER_HZ, 100 on every Linux port in use.
    Some(Used { cpu_s: ticks / 100.0, peak_mib: peak_kib / 1024.0 })
}
