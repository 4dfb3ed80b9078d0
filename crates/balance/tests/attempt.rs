//! Guards against running a request twice that may run only once, and against telling the caller that a request did not
//! run although it may have.

use balance::{AttemptEnd, AttemptLog, FinalStatus};
use fleet::RetryPolicy;
use proptest::prelude::*;

const ENDS: [AttemptEnd; 4] =
    [AttemptEnd::NotSent, AttemptEnd::NotRun, AttemptEnd::Lost, AttemptEnd::Failed];
const POLICIES: [RetryPolicy; 4] = [
    RetryPolicy::Idempotent,
    RetryPolicy::Once,
    RetryPolicy::Stream { resumable: true },
    RetryPolicy::Stream { resumable: false },
];

#[test]
fn non_idempotent_request_is_not_retried_after_a_lost_response() {
    let mut log = AttemptLog::new(RetryPolicy::Once, 3);
    assert!(!log.record(AttemptEnd::Lost));
    assert_eq!(log.final_status(), FinalStatus::Unknown);
}

#[test]
fn any_request_may_be_retried_after_an_upstream_refused_it() {
    let mut log = AttemptLog::new(RetryPolicy::Once, 2);
    assert!(log.record(AttemptEnd::NotRun));
    assert!(!log.record(AttemptEnd::NotRun), "the request is sent to at most two upstreams");
    assert_eq!(log.final_status(), FinalStatus::NotRun);
}

#[test]
fn refusal_after_a_lost_attempt_leaves_the_status_unknown() {
    let mut log = AttemptLog::new(RetryPolicy::Idempotent, 3);
    log.record(AttemptEnd::Lost);
    log.record(AttemptEnd::NotRun);
    assert_eq!(log.final_status(), FinalStatus::Unknown);
}

#[test]
fn stream_is_not_retried_after_an_error_response() {
    let mut log = AttemptLog::new(RetryPolicy::Stream { resumable: true }, 2);
    assert!(!log.record(AttemptEnd::Failed));
}

/// Guards against a second backup beside one that is still connecting, which exceeds the limit once both are sent.
#[test]
fn attempt_that_is_still_connecting_is_not_counted() {
    let mut log = AttemptLog::new(RetryPolicy::Stream { resumable: true }, 2);
    log.record_sent();
    log.begin_connecting();
    log.record(AttemptEnd::Lost);
    assert!(!log.allows_another());
    log.end_connecting();
    assert!(log.allows_another(), "it was not sent");
}

proptest! {
    #[test]
    fn guarantees_hold_for_any_sequence_of_attempts(
        policy in 0_usize..4,
        max in 1_u32..5,
        ends in prop::collection::vec(0_usize..4, 1..12),
    ) {
        let policy = POLICIES[policy];
        let mut log = AttemptLog::new(policy, max);
        let mut possible_runs = 0;
        for end in ends {
            let end = ENDS[end];
            if matches!(end, AttemptEnd::Lost | AttemptEnd::Failed) {
                possible_runs += 1;
            }
            let may_retry = log.record(end);
            prop_assert_eq!(log.final_status() == FinalStatus::NotRun, possible_runs == 0);
            prop_assert!(log.attempts() <= max);
            if !may_retry {
                break;
            }
        }
        if !policy.is_retryable() {
            prop_assert!(possible_runs <= 1);
        }
    }
}
