//! A plane on loopback, with small servers, and a client of it.
#![allow(dead_code)] // each test file uses its own part

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use config_parser::units::{Fraction, Milliseconds};
use multi_tenant::data_plane::{DataPlane, StartDiscovery};
use multi_tenant::document::{
    Class, Idempotency, Limits, Listener, Process, Rules, Server, Service, State, Tenant, TenantBy,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Runs on one thread, as the service does.
pub async fn local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Lists that are followed and never come.
pub fn follow() -> StartDiscovery {
    Box::new(|_, _, _| {
        let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
        spawn_local(async move { sender.closed().await });
        receiver
    })
}

pub fn server(name: &str, address: &str) -> Server {
    Server {
        name: name.into(),
        address: address.into(),
        capacity: 16.0,
        zone: None,
        machine_type: None,
        state: State::Up,
        connections: None,
        warm: false,
    }
}

/// A tenant of one class with these servers, or two of which none is there.
pub fn tenant(n: usize, servers: &[Server]) -> Tenant {
    let class = Class {
        name: "lookup".into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: Milliseconds(2000.0),
        deadline: Milliseconds(20_000.0),
        priority_weight: 1.0,
        late_weight_fraction: Fraction(0.0),
    };
    let none = [server("s0", "127.0.0.1:9"), server("s1", "127.0.0.1:9")];
    Tenant {
        name: format!("t{n:05}"),
        hosts: vec![format!("t{n:05}.example")],
        limits: Limits::default(),
        rules: Rules::default(),
        classes: vec![class],
        discovery: None,
        servers: if servers.is_empty() {
            none.to_vec()
        } else {
            servers.to_vec()
        },
    }
}

/// A plane that serves these tenants by one listener.
pub fn plane(process: Process, tenants: Vec<Tenant>) -> Rc<DataPlane> {
    let listener = Listener {
        name: "all".into(),
        address: "127.0.0.1:0".into(),
        tenant_by: TenantBy::Header,
        tenant: None,
    };
    let process = Process {
        seed: Some(7),
        ..process
    };
    let service = Service {
        process,
        listeners: vec![listener],
        tenants,
        ..Service::default()
    };
    let plane = DataPlane::new(&service.process, follow());
    plane.apply(&service).expect("it can be served");
    plane
}

/// A server that answers all with 200.
pub struct Backend {
    pub address: String,
    /// Requests that it has begun, and the most that it had at once.
    pub seen: Rc<Cell<usize>>,
    pub most: Rc<Cell<usize>>,
    now: Rc<Cell<usize>>,
    /// It answers while this is true.
    pub answers: watch::Sender<bool>,
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (answers, may) = watch::channel(true);
        let backend = Backend {
            address,
            seen: Rc::default(),
            most: Rc::default(),
            now: Rc::default(),
            answers,
        };
        let (seen, most, now) = (
            backend.seen.clone(),
            backend.most.clone(),
            backend.now.clone(),
        );
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(answer(
                    stream,
                    seen.clone(),
                    most.clone(),
                    now.clone(),
                    may.clone(),
                ));
            }
        });
        backend
    }

    /// An address that refuses connections, and that nobody else gets while the test runs.
    pub async fn dead() -> String {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let address = socket.local_addr().expect("an address").to_string();
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(socket);
        });
        address
    }
}

async fn answer(
    mut stream: TcpStream,
    seen: Rc<Cell<usize>>,
    most: Rc<Cell<usize>>,
    now: Rc<Cell<usize>>,
    mut may: watch::Receiver<bool>,
) {
    let mut head = Vec::new();
    let mut bytes = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut bytes).await {
        head.extend(&bytes[..n]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            seen.set(seen.get() + 1);
            now.set(now.get() + 1);
            most.set(most.get().max(now.get()));
            let _ = may.wait_for(|may| *may).await; // or the test is over
            now.set(now.get() - 1);
            if stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// The status of a lookup's answer.
pub async fn ask(address: SocketAddr, tenant: &str) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let head = format!(
        "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Tenant-Id: {tenant}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("its answer");
    text.split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .expect("a status")
}
