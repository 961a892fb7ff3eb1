//! The coordinator's numbered events.

use lilacpitch_node::coordinator::{parse_response, EventFollower, PollResponse};

fn answer(index: u64, updates: &[(u64, bool)]) -> PollResponse {
    let one = |(index, all): &(u64, bool)| {
        format!(r#"{{"index":{index},"endpoints":{{"rev":1,"all":{all},"targets":[]}}}}"#)
    };
    let updates: Vec<_> = updates.iter().map(one).collect();
    parse_response(&format!(r#"{{"index":{index},"updates":[{}]}}"#, updates.join(","))).unwrap()
}

#[test]
fn accepts_events_once_in_order_and_starts_over_after_a_gap() {
    let mut follower = EventFollower::default();
    assert_eq!(follower.accept(answer(2, &[(1, true), (2, false)])).len(), 2);
    assert_eq!(follower.accept(answer(3, &[(2, false), (3, false)])).len(), 1, "event 2 is known");
    assert_eq!(follower.index(), 3);
    assert_eq!(follower.accept(answer(6, &[(5, false), (6, false)])).len(), 0, "4 is missing");
    assert_eq!(follower.index(), 0, "polls for all");
    assert_eq!(follower.accept(answer(6, &[(6, true)])).len(), 1, "a whole list needs none before it");
    assert_eq!(follower.index(), 6);
    assert_eq!((follower.accept(answer(2, &[])).len(), follower.index()), (0, 0), "its numbers started over");
}
