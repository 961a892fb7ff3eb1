//! The hard cases, each with a real front process and scripted peers on loopback.

mod common;
use common::*;
use lilacpitch_protocol::frame::Encoder;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ReleaseCause, ToServer};
use nix::sys::signal::Signal;
use std::io::Write;
use std::time::Instant;

fn two() -> (Servers, Edge) {
    let servers = Servers::start(&[true, true]);
    let edge = Edge::start(&servers, "").ready(&servers, 2);
    (servers, edge)
}

#[test]
fn ends_the_attempt_when_a_caller_drops_its_socket() {
    let (servers, edge) = two();
    let (mut caller, mut other) = (Caller::connect(&edge), Caller::connect(&edge));
    caller.setup("standing", Some(0), 3_000);
    let standing = servers.setup();
    servers.all[0].answer(&standing);
    assert_eq!(caller.answer("standing").1, Answer::Stands);
    caller.setup("out", Some(1), 3_000);
    let out = servers.setup();
    caller.drop_socket();
    let ends = [servers.no_repeat(), servers.no_repeat()];
    let find = |message: ToServer| ends.iter().find(|s| s.message == message);
    assert_eq!(find(ToServer::Release { attempt: standing.attempt() }).map(|s| s.server), Some(0));
    assert_eq!(find(ToServer::Cancel { attempt: out.attempt() }).map(|s| s.server), Some(1));
    // Past both budgets: nothing is sent for them any more.
    assert_eq!(servers.all_within(ms(3_200)), vec![]);
    // Others don't feel it.
    other.setup("next", Some(0), 3_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(other.answer("next").1, Answer::Stands);
}

#[test]
fn retries_when_a_server_resets_after_the_setup() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let first = servers.setup();
    servers.all[first.server].reset(first.conn);
    let reset = Instant::now();
    let second = servers.setup();
    assert!(second.at - reset >= ms(300), "the release is awaited: {:?}", second.at - reset);
    assert_ne!(first.attempt(), second.attempt());
    servers.all[second.server].answer(&second);
    let heard = caller.all_within(ms(500));
    assert_eq!(finals(&heard)["c"], vec![Answer::Stands]);
    assert_eq!(heard.len(), 1, "and nothing else: {heard:?}");
}

#[test]
fn cuts_an_established_call_with_its_connection() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    servers.all[0].answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
    servers.all[0].reset(seen.conn);
    assert_eq!(caller.message(), ToCaller::Released { call: "c".into(), cause: "cut".into() });
    // The id is free again, and the front connects again by itself.
    edge.reaches("lilacpitch_links_made_total", 3);
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    servers.all[seen.server].answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
    servers.all[seen.server]
        .send(seen.conn, &FromServer::Released { attempt: seen.attempt(), cause: ReleaseCause::Ended });
    assert_eq!(caller.message(), ToCaller::Released { call: "c".into(), cause: "ended".into() });
}

#[test]
fn gives_one_answer_when_it_comes_with_the_timeout() {
    // The front keeps 10 ms back: answers around 390 ms meet the time-out of a budget of 400 ms.
    for delay in (382..=398).step_by(2) {
        // A server that was late is held back from for a while: a new front each time.
        let servers = Servers::start(&[true]);
        let edge = Edge::start(&servers, "").ready(&servers, 1);
        let mut caller = Caller::connect(&edge);
        let asked = caller.setup("c", Some(0), 400);
        let seen = servers.setup();
        std::thread::sleep((asked + ms(delay)).saturating_duration_since(Instant::now()));
        servers.all[0].answer(&seen);
        let heard = caller.all_within(ms(100));
        let answers = finals(&heard).remove("c").unwrap_or_default();
        assert_eq!(answers.len(), 1, "exactly one answer at {delay} ms: {heard:?}");
        // Whatever the front told the caller, it told the server the same.
        let told = servers.all_within(ms(60));
        let ended = told.iter().any(|s| !matches!(s.message, ToServer::Setup { .. }));
        assert_eq!(ended, answers[0] != Answer::Stands, "no circuit may stay taken at {delay} ms: {told:?}");
    }
}

