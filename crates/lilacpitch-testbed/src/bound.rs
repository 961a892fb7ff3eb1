//! An upper bound on service: that of a router with perfect knowledge, computed from the day's script alone.
//!
//! It is a fluid approximation in time steps. In each step the servers that run and are listed process calls
//! at their current capacity, and the calls that have arrived are served within their target time, those of
//! the highest worth first. Faults that affect all attempts of a call are lost calls; faults of single
//! set-ups cost the router only a retry elsewhere and are ignored. Random variation, latency, releases and
//! circuits are left out, so the bound is a little above what can be reached.

use crate::day::{Day, Listed, ServerEvent, ServerSpec};
use crate::simulation::server::{FaultSelector, Server};
use lilacpitch::interface::Nanos;
use std::collections::VecDeque;

/// Length of a time step.
const STEP_NS: Nanos = 100_000_000;

/// A server of the approximation.
struct BoundServer {
    model: Server,
    running: bool,
    listed: bool,
}

/// The upper bound on service, as a share of the worth offered.
pub fn bound(day: &Day) -> f64 {
    let script = day.script();
    let rate = day.rate(&script);
    let new_server = |(spec, listed): &(ServerSpec, bool)| BoundServer {
        model: Server::new(day.server_parameters(spec)),
        running: *listed,
        listed: *listed,
    };
    let mut servers: Vec<BoundServer> = script.servers.iter().map(new_server).collect();
    let (mut events, mut lists) =
        (script.server_events.iter().peekable(), script.list_changes.iter().peekable());
    let total_share: f64 = day.classes.iter().map(|c| c.share).sum();
    // The classes in descending order of worth, each with its waiting calls and the end of their target time.
    let mut classes: Vec<_> = day.classes.iter().map(|c| (c, VecDeque::<(Nanos, f64)>::new())).collect();
    classes.sort_by(|a, b| b.0.worth.total_cmp(&a.0.worth));
    let (mut earned, mut offered, mut lost) = (0.0, 0.0, 0.0f64);
    for now in (0..day.length_ns).step_by(STEP_NS as usize) {
        while let Some((_, server, event)) = events.next_if(|e| e.0 <= now) {
            let server = &mut servers[*server];
            match event {
                ServerEvent::Slow(times) => server.model.slow(*times),
                ServerEvent::Pause(_) | ServerEvent::LoseAnswers(_) | ServerEvent::Reset => {}
                ServerEvent::BeginFault(fault) if fault.first == 0 && fault.by != FaultSelector::Setup => {
                    lost += fault.share;
                }
                ServerEvent::EndFault(fault) if fault.first == 0 && fault.by != FaultSelector::Setup => {
                    lost -= fault.share;
                }
                ServerEvent::BeginFault(_) | ServerEvent::EndFault(_) => {}
                ServerEvent::Silence | ServerEvent::Stop => server.running = false,
                ServerEvent::Start => {
                    server.model.start(now);
                    server.running = true;
                }
            }
        }
        while let Some((_, server, listed)) = lists.next_if(|l| l.0 <= now) {
            servers[*server].listed = matches!(listed, Listed::Running(_));
        }
        let step_s = STEP_NS as f64 / 1e9;
        let in_service = servers.iter().filter(|server| server.running && server.listed);
        let mut capacity = in_service.map(|server| server.model.capacity_per_s(now)).sum::<f64>() * step_s;
        // The average over the servers, so that the same fault at all of them counts once.
        let reachable = 1.0 - (lost / servers.len() as f64).clamp(0.0, 1.0);
        let calls = rate.at(now) * day.edges as f64 * step_s;
        for (class, waiting) in &mut classes {
            let arrived = calls * class.share / total_share;
            offered += arrived * class.worth;
            waiting.push_back((now + class.aim_ns, arrived * reachable));
            while waiting.front().is_some_and(|(deadline, _)| *deadline < now) {
                waiting.pop_front();
            }
            for (_, calls) in waiting.iter_mut() {
                let served = calls.min(capacity);
                (capacity, *calls) = (capacity - served, *calls - served);
                earned += served * class.worth;
            }
        }
    }
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}
