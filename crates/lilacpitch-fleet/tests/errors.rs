//! Every error has a code of its own and a help text for operators. The lists below must name all variants:
//! with one that is missing, this file does not compile.

use lilacpitch_fleet::error::*;
use lilacpitch_fleet::message::RejectReason;
use lilacpitch_location::LocationError;
use miette::Diagnostic;
use std::collections::BTreeSet;

/// Checks the code and the help of each error. The patterns must cover all variants of the type.
macro_rules! check_errors {
    ($codes:ident, $type:ty, [$($value:expr => $pattern:pat),* $(,)?]) => {{
        let errors: Vec<$type> = vec![$($value),*];
        for error in &errors {
            match error { $($pattern => {}),* }
            let code = error.code().expect("a code").to_string();
            let help = error.help().expect("a help").to_string();
            assert!(help.len() > 15, "{code}: {help}");
            assert!(!error.to_string().is_empty(), "{code}");
            assert!($codes.insert(code.clone()), "{code} is used twice");
        }
    }};
}

#[test]
fn every_error_has_its_own_code_and_a_help_text() {
    let mut codes = BTreeSet::new();
    let text = String::new;
    check_errors!(codes, LocationError, [
        LocationError::Number("x".into()) => LocationError::Number(_),
        LocationError::Name { field: "class", found: text() } => LocationError::Name { .. },
        LocationError::Summary { shard: 1, what: "x" } => LocationError::Summary { .. },
        LocationError::Shards(0) => LocationError::Shards(_),
    ]);
    check_errors!(codes, FrameError, [
        FrameError::Forged => FrameError::Forged,
        FrameError::Length(1) => FrameError::Length(_),
        FrameError::Malformed(text()) => FrameError::Malformed(_),
        FrameError::OutOfOrder { found: 1, expected: 2 } => FrameError::OutOfOrder { .. },
        FrameError::Version(2) => FrameError::Version(_),
    ]);
    check_errors!(codes, PurgeError, [
        PurgeError::Gap { found: 3, applied: 1 } => PurgeError::Gap { .. },
        PurgeError::OtherLog { found: 1, ours: 2 } => PurgeError::OtherLog { .. },
    ]);
    check_errors!(codes, LeaseError, [
        LeaseError::Expired => LeaseError::Expired,
        LeaseError::Behind { required: 2, applied: 1 } => LeaseError::Behind { .. },
        LeaseError::Withdrawn => LeaseError::Withdrawn,
    ]);
    check_errors!(codes, LocateError, [
        LocateError::Refused(RejectReason::Behind) => LocateError::Refused(_),
        LocateError::Late => LocateError::Late,
        LocateError::Unreached => LocateError::Unreached,
        LocateError::TooMany => LocateError::TooMany,
    ]);
    check_errors!(codes, AuditError, [
        AuditError::TooManyChanges(1) => AuditError::TooManyChanges(_),
        AuditError::OutOfOrder { found: 1, known: 2 } => AuditError::OutOfOrder { .. },
        AuditError::InvalidTime(text()) => AuditError::InvalidTime(_),
    ]);
    check_errors!(codes, LogError, [
        LogError::Disk(text()) => LogError::Disk(_),
        LogError::Damaged { path: text(), reason: text() } => LogError::Damaged { .. },
        LogError::Foreign { path: text(), found: text(), ours: text() } => LogError::Foreign { .. },
    ]);
    assert_eq!(codes.len(), 24);
}
