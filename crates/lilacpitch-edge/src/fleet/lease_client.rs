//! The lease from the home site, orders from it, and summaries.

use super::{wall_ms, Agent, Counters, FromAgent};
use lilacpitch_fleet::lease_holder::LeaseUpdate;
use lilacpitch_fleet::message::{FleetCommand, Request, Response};
use lilacpitch_rpc::{steady_ns, Dialer, RpcConnection};
use std::sync::Arc;
use std::time::Duration;

/// Keeps the lease in force.
pub(super) async fn follow(agent: Arc<Agent>) {
    loop {
        let (asked_ns, applied) = (steady_ns(), agent.holder.lock().position());
        let home = agent.above();
        let again = match home.request(Request::RenewLease(applied), agent.patience()).await {
            Ok(Response::Rejected(why)) => {
                tracing::debug!(%why, "no lease");
                agent.above.lock().record_failure();
                false
            }
            Ok(response) => {
                agent.above.lock().record_success();
                agent.renewed(asked_ns, response)
            }
            Err(error) => {
                tracing::debug!(%error, "no lease");
                agent.above.lock().record_failure();
                false
            }
        };
        agent.note_version();
        agent.say_version(&home).await;
        if !again {
            let gap_ns = agent.above.lock().next_renewal_delay_ns(&agent.terms);
            tokio::time::sleep(Duration::from_nanos(gap_ns)).await;
        }
    }
}

/// Asks the home site for summaries.
pub(super) async fn poll(agent: Arc<Agent>) {
    let gap = Duration::from_nanos(agent.of.terms.poll_ns);
    loop {
        let (asked_ns, known) = (steady_ns(), agent.catalogue.read().known_summaries());
        let said = agent.above().request(Request::Summaries(known), agent.patience()).await;
        let more = match said {
            Ok(Response::Summaries(news)) => {
                let applied = agent.catalogue.write().apply_updates(asked_ns, news);
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
    /// The process of the home site that is followed.
    pub(super) fn above(&self) -> Arc<Dialer> {
        self.home[self.above.lock().selected_index(self.home.len())].clone()
    }

    pub(super) fn patience(&self) -> Duration {
        Duration::from_nanos(self.of.terms.ask_ns * 5)
    }

    fn renewed(&self, asked_ns: u64, response: Response) -> bool {
        if let Response::LeaseGranted { store_id, .. } = &response {
            self.register_is(*store_id);
        }
        let granted = matches!(response, Response::LeaseGranted { .. });
        // Held until what is ordered is applied: two answers must not apply one order twice.
        let mut holder = self.holder.lock();
        match holder.handle_response(asked_ns, response) {
            LeaseUpdate::Commands(orders) => self.apply(&mut holder, orders),
            LeaseUpdate::Reset => {
                self.cache.clear(steady_ns());
                Counters::one(&self.counters.fresh_starts);
                tracing::info!(position = ?holder.position(), "a fresh start: what was cached is dropped");
            }
            LeaseUpdate::Unchanged => {}
        }
        let again = !granted || holder.valid_until(steady_ns()).is_err();
        let in_force = !holder.is_withdrawn();
        drop(holder);
        self.say_in_force(in_force);
        // A fresh start, or a lease that asks for more orders first, is worth another question at once.
        again && in_force
    }

    /// Tells the front's loop whether its settings are in force, when that has changed: not with each order.
    fn say_in_force(&self, in_force: bool) {
        let mut said = self.in_force_said.lock();
        if *said != in_force && self.say.try_send(FromAgent::InForce(in_force)).is_ok() {
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

    /// What the home site asks of this front.
    pub(super) fn answer(&self, _from: &RpcConnection, ask: Request) -> Response {
        let Request::Commands { log, commands } = ask else {
            return Response::Rejected(lilacpitch_fleet::message::RejectReason::Unsupported);
        };
        let mut holder = self.holder.lock();
        match holder.select_next_commands(log, commands) {
            Ok(next) => self.apply(&mut holder, next),
            Err(error) => tracing::debug!(%error, "orders not taken"),
        }
        let (position, in_force) = (holder.position().unwrap_or_default(), !holder.is_withdrawn());
        drop(holder);
        self.say_in_force(in_force);
        self.note_version();
        Response::Applied(position)
    }

    /// Says upwards what this front acted on, until it is taken.
    async fn say_version(&self, home: &Dialer) {
        let record = self.recorder.lock().pending_record(wall_ms());
        if let Ok(Response::Written) =
            home.request(Request::Audit(vec![record.clone()]), self.patience() * 3).await
        {
            self.recorder.lock().acknowledge(&record);
        }
    }

    /// The front stops: what is cached is dropped, and the home site need not wait for the lease.
    pub(super) async fn leave(&self) {
        self.cache.clear(steady_ns());
        let _ = self.above().request(Request::ReleaseLease, self.patience()).await;
    }
}
