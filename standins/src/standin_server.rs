//! HTTP listener of a stand-in.

use {
    axum::{Router, serve::ListenerExt},
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Listener of a running stand-in. Dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Address that the stand-in listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on `address`, where port 0 picks a free port, and serves `router`. Fails if the address cannot be bound.
    pub async fn start(address: &str, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;

        let task = tokio::spawn(async move {
            let _ = axum::serve(
                listener.tap_io(|stream| {
                    let _ = stream.set_nodelay(true);
                }),
                router,
            )
            .await;
        });

        Ok(Self { address, task })
    }

    /// Base URL of the stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
