//! Some answers of the loan servers are spoilt: a second answer to the same request comes some milliseconds late.
//! Each client has to get what a loan server made for its own request.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

const SERVERS: usize = 10;
const CLIENTS: u64 = 14;
/// Mean time between an answer and the client's next request: about 150 requests a second in all (a proxy's part of 390 is 130).
const THINK_MS: u64 = 55;
/// Work of a lookup; a checkout takes six times as long.
const WORK_MS: u64 = 15;
/// One answer in so many is followed by a second one.
const SPOILT: u64 = 10;
const LATE_MS: u64 = 5;
/// One request in so many is turned away, unseen, as by a full queue.
const FULL: u64 = 15;
const RUN: Duration = Duration::from_secs(60);

pub fn run(folder: &str) {
    let rig = Rig::new(folder);
    let served_count = Arc::new(AtomicU64::new(0));
    let second = Arc::new(AtomicU64::new(0));
    let ran = Arc::new(Mutex::new(std::collections::BTreeMap::<String, u32>::new()));
    let servers: Vec<LoanServer> = (0..SERVERS)
        .map(|n| {
            let name = format!("s-{n}");
            let (trouble, count, second, record, server) =
                (rig.trouble, served_count.clone(), second.clone(), rig.record.clone(), name.clone());
            let ran = ran.clone();
            let handler = move |request: &Request, stream: &mut std::net::TcpStream| {
                let n = count.fetch_add(1, Ordering::Relaxed);
                let answer = if n % FULL == FULL - 1 {
                    record.line(format!("{server}: turns id {} away", request.head.id()));
                    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
                } else {
                    if request.head.method == "POST" {
                        *ran.lock().unwrap().entry(request.head.id().to_owned()).or_insert(0) += 1;
                    }
                    sleep_ms(if request.head.method == "POST" { 6 * WORK_MS } else { WORK_MS });
                    served(request.head.id(), &server)
                };
                stream.write_all(&answer)?;
                if trouble && n % SPOILT == SPOILT - 1 {
                    sleep_ms(LATE_MS);
                    record.line(format!("{server}: second answer to id {}", request.head.id()));
                    second.fetch_add(1, Ordering::Relaxed);
                    stream.write_all(&answer)?;
                }
                Ok(true)
            };
            LoanServer::start(&rig, &name, Arc::new(handler))
        })
        .collect();
    let discovery = Discovery::start(
        rig.record.clone(),
        servers.iter().map(LoanServer::host).collect(),
    );
    rig.write_config(&config(
        &rig,
        discovery.address,
        &discovery.list(),
        &Settings::default(),
    ));
    let mut proxy = rig.start_proxy(discovery.address);
    if !rig.wait_until_up() {
        rig.finish(2, "the proxy was not ready");
    }
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let (sent, own) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let end = Instant::now() + RUN;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (rig, foreign, sent, own) =
                (rig.clone(), foreign.clone(), sent.clone(), own.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut round = n;
                while Instant::now() < end {
                    round += 1;
                    sleep_ms(THINK_MS - 20 + (round * 37 + n * 13) % 40);
                    let Some(mut client) = connection
                        .take()
                        .or_else(|| Client::connect(rig.listen).ok())
                    else {
                        continue;
                    };
                    let id = rig.id();
                    let (method, class, length, timeout) = if round % 10 < 3 {
                        ("POST", "checkout", Some(0), 2.0)
                    } else {
                        ("GET", "lookup", None, 2.5)
                    };
                    let head = request_head(
                        method,
                        class,
                        &id,
                        &format!("{:016x}", round % 97),
                        timeout,
                        length,
                    );
                    rig.record
                        .line(format!("client {n}: sends {method} /{class} id {id}"));
                    sent.fetch_add(1, Ordering::Relaxed);
                    if client.send(head.as_bytes()).is_err() {
                        continue;
                    }
                    let answer = client.read_answer(Instant::now() + Duration::from_secs(4));
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    rig.record.line(format!(
                        "client {n}: id {id} gets {} '{body}' {}",
                        answer.status, answer.end
                    ));
                    if answer.status == 200 && answer.whole {
                        if body.contains(&format!("request {id} ")) {
                            own.fetch_add(1, Ordering::Relaxed);
                        } else {
                            foreign.lock().unwrap().push(format!(
                                "the client of {method} /{class} id {id} got '{body}'"
                            ));
                        }
                    }
                    if answer.whole && !answer.closes {
                        connection = Some(client);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let runs = proxy.runs();
    proxy.end();
    let foreign = foreign.lock().unwrap();
    let twice: Vec<(String, u32)> = ran
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, n)| **n > 1)
        .map(|(i, n)| (i.clone(), *n))
        .collect();
    for (id, n) in &twice {
        rig.record
            .line(format!("broken: the checkout id {id} ran {n} times"));
    }
    for line in foreign.iter() {
        rig.record.line(format!("broken: {line}"));
    }
    let text = format!(
        "{} requests, {} served with their own answer, {} second answers, {} clients served with another request's answer, {} checkouts run twice",
        sent.load(Ordering::Relaxed),
        own.load(Ordering::Relaxed),
        second.load(Ordering::Relaxed),
        foreign.len(),
        twice.len()
    );
    if !runs || own.load(Ordering::Relaxed) == 0 {
        rig.finish(2, &format!("could not run: {text}"));
    }
    rig.finish(i32::from(!foreign.is_empty() || !twice.is_empty()), &text);
}
