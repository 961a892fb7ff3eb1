//! Faults and unusual orders of events, with a real front process and scripted callers and servers on
//! loopback.

mod common;
use common::*;
use lilacpitch_protocol::frame::Encoder;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ReleaseCause, ToServer};
use nix::sys::signal::Signal;
use std::io::Write;
use std::time::Instant;

/// Starts two servers, and a front that is connected to both.
fn start_two_servers() -> (Servers, Edge) {
    let servers = Servers::start(&[true, true]);
    let edge = Edge::start(&servers, "").wait_until_connected(&servers, 2);
    (servers, edge)
}

#[test]
fn ends_the_attempt_when_a_caller_drops_its_socket() {
    let (servers, edge) = start_two_servers();
    let (mut caller, mut other) = (Caller::connect(&edge), Caller::connect(&edge));
    caller.setup("established", Some(0), 3_000);
    let established = servers.next_setup();
    servers.all[0].answer(&established);
    assert_eq!(caller.next_answer("established").1, Answer::Stands);
    caller.setup("pending", Some(1), 3_000);
    let pending = servers.next_setup();
    caller.drop_socket();
    let received = [servers.next_unrepeated(), servers.next_unrepeated()];
    let receiver_of = |message: ToServer| received.iter().find(|r| r.message == message).map(|r| r.server);
    assert_eq!(receiver_of(ToServer::Release { attempt: established.attempt() }), Some(0));
    assert_eq!(receiver_of(ToServer::Cancel { attempt: pending.attempt() }), Some(1));
    // After the end of both budgets, nothing more has been sent for the calls.
    assert_eq!(servers.messages_within(ms(3_200)), vec![]);
    // Other callers are not affected.
    other.setup("next", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(other.next_answer("next").1, Answer::Stands);
}

#[test]
fn retries_when_a_server_resets_after_the_setup() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let first = servers.next_setup();
    servers.all[first.server].reset(first.connection);
    let reset_at = Instant::now();
    let second = servers.next_setup();
    let pause = second.received_at - reset_at;
    assert!(pause >= ms(300), "retried without a pause for the release: {pause:?}");
    assert_ne!(first.attempt(), second.attempt());
    servers.all[second.server].answer(&second);
    let events = caller.events_within(ms(500));
    assert_eq!(final_answers(&events)["c"], vec![Answer::Stands]);
    assert_eq!(events.len(), 1, "nothing but the answer: {events:?}");
}

#[test]
fn cuts_an_established_call_with_its_connection() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    servers.all[0].answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    servers.all[0].reset(setup.connection);
    assert_eq!(caller.next_message(), ToCaller::Released { call: "c".into(), cause: "cut".into() });
    // The id may be used again, and the front reconnects.
    edge.wait_for_metric("lilacpitch_links_made_total", 3);
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    servers.all[setup.server].answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    servers.all[setup.server].send(
        setup.connection,
        &FromServer::Released { attempt: setup.attempt(), cause: ReleaseCause::Ended },
    );
    assert_eq!(caller.next_message(), ToCaller::Released { call: "c".into(), cause: "ended".into() });
}

#[test]
fn gives_one_answer_when_it_comes_with_the_timeout() {
    // The front reserves 10 ms of the budget of 400 ms, so answers after about 390 ms coincide with the
    // time-out.
    for delay_ms in (382..=398).step_by(2) {
        // A front avoids a server that was late, so each delay is tested with a new front.
        let servers = Servers::start(&[true]);
        let edge = Edge::start(&servers, "").wait_until_connected(&servers, 1);
        let mut caller = Caller::connect(&edge);
        let sent_at = caller.setup("c", Some(0), 400);
        let setup = servers.next_setup();
        std::thread::sleep((sent_at + ms(delay_ms)).saturating_duration_since(Instant::now()));
        servers.all[0].answer(&setup);
        let events = caller.events_within(ms(100));
        let answers = final_answers(&events).remove("c").unwrap_or_default();
        assert_eq!(answers.len(), 1, "not exactly one answer at {delay_ms} ms: {events:?}");
        // The server is asked to end the call if and only if the caller was not told that it is established.
        let received = servers.messages_within(ms(60));
        let is_ended = received.iter().any(|r| !matches!(r.message, ToServer::Setup { .. }));
        let is_established = answers[0] == Answer::Stands;
        assert_eq!(is_ended, !is_established, "server and caller differ at {delay_ms} ms: {received:?}");
    }
}

