//! Clients send a checkout with a long body and leave while it waits for a busy loan server. No attempt may begin for a
//! client that has gone.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const BACKGROUND_CLIENTS: usize = 60;
const LEAVING_CLIENTS: usize = 4;
const LENGTH_MS: f64 = 20_000.0;
/// The work of a checkout; a loan server has two cores, and further requests wait their turn there.
const WORK_MS: f64 = 120.0;
const CORES: u32 = 2;
const BODY_BYTES: usize = 3_000_000;
/// A leaving client closes so long after its last byte.
const PATIENCE_MS: f64 = 100.0;
/// 0.1 s, and 50 ms of slack on sockets.
const LAST_BEGIN_MS: f64 = 150.0;

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).unwrap_or_else(|e| finish(2, &format!("connect: {e}")));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
    let _ = stream.set_nodelay(true);
    stream
}

fn main() {
    begin();
    let agent = Agent::start();
    // When a loan server saw the first line, and whether it got the whole request and ran it.
    let attempts: Arc<Mutex<HashMap<String, (f64, bool)>>> = Arc::default();
    for n in 0..9 {
        let attempts = attempts.clone();
        let (cores, core_freed) = (Mutex::new(CORES), Condvar::new());
        let address = server(move |request, out| {
            if request.body.len() > 1000 || !request.whole {
                note(&format!(
                    "server s-{n}: {} began at {:.1} ms and has {} bytes; {}",
                    request.id(),
                    request.begun_at,
                    request.body.len(),
                    if request.whole {
                        "it runs"
                    } else {
                        "cut off, it never runs"
                    }
                ));
                attempts
                    .lock()
                    .unwrap()
                    .insert(request.id(), (request.begun_at, request.whole));
            }
            if !request.whole {
                return false;
            }
            let mut free = core_freed.wait_while(cores.lock().unwrap(), |free| *free == 0).unwrap();
            *free -= 1;
            drop(free);
            sleep_ms(WORK_MS);
            *cores.lock().unwrap() += 1;
            core_freed.notify_one();
            out.write_all(answer("done").as_bytes()).is_ok()
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let proxy = start_proxy(agent.address, &Deployment::default());
    sleep_ms(500.0);
    let over = AtomicBool::new(false);
    let (served, others) = (AtomicU64::new(0), AtomicU64::new(0));
    let closed: Mutex<HashMap<String, f64>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..BACKGROUND_CLIENTS {
            scope.spawn(|| {
                let mut connection: Option<Reader> = None;
                while !over.load(Ordering::Relaxed) {
                    let mut reader = connection.take().unwrap_or_else(|| Reader::new(connect(&proxy)));
                    let _ = reader.stream.write_all(request("checkout", &next_id(), 2.0).as_bytes());
                    if let Ok(Some(reply)) = reader.message(false) {
                        let counter = if reply.status() == 200 { &served } else { &others };
                        counter.fetch_add(1, Ordering::Relaxed);
                        let closes = reply
                            .header("connection")
                            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                        connection = Some(reader).filter(|_| !closes);
                    }
                }
            });
        }
        for _ in 0..LEAVING_CLIENTS {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let id = next_id();
                    let mut stream = connect(&proxy);
                    let head = request("checkout", &id, 2.0)
                        .replace("Content-Length: 0", &format!("Content-Length: {BODY_BYTES}"));
                    let _ = stream.write_all(head.as_bytes());
                    if stream.write_all(&vec![b'b'; BODY_BYTES]).is_err() {
                        note(&format!("{id}: the body could not be written"));
                        continue;
                    }
                    note(&format!("{id}: the last byte is written"));
                    if trouble() {
                        sleep_ms(PATIENCE_MS);
                        drop(stream);
                        closed.lock().unwrap().insert(id.clone(), now());
                        note(&format!("{id}: the client closes"));
                    } else {
                        let reply = Reader::new(stream).message(false).ok().flatten().unwrap_or_default();
                        note(&format!("{id}: {:?}", reply.first_line));
                    }
                    sleep_ms(200.0);
                }
            });
        }
        sleep_ms(LENGTH_MS);
        over.store(true, Ordering::Relaxed);
    });
    sleep_ms(2500.0);
    proxy.copy_log();
    let (closed, attempts) = (closed.into_inner().unwrap(), attempts.lock().unwrap());
    let (mut late, mut ran) = (0, 0);
    for (id, closed_at) in &closed {
        let Some((begun_at, whole)) = attempts.get(id).filter(|(b, _)| *b > closed_at + LAST_BEGIN_MS) else {
            continue;
        };
        late += 1;
        ran += u32::from(*whole);
        note(&format!(
            "LATE: the attempt for {id} began {:.0} ms after the close; it ran: {whole}",
            begun_at - closed_at
        ));
    }
    let text = format!(
        "{} short checkouts served, {} not; {} clients with a long body left; for {late} an attempt began over 0.1 s after the close, {ran} of these ran",
        served.into_inner(),
        others.into_inner(),
        closed.len()
    );
    finish(i32::from(late > 0), &text);
}
