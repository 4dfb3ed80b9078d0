//! Rendezvous hashing: all processes rank a set of candidates in the same order, without coordination.

/// Computes the weight of `candidate` for `subject`; the candidate with the highest weight is chosen.
#[must_use]
pub fn rendezvous_weight(subject: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(candidate.as_bytes());
    let mut weight = [0; size_of::<u64>()];
    weight.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(weight)
}

/// Sorts `candidates` by descending rendezvous weight for `subject`; ties are broken by descending name.
#[must_use]
pub fn rank_by_weight<'a>(
    subject: &[u8],
    candidates: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (rendezvous_weight(subject, candidate), candidate))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
