//! The client of the home site: renews the lease, applies purge commands, and fetches the summaries of all
//! sites.

use super::{wall_ms, Agent, Counters, FromAgent};
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::message::{FleetCommand, RejectReason, Request, Response};
use lilacpitch_rpc::{steady_ns, Dialer, RpcConnection};
use std::sync::Arc;
use std::time::Duration;

/// Renews the lease for as long as the agent runs.
pub(super) async fn renew_lease(agent: Arc<Agent>) {
    loop {
        let (requested_ns, position) = (steady_ns(), agent.lease_holder.lock().position());
        let home = agent.home_dialer();
        let is_due_at_once = match home.request(Request::RenewLease(position), agent.request_timeout()).await
        {
            Ok(Response::Rejected(reason)) => {
                tracing::debug!(why = %reason, "lease rejected");
                agent.home_selection.lock().record_failure();
                false
            }
            Ok(response) => {
                agent.home_selection.lock().record_success();
                agent.handle_renewal(requested_ns, response)
            }
            Err(error) => {
                tracing::debug!(%error, "lease not renewed");
                agent.home_selection.lock().record_failure();
                false
            }
        };
        agent.record_version();
        agent.report_version(&home).await;
        if !is_due_at_once {
            let delay_ns = agent.home_selection.lock().next_renewal_delay_ns(&agent.lease_terms);
            tokio::time::sleep(Duration::from_nanos(delay_ns)).await;
        }
    }
}

/// Polls the home site for summaries for as long as the agent runs.
pub(super) async fn poll_summaries(agent: Arc<Agent>) {
    let poll_interval = Duration::from_nanos(agent.settings.terms.poll_ns);
    loop {
        let (requested_ns, known) = (steady_ns(), agent.catalogue.read().known_summaries());
        let response = agent.home_dialer().request(Request::Summaries(known), agent.request_timeout()).await;
        let has_more = match response {
            Ok(Response::Summaries(updates)) => {
                let applied = agent.catalogue.write().apply_updates(requested_ns, updates);
                for error in applied.errors {
                    Counters::increment(&agent.counters.rejected_summaries);
                    tracing::warn!(%error, "summary rejected");
                }
                applied.has_more
            }
            _ => false,
        };
        if !has_more {
            tokio::time::sleep(poll_interval).await;
        }
    }
}

impl Agent {
    /// The connection to the selected process of the home site.
    pub(super) fn home_dialer(&self) -> Arc<Dialer> {
        self.home_dialers[self.home_selection.lock().selected_index(self.home_dialers.len())].clone()
    }

    /// The timeout of a request to the home site.
    pub(super) fn request_timeout(&self) -> Duration {
        Duration::from_nanos(self.settings.terms.ask_ns * 5)
    }

    /// Handles the response to a renewal. Returns whether the next renewal is due at once.
    fn handle_renewal(&self, requested_ns: u64, response: Response) -> bool {
        if let Response::LeaseGranted { store_id, .. } = &response {
            self.handle_store_id(*store_id);
        }
        let is_granted = matches!(response, Response::LeaseGranted { .. });
        // Locked until the commands are applied: two responses must not apply one command twice.
        let mut holder = self.lease_holder.lock();
        match holder.handle_response(requested_ns, response) {
            LeaseUpdate::Commands(commands) => self.apply(&mut holder, commands),
            LeaseUpdate::Reset => {
                self.cache.clear(steady_ns());
                Counters::increment(&self.counters.lease_resets);
                tracing::info!(position = ?holder.position(), "lease reset, cache dropped");
            }
            LeaseUpdate::Unchanged => {}
        }
        let is_incomplete = !is_granted || holder.valid_until(steady_ns()).is_err();
        let is_in_force = !holder.is_withdrawn();
        drop(holder);
        self.report_in_force(is_in_force);
        // After a reset, or while the lease requires commands that are not applied yet, the next renewal is
        // due at once.
        is_incomplete && is_in_force
    }

    /// Reports to the driver whether the settings are in force, when that has changed.
    fn report_in_force(&self, is_in_force: bool) {
        let mut reported = self.reported_in_force.lock();
        if *reported != is_in_force
            && self.to_driver.try_send(FromAgent::SettingsInForce(is_in_force)).is_ok()
        {
            *reported = is_in_force;
        }
    }

    /// Applies commands to the cache in their order. The caller holds the lock of the lease holder.
    fn apply(&self, holder: &mut LeaseHolder, commands: Vec<FleetCommand>) {
        let now = steady_ns();
        for command in commands {
            self.cache.apply(now, &command);
            holder.record_applied(&command);
            Counters::increment(&self.counters.applied_commands);
        }
    }

    /// Answers a request of the home site.
    pub(super) fn answer(&self, _connection: &RpcConnection, request: Request) -> Response {
        let Request::Commands { log, commands } = request else {
            return Response::Rejected(RejectReason::Unsupported);
        };
        let mut holder = self.lease_holder.lock();
        match holder.select_next_commands(log, commands) {
            Ok(next_commands) => self.apply(&mut holder, next_commands),
            Err(error) => tracing::debug!(%error, "purge commands rejected"),
        }
        let (position, is_in_force) = (holder.position().unwrap_or_default(), !holder.is_withdrawn());
        drop(holder);
        self.report_in_force(is_in_force);
        self.record_version();
        Response::Applied(position)
    }

    /// Reports the version that this edge acts on to the home site. It is reported again with each renewal
    /// until it is acknowledged.
    async fn report_version(&self, home: &Dialer) {
        let record = self.audit_recorder.lock().pending_record(wall_ms());
        if let Ok(Response::Written) =
            home.request(Request::Audit(vec![record.clone()]), self.request_timeout() * 3).await
        {
            self.audit_recorder.lock().acknowledge(&record);
        }
    }

    /// Drops the cache and releases the lease when the edge stops, so that the home site need not wait for
    /// its expiry.
    pub(super) async fn release_lease(&self) {
        self.cache.clear(steady_ns());
        let _ = self.home_dialer().request(Request::ReleaseLease, self.request_timeout()).await;
    }
}