#[test]
fn releases_an_answer_after_the_end_of_its_call() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    let asked = caller.setup("c", Some(0), 150);
    let seen = servers.setup();
    let (at, answer) = caller.answer("c");
    assert_eq!(answer, Answer::Refused);
    // Its time, and 50 ms for a busy machine to read it.
    assert!(at - asked <= ms(200), "before its time is up: {:?}", at - asked);
    assert_eq!(servers.no_repeat().message, ToServer::Cancel { attempt: seen.attempt() });
    servers.all[0].answer(&seen);
    assert_eq!(servers.no_repeat().message, ToServer::Release { attempt: seen.attempt() });
    assert_eq!(caller.all_within(ms(200)), vec![], "nothing more is said of it");
    assert_eq!(edge.metric("lilacpitch_answers_late_total"), 1);
    assert!(edge.page().contains("lilacpitch_server_attempts{server=\"r0\"} 0"));
}

#[test]
fn rejects_a_call_id_in_use_and_continues_the_first_call() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    caller.setup("c", Some(1), 3_000);
    let error = ToCaller::Error { reason: "call id is in use".into(), call: Some("c".into()) };
    assert_eq!(caller.message(), error);
    servers.all[0].answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
    caller.setup("c", Some(1), 3_000);
    assert_eq!(caller.message(), error, "in use while it stands");
    assert_eq!(servers.all_within(ms(100)).iter().filter(|s| s.is_new_setup()).count(), 0);
    // Another caller may use the same id.
    let mut other = Caller::connect(&edge);
    other.setup("c", Some(0), 3_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(other.answer("c").1, Answer::Stands);
}

#[test]
fn ends_the_call_when_released_before_the_answer() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    caller.release("c");
    let cause = Some("released by the caller".to_string());
    let answer = ToCaller::Final { call: "c".into(), answer: Answer::Failed, come_back_ms: None, cause };
    assert_eq!(caller.message(), answer);
    assert_eq!(servers.no_repeat().message, ToServer::Cancel { attempt: seen.attempt() });
    servers.all[0].answer(&seen);
    assert_eq!(servers.no_repeat().message, ToServer::Release { attempt: seen.attempt() });
    caller.release("c");
    assert_eq!(caller.message(), ToCaller::Error { reason: "no such call".into(), call: Some("c".into()) });
    assert_eq!(caller.all_within(ms(200)), vec![]);
}

#[test]
fn survives_malformed_messages_of_a_server() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    let r0 = &servers.all[0];
    // An attempt that never was: an answer for it is released, all else passed over.
    r0.send(seen.conn, &FromServer::Answer { attempt: 999, load: None });
    assert_eq!(servers.no_repeat().message, ToServer::Release { attempt: 999 });
    r0.send(seen.conn, &FromServer::Full { attempt: 998, wait_ms: Some(5_000), load: None });
    r0.send(seen.conn, &FromServer::Released { attempt: seen.attempt(), cause: ReleaseCause::Ended });
    r0.text(seen.conn, "{\"type\":\"answer\",\"attempt\":-1}");
    r0.text(seen.conn, "rubbish");
    // Of another server's attempt it has nothing to say: the set-up is not its own, the answer is released.
    servers.all[1].send(0, &FromServer::Full { attempt: seen.attempt(), wait_ms: None, load: None });
    r0.answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
    r0.answer(&seen);
    r0.send(seen.conn, &FromServer::Full { attempt: seen.attempt(), wait_ms: None, load: None });
    edge.reaches("lilacpitch_server_errors_total", 4);
    assert_eq!(caller.all_within(ms(200)), vec![], "one answer, and the call stands");
    // Broken framing ends the connection, and with it what stands there.
    r0.raw(seen.conn, &[0xff, 0xff, 0xff]);
    assert_eq!(caller.message(), ToCaller::Released { call: "c".into(), cause: "cut".into() });
}

