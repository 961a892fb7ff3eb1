//! Every error says what an operator can do. The lists are held to the types: a variant that is added and not listed
//! does not compile.

use lilacpitch_fleet::error::*;
use lilacpitch_fleet::message::RejectReason;
use lilacpitch_location::LocationError;
use miette::Diagnostic;
use std::collections::BTreeSet;

/// All variants that the patterns name, checked to be all there are.
macro_rules! walk {
    ($codes:ident, $type:ty, [$($value:expr => $pattern:pat),* $(,)?]) => {{
        let all: Vec<$type> = vec![$($value),*];
        for error in &all {
            match error { $($pattern => {}),* }
            let code = error.code().expect("a code").to_string();
            let help = error.help().expect("a help").to_string();
            assert!(help.len() > 15, "{code}: {help}");
            assert!(!error.to_string().is_empty(), "{code}");
            assert!($codes.insert(code.clone()), "{code} is given twice");
        }
    }};
}

#[test]
fn every_error_has_its_own_code_and_a_help() {
    let mut codes = BTreeSet::new();
    let word = String::new;
    walk!(codes, LocationError, [
        LocationError::Number("x".into()) => LocationError::Number(_),
        LocationError::Name { field: "class", found: word() } => LocationError::Name { .. },
        LocationError::Summary { shard: 1, what: "x" } => LocationError::Summary { .. },
        LocationError::Shards(0) => LocationError::Shards(_),
    ]);
    walk!(codes, FrameError, [
        FrameError::Forged => FrameError::Forged,
        FrameError::Length(1) => FrameError::Length(_),
        FrameError::Malformed(word()) => FrameError::Malformed(_),
        FrameError::Order { found: 1, wanted: 2 } => FrameError::Order { .. },
        FrameError::Version(2) => FrameError::Version(_),
    ]);
    walk!(codes, PurgeError, [
        PurgeError::Gap { found: 3, applied: 1 } => PurgeError::Gap { .. },
        PurgeError::Log { found: 1, ours: 2 } => PurgeError::Log { .. },
    ]);
    walk!(codes, LeaseError, [
        LeaseError::Out => LeaseError::Out,
        LeaseError::Behind { needed: 2, applied: 1 } => LeaseError::Behind { .. },
        LeaseError::Withdrawn => LeaseError::Withdrawn,
    ]);
    walk!(codes, LocateError, [
        LocateError::Refused(RejectReason::Behind) => LocateError::Refused(_),
        LocateError::Late => LocateError::Late,
        LocateError::Unreached => LocateError::Unreached,
        LocateError::TooMany => LocateError::TooMany,
    ]);
    walk!(codes, AuditError, [
        AuditError::Long(1) => AuditError::Long(_),
        AuditError::Order { found: 1, known: 2 } => AuditError::Order { .. },
        AuditError::Moment(word()) => AuditError::Moment(_),
    ]);
    walk!(codes, LogError, [
        LogError::Disk(word()) => LogError::Disk(_),
        LogError::Damaged { path: word(), what: word() } => LogError::Damaged { .. },
        LogError::Foreign { path: word(), found: word(), ours: word() } => LogError::Foreign { .. },
    ]);
    assert_eq!(codes.len(), 24);
}
