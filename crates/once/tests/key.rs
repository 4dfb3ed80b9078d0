//! Guards against accepting keys that were altered or forged, and against keys that are not valid in a header.

use std::time::Duration;

use once::{KeyError, KeyOwner, KeySigner, MAX_KEY_BYTES, RequestKey};
use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn new_key(service: &str, upstream: &str, incarnation: u64, issued_ms: u64) -> RequestKey {
    let mut random = ChaCha8Rng::seed_from_u64(incarnation ^ issued_ms);
    let owner = KeyOwner::new(upstream, incarnation);
    RequestKey::new(service, owner, Duration::from_millis(issued_ms), &mut random)
}

fn new_signer() -> KeySigner {
    KeySigner::new([7; 32])
}

proptest! {
    /// Guards against a key that does not survive being sent in a header.
    #[test]
    fn text_form_round_trips(
        service in "[A-Za-z0-9._-]{1,64}",
        upstream in "[A-Za-z0-9._-]{1,64}",
        incarnation: u64,
        issued_ms: u64,
    ) {
        let key = new_key(&service, &upstream, incarnation, issued_ms);
        let text = new_signer().sign(&key);
        prop_assert!(text.len() <= MAX_KEY_BYTES);
        prop_assert!(text.bytes().all(|byte| byte.is_ascii_graphic() && !b",\"".contains(&byte)));
        prop_assert_eq!(new_signer().verify(&text), Ok(key));
    }

    /// Guards against a caller that changes the owner, service or issue time of a key.
    #[test]
    fn altered_text_is_rejected(position in 0usize..140, byte in 0x21u8..0x7f) {
        let mut text = new_signer().sign(&new_key("booking", "u-1", 99, 1_000)).into_bytes();
        prop_assume!(position < text.len());
        let original = text[position];
        // The hexadecimal digits of the signature are accepted in upper and lower case.
        prop_assume!(!original.eq_ignore_ascii_case(&byte));
        text[position] = byte;
        let text = String::from_utf8(text).expect("the text stays ASCII");
        prop_assert!(new_signer().verify(&text).is_err());
    }

    /// Guards against a panic on arbitrary header values.
    #[test]
    fn arbitrary_text_is_an_error(text in ".{0,400}") {
        prop_assert!(new_signer().verify(&text).is_err());
    }
}

/// Guards against accepting keys of another fleet.
#[test]
fn key_of_another_fleet_is_not_authentic() {
    let text = KeySigner::new([8; 32]).sign(&new_key("booking", "u-1", 1, 1));
    assert_eq!(new_signer().verify(&text), Err(KeyError::NotAuthentic));
}

/// Guards against two keys with the same issue time that share one record.
#[test]
fn keys_with_the_same_issue_time_differ() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut generate = || RequestKey::new("s", KeyOwner::new("u", 1), Duration::ZERO, &mut random);
    assert_ne!(generate().index(), generate().index());
}

/// Guards against the cost of parsing an oversized header.
#[test]
fn oversized_text_is_rejected() {
    let text = "k".repeat(MAX_KEY_BYTES + 1);
    let expected = KeyError::TooLong { length: MAX_KEY_BYTES + 1 };
    assert_eq!(new_signer().verify(&text), Err(expected));
}
