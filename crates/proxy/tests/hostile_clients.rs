//! Clients that send at full speed on one connection, and hundreds of clients that send or read slowly.
mod long_bodies;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::{Limits, peak_mb, start_endpoint};
use sockets::*;

/// The time for which a client sends at full speed.
const FLOOD: Duration = Duration::from_secs(2);
/// Others get their answers this much later at most than the endpoints give them.
const MAX_DELAY: Duration = Duration::from_millis(300);
const SMALL_LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};
const THREAD_STACK_BYTES: usize = 128 << 10;

/// One flood or crowd at a time: each takes cores that others' delays are measured on.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(limits: &Limits) -> (Discovery, Proxy) {
    let endpoints: Vec<_> = (0..6)
        .map(|_| {
            start_endpoint(|_, stream| {
                thread::sleep(Duration::from_millis(10));
                stream.write_all(ok("done").as_bytes())
            })
        })
        .collect();
    let properties = "capture.enabled = true\nfigures.enabled = true\n";
    let setup = Setup {
        properties: Some(properties.into()),
        ..limits.setup()
    };
    start_proxy_for(&endpoints, &setup)
}

/// Writes what a function returns on one connection after another until the time is over. Answers are read and dropped.
fn flood(address: SocketAddr, text: &impl Fn(usize) -> String) -> usize {
    let end = Instant::now() + FLOOD;
    let mut written = 0;
    let mut number = 0;
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let mut answers = stream.try_clone().expect("a handle");
        let reader = thread::spawn(move || {
            let mut bytes = [0; 1 << 16];
            while answers.read(&mut bytes).is_ok_and(|read| read > 0) {}
        });
        while Instant::now() < end {
            let block: String = (0..100).map(|offset| text(number + offset)).collect();
            number += 100;
            if stream.write_all(block.as_bytes()).is_err() {
                break;
            }
            written += block.len();
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().expect("no panic");
    }
    written
}

/// The requests that a client sends at once, so few that the proxy keeps them all.
const BATCH: usize = 20;

/// Sends batches of requests on one connection, each when the answers to the one before have come.
fn flood_in_batches(address: SocketAddr, text: &impl Fn(usize) -> String) -> usize {
    let end = Instant::now() + FLOOD;
    let (mut written, mut number) = (0, 0);
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        'connection: while Instant::now() < end {
            let block: String = (0..BATCH).map(|offset| text(number + offset)).collect();
            number += BATCH;
            if stream.write_all(block.as_bytes()).is_err() {
                break;
            }
            written += block.len();
            let (mut answers, mut bytes) = (0, [0; 1 << 14]);
            while answers < BATCH {
                match stream.read(&mut bytes) {
                    Ok(read @ 1..) => {
                        let starts = bytes[..read].windows(9).filter(|w| w == b"HTTP/1.1 ");
                        answers += starts.count();
                    }
                    _ => break 'connection,
                }
            }
        }
    }
    written
}

/// Sends requests now and then, on a kept connection and on new ones, and returns the longest time to an answer.
fn longest_answer(address: SocketAddr, stop: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    let mut kept = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let begun = Instant::now();
        let stream = match kept.take() {
            Some(stream) if number % 4 != 0 => stream,
            _ => TcpStream::connect(address).expect("the proxy accepts"),
        };
        stream
            .set_read_timeout(Some(Duration::from_secs(8)))
            .expect("the timeout is set");
        let text = page(&format!("other-{number}"));
        (&stream).write_all(text.as_bytes()).expect("written");
        let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
        longest = longest.max(begun.elapsed());
        if answer.status() == 200 {
            kept = Some(stream);
        }
        number += 1;
        thread::sleep(Duration::from_millis(20));
    }
    longest
}

fn check_flood(name: &str, text: impl Fn(usize) -> String + Send + Clone + 'static) {
    let batched = text.clone();
    check_flooder(name, move |address| flood(address, &text));
    check_flooder(&format!("{name}, in batches"), move |address| {
        flood_in_batches(address, &batched)
    });
}

