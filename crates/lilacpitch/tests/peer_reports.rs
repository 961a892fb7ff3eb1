//! `PeerReports`: which reports of peers are kept, and what they add up to.

use lilacpitch::interface::{ServerId, ServerReport};
use lilacpitch::peer_reports::PeerReports;

fn report(server: ServerId, in_flight: u32) -> ServerReport {
    ServerReport {
        server,
        in_flight,
        age_ns: 0,
        wait_ns: 0,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ns: None,
        is_draining: false,
    }
}

#[test]
fn keeps_newest_report_of_each_peer_and_bounds_sums() {
    let mut reports = PeerReports::<3>::default();
    for (peer, as_of, in_flight) in [(1, 10, 9), (2, 20, 2), (1, 30, 7), (3, 40, 1)] {
        reports.add(peer, as_of, report(5, in_flight));
    }
    assert_eq!((reports.about(5).count(), reports.complete_since(5)), (3, Some(20)), "1 told twice");
    assert_eq!(
        reports.sum_bounded(5, 0, 4, |f| f.in_flight),
        2 + 2 + 1,
        "7 counts for 4, and 4 for the next"
    );
    assert_eq!(reports.sum_bounded(5, 30, 4, |f| f.in_flight), 0, "newer than 30 is one alone");
    reports.add(4, 50, report(5, 0));
    assert_eq!((reports.about(5).count(), reports.complete_since(5)), (3, Some(30)), "the oldest is gone");
    reports.add(5, 60, report(5, 3));
    assert_eq!(reports.sum_bounded(5, 40, 4, |f| f.in_flight), 0, "newer than 40 only");
    reports.remove_until(50);
    assert_eq!((reports.about(5).count(), reports.complete_since(5)), (1, None));
    assert_eq!(reports.about(6).count(), 0);
}

#[test]
fn last_success_needs_reports_of_two_peers() {
    let mut reports = PeerReports::<3>::default();
    let mut add = |peer, as_of, succeeded| {
        reports.add(peer, as_of, ServerReport { succeeded, ..report(5, 0) });
        reports.last_success_ns(5)
    };
    assert_eq!([add(1, 10, 3), add(2, 20, 1)], [0, 0], "what stood before is not known");
    assert_eq!([add(1, 30, 4), add(1, 40, 9)], [0, 0], "one alone, as often as it likes");
    assert_eq!([add(2, 50, 2), add(3, 60, 0)], [40, 40], "the earlier of the two");
    assert_eq!([add(3, 70, 1), add(2, 80, 1)], [50, 50], "less stood lately: nothing new");
    assert_eq!(add(0, 90, 1), 50);
    reports.remove_until(70);
    assert_eq!(reports.last_success_ns(5), 0, "forgotten");
}
