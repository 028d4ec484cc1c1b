//! Listener of a stand-in.

use {
    axum::{Router, serve::ListenerExt},
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// A stand-in that listens, until it is dropped.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on `address`, where port 0 takes a port from the system, and serves `router`.
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

    /// Base address of the stand-in for HTTP clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
