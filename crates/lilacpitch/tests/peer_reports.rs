//! `PeerReports`: which reports are kept, and the statistics over them.

use lilacpitch::interface::{ServerId, ServerReport};
use lilacpitch::peer_reports::PeerReports;

/// A report of set-ups in flight at a server.
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
    for (peer, as_of_ns, in_flight) in [(1, 10, 9), (2, 20, 2), (1, 30, 7), (3, 40, 1)] {
        reports.add(peer, as_of_ns, report(5, in_flight));
    }
    assert_eq!(
        (reports.for_server(5).count(), reports.complete_since(5)),
        (3, Some(20)),
        "the second report of peer 1 replaces its first"
    );
    assert_eq!(
        reports.bounded_sum(5, 0, 4, |report| report.in_flight),
        2 + 2 + 1,
        "7 is limited to 4, and as the largest to the second largest, 2"
    );
    assert_eq!(
        reports.bounded_sum(5, 30, 4, |report| report.in_flight),
        0,
        "a single report is newer than 30"
    );
    reports.add(4, 50, report(5, 0));
    assert_eq!(
        (reports.for_server(5).count(), reports.complete_since(5)),
        (3, Some(30)),
        "the oldest was removed"
    );
    reports.add(5, 60, report(5, 3));
    assert_eq!(
        reports.bounded_sum(5, 40, 4, |report| report.in_flight),
        0,
        "a single report with set-ups in flight is newer than 40"
    );
    reports.remove_up_to(50);
    assert_eq!((reports.for_server(5).count(), reports.complete_since(5)), (1, None));
    assert_eq!(reports.for_server(6).count(), 0);
}

#[test]
fn last_success_needs_reports_of_two_peers() {
    let mut reports = PeerReports::<3>::default();
    let mut last_success_after = |peer, as_of_ns, succeeded| {
        reports.add(peer, as_of_ns, ServerReport { succeeded, ..report(5, 0) });
        reports.last_success_ns(5)
    };
    assert_eq!(
        [last_success_after(1, 10, 3), last_success_after(2, 20, 1)],
        [0, 0],
        "a peer's first report shows no further success"
    );
    assert_eq!(
        [last_success_after(1, 30, 4), last_success_after(1, 40, 9)],
        [0, 0],
        "a single peer has no effect"
    );
    assert_eq!(
        [last_success_after(2, 50, 2), last_success_after(3, 60, 0)],
        [40, 40],
        "the earlier time of the two peers"
    );
    assert_eq!(
        [last_success_after(3, 70, 1), last_success_after(2, 80, 1)],
        [50, 50],
        "a lower count shows no further success"
    );
    assert_eq!(last_success_after(0, 90, 1), 50);
    reports.remove_up_to(70);
    assert_eq!(reports.last_success_ns(5), 0, "the successes were removed");
}
