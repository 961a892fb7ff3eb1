//! The adapter's line protocol: framing, events and outcomes, malformed lines, and the adapter's process.

use lilacpitch::wire::Host;
use std::io::Write;
use std::process::{Command, Stdio};

/// Settings of a front with two classes, and one unknown key.
const INFO: &str = r#"{"balancers":2,"classes":[{"aim_ns":1500000000,"worth":1.0},{"aim_ns":1500000000,"worth":3.0}],"family_info":{"release_ns":200000000,"retransmit_ns":300000000,"home_no":-1},"permissions":{"cancel":true,"max_attempts":4,"retry_after":true,"max_retry_after_ns":2000000000},"report":{"fields":["free","size"]},"rules":{"cold_from":0.4,"cold_ns":9000000000,"fall_ns":1000000000},"tick_ns":5000000,"novelty":[1]}"#;

/// The replies of a new host to some lines, or the text of its error.
fn replies_to(lines: &[String]) -> Result<String, String> {
    let (mut host, mut reply) = (Host::new(), String::new());
    for line in lines {
        host.handle_line(line, &mut reply).map_err(|error| error.to_string())?;
    }
    host.end_of_input().map_err(|error| error.to_string())?;
    Ok(reply)
}

/// The lines that start a front with servers 51 and 52.
fn start(front: u64) -> Vec<String> {
    let text = format!(
        "LAUNCH\tfront={front}\tseed=5\tinfo={INFO}\nINVENTORY\tset_id=0\trecords=2\n\
         ROW\tserver=51\track_zone=0\tsku=0\tnumber=0\tavailability=1\tunits=1\n\
         ROW\tserver=52\track_zone=1\tsku=0\tnumber=1\tavailability=1\tunits=1.5\tup_since_ns=61\n\
         ROSTER_CHANGE\tfront={front}\tset_id=0\tkind=2\tepoch=41"
    );
    text.lines().map(str::to_string).collect()
}

/// Frames lines as one batch.
fn batch(now_ns: u64, lines: Vec<String>) -> Vec<String> {
    let mut batch = vec![format!("TURN\tnow_ns={now_ns}")];
    batch.extend(lines);
    batch.extend(["YOUR_TURN".to_string(), String::new()]);
    batch
}

/// The line for a call that arrives, with first choice 51 and an unknown field.
fn ask(front: u64, handle: u64) -> String {
    format!("ASK\tfront={front}\thandle={handle}\tterminates_at=0\tvia=-1\tbudget_ns=3000000000\tcategory=1\tunits=1\titem=7\tbrand_new=x")
}

#[test]
fn empty_batch_is_answered_with_done() {
    assert_eq!(replies_to(&batch(8, vec![])), Ok("DONE\n".to_string()));
}

#[test]
fn forwards_call_to_first_choice_and_ends_reply_with_done() {
    let mut lines = start(3);
    lines.push(ask(3, 900));
    let reply = replies_to(&batch(50_000_000_000, lines)).unwrap();
    assert!(reply.contains("SEND\tfront=3\thandle=900\tserver=51\ttimeout_ns="), "{reply}");
    assert!(reply.ends_with("DONE\n"));
}

/// The names of fields in a reply belong to the protocol and do not follow the names in the program.
#[test]
fn rejection_carries_retry_after_under_protocol_name() {
    let mut lines: Vec<_> =
        start(3).iter().map(|line| line.replace("availability=1", "availability=2")).collect();
    lines.push(ask(3, 900));
    let mut all = batch(50_000_000_000, lines);
    // No server is in service; the call is rejected after some time in the queue.
    all.extend(batch(53_000_000_000, vec![ask(3, 901)]));
    let reply = replies_to(&all).unwrap();
    let rejection = reply.lines().find(|line| line.starts_with("DECLINE")).unwrap_or_default();
    let retry_after = rejection.strip_prefix("DECLINE\tfront=3\thandle=900\tcome_back_ns=");
    let is_valid = |text: &str| text.parse::<u64>().is_ok_and(|ns| ns <= 2_000_000_000);
    assert!(retry_after.is_some_and(is_valid), "{reply}");
}

