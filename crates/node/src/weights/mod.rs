//! Fetches wanted weights, hands them to the engine and orders the load.

use std::{sync::Arc, time::Duration};

use base::ContentDigest;
use bytes::Bytes;
use config::{AgentSettings, WantedModel, wanted_models};
use log::{info, warn};
use platform::{
    FencingNumber, HttpWeightSource, LoadOrder, ModelEngine, PlatformError, WeightSource,
};
use serde::Deserialize;

use crate::{context::NodeContext, server::FrameHandler, view::ViewReader};

const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the rest of the agent gets from the weights part.
pub struct WeightsPart {
    /// Handlers of messages about weights.
    pub handlers: Vec<Arc<dyn FrameHandler>>,
}

/// Starts the weights part of an agent.
#[must_use]
pub fn spawn(
    context: &NodeContext,
    settings: &AgentSettings,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
) -> WeightsPart {
    let sources =
        settings.weight_sources.iter().map(|address| HttpWeightSource::new(*address)).collect();
    let fetch = FetchLoop {
        context: context.clone(),
        upstream: settings.upstream.clone(),
        sources,
        view,
        engine,
    };
    context.spawn_traffic(fetch.run());
    WeightsPart { handlers: Vec::new() }
}

#[derive(Deserialize)]
struct ChunkList {
    chunks: Vec<ContentDigest>,
}

struct FetchLoop {
    context: NodeContext,
    upstream: base::UpstreamId,
    sources: Vec<HttpWeightSource>,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
}

impl FetchLoop {
    async fn run(self) {
        let mut handed_over = Vec::new();
        loop {
            if let Err(error) = self.load_wanted(&mut handed_over).await {
                warn!("event=weights_failed error=\"{error}\"");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn load_wanted(&self, handed_over: &mut Vec<ContentDigest>) -> Result<(), PlatformError> {
        let Some(view) = self.view.get() else { return Ok(()) };
        let Some(record) = view.config.upstream(&self.upstream) else { return Ok(()) };
        let wanted = wanted_models(&view.config, record);
        for model in &wanted {
            if !handed_over.contains(&model.manifest) {
                let parts = self.fetch(model).await?;
                self.engine.put_weights(model.manifest, parts).await?;
                handed_over.push(model.manifest);
            }
        }
        let loaded = self.engine.status().await?.loaded;
        for model in wanted.iter().filter(|model| model.active) {
            if !loaded.iter().any(|held| held.manifest == model.manifest) {
                let fencing = FencingNumber {
                    revision: view.config.revision,
                    incarnation: self.context.incarnation,
                };
                let order =
                    LoadOrder { model: model.model.clone(), manifest: model.manifest, fencing };
                let taken = self.engine.load(order).await?;
                info!(
                    "event=load_ordered model={} manifest={} taken={taken}",
                    model.model, model.manifest
                );
            }
        }
        Ok(())
    }

    async fn fetch(&self, model: &WantedModel) -> Result<Vec<Bytes>, PlatformError> {
        let Some(source) = self.sources.first() else { return Ok(Vec::new()) };
        let manifest = source.manifest(model.manifest).await?;
        let list: ChunkList = serde_json::from_slice(&manifest)
            .map_err(|source| PlatformError::Malformed { source })?;
        let mut parts = Vec::with_capacity(list.chunks.len());
        for (index, digest) in list.chunks.iter().enumerate() {
            loop {
                let chunk =
                    source.chunk(model.manifest, u32::try_from(index).unwrap_or(u32::MAX)).await;
                match chunk {
                    Ok(chunk) if ContentDigest::of(&chunk) == *digest => {
                        parts.push(chunk);
                        break;
                    }
                    Ok(_) | Err(PlatformError::RateLimited { .. }) => {
                        tokio::time::sleep(RETRY_DELAY).await
                    }
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(parts)
    }
}
