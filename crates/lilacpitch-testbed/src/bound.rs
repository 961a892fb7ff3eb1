//! What no front could do better: service of a router that knows all, from the day's script alone.
//!
//! A fluid count in steps: in each, servers that run and are listed do what they can at their age, and calls that
//! came are served, the dearest first, within their wanted time. What a call's own number or label meets at every
//! server is lost to it; what ails single set-ups costs it a further try elsewhere and nothing else. Chance, ways,
//! releases and single circuits are left out, so the bound is a little above what can be reached.

use crate::day::{Day, Listed, ServerEvent};
use crate::simulation::server::{By, Server};
use lilacpitch::interface::Nanos;
use std::collections::VecDeque;

const STEP_NS: Nanos = 100_000_000;

/// The greatest service, as a share of the worth offered.
pub fn bound(day: &Day) -> f64 {
    let script = day.script();
    let rate = day.rate(&script);
    let mut servers: Vec<(Server, bool, bool)> =
        script.servers.iter().map(|(make, listed)| (Server::new(day.make(make)), *listed, *listed)).collect();
    let (mut events, mut lists) = (script.server.iter().peekable(), script.list.iter().peekable());
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    // By worth, dearest first: what waits of a class, by when its wanted time is over.
    let mut classes: Vec<_> = day.classes.iter().map(|c| (c, VecDeque::<(Nanos, f64)>::new())).collect();
    classes.sort_by(|a, b| b.0.worth.total_cmp(&a.0.worth));
    let (mut earned, mut offered, mut lost) = (0.0, 0.0, 0.0f64);
    for now in (0..day.length_ns).step_by(STEP_NS as usize) {
        while let Some((_, server, event)) = events.next_if(|e| e.0 <= now) {
            let (model, up, _) = &mut servers[*server];
            match event {
                ServerEvent::Slow(times) => model.slow(*times),
                ServerEvent::Still(_) | ServerEvent::LoseAnswers(_) | ServerEvent::Reset => {}
                ServerEvent::Ail(ailment) if ailment.first == 0 && ailment.by != By::Setup => {
                    lost += ailment.share;
                }
                ServerEvent::Heal(ailment) if ailment.first == 0 && ailment.by != By::Setup => {
                    lost -= ailment.share;
                }
                ServerEvent::Ail(_) | ServerEvent::Heal(_) => {}
                ServerEvent::Die | ServerEvent::Stop => *up = false,
                ServerEvent::Start => {
                    model.start(now);
                    *up = true;
                }
            }
        }
        while let Some((_, server, listed)) = lists.next_if(|l| l.0 <= now) {
            servers[*server].2 = matches!(listed, Listed::Running(_));
        }
        let step_s = STEP_NS as f64 / 1e9;
        let open = servers.iter().filter(|(_, up, listed)| *up && *listed);
        let mut room = open.map(|(model, _, _)| model.can_do_per_s(now)).sum::<f64>() * step_s;
        // An ailment at all servers alike counts once.
        let reachable = 1.0 - (lost / servers.len() as f64).clamp(0.0, 1.0);
        let calls = rate.at(now) * day.edges as f64 * step_s;
        for (class, waiting) in &mut classes {
            let came = calls * class.share / shares;
            offered += came * class.worth;
            waiting.push_back((now + class.aim_ns, came * reachable));
            while waiting.front().is_some_and(|(until, _)| *until < now) {
                waiting.pop_front();
            }
            for (_, calls) in waiting.iter_mut() {
                let served = calls.min(room);
                (room, *calls) = (room - served, *calls - served);
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
