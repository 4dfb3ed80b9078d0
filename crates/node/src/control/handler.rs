//! Answers exchanges and pulls of peers. The control thread decides; this part only passes messages to it.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};
use wire::{ChannelError, Payload};

use super::{
    convert,
    shell::{ControlCounters, ControlMessage},
};
use crate::server::{FrameHandler, ServerChannel};

pub(super) struct ControlHandler {
    pub(super) inbox: mpsc::Sender<ControlMessage>,
    pub(super) counters: Arc<ControlCounters>,
}

impl ControlHandler {
    /// The answer; `None` for a malformed message or when the process stops.
    async fn answer(&self, payload: Payload) -> Option<Payload> {
        match payload {
            Payload::DigestExchange(message) => {
                let summary = convert::from_exchange(&message)?;
                let (reply, answer) = oneshot::channel();
                self.inbox.send(ControlMessage::Exchange(summary, reply)).await.ok()?;
                Some(Payload::DigestExchange(convert::to_exchange(&answer.await.ok()?)))
            }
            Payload::Pull(message) => {
                let (kind, base) = convert::from_pull(&message)?;
                let (reply, answer) = oneshot::channel();
                self.inbox.send(ControlMessage::Pull(kind, base, reply)).await.ok()?;
                Some(convert::to_answer(kind, answer.await.ok()?))
            }
            _ => None,
        }
    }
}

impl FrameHandler for ControlHandler {
    fn accepts(&self, payload: &Payload) -> bool {
        matches!(payload, Payload::DigestExchange(_) | Payload::Pull(_))
    }

    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            self.counters.count_received(&payload);
            let answer = self.answer(payload).await.ok_or(ChannelError::Unexpected)?;
            self.counters.count_sent(&answer);
            channel.sender.send(answer).await
        })
    }
}