#[test]
fn accepts_every_event_and_outcome() {
    let mut lines = batch(50_000_000_000, start(3));
    let results = ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"];
    for (i, result) in results.iter().enumerate() {
        let handle = i + 1;
        lines.extend(batch(51_000_000_000 + i as u64 * 1_000_000_000, vec![
            ask(3, handle as u64),
            format!("UNDER_WAY\tfront=3\thandle={handle}\thop=0\tserver=51\tdelay_seen_ns=5"),
            format!("SETTLED\tfront=3\thandle={handle}\tresult={result}\thop=0\tdelay_seen_ns=5\tserver=51\tnote=51\tclosed=1\tpressure=3,4"),
            "ECHO\tfront=3\tserver=51\tresult=pass\tdelay_seen_ns=0\tpressure=2,4,-1".to_string(),
            "FIRED\tfront=3\tkey_back=1".to_string(),
            format!("CLIENT_GONE\tfront=3\thandle={handle}"),
            "NEIGHBOUR_SAYS\tfront=3\tsender=1\tcontents=6869".to_string(),
            "ROSTER_CHANGE\tfront=3\tkind=3\tepoch=42".to_string(),
        ]));
    }
    lines.extend(batch(90_000_000_000, vec!["DETACH\tfront=3".into(), "FIRED\tfront=3\tkey_back=1".into()]));
    let reply = replies_to(&lines).unwrap();
    assert_eq!(reply.matches("DONE\n").count(), results.len() + 2);
}

#[test]
fn fronts_share_nothing() {
    let start_and_ask = |front: u64| {
        let mut lines = start(front);
        lines.push(ask(front, 900));
        lines
    };
    let together: Vec<String> = start_and_ask(1).into_iter().chain(start_and_ask(2)).collect();
    let together = replies_to(&batch(50_000_000_000, together)).unwrap();
    let separate: String =
        [1, 2].map(|front| replies_to(&batch(50_000_000_000, start_and_ask(front))).unwrap()).concat();
    assert_eq!(together.replace("DONE\n", ""), separate.replace("DONE\n", ""));
}

#[test]
fn malformed_line_is_rejected_with_line_and_field() {
    let cases: Vec<(Vec<String>, &str)> = vec![
        (vec!["TURN\tnow_ns=soon".into()], "line 1: field now_ns"),
        (vec!["TURN".into()], "line 1: field now_ns: missing"),
        (vec!["HELLO\tfront=1".into()], "line 1: field HELLO: outside a batch"),
        (vec!["TURN\tnow_ns=1".into(), "HELLO\tfront=1".into()], "line 2: field HELLO: unknown message"),
        (vec!["TURN\tnow_ns=1".into(), "FIRED\tfront".into()], "line 2: field front: not name=value"),
        (
            vec!["TURN\tnow_ns=1".into(), "LAUNCH\tfront=1\tseed=1\tinfo={".into()],
            "line 2: field info: not JSON",
        ),
        (
            vec!["TURN\tnow_ns=1".into(), "LAUNCH\tfront=1\tseed=1\tinfo={}".into()],
            "field classes: no classes",
        ),
        (
            vec![
                "TURN\tnow_ns=1".into(),
                format!("LAUNCH\tfront=1\tseed=1\tinfo={}", INFO.replace("5000000,", "0,")),
            ],
            "field tick_ns: must be above 0",
        ),
        (
            vec!["TURN\tnow_ns=1".into(), "INVENTORY\tset_id=0\trecords=1".into(), "YOUR_TURN".into()],
            "rows missing",
        ),
        (vec!["TURN\tnow_ns=1".into()], "input ended within a batch"),
    ];
    for (lines, expected) in cases {
        let message = replies_to(&lines).unwrap_err();
        assert!(message.contains(expected), "got {message:?}, expected {expected:?}");
        assert!(message.starts_with("line "), "{message}");
    }
}

/// Runs the adapter on some input; returns its exit code, standard output and standard error.
fn run_adapter(input: &[u8]) -> (i32, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap_or(-1), text(output.stdout), text(output.stderr))
}

#[test]
fn adapter_exits_cleanly_or_with_one_error_line() {
    assert_eq!(run_adapter(b""), (0, String::new(), String::new()));
    assert_eq!(run_adapter(b"TURN\tnow_ns=1\nYOUR_TURN\n").1, "DONE\n");
    for malformed in [&b"TURN\tnow_ns=x\n"[..], b"TURN\tnow_ns=1\n\xff\xfe\n"] {
        let (code, _, message) = run_adapter(malformed);
        assert_eq!(code, 2);
        assert_eq!(message.lines().count(), 1);
        assert!(message.contains(": line ") && message.contains("field "), "{message}");
    }
}
