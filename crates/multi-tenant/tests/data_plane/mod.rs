//! Fixtures: a data plane on loopback, simple backends and a client.
#![allow(dead_code)] // no test file uses everything

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

/// Runs a test on one thread, like the service.
pub async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Endpoint discovery that never provides a list.
pub fn no_discovery() -> StartDiscovery {
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

/// Creates a tenant with one class and these servers, or with two unreachable servers if there are none.
pub fn tenant(n: usize, servers: &[Server]) -> Tenant {
    let class = Class {
        name: "lookup".into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: Milliseconds(2000.0),
        deadline: Milliseconds(20_000.0),
        priority_weight: 1.0,
        late_weight_fraction: Fraction(0.0),
    };
    let unreachable = [server("s0", "127.0.0.1:9"), server("s1", "127.0.0.1:9")];
    Tenant {
        name: format!("t{n:05}"),
        hosts: vec![format!("t{n:05}.example")],
        limits: Limits::default(),
        rules: Rules::default(),
        classes: vec![class],
        discovery: None,
        servers: if servers.is_empty() {
            unreachable.to_vec()
        } else {
            servers.to_vec()
        },
    }
}

/// Creates a data plane that serves these tenants on one listener.
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
    let plane = DataPlane::new(&service.process, no_discovery());
    plane.apply(&service).expect("applied");
    plane
}

/// Server that responds to every request with 200.
pub struct Backend {
    pub address: String,
    /// Number of received requests, and the maximum number in flight at once.
    pub received: Rc<Cell<usize>>,
    pub max_in_flight: Rc<Cell<usize>>,
    in_flight: Rc<Cell<usize>>,
    /// Responses are sent while this is true.
    pub respond: watch::Sender<bool>,
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (respond, responding) = watch::channel(true);
        let backend = Backend {
            address,
            received: Rc::default(),
            max_in_flight: Rc::default(),
            in_flight: Rc::default(),
            respond,
        };
        let (received, max_in_flight, in_flight) = (
            backend.received.clone(),
            backend.max_in_flight.clone(),
            backend.in_flight.clone(),
        );
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_connection(
                    stream,
                    received.clone(),
                    max_in_flight.clone(),
                    in_flight.clone(),
                    responding.clone(),
                ));
            }
        });
        backend
    }

    /// Returns an address that refuses connections and stays reserved while the test runs.
    pub async fn unreachable_address() -> String {
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

async fn serve_connection(
    mut stream: TcpStream,
    received: Rc<Cell<usize>>,
    max_in_flight: Rc<Cell<usize>>,
    in_flight: Rc<Cell<usize>>,
    mut responding: watch::Receiver<bool>,
) {
    let mut head = Vec::new();
    let mut bytes = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut bytes).await {
        head.extend(&bytes[..n]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            received.set(received.get() + 1);
            in_flight.set(in_flight.get() + 1);
            max_in_flight.set(max_in_flight.get().max(in_flight.get()));
            let _ = responding.wait_for(|responding| *responding).await; // fails if the test has ended
            in_flight.set(in_flight.get() - 1);
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

/// Sends a lookup request and returns the status of the response.
pub async fn lookup(address: SocketAddr, tenant: &str) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let head = format!(
        "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Tenant-Id: {tenant}\r\nConnection: close\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("request sent");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .await
        .expect("response received");
    text.split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .expect("a status")
}