#[test]
fn survives_a_server_that_never_upgrades() {
    let servers = Servers::start(&[false, true]);
    let edge = Edge::start(&servers, "").ready(&servers, 1);
    let mut caller = Caller::connect(&edge);
    // Its first choice can't be reached: it waits for the connection, then goes elsewhere, never sent before.
    caller.setup("c", Some(0), 3_000);
    let seen = servers.setup();
    assert_eq!(seen.server, 1);
    servers.all[1].answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
    edge.reaches("lilacpitch_links_lost_total", 1);
    caller.setup("d", Some(0), 3_000);
    let seen = servers.setup();
    servers.all[1].answer(&seen);
    assert_eq!(caller.answer("d").1, Answer::Stands);
}

#[test]
fn reconnects_after_the_endpoint_list_could_have_reported_a_restart() {
    let (servers, edge) = two();
    servers.all[0].reset(0);
    let lost = Instant::now();
    edge.reaches("lilacpitch_links_lost_total", 1);
    edge.reaches("lilacpitch_links_made_total", 3);
    let gap = lost.elapsed();
    assert!(gap >= ms(500), "back after {gap:?}");
}

#[test]
fn moves_calls_when_the_list_removes_their_server() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("standing", Some(0), 5_000);
    let standing = servers.setup();
    servers.all[0].answer(&standing);
    assert_eq!(caller.answer("standing").1, Answer::Stands);
    caller.setup("out", Some(0), 5_000);
    let out = servers.setup();
    edge.list(&servers, &["", "running"]);
    edge.reaches("lilacpitch_pool_lists_taken_total", 2);
    let told = Instant::now();
    for call in ["a", "b", "c"] {
        caller.setup(call, Some(0), 2_000);
        let seen = servers.setup();
        assert_eq!(seen.server, 1, "nothing new to a server that is gone");
        servers.all[1].answer(&seen);
        assert_eq!(caller.answer(call).1, Answer::Stands);
    }
    // Its answer still counts, no repeat is sent there, and what stands there goes on until it ends.
    servers.all[0].answer(&out);
    assert_eq!(caller.answer("out").1, Answer::Stands);
    let after = servers.all_within(ms(700));
    assert!(after.iter().all(|s| s.server == 1 || s.at <= told), "{after:?}");
    caller.release("out");
    caller.release("standing");
    let ends = [servers.no_repeat(), servers.no_repeat()];
    assert!(ends.iter().all(|s| s.server == 0 && matches!(s.message, ToServer::Release { .. })));
    // Empty now, so let go; listed again, it is connected to and used again.
    edge.list(&servers, &["running", "running"]);
    edge.reaches("lilacpitch_links_made_total", 3);
    caller.setup("again", Some(0), 2_000);
    let seen = servers.setup();
    assert_eq!(seen.server, 0);
    servers.all[0].answer(&seen);
    assert_eq!(caller.answer("again").1, Answer::Stands);
}

#[test]
fn knows_a_pool_of_the_settings_without_servers_at_the_start() {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "pools: [\"p7\"]").ready(&servers, 1);
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(7), 2_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(caller.answer("c").1, Answer::Stands);
    caller.setup("d", Some(8), 2_000);
    assert_eq!(caller.message(), ToCaller::Error { reason: "unknown pool".into(), call: Some("d".into()) });
}

#[test]
fn retains_the_current_list_when_a_new_one_is_unreadable() {
    let (servers, edge) = two();
    for (count, text) in ["servers: [", "servers: [{name: 3}]", "\u{0}"].into_iter().enumerate() {
        edge.write_list(text);
        edge.reaches("lilacpitch_pool_list_refused_total", count as u64 + 1);
    }
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(1), 2_000);
    let seen = servers.setup();
    assert_eq!(seen.server, 1);
    servers.all[1].answer(&seen);
    assert_eq!(caller.answer("c").1, Answer::Stands);
}

