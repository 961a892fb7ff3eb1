//! The counters of an edge, and their text on the metrics page.
//!
//! Collectors depend on the names of metrics and their help texts: they must stay when a field is renamed.

use std::fmt::Write;

macro_rules! counters {
    ($($field:ident as $metric:literal: $help:literal,)*) => {
        /// Counters since the start of the edge.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters {
            $(#[doc = concat!("`lilacpitch_", $metric, "_total`: ", $help)] pub $field: u64,)*
        }

        impl Counters {
            /// Appends the counters in the Prometheus text format.
            pub fn append_page(&self, out: &mut String) {
                // Writing to a String cannot fail.
                $(let _ = writeln!(
                    out,
                    concat!("# HELP lilacpitch_", $metric, "_total ", $help, "\n# TYPE lilacpitch_",
                        $metric, "_total counter\nlilacpitch_", $metric, "_total {}"),
                    self.$field
                );)*
            }
        }
    };
}

counters! {
    calls_accepted as "calls_taken": "Calls taken from callers.",
    calls_established as "calls_stood": "Calls answered: stands.",
    calls_rejected as "calls_refused": "Calls answered: refused.",
    calls_failed as "calls_failed": "Calls answered: failed.",
    calls_cut as "calls_cut": "Calls that stood and were cut.",
    calls_abandoned as "calls_left": "Calls whose caller left before their answer.",
    setups_sent as "attempts_sent": "Set-ups sent, repeats apart.",
    setups_resent as "attempts_repeated": "Set-ups sent again.",
    attempts_cancelled as "attempts_cancelled": "Attempts called off.",
    attempts_timed_out as "attempts_timed_out": "Attempts that timed out.",
    attempts_overloaded as "attempts_full": "Attempts answered: processor full.",
    setups_not_sent as "attempts_unsent": "Attempts that never left.",
    answers_late as "answers_late": "Answers for attempts that had ended, released at their server.",
    answers_crossed as "answers_crossed": "Answers for attempts that had ended or been answered.",
    server_errors as "server_errors": "Messages of servers that could not be taken.",
    caller_errors as "caller_errors": "Messages of callers that could not be taken.",
    upstreams_connected as "links_made": "Connections made to servers.",
    upstreams_lost as "links_lost": "Connections to servers lost or not made.",
    lists_accepted as "pool_lists_taken": "Pool lists taken.",
    lists_rejected as "pool_list_refused": "Pool lists that could not be read.",
    peer_reports as "facts_told": "Facts about servers told by other fronts.",
    calls_located as "calls_located": "Calls whose number the fleet's register knew.",
    calls_not_located as "calls_not_located": "Calls whose number it did not know, or not in time.",
    calls_rejected_without_settings as "calls_turned_away": "Calls refused while the settings version was withdrawn.",
    callers_disconnected as "callers_cut_off": "Callers cut off for not reading.",
}