#[test]
fn releases_an_answer_after_the_end_of_its_call() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    let sent_at = caller.setup("c", Some(0), 150);
    let setup = servers.next_setup();
    let (answered_at, answer) = caller.next_answer("c");
    assert_eq!(answer, Answer::Refused);
    // The budget of 150 ms, and 50 ms for a busy machine to read the answer.
    assert!(answered_at - sent_at <= ms(200), "answered after the budget: {:?}", answered_at - sent_at);
    assert_eq!(servers.next_unrepeated().message, ToServer::Cancel { attempt: setup.attempt() });
    servers.all[0].answer(&setup);
    assert_eq!(servers.next_unrepeated().message, ToServer::Release { attempt: setup.attempt() });
    assert_eq!(caller.events_within(ms(200)), vec![], "nothing more is sent for the call");
    assert_eq!(edge.metric("lilacpitch_answers_late_total"), 1);
    assert!(edge.metrics_page().contains("lilacpitch_server_attempts{server=\"r0\"} 0"));
}

#[test]
fn rejects_a_call_id_in_use_and_continues_the_first_call() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    caller.setup("c", Some(1), 3_000);
    let error = ToCaller::Error { reason: "call id is in use".into(), call: Some("c".into()) };
    assert_eq!(caller.next_message(), error);
    servers.all[0].answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    caller.setup("c", Some(1), 3_000);
    assert_eq!(caller.next_message(), error, "in use while the call is established");
    assert_eq!(servers.messages_within(ms(100)).iter().filter(|r| r.is_new_setup()).count(), 0);
    // Another caller may use the same id.
    let mut other = Caller::connect(&edge);
    other.setup("c", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(other.next_answer("c").1, Answer::Stands);
}

#[test]
fn ends_the_call_when_released_before_the_answer() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    caller.release("c");
    let cause = Some("released by the caller".to_string());
    let answer = ToCaller::Final { call: "c".into(), answer: Answer::Failed, come_back_ms: None, cause };
    assert_eq!(caller.next_message(), answer);
    assert_eq!(servers.next_unrepeated().message, ToServer::Cancel { attempt: setup.attempt() });
    servers.all[0].answer(&setup);
    assert_eq!(servers.next_unrepeated().message, ToServer::Release { attempt: setup.attempt() });
    caller.release("c");
    assert_eq!(
        caller.next_message(),
        ToCaller::Error { reason: "no such call".into(), call: Some("c".into()) }
    );
    assert_eq!(caller.events_within(ms(200)), vec![]);
}

#[test]
fn survives_malformed_messages_of_a_server() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    let server = &servers.all[0];
    // An attempt that does not exist: an answer for it is released, other messages are ignored.
    server.send(setup.connection, &FromServer::Answer { attempt: 999, load: None });
    assert_eq!(servers.next_unrepeated().message, ToServer::Release { attempt: 999 });
    server.send(setup.connection, &FromServer::Full { attempt: 998, wait_ms: Some(5_000), load: None });
    server.send(
        setup.connection,
        &FromServer::Released { attempt: setup.attempt(), cause: ReleaseCause::Ended },
    );
    server.send_text(setup.connection, "{\"type\":\"answer\",\"attempt\":-1}");
    server.send_text(setup.connection, "rubbish");
    // A server cannot end an attempt at another server.
    servers.all[1].send(0, &FromServer::Full { attempt: setup.attempt(), wait_ms: None, load: None });
    server.answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    server.answer(&setup);
    server.send(setup.connection, &FromServer::Full { attempt: setup.attempt(), wait_ms: None, load: None });
    edge.wait_for_metric("lilacpitch_server_errors_total", 4);
    assert_eq!(caller.events_within(ms(200)), vec![], "one answer, and the call stays established");
    // Invalid framing ends the connection, and the calls that are established on it.
    server.send_bytes(setup.connection, &[0xff, 0xff, 0xff]);
    assert_eq!(caller.next_message(), ToCaller::Released { call: "c".into(), cause: "cut".into() });
}

#[test]
fn survives_a_server_that_never_upgrades() {
    let servers = Servers::start(&[false, true]);
    let edge = Edge::start(&servers, "").wait_until_connected(&servers, 1);
    let mut caller = Caller::connect(&edge);
    // The preferred server is not reached: the set-up waits for the connection, and is then sent to another
    // server.
    caller.setup("c", Some(0), 3_000);
    let setup = servers.next_setup();
    assert_eq!(setup.server, 1);
    servers.all[1].answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    edge.wait_for_metric("lilacpitch_links_lost_total", 1);
    caller.setup("d", Some(0), 3_000);
    let setup = servers.next_setup();
    servers.all[1].answer(&setup);
    assert_eq!(caller.next_answer("d").1, Answer::Stands);
}

