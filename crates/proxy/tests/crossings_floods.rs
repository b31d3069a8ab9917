//! Descriptors that idle clients fill, clients that send much and go, and many processes that start at once.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

#[test]
fn idle_clients_that_fill_the_descriptors_leave_room_for_the_watch_and_for_attempts() {
    // Once the file names the limit, and once the system's is lower than the file says.
    for setup in [
        Setup {
            sockets: 96,
            max_descriptors: Some(96),
            idle_timeout: 600_000,
            ..Setup::default()
        },
        Setup {
            sockets: 1024,
            max_descriptors: Some(96),
            idle_timeout: 600_000,
            ..Setup::default()
        },
    ] {
        let (old, new) = (
            Backend::new(BackendAction::Write(ok("old"))),
            Backend::new(BackendAction::Write(ok("new"))),
        );
        let agent = Peer::new();
        let proxy = Proxy::start(&agent.as_discovery(), &setup);
        let mut watch = agent.next();
        watch.begin();
        watch.tell(&format!("{}\n", all_up(&[&old])));
        wait_for("/up", || proxy.is_up());
        watch.reset(); // discovery is down from here on: it takes calls and says nothing
        let mut hangs = vec![agent.next()];
        let idle: Vec<TcpStream> = (0..160)
            .map(|n| {
                let mut stream =
                    TcpStream::connect(proxy.address).expect("it comes up, if only in the queue");
                stream
                    .write_all(if n % 3 == 0 { b"GET /page" } else { b"" })
                    .expect("it takes it");
                stream
            })
            .collect();
        let begun = (Instant::now(), proxy.cpu_seconds());
        // Whoever has a request is refused at worst, and served as idle connections are closed to make room.
        for n in 0..5 {
            wait_for("an answer of the server's", || {
                let mut client = Client::new(&proxy);
                client.send(&page(&format!("r-{n}")));
                let answer = client.answer();
                assert!(
                    answer
                        .as_ref()
                        .is_none_or(|a| [200, 503].contains(&a.status()))
                );
                answer.is_some_and(|a| a.text() == "old")
            });
        }
        assert!(proxy.descriptors() <= 96);
        let (took, spent) = (
            begun.0.elapsed().as_secs_f64(),
            proxy.cpu_seconds() - begun.1,
        );
        assert!(
            spent < 0.5 * took.max(1.0),
            "{spent} s of the processor in {took} s"
        );
        // Discovery is back: the very next call is answered, whoever idles.
        hangs.extend(std::iter::from_fn(|| agent.come()));
        let back = Instant::now();
        let mut call = agent.next();
        call.begin();
        let lines = [
            host("s-0", old.address, "draining", 0),
            host("s-1", new.address, "up", 0),
        ];
        call.tell(&format!("{}\n", list(2, true, &lines)));
        wait_for("the drain to act", || old.closed_count() >= 1);
        assert!(
            back.elapsed() < Duration::from_secs(6),
            "{:?}",
            back.elapsed()
        );
        wait_for("an answer of the other's", || {
            let mut client = Client::new(&proxy);
            client.send(&page("r-after"));
            client.answer().is_some_and(|a| a.text() == "new")
        });
        drop(idle);
    }
}

#[test]
fn clients_that_send_much_at_once_and_go_leave_nothing_behind() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = start_proxy_for(
        &[backend.address],
        &Setup {
            operations_enabled: true,
            memory_mb: 64,
            ..Setup::default()
        },
    );
    let garbage = vec![b'x'; 200_000];
    let head = format!("GET /page HTTP/1.1\r\n{}", "X: y\r\n".repeat(30_000));
    let (pages, large) = (
        page("r-1").repeat(1000),
        submit("r-2", "5", &"z".repeat(200_000)),
    );
    for n in 0..120 {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        stream
            .set_write_timeout(Some(Duration::from_millis(100)))
            .expect("an option");
        let text = [
            &garbage[..],
            head.as_bytes(),
            pages.as_bytes(),
            &large.as_bytes()[..150_000],
        ][n % 4];
        let _ = stream.write_all(text); // as much of it as is taken
        if n % 3 == 0 {
            reset(&stream);
        }
    }
    wait_for("their end", || {
        proxy.metric("node_current") == 0.0 && proxy.descriptors() < 40
    });
    assert_eq!(status(Client::new(&proxy).ask(&page("r-after"))), 200);
    assert!(proxy.memory_peak_mb() < 64.0 && proxy.is_running());
}

#[test]
fn of_thirty_processes_that_start_at_once_nine_in_ten_are_ready_within_ten_seconds() {
    const MANY: usize = 30;
    let backend = Backend::new(BackendAction::Write(ok("")));
    let all = all_up(&[&backend]);
    // Discovery answers slowly; it does not come back to processes that remember a list, and after 3 s to such that remember none.
    for (turn, back, known) in [(1500, 0, false), (0, 0, true), (0, 3000, false)] {
        let discovery = Discovery::new();
        discovery
            .response_delay_ms
            .store(turn, std::sync::atomic::Ordering::SeqCst);
        let setup = Setup {
            cached_list: if known { all.clone() } else { "null".into() },
            ..Setup::default()
        };
        // All at once, each timed from its own start.
        let starts: Vec<_> = (0..MANY)
            .map(|_| {
                let (address, cached_list) = (discovery.address, setup.cached_list.clone());
                thread::spawn(move || {
                    let begun = Instant::now();
                    let setup = Setup {
                        cached_list,
                        ..Setup::default()
                    };
                    let proxy = Proxy::with(&config(address, &setup));
                    wait_for("/up", || proxy.is_up());
                    (begun.elapsed(), proxy)
                })
            })
            .collect();
        let ready = |starts: Vec<thread::JoinHandle<(Duration, Proxy)>>| -> Vec<Duration> {
            starts
                .into_iter()
                .map(|s| s.join().expect("it is ready").0)
                .collect()
        };
        // Those that remember a list are ready before discovery is back.
        let mut took = if known {
            ready(starts)
        } else {
            thread::sleep(Duration::from_millis(back));
            discovery.publish(&all); // before that the watch is open and silent
            ready(starts)
        };
        took.sort();
        assert!(took[MANY * 9 / 10] < Duration::from_secs(10), "{took:?}");
    }
}
