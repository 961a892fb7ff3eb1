//! The lease from the home site, its purge commands, and the summaries of all sites.

use super::{wall_ms, Agent, Counters, FromAgent};
use lilacpitch_fleet::lease_holder::LeaseUpdate;
use lilacpitch_fleet::message::{FleetCommand, Request, Response};
use lilacpitch_rpc::{steady_ns, Dialer, RpcConnection};
use std::sync::Arc;
use std::time::Duration;

/// Renews the lease for as long as the agent runs.
pub(super) async fn follow(agent: Arc<Agent>) {
    loop {
        let (requested_ns, applied) = (steady_ns(), agent.holder.lock().position());
        let home = agent.home_dialer();
        let again = match home.request(Request::RenewLease(applied), agent.patience()).await {
            Ok(Response::Rejected(why)) => {
                tracing::debug!(%why, "lease refused");
                agent.home_selection.lock().record_failure();
                false
            }
            Ok(response) => {
                agent.home_selection.lock().record_success();
                agent.renewed(requested_ns, response)
            }
            Err(error) => {
                tracing::debug!(%error, "lease not renewed");
                agent.home_selection.lock().record_failure();
                false
            }
        };
        agent.note_version();
        agent.report_version(&home).await;
        if !again {
            let gap_ns = agent.home_selection.lock().next_renewal_delay_ns(&agent.terms);
            tokio::time::sleep(Duration::from_nanos(gap_ns)).await;
        }
    }
}

/// Polls the home site for summaries.
pub(super) async fn poll(agent: Arc<Agent>) {
    let gap = Duration::from_nanos(agent.of.terms.poll_ns);
    loop {
        let (requested_ns, known) = (steady_ns(), agent.catalogue.read().known_summaries());
        let said = agent.home_dialer().request(Request::Summaries(known), agent.patience()).await;
        let more = match said {
            Ok(Response::Summaries(news)) => {
                let applied = agent.catalogue.write().apply_updates(requested_ns, news);
                for error in applied.errors {
                    Counters::one(&agent.counters.summaries_refused);
                    tracing::warn!(%error, "summary rejected");
                }
                applied.has_more
            }
            _ => false,
        };
        if !more {
            tokio::time::sleep(gap).await;
        }
    }
}

impl Agent {
    /// The connection to the process of the home site that is in use.
    pub(super) fn home_dialer(&self) -> Arc<Dialer> {
        self.home[self.home_selection.lock().selected_index(self.home.len())].clone()
    }

    pub(super) fn patience(&self) -> Duration {
        Duration::from_nanos(self.of.terms.ask_ns * 5)
    }

    fn renewed(&self, requested_ns: u64, response: Response) -> bool {
        if let Response::LeaseGranted { store_id, .. } = &response {
            self.note_store(*store_id);
        }
        let granted = matches!(response, Response::LeaseGranted { .. });
        // Locked until the commands are applied: two responses must not apply one command twice.
        let mut holder = self.holder.lock();
        match holder.handle_response(requested_ns, response) {
            LeaseUpdate::Commands(orders) => self.apply(&mut holder, orders),
            LeaseUpdate::Reset => {
                self.cache.clear(steady_ns());
                Counters::one(&self.counters.fresh_starts);
                tracing::info!(position = ?holder.position(), "lease reset, cache dropped");
            }
            LeaseUpdate::Unchanged => {}
        }
        let again = !granted || holder.valid_until(steady_ns()).is_err();
        let in_force = !holder.is_withdrawn();
        drop(holder);
        self.report_in_force(in_force);
        // After a reset, or while a lease waits for more commands to be applied, the next renewal follows at once.
        again && in_force
    }

    /// Reports to the driver whether the settings are in force, when that has changed.
    fn report_in_force(&self, in_force: bool) {
        let mut said = self.reported_in_force.lock();
        if *said != in_force && self.front.try_send(FromAgent::SettingsInForce(in_force)).is_ok() {
            *said = in_force;
        }
    }

    fn apply(&self, holder: &mut lilacpitch_fleet::lease_holder::LeaseHolder, orders: Vec<FleetCommand>) {
        let now = steady_ns();
        for order in orders {
            self.cache.apply(now, &order);
            holder.record_applied(&order);
            Counters::one(&self.counters.orders);
        }
    }

    /// Answers a request of the home site.
    pub(super) fn answer(&self, _from: &RpcConnection, ask: Request) -> Response {
        let Request::Commands { log, commands } = ask else {
            return Response::Rejected(lilacpitch_fleet::message::RejectReason::Unsupported);
        };
        let mut holder = self.holder.lock();
        match holder.select_next_commands(log, commands) {
            Ok(next) => self.apply(&mut holder, next),
            Err(error) => tracing::debug!(%error, "purge commands rejected"),
        }
        let (position, in_force) = (holder.position().unwrap_or_default(), !holder.is_withdrawn());
        drop(holder);
        self.report_in_force(in_force);
        self.note_version();
        Response::Applied(position)
    }

    /// Reports the version that this edge acts on to the home site, until it is acknowledged.
    async fn report_version(&self, home: &Dialer) {
        let record = self.recorder.lock().pending_record(wall_ms());
        if let Ok(Response::Written) =
            home.request(Request::Audit(vec![record.clone()]), self.patience() * 3).await
        {
            self.recorder.lock().acknowledge(&record);
        }
    }

    /// The edge stops: the cache is dropped, and the home site need not wait for the lease to expire.
    pub(super) async fn release_lease(&self) {
        self.cache.clear(steady_ns());
        let _ = self.home_dialer().request(Request::ReleaseLease, self.patience()).await;
    }
}