#[test]
fn answers_once_after_a_stall_of_two_seconds() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("short", Some(0), 800);
    let short = servers.setup();
    caller.setup("long", Some(1), 5_000);
    let long = servers.setup();
    edge.signal(Signal::SIGSTOP);
    std::thread::sleep(ms(200));
    // Answered while the front stands still: it reads that after the time of the first has run out.
    servers.all[0].answer(&short);
    std::thread::sleep(ms(1_800));
    edge.signal(Signal::SIGCONT);
    servers.all[1].answer(&long);
    let heard = caller.all_within(ms(1_500));
    let answers = finals(&heard);
    assert_eq!(answers["short"], vec![Answer::Refused], "its time ran out: {heard:?}");
    assert_eq!(answers["long"].len(), 1, "{heard:?}");
    let told = servers.all_within(ms(100));
    let of_short: Vec<_> =
        told.iter().filter(|s| s.attempt() == short.attempt()).map(|s| &s.message).collect();
    let attempt = short.attempt();
    assert!(of_short.contains(&&ToServer::Cancel { attempt }), "{of_short:?}");
    assert!(of_short.contains(&&ToServer::Release { attempt }), "its late answer is released: {of_short:?}");
    assert!(of_short.iter().all(|m| !matches!(m, ToServer::Setup { .. })), "{of_short:?}");
}

#[test]
fn counts_a_stall_against_the_time_of_queued_calls() {
    // Found on a drawn day: a call sent to a front that stood still was given its whole time from the reading on.
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    edge.signal(Signal::SIGSTOP);
    std::thread::sleep(ms(100));
    caller.setup("over", Some(0), 500);
    std::thread::sleep(ms(1_500));
    let thawed = Instant::now();
    edge.signal(Signal::SIGCONT);
    let (at, answer) = caller.answer("over");
    assert_eq!(answer, Answer::Refused);
    assert!(at - thawed < ms(200), "at once: {:?}", at - thawed);
    assert_eq!(servers.all_within(ms(300)), vec![], "and nothing was sent for it");
    caller.setup("next", Some(0), 3_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(caller.answer("next").1, Answer::Stands);
}

#[test]
fn disconnects_a_caller_that_does_not_read_without_delaying_others() {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "limits: queue: 8").ready(&servers, 1);
    let (mut deaf, _) = open(edge.callers);
    let mut bytes = Vec::new();
    // Each is answered by an error that carries this name back.
    let text = format!("{{\"type\":\"release\",\"call\":\"{}\"}}", "x".repeat(60));
    (0..500).for_each(|_| Encoder::text(&mut bytes, &text, Some([0, 0, 0, 1])));
    // Writes until the front has cut it off: 20 MB are more than all buffers on the way hold.
    let cut = (0..700).any(|_| deaf.write_all(&bytes).is_err());
    assert!(cut, "not cut off");
    edge.reaches("lilacpitch_callers_cut_off_total", 1);
    let mut caller = Caller::connect(&edge);
    let asked = caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.setup());
    let (at, answer) = caller.answer("c");
    assert_eq!(answer, Answer::Stands);
    assert!(at - asked < ms(500), "{:?}", at - asked);
}

