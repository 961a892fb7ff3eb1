//! Settings files: defaults, the error for each kind of mistake, and the semantics of unification.

use lilacpitch_config::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const GOOD: &str = r#"// A front.
name:   "edge-1"
listen: "127.0.0.1:7000"
pool_list: "pools.cue"
#Usual: {give_up: "9s", late_worth: 0.25, ...}
classes: [
	#Usual & {name: "day-plan", aim: "2s", worth: 1},
	{name: "reroute", aim: "1.2s", give_up: "9s", worth: 3, pools: ["mobile"]},
]
timing: resend: "250ms"
limits: {callers: 1_000, queue: 64}
"#;

#[test]
fn front_settings_get_defaults_for_omitted_fields() {
    let edge = Edge::from_text("edge.cue", GOOD).unwrap().value;
    assert_eq!((edge.name.as_str(), edge.classes.len()), ("edge-1", 2));
    assert_eq!((edge.classes[0].aim_ns, edge.classes[0].late_worth), (2_000_000_000, 0.25));
    assert_eq!((edge.classes[1].aim_ns, edge.classes[1].worth), (1_200_000_000, 3.0));
    assert_eq!(edge.classes[1].pools, ["mobile"]);
    assert_eq!((edge.timing.resend_ns, edge.timing.connect_ns), (250_000_000, 500_000_000));
    assert_eq!((edge.limits.callers, edge.limits.queue, edge.limits.calls), (1000, 64, 20000));
    assert_eq!((edge.rules.tip_multiple, edge.rules.max_attempts), (3.0, 6));
    assert_eq!((edge.log.format, edge.metrics), (LogFormat::Text, None));
}

#[test]
fn each_error_names_line_field_found_and_wanted_values() {
    let cases = [
        ("listen: \"127.0.0.1:7000\"", "listen: 7000", "edge.cue:3:9: listen: found 7000, wanted =~"),
        ("aim: \"2s\"", "aim: \"2 s\"", "edge.cue:7:35: classes[0].aim: found \"2 s\", wanted =~"),
        ("worth: 1}", "worth: 0}", "classes[0].worth: found 0, wanted number & >0"),
        ("worth: 1}", "worth: \"1\"}", "classes[0].worth: found \"1\", wanted number & >0"),
        ("worth: 1}", "}", "edge.cue:7:2: classes[0].worth: missing, wanted number & >0"),
        ("name:   \"edge-1\"", "", "edge.cue:1:1: name: missing, wanted =~"),
        ("resend:", "resnd:", "edge.cue:10:9: timing.resnd: no such field, there are"),
        ("resend:", "resnd:", "; is `resend` meant?"),
        ("queue: 64", "queue: 4", "limits.queue: found 4, wanted 1024 | int & >=8 & <=65536"),
        ("classes: [", "classes: [{name: 3}] & [", "edge.cue:6:10: found a list of 1, wanted one of 2"),
        ("\"reroute\"", "\"day-plan\"", "edge.cue:8:9: classes[1].name: class \"day-plan\" is given twice"),
        ("\"1.2s\"", "\"12s\"", "classes[1].give_up: is shorter than aim"),
        ("#Usual &", "#Usuall &", "edge.cue:7:2: `#Usuall` is neither a type nor a definition"),
        ("\"250ms\"", "\"0ms\"", "edge.cue:10:17: timing.resend: must be above 0"),
        ("127.0.0.1:7000", "999.0.0.1:80", "edge.cue:3:9: listen: invalid socket address syntax"),
        ("127.0.0.1:7000", "127.0.0.1:70000", "edge.cue:3:9: listen: found \"127.0.0.1:70000\", wanted =~"),
        ("\"1.2s\"", "\"99999999999h\"", "classes[1].aim: 99999999999h: longer than 292 years"),
        (
            "timing: resend",
            "look_at_pool_list_every: \"1s\"\ntiming: resend",
            "is longer than rules.drain_grace",
        ),
        ("limits: {", "limits: {callers: 7, ", "edge.cue:11:22: callers: given twice: found 7, wanted 1000"),
        ("limits: {", "limits: {{", "edge.cue:11:10: found `{`, wanted a field, as `name: value`"),
        ("\"mobile\"", "\"mobile", "edge.cue:8:66: string not closed on its line"),
        ("1_000", "007", "edge.cue:11:19: 007 is not a 64-bit number"),
        ("\"mobile\"", "\"\\(x)\"", "interpolation is outside of the supported subset"),
        ("pool_list:", "import \"time\"\npool_list:", "found `import`, wanted a field"),
        ("#Usual: {", "#Usual: #Usual & {", "a definition that refers to itself"),
    ];
    let mut unexpected = Vec::new();
    for (valid, invalid, message) in cases {
        assert!(GOOD.contains(valid), "{valid}");
        let text = GOOD.replacen(valid, invalid, 1);
        let error = Edge::from_text("edge.cue", &text).err().unwrap_or_else(|| panic!("accepted: {invalid}"));
        if !error.to_string().contains(message) {
            unexpected.push(format!("{invalid}: {error}"));
        }
    }
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    let error = Edge::from_text("edge.cue", "").err().unwrap().to_string();
    assert!(
        error.contains("classes: found") || error.contains("classes[0]") || error.contains("classes"),
        "{error}"
    );
}