#[test]
fn reconnects_after_the_endpoint_list_could_have_reported_a_restart() {
    let (servers, edge) = start_two_servers();
    servers.all[0].reset(0);
    let lost_at = Instant::now();
    edge.wait_for_metric("lilacpitch_links_lost_total", 1);
    edge.wait_for_metric("lilacpitch_links_made_total", 3);
    let delay = lost_at.elapsed();
    assert!(delay >= ms(500), "reconnected after {delay:?}");
}

#[test]
fn moves_calls_when_the_list_removes_their_server() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("established", Some(0), 5_000);
    let established = servers.next_setup();
    servers.all[0].answer(&established);
    assert_eq!(caller.next_answer("established").1, Answer::Stands);
    caller.setup("pending", Some(0), 5_000);
    let pending = servers.next_setup();
    edge.replace_endpoint_list(&servers, &["", "running"]);
    edge.wait_for_metric("lilacpitch_pool_lists_taken_total", 2);
    let removed_at = Instant::now();
    for call in ["a", "b", "c"] {
        caller.setup(call, Some(0), 2_000);
        let setup = servers.next_setup();
        assert_eq!(setup.server, 1, "no new set-up for a removed server");
        servers.all[1].answer(&setup);
        assert_eq!(caller.next_answer(call).1, Answer::Stands);
    }
    // The removed server may still answer, gets no set-up again, and its established calls continue until
    // they end.
    servers.all[0].answer(&pending);
    assert_eq!(caller.next_answer("pending").1, Answer::Stands);
    let later = servers.messages_within(ms(700));
    assert!(later.iter().all(|r| r.server == 1 || r.received_at <= removed_at), "{later:?}");
    caller.release("pending");
    caller.release("established");
    let received = [servers.next_unrepeated(), servers.next_unrepeated()];
    assert!(received.iter().all(|r| r.server == 0 && matches!(r.message, ToServer::Release { .. })));
    // It has no calls now, so the front has disconnected from it. When it is listed again, it is used again.
    edge.replace_endpoint_list(&servers, &["running", "running"]);
    edge.wait_for_metric("lilacpitch_links_made_total", 3);
    caller.setup("again", Some(0), 2_000);
    let setup = servers.next_setup();
    assert_eq!(setup.server, 0);
    servers.all[0].answer(&setup);
    assert_eq!(caller.next_answer("again").1, Answer::Stands);
}

#[test]
fn knows_a_pool_of_the_settings_without_servers_at_the_start() {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "pools: [\"p7\"]").wait_until_connected(&servers, 1);
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(7), 2_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    caller.setup("d", Some(8), 2_000);
    assert_eq!(
        caller.next_message(),
        ToCaller::Error { reason: "unknown pool".into(), call: Some("d".into()) }
    );
}

#[test]
fn retains_the_current_list_when_a_new_one_is_unreadable() {
    let (servers, edge) = start_two_servers();
    for (count, text) in ["servers: [", "servers: [{name: 3}]", "\u{0}"].into_iter().enumerate() {
        edge.write_endpoint_list(text);
        edge.wait_for_metric("lilacpitch_pool_list_refused_total", count as u64 + 1);
    }
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(1), 2_000);
    let setup = servers.next_setup();
    assert_eq!(setup.server, 1);
    servers.all[1].answer(&setup);
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
}

#[test]
fn answers_once_after_a_stall_of_two_seconds() {
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("short", Some(0), 800);
    let short = servers.next_setup();
    caller.setup("long", Some(1), 5_000);
    let long = servers.next_setup();
    edge.send_signal(Signal::SIGSTOP);
    std::thread::sleep(ms(200));
    // Answered while the front is stopped: it reads the answer after the budget of the first call has ended.
    servers.all[0].answer(&short);
    std::thread::sleep(ms(1_800));
    edge.send_signal(Signal::SIGCONT);
    servers.all[1].answer(&long);
    let events = caller.events_within(ms(1_500));
    let answers = final_answers(&events);
    assert_eq!(answers["short"], vec![Answer::Refused], "its budget has ended: {events:?}");
    assert_eq!(answers["long"].len(), 1, "{events:?}");
    let attempt = short.attempt();
    let received = servers.messages_within(ms(100));
    let messages: Vec<_> = received.iter().filter(|r| r.attempt() == attempt).map(|r| &r.message).collect();
    assert!(messages.contains(&&ToServer::Cancel { attempt }), "{messages:?}");
    assert!(messages.contains(&&ToServer::Release { attempt }), "the late answer is released: {messages:?}");
    assert!(messages.iter().all(|message| !matches!(message, ToServer::Setup { .. })), "{messages:?}");
}

