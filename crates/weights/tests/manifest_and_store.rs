//! Manifests from untrusted sources, and the chunk store.

use std::sync::Arc;

use base::ContentDigest;
use bytes::Bytes;
use proptest::prelude::*;
use weights::{ChunkManifest, ChunkSet, ChunkStore, FetchFault, StoreError, VerifiedChunk};

fn content(size: usize, mask: u8) -> Vec<u8> {
    (0..size).map(|position| (position * 31 + position / 251) as u8 ^ mask).collect()
}

fn verified(manifest: &ChunkManifest, content: &[u8], index: u32) -> VerifiedChunk {
    let chunk_bytes = manifest.chunk_bytes() as usize;
    let chunk = content.chunks(chunk_bytes).nth(index as usize).unwrap();
    VerifiedChunk::verify(manifest, index, Bytes::copy_from_slice(chunk)).unwrap()
}

/// Guards against accepting a manifest that a source has altered.
#[test]
fn manifest_with_another_digest_is_rejected() {
    let manifest = ChunkManifest::build(&content(1000, 0), 100).unwrap();
    let bytes = manifest.to_bytes();
    assert_eq!(ChunkManifest::parse(&bytes, manifest.digest()).unwrap(), manifest);
    let other = ContentDigest::of(b"other");
    assert!(ChunkManifest::parse(&bytes, other).is_err());
}

/// Guards against manifests that are inconsistent or would cause unbounded allocations.
#[test]
fn manifest_that_breaks_a_rule_is_rejected() {
    let digest = ContentDigest::of(b"chunk").to_string();
    let cases = [
        r#"{"size_bytes":0,"chunk_bytes":10,"chunks":[]}"#.to_owned(),
        format!(r#"{{"size_bytes":20,"chunk_bytes":10,"chunks":["{digest}"]}}"#),
        format!(r#"{{"size_bytes":10,"chunk_bytes":0,"chunks":["{digest}"]}}"#),
        format!(r#"{{"size_bytes":9000000,"chunk_bytes":9000000,"chunks":["{digest}"]}}"#),
        format!(r#"{{"size_bytes":10,"chunk_bytes":10,"chunks":["{digest}"],"more":1}}"#),
        r#"{"size_bytes":10,"chunk_bytes":10,"chunks":["xyz"]}"#.to_owned(),
        "not json".to_owned(),
    ];
    for case in cases {
        let parsed = ChunkManifest::parse(case.as_bytes(), ContentDigest::of(case.as_bytes()));
        assert!(parsed.is_err(), "{case}");
    }
    let huge = vec![b' '; ChunkManifest::MAX_BYTES + 1];
    assert!(ChunkManifest::parse(&huge, ContentDigest::of(&huge)).is_err());
}

/// Guards against storing a corrupt or truncated chunk.
#[test]
fn corrupted_and_truncated_chunks_are_not_verified() {
    let content = content(250, 1);
    let manifest = ChunkManifest::build(&content, 100).unwrap();
    let mut corrupt = content[..100].to_vec();
    corrupt[50] ^= 1;
    let verify = |index, data: &[u8]| {
        VerifiedChunk::verify(&manifest, index, Bytes::copy_from_slice(data)).map(drop)
    };
    assert_eq!(verify(0, &corrupt), Err(FetchFault::Corrupt));
    assert_eq!(verify(0, &content[..99]), Err(FetchFault::Truncated));
    assert_eq!(verify(1, &content[..100]), Err(FetchFault::Corrupt));
    assert_eq!(verify(2, &content[200..]), Ok(()));
    assert_eq!(verify(3, &[]), Err(FetchFault::Corrupt));
}

/// Guards against exceeding the memory bound, and against keeping chunks that are no longer wanted.
#[test]
fn store_respects_its_memory_bound_and_evicts_unwanted_chunks() {
    let (old, new) = (content(300, 2), content(300, 3));
    let old_manifest = Arc::new(ChunkManifest::build(&old, 100).unwrap());
    let new_manifest = Arc::new(ChunkManifest::build(&new, 100).unwrap());
    let mut store = ChunkStore::new(400);
    assert!(matches!(
        store.insert(verified(&old_manifest, &old, 0)),
        Err(StoreError::NotWanted { .. })
    ));
    let old_digest = store.add_manifest(old_manifest.clone());
    let new_digest = store.add_manifest(new_manifest.clone());
    for index in 0..3 {
        store.insert(verified(&old_manifest, &old, index)).unwrap();
    }
    store.insert(verified(&new_manifest, &new, 0)).unwrap();
    let refused = store.insert(verified(&new_manifest, &new, 1));
    assert_eq!(refused, Err(StoreError::Full { size: 100, bound: 400 }));
    assert!(store.is_complete(old_digest));
    assert_eq!(store.all_chunks(new_digest), None);
    assert_eq!(store.retain(&[new_digest]), 3);
    assert_eq!((store.held_bytes(), store.chunk(old_digest, 0)), (100, None));
    for index in 1..3 {
        store.insert(verified(&new_manifest, &new, index)).unwrap();
    }
    assert_eq!(store.all_chunks(new_digest).unwrap().concat(), new);
}

proptest! {
    /// Guards against a bitmap from a peer that contains chunks outside the manifest or causes a panic.
    #[test]
    fn any_bitmap_stays_inside_the_manifest(
        length in 0_u32..300,
        bitmap in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let set = ChunkSet::from_bitmap(length, &bitmap);
        prop_assert!(set.count() <= length);
        prop_assert_eq!(set.iter().count() + set.missing().count(), length as usize);
        prop_assert_eq!(ChunkSet::from_bitmap(length, &set.to_bitmap()), set);
    }

    /// Guards against a panic of the parser on bytes from a peer.
    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = ChunkManifest::parse(&bytes, ContentDigest::of(&bytes));
    }
}
