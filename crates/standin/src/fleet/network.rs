//! Simulated network between hosts: relays in front of the peer addresses limit bandwidth, count bytes and can
//! partition data centres.

use std::{
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use base::{DataCentreId, HostId};
use prost::Message;
use snafu::ResultExt;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::CancellationToken;
use wire::{Envelope, Payload};

use crate::{
    error::{BindSnafu, StandinError},
    http::lock,
    platform::pace::PacedLink,
};

/// Maximum size of the first frame, which identifies the connecting host.
const MAX_HELLO_BYTES: u32 = 4 << 10;
/// Buffer size for copying, in bytes.
const COPY_BYTES: usize = 64 << 10;

/// Relays between hosts, with their link bandwidth and network partitions.
#[derive(Debug)]
pub struct PeerNetwork {
    state: Mutex<NetworkState>,
    /// Number of partition changes; notifies waiting connections.
    changed: watch::Sender<u64>,
    stop: CancellationToken,
    link_bytes_per_second: f64,
}

#[derive(Debug, Default)]
struct NetworkState {
    data_centres: HashMap<HostId, DataCentreId>,
    /// Data centres that are partitioned from all others.
    partitioned: HashSet<DataCentreId>,
    /// Number of bytes that each agent sent to other agents.
    uploaded: HashMap<HostId, u64>,
    /// Outbound and inbound link of each agent for traffic with other agents.
    links: HashMap<HostId, (Arc<PacedLink>, Arc<PacedLink>)>,
}

impl PeerNetwork {
    /// Creates a network without hosts. Traffic between agents is limited to this bandwidth for each agent and
    /// direction.
    #[must_use]
    pub fn new(link_bytes_per_second: f64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            stop: CancellationToken::new(),
            link_bytes_per_second,
        })
    }

    /// Adds a host and relays connections to `advertised` to the address `target` that the node listens on.
    ///
    /// # Errors
    /// Fails if the advertised address cannot be bound.
    pub async fn add_host(
        self: &Arc<Self>,
        host: HostId,
        data_centre: DataCentreId,
        is_agent: bool,
        advertised: SocketAddr,
        target: SocketAddr,
    ) -> Result<(), StandinError> {
        let listener =
            TcpListener::bind(advertised).await.context(BindSnafu { address: advertised })?;
        {
            let mut state = lock(&self.state);
            state.data_centres.insert(host.clone(), data_centre);
            if is_agent {
                let link = || Arc::new(PacedLink::new(self.link_bytes_per_second));
                state.links.insert(host.clone(), (link(), link()));
            }
        }
        let relay = Arc::new(Relay { network: Arc::clone(self), host, target });
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(relay.accept_all(listener)).await });
        Ok(())
    }

    /// Partitions a data centre from all others, or ends the partition. During a partition, connections between the
    /// data centre and others stall.
    pub fn set_separated(&self, data_centre: &str, partitioned: bool) {
        let mut state = lock(&self.state);
        if partitioned {
            state.partitioned.insert(data_centre.into());
        } else {
            state.partitioned.remove(data_centre);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Number of bytes that each agent sent to other agents so far.
    #[must_use]
    pub fn uploaded(&self) -> HashMap<HostId, u64> {
        lock(&self.state).uploaded.clone()
    }

    /// Stops all relays and closes their connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    fn is_connected(&self, left: &str, right: &str) -> bool {
        let state = lock(&self.state);
        let (left, right) = (state.data_centres.get(left), state.data_centres.get(right));
        let partitioned = |side: Option<&DataCentreId>| {
            side.is_some_and(|data_centre| state.partitioned.contains(data_centre))
        };
        left == right || !(partitioned(left) || partitioned(right))
    }

    async fn wait_until_connected(&self, left: &str, right: &str) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if self.is_connected(left, right) {
                return;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Counts bytes between two agents and waits until both links have transmitted them. Other traffic is neither
    /// counted nor limited.
    async fn transmit(&self, from: &str, to: &str, bytes: usize) {
        let links = {
            let mut state = lock(&self.state);
            let links = state.links.get(from).zip(state.links.get(to));
            let links = links.map(|(from, to)| (Arc::clone(&from.0), Arc::clone(&to.1)));
            if links.is_some() {
                *state.uploaded.entry(from.into()).or_default() += bytes as u64;
            }
            links
        };
        if let Some((outbound, inbound)) = links {
            tokio::join!(outbound.transmit(bytes), inbound.transmit(bytes));
        }
    }
}

/// Accepts connections for one host and forwards them to it.
struct Relay {
    network: Arc<PeerNetwork>,
    host: HostId,
    target: SocketAddr,
}

impl Relay {
    async fn accept_all(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let relay = Arc::clone(&self);
            let stop = self.network.stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(relay.serve(stream)).await });
        }
    }

    async fn serve(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let hello_frame = read_hello(&mut client).await?;
        let peer = sender_host(&hello_frame).unwrap_or_default();
        self.network.wait_until_connected(&peer, &self.host).await;
        let mut server = TcpStream::connect(self.target).await?;
        server.set_nodelay(true)?;
        server.write_all(&hello_frame).await?;
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        // The end of either direction closes the whole connection.
        tokio::select! {
            ended = self.copy(&peer, &self.host, client_reader, server_writer) => ended,
            ended = self.copy(&self.host, &peer, server_reader, client_writer) => ended,
        }
    }

    async fn copy(
        &self,
        from: &str,
        to: &str,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let mut buffer = vec![0; COPY_BYTES];
        loop {
            let length = reader.read(&mut buffer).await?;
            if !self.network.is_connected(from, to) {
                self.network.wait_until_connected(from, to).await;
            }
            if length == 0 {
                return writer.shutdown().await;
            }
            self.network.transmit(from, to, length).await;
            writer.write_all(&buffer[..length]).await?;
        }
    }
}

/// Reads the first frame, including its length prefix.
async fn read_hello(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MAX_HELLO_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(frame.len() + length as usize, 0);
    stream.read_exact(&mut frame[size_of::<u32>()..]).await?;
    Ok(frame)
}

fn sender_host(frame: &[u8]) -> Option<String> {
    let envelope = Envelope::decode(&frame[size_of::<u32>()..]).ok()?;
    match envelope.payload {
        Some(Payload::Hello(hello)) => Some(hello.host),
        _ => None,
    }
}
