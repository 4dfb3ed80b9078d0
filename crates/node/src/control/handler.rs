//! Responds to exchanges and pulls from peers, by passing them to the control task and returning its responses.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};
use wire::{ChannelError, Payload};

use super::{
    convert,
    task::{ControlCounters, ControlMessage},
};
use crate::server::{FrameHandler, ServerChannel};

pub(super) struct ControlHandler {
    pub(super) inbox: mpsc::Sender<ControlMessage>,
    pub(super) counters: Arc<ControlCounters>,
}

impl ControlHandler {
    /// Obtains the response from the control task; `None` if the message is malformed or the task has ended.
    async fn respond(&self, payload: Payload) -> Option<Payload> {
        match payload {
            Payload::DigestExchange(message) => {
                let summary = convert::from_exchange(&message)?;
                let (sender, response) = oneshot::channel();
                self.inbox.send(ControlMessage::Exchange(summary, sender)).await.ok()?;
                Some(Payload::DigestExchange(convert::to_exchange(&response.await.ok()?)))
            }
            Payload::Pull(message) => {
                let (kind, base) = convert::from_pull(&message)?;
                let (sender, response) = oneshot::channel();
                self.inbox.send(ControlMessage::Pull(kind, base, sender)).await.ok()?;
                Some(convert::to_pull_response(kind, response.await.ok()?))
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
            let response = self.respond(payload).await.ok_or(ChannelError::Unexpected)?;
            self.counters.count_sent(&response);
            channel.sender.send(response).await
        })
    }
}
