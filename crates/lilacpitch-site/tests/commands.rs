//! A process below the root, with a simulated parent: commands that arrive twice at the same time.

use lilacpitch_config::Site;
use lilacpitch_fleet::message::{
    CommandAction, FleetCommand, LogPosition, PurgeScope, Request, Response, Role,
};
use lilacpitch_fleet::Safeguards;
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::{accept, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const KEY: [u8; 32] = [1; 32];
const KEY_TEXT: &str = "0101010101010101010101010101010101010101010101010101010101010101\n";
const TIMEOUT: Duration = Duration::from_secs(20);
const LOG: u64 = 7;
/// Commands that are sent with each lease, and at the same time in a request of their own.
const COMMANDS_PER_LEASE: u64 = 256;
const LEASES: u64 = 60;

/// A parent process that sends all commands twice, in two messages at the same time.
struct Parent {
    lease_ns: u64,
    /// The last command that was sent.
    last_sent: AtomicU64,
    /// Number of leases that were granted.
    leases: watch::Sender<u64>,
    /// Positions beyond the last command, as the child reported them.
    invalid_positions: Mutex<Vec<(&'static str, u64)>>,
}

impl Parent {
    fn check_position(&self, source: &'static str, position: LogPosition) {
        if position.log == LOG && position.index > self.last_sent.load(Ordering::Relaxed) {
            self.invalid_positions.lock().unwrap().push((source, position.index));
        }
    }

    /// Grants a lease with the next commands, and sends them in a request of their own as well.
    fn grant_lease(&self, from: Arc<RpcConnection>, applied: LogPosition) -> Response {
        let last = applied.index + COMMANDS_PER_LEASE;
        self.last_sent.fetch_max(last, Ordering::Relaxed);
        let commands: Vec<_> = (applied.index + 1..=last).map(purge).collect();
        let push = Request::Commands { log: LOG, commands: commands.clone() };
        tokio::spawn(async move { from.request(push, TIMEOUT).await });
        self.leases.send_modify(|count| *count += 1);
        let position = LogPosition { log: LOG, index: last };
        Response::LeaseGranted { for_ns: self.lease_ns, position, commands, store_id: 0 }
    }
}

impl RequestHandler for Parent {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        Box::pin(async move {
            match request {
                Request::RenewLease(Some(applied)) if applied.log == LOG => {
                    self.check_position("renewal", applied);
                    self.grant_lease(from, applied)
                }
                Request::RenewLease(_) => Response::ResetRequired {
                    position: LogPosition { log: LOG, index: 0 },
                    withdrawn: Vec::new(),
                },
                Request::ReportAcknowledged { acknowledged, .. } => {
                    self.check_position("acknowledgement", acknowledged);
                    Response::Done
                }
                _ => Response::Done,
            }
        })
    }
}

fn purge(number: u64) -> FleetCommand {
    FleetCommand { number, action: CommandAction::Purge(vec![PurgeScope::Prefix("+49".into())]) }
}

/// The settings of the only process of a site below the root.
fn leaf_settings(folder: &std::path::Path, parent: SocketAddr) -> Site {
    std::fs::write(folder.join("key"), KEY_TEXT).unwrap();
    let own = lilacpitch_net::free_addresses(1).unwrap()[0];
    let path = folder.join("leaf.cue");
    let text = format!(
        "name: \"leaf-0\"\nsite: \"leaf\"\nplace: 0\nlisten: \"{own}\"\ndata: \"data\"\nkey_file: \"key\"\n\
         sites: [\n{{name: \"root\", processes: [\"{parent}\"]}},\n\
         {{name: \"leaf\", parent: \"root\", processes: [\"{own}\"]}},\n]\n\
         terms: {{lease: \"250ms\", straggler: \"250ms\", settle: \"250ms\", poll: \"100ms\", ask: \"200ms\"}}\n"
    );
    std::fs::write(&path, text).unwrap();
    Site::load(&path).unwrap().value
}

/// Guards against commands that a process applies twice when the response to its lease request and a request
/// of its parent bring them at the same time: the process then stopped renewing its lease for good or, without
/// debug assertions, acknowledged commands that it did not have.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn commands_that_arrive_twice_at_the_same_time_are_applied_once() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = leaf_settings(folder.path(), listener.local_addr().unwrap());
    let (leases, mut granted) = watch::channel(0);
    let parent = Arc::new(Parent {
        lease_ns: settings.terms.lease_ns,
        last_sent: AtomicU64::new(0),
        leases,
        invalid_positions: Mutex::default(),
    });
    let handler = parent.clone();
    tokio::spawn(async move {
        let role = Role::Process("root".into(), 0);
        let identity =
            LocalIdentity { name: "root-0".into(), incarnation: 1, role, keys: Keys::from_bytes(KEY) };
        while let Ok((stream, _)) = listener.accept().await {
            let _ = accept(stream, &identity, handler.clone(), TIMEOUT).await;
        }
    });
    tokio::spawn(lilacpitch_site::startup::run(
        settings,
        Safeguards::default(),
        |_| {},
        std::future::pending(),
    ));
    let enough = tokio::time::timeout(TIMEOUT, granted.wait_for(|count| *count >= LEASES)).await;
    assert!(enough.is_ok(), "leases are no longer renewed, after {}", *parent.leases.borrow());
    assert_eq!(*parent.invalid_positions.lock().unwrap(), vec![]);
}