fn check_flooder(name: &str, flooder: impl Fn(SocketAddr) -> usize + Send + 'static) {
    let _turn = take_turn();
    let (_discovery, mut proxy) = start(&SMALL_LIMITS);
    let address = proxy.address;
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || longest_answer(address, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let written = thread::spawn(move || flooder(address))
        .join()
        .expect("no panic");
    stop.store(true, Ordering::SeqCst);
    let longest = others
        .into_iter()
        .map(|other| other.join().expect("no panic"))
        .max()
        .unwrap_or_default();
    println!(
        "{name}: {} MB written, others at most {longest:?}, peak {:.1} MB",
        written / 1_000_000,
        peak_mb(&proxy)
    );
    assert!(proxy.is_running());
    assert!(longest <= MAX_DELAY, "{name}: {longest:?}");
    SMALL_LIMITS.check(&proxy);
}

/// Guards against a connection with small requests at full speed that takes the time of all others.
#[test]
fn small_requests_at_full_speed_do_not_delay_others() {
    check_flood("pages", |number| page(&format!("f-{number}")));
}

#[test]
fn requests_of_unknown_classes_at_full_speed_do_not_delay_others() {
    check_flood("unknown classes", |number| {
        page(&format!("f-{number}")).replace("/page", &format!("/class-{number}"))
    });
}

/// Guards against names that are kept for each request.
#[test]
fn requests_of_ever_new_tenants_at_full_speed_do_not_delay_others() {
    check_flood("new tenants", |number| {
        page(&format!("f-{number}")).replace("acme", &format!("tenant-{number}"))
    });
}

#[test]
fn requests_with_no_time_left_at_full_speed_do_not_delay_others() {
    check_flood("no time left", |number| {
        page(&format!("f-{number}")).replace("X-Timeout: 5", "X-Timeout: 0.001")
    });
}

#[test]
fn lines_that_are_no_requests_at_full_speed_do_not_delay_others() {
    check_flood("no requests", |number| {
        format!("{number} is no request\r\n\r\n")
    });
}

#[test]
fn empty_lines_at_full_speed_do_not_delay_others() {
    check_flood("empty lines", |_| "\r\n".repeat(20));
}

#[test]
fn the_smallest_requests_at_full_speed_do_not_delay_others() {
    check_flood("smallest", |_| "GET / HTTP/1.1\r\n\r\n".to_owned());
}

#[test]
fn bodies_in_chunks_of_one_byte_at_full_speed_do_not_delay_others() {
    check_flood("chunks of one byte", |number| {
        if number % 100_000 == 0 {
            "POST /submit?sid=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: c\r\nX-Tenant-Id: acme\r\nX-Timeout: 2\r\nTransfer-Encoding: chunked\r\n\r\n".into()
        } else if number % 100_000 == 99_999 {
            "0\r\n\r\n".into()
        } else {
            "1\r\nx\r\n".into()
        }
    });
}

/// What each of hundreds of clients does.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Writes a body at 64 kB/s.
    WriteSlowly(usize),
    /// Stops half way through a body.
    Stop(usize),
    /// Sends a head of many short fields, as long as this.
    ManyFields(usize),
    /// Sends many fields slowly and never ends the head.
    ManyFieldsUnended(usize),
    /// Sends as many fields as a head may have, each with a name of its own, and a body at 64 kB/s.
    ManyFieldsAndBody(usize),
    /// The same with fields of one name.
    EqualFieldsAndBody(usize),
    /// Reads a long answer at 64 kB/s.
    ReadSlowly,
    /// Sends as many fields as a head may have, and reads a long answer at 64 kB/s.
    ManyFieldsReadSlowly,
    /// Each fourth client does one of these.
    Mixed,
}

/// The most further fields that a head may have.
const MOST_FIELDS: usize = 94;

/// Does what a behaviour says and returns the status of the answer, 0 without one.
fn behave(address: SocketAddr, number: usize, behaviour: Behaviour) -> u16 {
    let stream = TcpStream::connect(address).expect("the proxy accepts");
    for set in [TcpStream::set_read_timeout, TcpStream::set_write_timeout] {
        set(&stream, Some(Duration::from_secs(8))).expect("the timeout is set");
    }
    let id = format!("r-{number}");
    let behaviour = match (behaviour, number % 4) {
        (Behaviour::Mixed, 0) => Behaviour::ManyFieldsAndBody(60_000),
        (Behaviour::Mixed, 1) => Behaviour::ManyFieldsReadSlowly,
        (Behaviour::Mixed, 2) => Behaviour::Stop(4_000_000),
        (Behaviour::Mixed, _) => Behaviour::ManyFieldsUnended(440),
        (behaviour, _) => behaviour,
    };
    let with_fields = |head: String, field: &dyn Fn(usize) -> String| {
        let fields: String = (0..MOST_FIELDS).map(field).collect();
        head.replace("\r\n\r\n", &format!("\r\n{fields}\r\n"))
    };
    let own_name = |field: usize| format!("f{field}:b\r\n");
    let one_name = |_: usize| "f:b\r\n".to_owned();
    let body_head = |length: usize| {
        submit(&id, "2", "").replace("Content-Length: 0", &format!("Content-Length: {length}"))
    };
    let fields = |bytes: usize| "a:b\r\n".repeat(bytes / 5);
    let mut writer = &stream;
    let written = match behaviour {
        Behaviour::WriteSlowly(length)
        | Behaviour::ManyFieldsAndBody(length)
        | Behaviour::EqualFieldsAndBody(length) => {
            let begun = Instant::now();
            let head = match behaviour {
                Behaviour::ManyFieldsAndBody(_) => with_fields(body_head(length), &own_name),
                Behaviour::EqualFieldsAndBody(_) => with_fields(body_head(length), &one_name),
                _ => body_head(length),
            };
            let mut result = writer.write_all(head.as_bytes());
            for piece in 0..length / 4000 {
                result = result.and_then(|()| writer.write_all(&[b'x'; 4000]));
                long_bodies::pace(begun, piece * 4000, 64e3);
            }
            result.and_then(|()| writer.write_all(&vec![b'x'; length % 4000]))
        }
        Behaviour::Stop(length) => writer
            .write_all(body_head(length).as_bytes())
            .and_then(|()| writer.write_all(&vec![b'x'; length / 2])),
        Behaviour::ManyFields(length) => {
            let head = page(&id).replace("\r\n\r\n", &format!("\r\n{}\r\n", fields(length)));
            writer.write_all(head.as_bytes())
        }
        Behaviour::ManyFieldsUnended(length) => {
            let head = page(&id).replace("\r\n\r\n", &format!("\r\n{}", fields(length)));
            writer.write_all(head.as_bytes())
        }
        Behaviour::ReadSlowly | Behaviour::Mixed => writer.write_all(page(&id).as_bytes()),
        Behaviour::ManyFieldsReadSlowly => {
            writer.write_all(with_fields(page(&id), &own_name).as_bytes())
        }
    };
    if written.is_err() && !matches!(behaviour, Behaviour::ManyFields(_)) {
        return read_message(&mut BufReader::new(&stream)).map_or(0, |answer| answer.status());
    }
    if let Behaviour::ReadSlowly | Behaviour::ManyFieldsReadSlowly = behaviour {
        let (begun, mut received, mut piece) = (Instant::now(), 0, [0; 4000]);
        while begun.elapsed() < Duration::from_secs(5) {
            match (&stream).read(&mut piece) {
                Ok(read @ 1..) => received += read,
                _ => return 0,
            }
            long_bodies::pace(begun, received, 64e3);
        }
        return 200;
    }
    read_message(&mut BufReader::new(&stream)).map_or(0, |answer| answer.status())
}

