//! What a front counts, and the page that shows it.

use std::fmt::Write;

macro_rules! counters {
    ($($name:ident: $help:literal,)*) => {
        /// Counts since the front's start.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters {
            $(#[doc = $help] pub $name: u64,)*
        }

        impl Counters {
            /// Appends them in the text form that metric collectors read.
            pub fn page(&self, out: &mut String) {
                // Writing to a String cannot fail.
                $(let _ = writeln!(
                    out,
                    concat!("# HELP lilacpitch_", stringify!($name), "_total ", $help, "\n# TYPE lilacpitch_",
                        stringify!($name), "_total counter\nlilacpitch_", stringify!($name), "_total {}"),
                    self.$name
                );)*
            }
        }
    };
}

counters! {
    calls_taken: "Calls taken from callers.",
    calls_stood: "Calls answered: stands.",
    calls_refused: "Calls answered: refused.",
    calls_failed: "Calls answered: failed.",
    calls_cut: "Calls that stood and were cut.",
    calls_left: "Calls whose caller left before their answer.",
    attempts_sent: "Set-ups sent, repeats apart.",
    attempts_repeated: "Set-ups sent again.",
    attempts_cancelled: "Attempts called off.",
    attempts_timed_out: "Attempts that timed out.",
    attempts_full: "Attempts answered: processor full.",
    attempts_unsent: "Attempts that never left.",
    answers_late: "Answers for attempts that had ended, released at their server.",
    answers_crossed: "Answers for attempts that had ended or been answered.",
    server_errors: "Messages of servers that could not be taken.",
    caller_errors: "Messages of callers that could not be taken.",
    links_made: "Connections made to servers.",
    links_lost: "Connections to servers lost or not made.",
    pool_lists_taken: "Pool lists taken.",
    pool_list_refused: "Pool lists that could not be read.",
    facts_told: "Facts about servers told by other fronts.",
    calls_located: "Calls whose number the fleet's register knew.",
    calls_not_located: "Calls whose number it did not know, or not in time.",
    calls_turned_away: "Calls refused while the settings version was withdrawn.",
    callers_cut_off: "Callers cut off for not reading.",
}
