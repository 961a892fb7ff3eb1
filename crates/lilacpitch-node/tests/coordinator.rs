//! Selection of the new events in the coordinator's responses.

use lilacpitch_node::coordinator::{parse_response, EventFollower, PollResponse};

/// A response with these events: the number of each, and whether it is a complete list.
fn response(index: u64, updates: &[(u64, bool)]) -> PollResponse {
    let event_json = |(index, all): &(u64, bool)| {
        format!(r#"{{"index":{index},"endpoints":{{"rev":1,"all":{all},"targets":[]}}}}"#)
    };
    let updates: Vec<_> = updates.iter().map(event_json).collect();
    parse_response(&format!(r#"{{"index":{index},"updates":[{}]}}"#, updates.join(","))).unwrap()
}

#[test]
fn accepts_each_event_once_and_requests_the_complete_list_after_a_gap() {
    let mut follower = EventFollower::default();
    assert_eq!(follower.accept(response(2, &[(1, true), (2, false)])).len(), 2);
    assert_eq!(
        follower.accept(response(3, &[(2, false), (3, false)])).len(),
        1,
        "event 2 was accepted before"
    );
    assert_eq!(follower.index(), 3);
    assert_eq!(follower.accept(response(6, &[(5, false), (6, false)])).len(), 0, "event 4 is missing");
    assert_eq!(follower.index(), 0, "requests the complete list");
    assert_eq!(
        follower.accept(response(6, &[(6, true)])).len(),
        1,
        "a complete list needs no earlier events"
    );
    assert_eq!(follower.index(), 6);
    assert_eq!(
        (follower.accept(response(2, &[])).len(), follower.index()),
        (0, 0),
        "the coordinator was restarted"
    );
}