#[test]
fn one_error_reports_all_mistakes_with_source_lines() {
    let text = GOOD.replace("worth: 3", "worth: -3").replace("queue: 64", "queue: \"a\"");
    let error = Edge::from_text("edge.cue", &text).err().unwrap();
    assert_eq!(error.problems().len(), 2, "{error}");
    let drawn = error.drawn();
    assert!(drawn.contains("edge.cue:8") && drawn.contains("found -3, wanted number & >0"), "{drawn}");
    assert!(drawn.contains("worth: -3, pools"), "source line missing: {drawn}");
}

#[test]
fn pool_list_gets_defaults_and_rejects_mistakes() {
    let good = r#"servers: [
	{name: "r1", pool: "mobile", address: "127.0.0.1:7101"},
	{name: "r2", pool: "home", zone: "a", address: "127.0.0.1:7102", state: "draining", started_ms: 1700000000000},
]"#;
    let pools = Pools::from_text("pools.cue", good).unwrap().value;
    assert_eq!(pools.servers[0].state, ServerState::Running);
    assert_eq!(
        (pools.servers[1].state, pools.servers[1].started_ms),
        (ServerState::Draining, 1_700_000_000_000)
    );
    assert!(Pools::from_text("p", "servers: []").unwrap().value.servers.is_empty());
    let cases = [
        ("\"r2\"", "\"r1\"", "p:3:9: servers[1].name: server \"r1\" is listed twice"),
        ("draining", "drained", "found \"drained\", wanted \"running\" | \"draining\" | \"gone\""),
        ("\"home\"", "\"ho me\"", "servers[1].pool: found \"ho me\", wanted =~"),
        ("1700000000000", "-1", "servers[1].started_ms: found -1, wanted 0 | int & >=0"),
        ("servers", "server", "server: no such field"),
    ];
    for (valid, invalid, message) in cases {
        let error = Pools::from_text("p", &good.replace(valid, invalid)).err().unwrap().to_string();
        assert!(error.contains(message), "{error}");
    }
}

