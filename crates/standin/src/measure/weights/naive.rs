//! The naive transfer, in which every host fetches every chunk from the origin.

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

/// Maximum number of concurrent chunk requests of a host.
const MAX_IN_FLIGHT: usize = 4;

/// Attempts per chunk. Hundreds of hosts that connect at the same time overflow the accept queue of the origin, so that
/// some attempts fail.
const MAX_ATTEMPTS: usize = 20;
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Results of a naive transfer.
#[derive(Clone, Copy, Debug)]
pub struct NaiveFigures {
    /// Time until every host had all chunks, or until the time limit.
    pub time: Duration,
    /// Fraction of all chunks that arrived; below 1 if the transfer was stopped at the time limit.
    pub fraction: f64,
}

/// Runs the naive transfer for at most `limit`, with the same rate limit at the origin as the measured transfer.
///
/// # Errors
/// Fails if a socket cannot be opened or a host cannot fetch a chunk after all attempts.
#[expect(clippy::cast_precision_loss, reason = "counts of chunks are far below 2^52")]
pub async fn run_naive(
    options: &RunOptions,
    limit: Duration,
) -> Result<NaiveFigures, StandinError> {
    let catalog = Arc::new(WeightCatalog::default());
    let image = catalog.add(options.image(0));
    let origin = start_origin(options, catalog).await?;
    let started = Instant::now();
    let chunks_received = Arc::new(AtomicU64::new(0));
    let mut hosts = tokio::task::JoinSet::new();
    for _ in 0..options.hosts {
        let source = HttpWeightSource::new(origin.address());
        let chunks = image.chunks.clone();
        hosts.spawn(naive_host(source, image.digest, chunks, chunks_received.clone()));
    }
    let total = (options.hosts * image.chunks.len()) as f64;
    let all = async {
        while let Some(outcome) = hosts.join_next().await {
            if !matches!(outcome, Ok(true)) {
                let what = "complete weights in the naive transfer".into();
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
    let fraction = chunks_received.load(Ordering::Relaxed) as f64 / total;
    Ok(NaiveFigures { time: started.elapsed(), fraction })
}

async fn naive_host(
    source: HttpWeightSource,
    manifest: ContentDigest,
    chunks: Vec<ContentDigest>,
    chunks_received: Arc<AtomicU64>,
) -> bool {
    let (source, chunks_received) = (&source, &chunks_received);
    let fetches = (0..).zip(chunks).map(|(index, digest): (u32, _)| async move {
        let mut verified = false;
        for _ in 0..MAX_ATTEMPTS {
            let chunk = source.chunk(manifest, index).await;
            verified = chunk.is_ok_and(|chunk| ContentDigest::of(&chunk) == digest);
            if verified {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        chunks_received.fetch_add(u64::from(verified), Ordering::Relaxed);
        verified
    });
    futures_util::stream::iter(fetches)
        .buffer_unordered(MAX_IN_FLIGHT)
        .all(|verified| async move { verified })
        .await
}
