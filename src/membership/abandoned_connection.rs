//! Connections to a peer that is presumed to be gone. See docs/design/peers.md.

use std::{net::SocketAddr, sync::Weak, time::Duration};

use bytes::Bytes;
use quinn::{Connection, VarInt};
use tokio::time::sleep;

use crate::membership::held_connection::HeldConnection;

/// Time for a peer to acknowledge a probe of an abandoned connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Content of a probe. Peers acknowledge the datagram and read nothing from it.
const PROBE: Bytes = Bytes::from_static(b"?");

/// Probes a connection until the peer is silent, which closes the connection, or until the last exchange on it ends. The
/// presumption that a peer is gone may be wrong, or concern an earlier run of the peer than the one that the connection
/// leads to. A restarted peer answers a probe of an old connection with a stateless reset.
pub(super) async fn watch_abandoned(
    peer: SocketAddr,
    connection: Weak<HeldConnection>,
    close_code: VarInt,
) {
    while let Some(held) = connection.upgrade() {
        let connection = &held.inner;

        if connection.close_reason().is_some() {
            return;
        }

        let received = received_datagrams(connection);

        if let Err(error) = connection.send_datagram(PROBE) {
            log::info!(peer:% = peer; "closing an abandoned connection that can't be probed: {error}");
            connection.close(close_code, b"given up");
            return;
        }

        sleep(PROBE_TIMEOUT).await;

        if received_datagrams(connection) == received {
            log::info!(peer:% = peer; "closing an abandoned connection: the peer acknowledges no probe");
            connection.close(close_code, b"given up");
            return;
        }
    }
}

fn received_datagrams(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}
