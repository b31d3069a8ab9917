//! The servers behind the two tenants: each answers after a fixed work, or never.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::real::http::{Connection, StartLine};

/// What a path holds whose answer is large.
pub const LARGE: &str = "large";
/// Bytes of a large answer.
const MANY: usize = 60 << 10;
/// How long an answer takes.
const WORK: Duration = Duration::from_millis(20);

/// Servers on a thread of their own, which ends with the process.
pub struct Fleet {
    pub quiet: Vec<SocketAddr>,
    pub flooded: Vec<SocketAddr>,
    /// Servers that take requests and never answer.
    pub hanging: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the servers.
    ///
    /// # Errors
    /// A port or the thread can't be had.
    pub fn start() -> io::Result<Self> {
        let (tell, told) = channel();
        thread::Builder::new().name("fleet".into()).spawn(move || {
            let run = async {
                let mut all = Vec::new();
                for hangs in [false, false, true] {
                    let mut two = Vec::new();
                    for _ in 0..2 {
                        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
                        two.push(listener.local_addr()?);
                        spawn_local(serve(listener, hangs));
                    }
                    all.push(two);
                }
                let _ = tell.send(all); // whoever started it is gone otherwise
                std::future::pending::<io::Result<()>>().await
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, run)
        })?;
        let mut all = told
            .recv()
            .map_err(|_| io::Error::other("the servers did not come up"))?
            .into_iter();
        let mut next = || all.next().unwrap_or_default();
        Ok(Fleet {
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
                sleep(WORK).await;
                let large =
                    matches!(&request.start, StartLine::Request(_, path) if path.ends_with(LARGE));
                let body = if large {
                    "x".repeat(MANY)
                } else {
                    "done".into()
                };
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if connection.write(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}
