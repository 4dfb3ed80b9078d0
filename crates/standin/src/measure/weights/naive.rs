//! The naive transfer, in which every host draws every chunk from the origin.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::ContentDigest;
use futures_util::StreamExt;
use ports::{HttpWeightSource, WeightSource};

use super::run::{RunOptions, start_origin};
use crate::{error::StandinError, platform::catalog::WeightCatalog};

/// Chunks that a naive host asks for at once.
const NAIVE_IN_FLIGHT: usize = 4;

/// Attempts for each chunk: hundreds of hosts that connect at once overflow the accept queue of the origin.
const ATTEMPTS: usize = 20;
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a naive transfer showed.
#[derive(Clone, Copy, Debug)]
pub struct NaiveFigures {
    /// Time until every host had all chunks, or until the run was cut off.
    pub time: Duration,
    /// Part of all bytes that had arrived; below 1 if the run was cut off.
    pub part: f64,
}

/// Runs the naive transfer over the same paced link of the origin, at most for `limit`.
///
/// # Errors
/// Fails if a socket cannot be opened or a chunk is not answered.
#[expect(clippy::cast_precision_loss, reason = "counts of chunks are far below 2^52")]
pub async fn run_naive(
    options: &RunOptions,
    limit: Duration,
) -> Result<NaiveFigures, StandinError> {
    let catalog = Arc::new(WeightCatalog::default());
    let image = catalog.add(options.image(0));
    let origin = start_origin(options, catalog).await?;
    let started = Instant::now();
    let arrived = Arc::new(AtomicU64::new(0));
    let mut hosts = tokio::task::JoinSet::new();
    for _ in 0..options.hosts {
        let source = HttpWeightSource::new(origin.address());
        let chunks = image.chunks.clone();
        hosts.spawn(naive_host(source, image.digest, chunks, arrived.clone()));
    }
    let total = (options.hosts * image.chunks.len()) as f64;
    let all = async {
        while let Some(outcome) = hosts.join_next().await {
            if !matches!(outcome, Ok(true)) {
                let what = "the naive transfer of whole weights".into();
                return Err(StandinError::NotReached {
                    what,
                    seconds: started.elapsed().as_secs(),
                });
            }
        }
        Ok(())
    };
    if let Ok(outcome) = tokio::time::timeout(limit, all).await {
        outcome?;
    }
    let part = arrived.load(Ordering::Relaxed) as f64 / total;
    Ok(NaiveFigures { time: started.elapsed(), part })
}

async fn naive_host(
    source: HttpWeightSource,
    manifest: ContentDigest,
    chunks: Vec<ContentDigest>,
    arrived: Arc<AtomicU64>,
) -> bool {
    let (source, arrived) = (&source, &arrived);
    let fetches = (0..).zip(chunks).map(|(index, digest): (u32, _)| async move {
        let mut whole = false;
        for _ in 0..ATTEMPTS {
            let chunk = source.chunk(manifest, index).await;
            whole = chunk.is_ok_and(|chunk| ContentDigest::of(&chunk) == digest);
            if whole {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        arrived.fetch_add(u64::from(whole), Ordering::Relaxed);
        whole
    });
    futures_util::stream::iter(fetches)
        .buffer_unordered(NAIVE_IN_FLIGHT)
        .all(|whole| async move { whole })
        .await
}