#[test]
fn counts_a_stall_against_the_time_of_queued_calls() {
    // Guards against a failure in a simulated day: a call that was sent to a stalled front got its whole
    // budget from the moment at which the front read it.
    let (servers, edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    edge.send_signal(Signal::SIGSTOP);
    std::thread::sleep(ms(100));
    caller.setup("expired", Some(0), 500);
    std::thread::sleep(ms(1_500));
    let continued_at = Instant::now();
    edge.send_signal(Signal::SIGCONT);
    let (answered_at, answer) = caller.next_answer("expired");
    assert_eq!(answer, Answer::Refused);
    assert!(answered_at - continued_at < ms(200), "not at once: {:?}", answered_at - continued_at);
    assert_eq!(servers.messages_within(ms(300)), vec![], "nothing was sent for the call");
    caller.setup("next", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("next").1, Answer::Stands);
}

#[test]
fn disconnects_a_caller_that_does_not_read_without_delaying_others() {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "limits: queue: 8").wait_until_connected(&servers, 1);
    let (mut non_reading, _) = open(edge.callers);
    let mut bytes = Vec::new();
    // Each message is answered by an error that contains the call id.
    let text = format!("{{\"type\":\"release\",\"call\":\"{}\"}}", "x".repeat(60));
    (0..500).for_each(|_| Encoder::text(&mut bytes, &text, Some([0, 0, 0, 1])));
    // Writes until the front has disconnected it: 20 MB exceed all buffers on the way.
    let is_disconnected = (0..700).any(|_| non_reading.write_all(&bytes).is_err());
    assert!(is_disconnected, "the caller is still connected");
    edge.wait_for_metric("lilacpitch_callers_cut_off_total", 1);
    let mut caller = Caller::connect(&edge);
    let sent_at = caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.next_setup());
    let (answered_at, answer) = caller.next_answer("c");
    assert_eq!(answer, Answer::Stands);
    assert!(answered_at - sent_at < ms(500), "{:?}", answered_at - sent_at);
}

#[test]
fn closes_on_invalid_framing_with_the_rfc_code_but_not_on_invalid_messages() {
    let (servers, edge) = start_two_servers();
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
        caller.send_text(text);
        let ToCaller::Error { reason: found, .. } = caller.next_message() else {
            panic!("no error for {text}")
        };
        assert!(found.contains(reason), "{text}: {found}");
    }
    caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    let mut binary = vec![0x82, 0x80];
    binary.extend([0; 4]);
    let mut oversized = vec![0x81, 0xff];
    oversized.extend((1u64 << 30).to_be_bytes());
    oversized.extend([0; 4]);
    for (bytes, code) in [(vec![0x81, 0x00], 1002), (binary, 1003), (oversized, 1009)] {
        let mut caller = Caller::connect(&edge);
        caller.send_bytes(&bytes);
        assert_eq!(caller.next_event(TIMEOUT).map(|event| event.1), Some(Err(Some(code))));
    }
}

#[test]
fn enforces_limits_on_callers_and_calls() {
    let servers = Servers::start(&[true]);
    let limits = "limits: {callers: 2, calls: 3, calls_per_caller: 2}";
    let edge = Edge::start(&servers, limits).wait_until_connected(&servers, 1);
    let (mut first, mut second) = (Caller::connect(&edge), Caller::connect(&edge));
    let third = std::panic::catch_unwind(|| open(edge.callers));
    assert!(third.is_err(), "a third caller must be refused");
    first.setup("a", Some(0), 3_000);
    first.setup("b", Some(0), 3_000);
    first.setup("e", Some(0), 3_000);
    edge.wait_for_metric("lilacpitch_caller_errors_total", 1);
    second.setup("c", Some(0), 3_000);
    second.setup("d", Some(0), 3_000);
    let error = |call: &str, reason: &str| ToCaller::Error { reason: reason.into(), call: Some(call.into()) };
    let first_events = first.events_within(ms(150));
    assert!(
        first_events.iter().any(|event| event.1 == Ok(error("e", "too many calls on this connection"))),
        "{first_events:?}"
    );
    let second_events = second.events_within(ms(150));
    assert!(
        second_events.iter().any(|event| event.1 == Ok(error("d", "too many calls at this front"))),
        "{second_events:?}"
    );
}

