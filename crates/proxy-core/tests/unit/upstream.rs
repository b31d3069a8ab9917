//! Unit tests of the write tracker.
use std::convert::Infallible;
use std::io::Write;
use std::rc::Weak;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use tokio::sync::mpsc;

use super::*;
use crate::body_buffer::BodyBuffer;

fn started_tracker(body: usize) -> (WriteTracker, Rc<Endpoint>, Rc<AttemptControl>) {
    start_tracker(body, None)
}

fn start_tracker(
    body: usize,
    upload: Option<Rc<Upload>>,
) -> (WriteTracker, Rc<Endpoint>, Rc<AttemptControl>) {
    let endpoint = Endpoint::new("127.0.0.1:1".parse().expect("valid address"), 0.0);
    let control = Rc::new(AttemptControl::default());
    let tracker = WriteTracker::default();
    tracker.start(
        SendCondition {
            endpoint: endpoint.clone(),
            control: control.clone(),
            start_by: None,
        },
        body,
        upload,
    );
    (tracker, endpoint, control)
}

/// Receives the head of a request and returns its body.
async fn incoming_body() -> Incoming {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    let (server, _) = listener.accept().await.expect("a connection");
    let (sender, mut bodies) = mpsc::unbounded_channel();
    let service = service_fn(move |request: Request<Incoming>| {
        let _ = sender.send(request.into_body());
        pending::<Result<Response<String>, Infallible>>()
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(server), service);
    tokio::task::spawn_local(connection);
    let head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n";
    client.write_all(head).expect("the head is written");
    bodies.recv().await.expect("a request")
}

/// Guards against idle connections that keep the memory of bodies that were sent on them.
#[tokio::test(flavor = "local")]
async fn a_connection_releases_the_body_of_an_answered_request() {
    let timeout = Duration::from_secs(1);
    let beginning = BodyBuffer::new(Some(9));
    let body = incoming_body().await;
    let now = Instant::now();
    let place = BodyMemory::new(0, 0).place();
    let upload = Upload::new(
        beginning,
        Some(9),
        body,
        timeout,
        ClientPresence::new(Weak::new()),
        place,
        now,
    );
    let (tracker, ..) = start_tracker(0, Some(upload.clone()));
    tracker.end();
    assert_eq!(Rc::strong_count(&upload), 1);
}

#[test]
fn a_request_is_complete_with_its_last_byte_for_any_chunking() {
    let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
    for cut in 1..text.len() {
        let (tracker, ..) = started_tracker(8);
        tracker.record_write(&text[..cut]);
        assert!(
            tracker.started.get() && !tracker.is_complete(),
            "cut at {cut}"
        );
        tracker.record_write(&text[cut..]);
        assert!(tracker.is_complete(), "cut at {cut}");
    }
}

#[test]
fn the_first_byte_needs_an_open_endpoint_and_an_unanswered_request() {
    let (tracker, endpoint, _) = started_tracker(0);
    endpoint.set_open(false);
    assert!(!tracker.may_write() && tracker.blocked.get());
    let (tracker, _, cancel) = started_tracker(0);
    cancel.cancel();
    assert!(!tracker.may_write());
    let (tracker, endpoint, _) = started_tracker(0);
    assert!(tracker.may_write());
    tracker.record_write(b"G");
    endpoint.set_open(false); // a request that has begun is completed
    assert!(tracker.may_write());
    assert!(
        !WriteTracker::default().may_write(),
        "nothing is written between requests"
    );
}