#[test]
fn broken_framing_closes_with_the_rfc_code_and_bad_messages_do_not() {
    let (servers, edge) = two();
    let mut caller = Caller::connect(&edge);
    for (text, reason) in [
        ("{}", "missing field `type`"),
        ("[1]", "not a JSON object"),
        ("{\"type\":\"setup\",\"call\":\"c\",\"class\":\"no\",\"budget_ms\":9}", "unknown class"),
        (
            "{\"type\":\"setup\",\"call\":\"c\",\"class\":\"one\",\"pool\":\"no\",\"budget_ms\":9}",
            "unknown pool",
        ),
        ("{\"type\":\"setup\",\"call\":\"c\",\"class\":\"one\",\"budget_ms\":0}", "field budget_ms"),
    ] {
        caller.text(text);
        let ToCaller::Error { reason: told, .. } = caller.message() else { panic!("no error for {text}") };
        assert!(told.contains(reason), "{text}: {told}");
    }
    caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(caller.answer("c").1, Answer::Stands);
    let mut binary = vec![0x82, 0x80];
    binary.extend([0; 4]);
    let mut huge = vec![0x81, 0xff];
    huge.extend((1u64 << 30).to_be_bytes());
    huge.extend([0; 4]);
    for (bytes, code) in [(vec![0x81, 0x00], 1002), (binary, 1003), (huge, 1009)] {
        let mut caller = Caller::connect(&edge);
        caller.raw(&bytes);
        assert_eq!(caller.next(SOON).map(|h| h.1), Some(Err(Some(code))));
    }
}

#[test]
fn enforces_limits_on_callers_and_calls() {
    let servers = Servers::start(&[true]);
    let more = "limits: {callers: 2, calls: 3, calls_per_caller: 2}";
    let edge = Edge::start(&servers, more).ready(&servers, 1);
    let (mut one, mut two) = (Caller::connect(&edge), Caller::connect(&edge));
    let refused = std::panic::catch_unwind(|| open(edge.callers));
    assert!(refused.is_err(), "a third caller gets no connection");
    one.setup("a", Some(0), 3_000);
    one.setup("b", Some(0), 3_000);
    one.setup("e", Some(0), 3_000);
    edge.reaches("lilacpitch_caller_errors_total", 1);
    two.setup("c", Some(0), 3_000);
    two.setup("d", Some(0), 3_000);
    let error = |call: &str, reason: &str| ToCaller::Error { reason: reason.into(), call: Some(call.into()) };
    let first = one.all_within(ms(150));
    assert!(first.iter().any(|h| h.1 == Ok(error("e", "too many calls on this connection"))), "{first:?}");
    let second = two.all_within(ms(150));
    assert!(second.iter().any(|h| h.1 == Ok(error("d", "too many calls at this front"))), "{second:?}");
}

#[test]
fn rejects_new_calls_when_stopping_and_lets_active_calls_finish() {
    let (servers, mut edge) = two();
    let mut caller = Caller::connect(&edge);
    caller.setup("standing", Some(0), 3_000);
    let standing = servers.setup();
    servers.all[0].answer(&standing);
    assert_eq!(caller.answer("standing").1, Answer::Stands);
    caller.setup("out", Some(1), 3_000);
    let out = servers.setup();
    let stopped = Instant::now();
    edge.signal(Signal::SIGTERM);
    std::thread::sleep(ms(100));
    caller.setup("late", Some(0), 3_000);
    let error = ToCaller::Error { reason: "the front is stopping".into(), call: Some("late".into()) };
    assert_eq!(caller.message(), error);
    // The settings give 500 ms: then what stands is released, and what is owed is answered.
    let heard = caller.all_within(ms(1_500));
    let cause = Some("the front is stopping".to_string());
    let failed = ToCaller::Final { call: "out".into(), answer: Answer::Failed, come_back_ms: None, cause };
    let released = ToCaller::Released { call: "standing".into(), cause: "the front is stopping".into() };
    let messages: Vec<_> = heard.iter().map(|h| h.1.clone()).collect();
    assert!(messages.contains(&Ok(failed)) && messages.contains(&Ok(released)), "{heard:?}");
    assert_eq!(messages.last(), Some(&Err(Some(1001))), "going away");
    assert!(heard[0].0 - stopped >= ms(450), "{:?}", heard[0].0 - stopped);
    let told = servers.all_within(ms(200));
    let told = |message: ToServer| told.iter().any(|s| s.message == message);
    assert!(told(ToServer::Release { attempt: standing.attempt() }));
    assert!(told(ToServer::Cancel { attempt: out.attempt() }));
    assert_eq!(edge.ended(SOON), Some(true));
}