#[test]
fn unification_follows_cue_semantics() {
    let schema = Schema::new(
        "s",
        r#"#A: {n: int | *3 & int, f?: >1 & <2, l: [int, ...string], o: {...}, [string]: _}
#B: {x: #C | null, y: *#D | {k: int}}
#C: {a: 1 | 2 | "z", b: =~"^q" & !="qq"}
#D: k: 7"#,
    )
    .unwrap();
    let read = |definition: &str, text: &str| {
        load_text::<serde_json::Value>(&schema, definition, "f", text)
            .map(|l| l.value.to_string())
            .map_err(|e| e.to_string())
    };
    assert_eq!(read("#A", "l: [1]\no: z: [true]").unwrap(), r#"{"l":[1],"n":3,"o":{"z":[true]}}"#);
    assert_eq!(
        read("#A", "l: [1, \"a\"], o: {}, f: 1.5, n: 9").unwrap(),
        r#"{"f":1.5,"l":[1,"a"],"n":9,"o":{}}"#
    );
    assert!(read("#A", "l: [], o: {}").unwrap_err().contains("found a list of 0, wanted at least 1"));
    assert!(read("#A", "l: [1, 2], o: {}").unwrap_err().contains("l[1]: found 2, wanted string"));
    assert!(read("#A", "l: [1], o: {}, f: 2.0").unwrap_err().contains("f: found 2.0, wanted >1 & <2"));
    assert_eq!(read("#B", "x: null").unwrap(), r#"{"x":null,"y":{"k":7}}"#);
    assert_eq!(
        read("#B", "x: {a: \"z\", b: \"q\"}, y: k: 7").unwrap(),
        r#"{"x":{"a":"z","b":"q"},"y":{"k":7}}"#
    );
    assert!(read("#B", "x: {a: 3, b: \"q\"}").unwrap_err().contains("x.a: found 3, wanted 1 | 2 | \"z\""));
    assert!(read("#B", "x: {a: 1, b: \"qq\"}").unwrap_err().contains("x.b: found \"qq\""));
    assert!(read("#B", "x: {a: 1, b: \"q\", c: 1}").unwrap_err().contains("x.c: no such field"));
}

#[test]
fn arbitrary_and_damaged_files_never_panic() {
    let pieces = [
        "{",
        "}",
        "[",
        "]",
        "a",
        ":",
        "\"",
        "1",
        "-",
        "...",
        "#A",
        "|",
        "*",
        "&",
        ">=",
        "=~",
        "(",
        "\n",
        ",",
        "?",
        "\\u12",
        "_",
        "é",
        "string",
        "classes",
        "//",
        "1e999",
        "[string]:",
    ];
    let random_pieces =
        proptest::collection::vec(proptest::sample::select(pieces.to_vec()), 0..60).prop_map(|p| p.concat());
    let damaged = (0..GOOD.len(), any::<char>()).prop_map(|(at, c)| {
        let mut text = GOOD.to_string();
        text.replace_range(at..at + 1, &c.to_string());
        text
    });
    let truncated = (0..GOOD.len()).prop_map(|length| GOOD[..length].to_string());
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
        .run(&prop_oneof![random_pieces, damaged, truncated], |text| {
            if let Err(error) = Edge::from_text("f", &text) {
                prop_assert!(error.to_string().starts_with("f:"));
                prop_assert!(!error.drawn().is_empty());
            }
            Ok(())
        })
        .unwrap();
    let deep = format!("a: {}1", "[".repeat(10_000));
    assert!(Edge::from_text("f", &deep).err().unwrap().to_string().contains("nested deeper than 64"));
}

const SITE: &str = r#"name: "root-0"
site: "root"
place: 0
listen: "127.0.0.1:7100"
data: "data"
key_file: "key"
sites: [
	{name: "root", processes: ["127.0.0.1:7100"]},
	{name: "leaf", parent: "root", processes: ["127.0.0.1:7101"]},
]
"#;

#[test]
fn site_settings_get_defaults_and_reject_mistakes() {
    let site = Site::from_text("site.cue", SITE).unwrap().value;
    assert_eq!((site.terms.lease_ns, site.shards, site.sites.len()), (3_000_000_000, 64, 2));
    let cases = [
        ("site: \"root\"", "site: \"rot\"", "site.cue:2:7: site: site \"rot\" is not among the sites"),
        ("place: 0", "place: 1", "site.cue:3:8: place: site \"root\" has 1 processes"),
        ("parent: \"root\"", "parent: \"leaf\"", "site.cue:9:25: sites[1].parent: is part of a cycle"),
        ("parent: \"root\"", "parent: \"r\"", "site \"r\" is not among the sites"),
        ("parent: \"root\", ", "", "sites: 2 sites without a parent, wanted one: the root"),
        ("\"leaf\"", "\"root\"", "sites[1].name: site \"root\" is given twice"),
        ("place: 0", "place: 0\nterms: poll: \"3s\"", "terms.poll: is longer than half of settle"),
        ("place: 0", "place: 0\nterms: lease: \"0s\"", "terms.lease: must be above 0"),
        ("place: 0", "place: 0\nterms: clock_allowance: 2", "terms.clock_allowance: found 2, wanted"),
    ];
    for (valid, invalid, message) in cases {
        let error =
            Site::from_text("site.cue", &SITE.replace(valid, invalid)).expect_err(invalid).to_string();
        assert!(error.contains(message), "{error}\nin place of {message}");
    }
    let fleet = "fleet: {home: \"x\", pool: \"p\", key_file: \"k\", sites: [{name: \"y\", processes: [\"127.0.0.1:1\"]}]}\n";
    let error = Edge::from_text("edge.cue", &format!("{GOOD}{fleet}")).err().unwrap().to_string();
    assert!(error.contains("fleet.home: site \"x\" is not among the sites"), "{error}");
}
