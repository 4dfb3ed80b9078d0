//! Guards against a prompt part that crashes one upstream after another, and against refusing harmless parts of
//! requests that were running when an upstream crashed.

use std::time::{Duration, Instant};

use balance::{CrashDetector, CrashRefusal, LostRequest, PartEvidence, fingerprint_of};
use base::PromptPartId;

const SPACING: Duration = Duration::from_millis(300);

fn parts(names: &[&str]) -> Vec<PromptPartId> {
    names.iter().map(|name| PromptPartId::from(*name)).collect()
}

/// A detector with the time and the number of crashes so far; no two requests are alike.
struct Trial {
    detector: CrashDetector,
    now: Instant,
    crashes: u64,
}

impl Trial {
    fn new() -> Self {
        Self { detector: CrashDetector::new(), now: Instant::now(), crashes: 0 }
    }

    /// Crashes a new upstream with the given requests in flight.
    fn crash(&mut self, requests: &[&[&str]]) {
        self.crashes += 1;
        let upstream = format!("u{}", self.crashes);
        for (index, request) in requests.iter().enumerate() {
            let body = format!("{}-{index}", self.crashes);
            let lost = LostRequest {
                fingerprint: fingerprint_of("key", "/draft/1", body.as_bytes()),
                upstream: upstream.as_str().into(),
                started_ms: 1,
                suspect_parts: parts(request),
            };
            self.detector.record_connection_lost(self.now, lost);
        }
        self.detector.record_unreachable(self.now, &upstream);
    }

    fn crash_spaced(&mut self, requests: &[&[&str]]) {
        self.crash(requests);
        self.now += SPACING;
    }

    fn succeed(&mut self, names: &[&str]) {
        self.detector.parts().record_success(self.now, &parts(names));
    }

    fn is_refused(&self, names: &[&str]) -> bool {
        let fingerprint = || fingerprint_of("key", "/draft/1", b"a new request");
        match self.detector.refusal(self.now, &parts(names), fingerprint) {
            Some(CrashRefusal::PromptPart(_)) => true,
            Some(CrashRefusal::Request(_)) => panic!("no two requests are alike"),
            None => false,
        }
    }
}

#[test]
fn prompt_part_that_crashes_engines_is_refused_after_five_crashes() {
    let mut trial = Trial::new();
    trial.succeed(&["shared"]);
    for _ in 0..5 {
        trial.crash_spaced(&[&["shared", "bad"], &["shared"], &["shared", "other"]]);
        trial.succeed(&["shared"]);
        trial.succeed(&["shared", "other"]);
    }
    assert!(trial.is_refused(&["shared", "bad"]));
    assert!(trial.is_refused(&["bad"]), "whatever else the request has");
    assert!(!trial.is_refused(&["shared"]));
    assert!(!trial.is_refused(&["shared", "other"]));
    assert!(!trial.is_refused(&[]));
    trial.now += Duration::from_secs(300);
    let fingerprint = || fingerprint_of("key", "/draft/1", b"a new request");
    let refusal = trial.detector.admit(trial.now, &parts(&["bad"]), fingerprint);
    assert!(
        matches!(refusal, Some(CrashRefusal::PromptPart(_))),
        "no exception after five crashes"
    );
    trial.now += Duration::from_secs(301);
    assert!(!trial.is_refused(&["bad"]), "evidence expires");
}

/// Guards against refusing parts that were merely in flight together with the one that crashes upstreams.
#[test]
fn parts_that_only_share_crashes_with_the_crashing_one_are_not_refused() {
    let mut trial = Trial::new();
    for round in 0..6 {
        let bystander: &[&str] = if round < 4 { &["rare"] } else { &["other"] };
        trial.crash_spaced(&[&["bad"], bystander]);
    }
    assert!(trial.is_refused(&["bad"]));
    assert!(!trial.is_refused(&["rare"]));
    assert!(!trial.is_refused(&["other"]));
}

/// Guards against refusing a part because the fleet lost many engines at once.
#[test]
fn engines_that_end_at_the_same_moment_count_once() {
    let mut trial = Trial::new();
    for _ in 0..24 {
        trial.crash(&[&["harmless"]]);
        trial.now += Duration::from_millis(2);
    }
    trial.now += SPACING;
    trial.crash_spaced(&[&["harmless"]]);
    assert!(!trial.is_refused(&["harmless"]));
    trial.crash_spaced(&[&["harmless"]]);
    assert!(trial.is_refused(&["harmless"]), "three crashes at different times");
}

#[test]
fn part_proven_harmless_is_cleared_and_stays_usable() {
    let mut trial = Trial::new();
    for _ in 0..5 {
        trial.crash_spaced(&[&["unlucky"]]);
    }
    assert!(trial.is_refused(&["unlucky"]));
    trial.succeed(&["unlucky"]);
    assert!(!trial.is_refused(&["unlucky"]), "a success clears it");
    trial.now += Duration::from_secs(20);
    trial.crash_spaced(&[&["unlucky"]]);
    trial.crash_spaced(&[&["unlucky"]]);
    assert!(!trial.is_refused(&["unlucky"]), "crashes before the success do not count");
    let changes = trial.detector.parts().take_changes();
    let refused: Vec<_> = changes.iter().map(|change| change.refused).collect();
    assert_eq!(refused, [true, false]);
}