fn check_crowd(limits: Limits, behaviour: Behaviour) {
    let _turn = take_turn();
    let endpoints: Vec<_> = (0..6)
        .map(|_| {
            start_endpoint(move |_, stream| match behaviour {
                Behaviour::ReadSlowly | Behaviour::ManyFieldsReadSlowly | Behaviour::Mixed => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n")?;
                    stream.write_all(&vec![b'y'; 4_000_000])
                }
                _ => stream.write_all(ok("done").as_bytes()),
            })
        })
        .collect();
    let (_discovery, mut proxy) = start_proxy_for(&endpoints, &limits.setup());
    let address = proxy.address;
    let clients: Vec<_> = (0..limits.clients())
        .map(|number| {
            thread::Builder::new()
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || behave(address, number, behaviour))
                .expect("a thread starts")
        })
        .collect();
    let mut counts = std::collections::BTreeMap::new();
    for client in clients {
        *counts.entry(client.join().expect("no panic")).or_insert(0) += 1;
    }
    println!(
        "{limits:?} {behaviour:?}: {counts:?}, peak {:.1} MB",
        peak_mb(&proxy)
    );
    assert!(proxy.is_running());
    limits.check(&proxy);
}

const CORNERS: [Limits; 3] = [
    SMALL_LIMITS,
    Limits {
        memory_mb: 32,
        sockets: 256,
    },
    Limits {
        memory_mb: 64,
        sockets: 1024,
    },
];

/// Plays the scarcest corner of the limits, or all of them if the variable `CROWD_CORNERS` is set.
fn check_crowds(behaviours: &[Behaviour]) {
    let corners = if std::env::var_os("CROWD_CORNERS").is_some() {
        &CORNERS[..]
    } else {
        &CORNERS[..1]
    };
    for limits in corners.iter().copied() {
        for behaviour in behaviours {
            check_crowd(limits, *behaviour);
        }
    }
}

#[test]
fn hundreds_of_clients_that_write_slowly_stay_within_the_memory_limit() {
    check_crowds(&[
        Behaviour::WriteSlowly(60_000),
        Behaviour::WriteSlowly(200_000),
    ]);
}

#[test]
fn hundreds_of_clients_that_stop_half_way_stay_within_the_memory_limit() {
    check_crowds(&[Behaviour::Stop(100_000), Behaviour::Stop(4_000_000)]);
}

#[test]
fn hundreds_of_heads_of_short_fields_stay_within_the_memory_limit() {
    check_crowds(&[
        Behaviour::ManyFields(400),
        Behaviour::ManyFields(7_000),
        Behaviour::ManyFields(60_000),
        Behaviour::ManyFieldsUnended(7_000),
        Behaviour::ManyFieldsUnended(60_000),
    ]);
}

#[test]
fn hundreds_of_clients_that_read_slowly_stay_within_the_memory_limit() {
    check_crowds(&[Behaviour::ReadSlowly, Behaviour::ManyFieldsReadSlowly]);
}

#[test]
fn hundreds_of_heads_of_the_most_fields_with_bodies_stay_within_the_memory_limit() {
    check_crowds(&[
        Behaviour::ManyFieldsAndBody(60_000),
        Behaviour::EqualFieldsAndBody(60_000),
        Behaviour::ManyFieldsAndBody(200_000),
    ]);
}

#[test]
fn hundreds_of_clients_of_all_these_kinds_stay_within_the_memory_limit() {
    check_crowds(&[Behaviour::Mixed]);
}
