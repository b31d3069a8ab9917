//! Runs the servers of the two tenants: each responds after a fixed delay, or never.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::real::http::{Connection, StartLine};

/// Suffix of a path that requests a large response.
pub const LARGE_PATH_SUFFIX: &str = "large";
/// Body size of a large response.
const LARGE_BODY_BYTES: usize = 60 << 10;
/// Delay before a response.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);

/// Servers on a separate thread that runs until the process ends.
pub struct ServerFleet {
    pub quiet: Vec<SocketAddr>,
    pub flooded: Vec<SocketAddr>,
    /// Servers that accept requests and never respond.
    pub hanging: Vec<SocketAddr>,
}

impl ServerFleet {
    /// Starts the servers.
    ///
    /// # Errors
    /// A port cannot be bound, or the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let (sender, receiver) = channel();
        thread::Builder::new().name("fleet".into()).spawn(move || {
            let run = async {
                let mut groups = Vec::new();
                for hangs in [false, false, true] {
                    let mut addresses = Vec::new();
                    for _ in 0..2 {
                        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
                        addresses.push(listener.local_addr()?);
                        spawn_local(serve(listener, hangs));
                    }
                    groups.push(addresses);
                }
                let _ = sender.send(groups); // fails only if the caller has returned
                std::future::pending::<io::Result<()>>().await
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, run)
        })?;
        let mut groups = receiver
            .recv()
            .map_err(|_| io::Error::other("the servers did not start"))?
            .into_iter();
        let mut next = || groups.next().unwrap_or_default();
        Ok(ServerFleet {
            quiet: next(),
            flooded: next(),
            hanging: next(),
        })
    }
}

async fn serve(listener: TcpListener, hangs: bool) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut connection = Connection::new(stream);
        spawn_local(async move {
            while let Ok(request) = connection.read(true).await {
                if hangs {
                    return connection.closed().await;
                }
                sleep(RESPONSE_DELAY).await;
                let large = matches!(&request.start, StartLine::Request(_, path) if path.ends_with(LARGE_PATH_SUFFIX));
                let body = if large {
                    "x".repeat(LARGE_BODY_BYTES)
                } else {
                    "done".into()
                };
                let response = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if connection.write(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}