/// Guards against a harmless part that is refused for ever because no request with it may run.
#[test]
fn request_with_a_part_of_few_crashes_is_let_through_now_and_then() {
    let mut trial = Trial::new();
    for _ in 0..3 {
        trial.crash_spaced(&[&["unlucky"]]);
    }
    let admit = |trial: &mut Trial| {
        let fingerprint = || fingerprint_of("key", "/draft/1", b"a new request");
        trial.detector.admit(trial.now, &parts(&["unlucky"]), fingerprint).is_none()
    };
    assert!(!admit(&mut trial), "not right after a crash");
    trial.now += Duration::from_secs(2);
    assert!(admit(&mut trial));
    assert!(!admit(&mut trial), "one at a time");
    trial.succeed(&["unlucky"]);
    assert!(admit(&mut trial));
    assert!(admit(&mut trial));
}

/// Guards against blaming a part that all requests have, because it was also in flight when many engines ended at once.
#[test]
fn loss_of_many_engines_does_not_shift_the_blame_to_a_common_part() {
    let mut trial = Trial::new();
    for _ in 0..8 {
        trial.crash(&[&["shared"]]);
    }
    trial.now += SPACING;
    for _ in 0..3 {
        trial.crash_spaced(&[&["shared", "bad"], &["shared"]]);
    }
    assert!(trial.is_refused(&["shared", "bad"]));
    assert!(!trial.is_refused(&["shared"]));
}

/// Guards against refusing a harmless part because all requests with the crashing one have it as well.
#[test]
fn part_that_always_comes_with_the_crashing_one_may_run_without_it() {
    let mut trial = Trial::new();
    for _ in 0..3 {
        trial.crash_spaced(&[&["common", "bad"]]);
    }
    assert!(trial.is_refused(&["common", "bad"]));
    assert!(!trial.is_refused(&["common"]));
    trial.crash_spaced(&[&["bad"]]);
    assert!(trial.is_refused(&["bad"]), "a crash without the other part shows which is to blame");
    assert!(!trial.is_refused(&["common"]));
}

#[test]
fn entry_that_missed_all_crashes_learns_the_verdict() {
    let mut trial = Trial::new();
    for round in 0..9 {
        let bystander = if round == 4 { "other" } else { "rare" };
        trial.crash_spaced(&[&["common", "bad"], &[bystander]]);
        trial.succeed(&["common"]);
    }
    let mut restarted = Trial::new();
    restarted.now = trial.now;
    let evidence = trial.detector.parts().verdict_evidence(trial.now);
    assert!(evidence.len() <= 8, "the size does not grow with the crashes");
    for evidence in &evidence {
        assert!(restarted.detector.parts().apply_evidence(trial.now, evidence));
        assert!(!restarted.detector.parts().apply_evidence(trial.now, evidence), "known by now");
    }
    assert!(restarted.is_refused(&["bad"]));
    assert!(!restarted.is_refused(&["common"]));
    assert!(!restarted.is_refused(&["rare"]));
}

/// Guards against an entry that refuses a harmless part for good because it missed the report of a success.
#[test]
fn evidence_that_a_success_contradicts_is_answered() {
    let mut trial = Trial::new();
    trial.crash_spaced(&[&["part"]]);
    trial.crash_spaced(&[&["part"]]);
    let crashes = trial.detector.parts().take_due_evidence(trial.now);
    trial.succeed(&["part"]);
    trial.now += Duration::from_secs(2);
    let mut other = Trial::new();
    other.now = trial.now;
    for evidence in &crashes {
        other.detector.parts().apply_evidence(other.now, evidence);
    }
    let known = (0..9).flat_map(|_| trial.detector.parts().take_due_evidence(trial.now)).count();
    assert!(known > 0, "the success was reported");
    let crash = crashes.last().expect("crashes were reported");
    let PartEvidence::Crash(crash) = crash.clone() else { panic!("a crash was reported") };
    let mut repeated = crash;
    repeated.age += Duration::from_secs(2);
    trial.detector.parts().apply_evidence(trial.now, &PartEvidence::Crash(repeated));
    let answers = trial.detector.parts().take_due_evidence(trial.now);
    assert!(matches!(answers[..], [PartEvidence::Success(_)]), "{answers:?}");
    other.detector.parts().apply_evidence(other.now, &answers[0]);
    other.crash_spaced(&[&["part"]]);
    assert!(!other.is_refused(&["part"]));
}

/// Guards against memory that grows with the number of crashes, requests or parts.
#[test]
fn evidence_is_bounded() {
    let mut trial = Trial::new();
    for round in 0..5 {
        trial.crash_spaced(&[&["bad"], &[&format!("{round}")]]);
    }
    for round in 0..2_000 {
        let others: Vec<_> = (0..3).map(|index| format!("{round}-{index}")).collect();
        let others: Vec<_> = others.iter().map(String::as_str).collect();
        trial.crash(&[&others]);
        trial.now += Duration::from_millis(1);
    }
    assert!(trial.is_refused(&["bad"]), "crashes that a verdict is based on are kept");
    let evidence = trial.detector.parts().verdict_evidence(trial.now);
    assert_eq!(evidence.len(), 5);
}