#[test]
fn rejects_new_calls_when_stopping_and_lets_active_calls_finish() {
    let (servers, mut edge) = start_two_servers();
    let mut caller = Caller::connect(&edge);
    caller.setup("established", Some(0), 3_000);
    let established = servers.next_setup();
    servers.all[0].answer(&established);
    assert_eq!(caller.next_answer("established").1, Answer::Stands);
    caller.setup("pending", Some(1), 3_000);
    let pending = servers.next_setup();
    let stopped_at = Instant::now();
    edge.send_signal(Signal::SIGTERM);
    std::thread::sleep(ms(100));
    caller.setup("late", Some(0), 3_000);
    let error = ToCaller::Error { reason: "the front is stopping".into(), call: Some("late".into()) };
    assert_eq!(caller.next_message(), error);
    // After the 500 ms of the settings, established calls are released and pending ones are answered.
    let events = caller.events_within(ms(1_500));
    let cause = Some("the front is stopping".to_string());
    let failed =
        ToCaller::Final { call: "pending".into(), answer: Answer::Failed, come_back_ms: None, cause };
    let released = ToCaller::Released { call: "established".into(), cause: "the front is stopping".into() };
    let messages: Vec<_> = events.iter().map(|event| event.1.clone()).collect();
    assert!(messages.contains(&Ok(failed)) && messages.contains(&Ok(released)), "{events:?}");
    assert_eq!(messages.last(), Some(&Err(Some(1001))), "going away");
    let delay = events[0].0 - stopped_at;
    assert!(delay >= ms(450), "{delay:?}");
    let received = servers.messages_within(ms(200));
    let is_received = |message: ToServer| received.iter().any(|r| r.message == message);
    assert!(is_received(ToServer::Release { attempt: established.attempt() }));
    assert!(is_received(ToServer::Cancel { attempt: pending.attempt() }));
    assert_eq!(edge.wait_for_exit(TIMEOUT), Some(true));
}

/// Guards against a new process at the address of one that has gone without a reset and is taken for it: calls were
/// sent on the former one's connection, and its calls were never released.
#[test]
fn process_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    // Under the same name, as a restart, and under another.
    for (name, has_restarted) in [("r0", true), ("new", false)] {
        let servers = Servers::start(&[true]);
        let edge = Edge::start(&servers, "").wait_until_connected(&servers, 1);
        let mut caller = Caller::connect(&edge);
        caller.setup("former", Some(0), 3_000);
        let former = servers.next_setup();
        servers.all[0].answer(&former);
        assert_eq!(caller.next_answer("former").1, Answer::Stands);
        std::thread::sleep(ms(50));
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let started_ms = if has_restarted { now.as_millis() } else { 0 };
        let address = servers.all[0].address;
        edge.write_endpoint_list(&format!(
            "servers: [{{name: {name:?}, pool: \"p0\", address: \"{address}\", started_ms: {started_ms}}}]\n"
        ));
        let cut = ToCaller::Released { call: "former".into(), cause: "cut".into() };
        assert_eq!(caller.next_message(), cut, "{name}");
        wait_until(ms(3_000), "a connection to the new process", || servers.all[0].connection_count() > 1);
        caller.setup("next", Some(0), 3_000);
        // One that has just started may get the set-up late.
        let sent = servers.messages_within(ms(500));
        assert!(has_restarted || !sent.is_empty(), "the new process gets no set-up");
        let is_on_former = |message: &ReceivedMessage| message.connection == former.connection;
        assert!(
            !sent.iter().any(is_on_former),
            "{name}: sent on the connection of the former process: {sent:?}"
        );
    }
}

/// Guards against calls that are never released, because their connection was lost without a sign: nothing was sent on
/// it that could have shown it.
#[test]
fn connection_to_a_server_that_answers_no_ping_is_lost_with_its_calls() {
    let servers = Servers::start(&[true]);
    // The scripted server answers no pings.
    let settings = "timing: quiet: \"1s\"";
    let edge = Edge::start(&servers, settings).wait_until_connected(&servers, 1);
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
    // The caller is heard all the time.
    let mut pong = Vec::new();
    Encoder::pong(&mut pong, b"", Some([1, 2, 3, 4]));
    let until = Instant::now() + ms(5_000);
    let event = loop {
        assert!(Instant::now() < until, "not released");
        caller.send_bytes(&pong);
        if let Some((_, event)) = caller.next_event(ms(200)) {
            break event;
        }
    };
    assert_eq!(event, Ok(ToCaller::Released { call: "c".into(), cause: "cut".into() }));
    edge.wait_for_metric("lilacpitch_links_made_total", 2);
}
