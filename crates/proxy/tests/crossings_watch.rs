//! What comes between two lines of a watch on the list: silence, cuts, failed calls, another address, a drain.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Idle connections to servers outlast every wait, so that their end is a drain's work.
fn lasting() -> Setup {
    Setup {
        idle_timeout: 600_000,
        ..Setup::default()
    }
}

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// A list of one server, laid out over many lines.
fn indented(seq: u64, whole: bool, backend: &Backend, health: &str) -> String {
    let line = list(seq, whole, &[host("s-0", backend.address, health, 0)]);
    let text = line
        .replace('{', "{\n\t")
        .replace(',', ",\n\n    ")
        .replace('}', "\r\n}");
    assert!(text.lines().count() > 15);
    text
}

/// A proxy whose agent has told of this server alone, and that watch.
fn watched(agent: &Peer, backend: &Backend) -> (Proxy, Call) {
    let proxy = Proxy::start(&agent.as_discovery(), &lasting());
    let mut watch = agent.next();
    assert!(!watch.resumes());
    watch.begin();
    watch.tell(&format!("{}\n", all_up(&[backend])));
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-first"))), 200);
    (proxy, watch)
}

/// A drain that this watch tells of ends the connections to the server.
fn tells_of_drain(mut watch: Call, backend: &Backend) {
    if watch.message.first.contains("watch=1") {
        watch.begin();
        watch.tell(&format!(
            "{}\n",
            list(9, true, &[host("s-0", backend.address, "draining", 0)])
        ));
    }
    wait_for("the drain to act", || backend.closed_count() == 1);
}

#[test]
fn a_list_is_read_however_it_is_laid_out_and_cut() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = Peer::new();
    let proxy = Proxy::start(&agent.as_discovery(), &lasting());
    let mut watch = agent.next();
    watch.begin();
    // Byte by byte, with a blank line before and half of the next object behind it.
    let (next, after) = (
        indented(2, false, &backend, "draining"),
        indented(3, false, &backend, "up"),
    );
    let (half, rest) = next.split_at(next.len() / 2);
    for byte in format!("\n  {} {half}", indented(1, true, &backend, "up")).bytes() {
        watch.tell(&char::from(byte).to_string());
    }
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(backend.closed_count(), 0, "half a list is no list");
    watch.tell(rest);
    wait_for("the drain to act", || backend.closed_count() == 1);
    // Two in one piece, with nothing between them.
    watch.tell(&format!(
        "{}{}",
        after,
        indented(4, false, &backend, "draining").replace("s-0", "s-1")
    ));
    wait_for("the server", || {
        status(Client::new(&proxy).ask(&page("r-2"))) == 200
    });
    assert!(agent.come().is_none(), "the first watch lasts");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_whatever_fails_on_the_way() {
    for silence in ["", "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"s-"] {
        let backend = Backend::new(BackendAction::Write(ok("")));
        let agent = Peer::new();
        let (_proxy, mut watch) = watched(&agent, &backend);
        watch.tell("\n");
        let silent = Instant::now();
        if !silence.is_empty() {
            watch.tell(silence); // it falls silent in the middle of an object
        }
        // One call is turned away, one answered with an error, one with what is no list, and one hangs.
        agent.next().close();
        agent.next().write(&empty("503 Busy"));
        let mut third = agent.next();
        third.begin();
        third.tell("<html>");
        let _hangs = agent.next();
        tells_of_drain(agent.next(), &backend);
        let took = silent.elapsed();
        assert!(took <= TOLD, "{took:?} after {silence:?}");
    }
}

#[test]
fn a_watch_that_opens_and_says_nothing_still_leaves_time_for_another() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = Peer::new();
    let (_proxy, _silent) = watched(&agent, &backend);
    let silent = Instant::now();
    let mut second = agent.next();
    second.begin();
    tells_of_drain(agent.next(), &backend);
    assert!(silent.elapsed() <= TOLD, "{:?}", silent.elapsed());
}

#[test]
fn while_discovery_hangs_it_is_called_often_enough_to_meet_its_return() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = Peer::new();
    let (_proxy, watch) = watched(&agent, &backend);
    watch.reset();
    let down = Instant::now();
    let hangs: Vec<Call> = (0..8).map(|_| agent.next()).collect();
    // A drain that is told at the return counts from there: the next call comes soon enough, whenever that is.
    let took = down.elapsed();
    assert!(took < TOLD, "eight calls took {took:?}");
    drop(hangs);
    tells_of_drain(agent.next(), &backend);
}

#[test]
fn an_answer_that_comes_late_counts_while_others_are_asked_for() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = Peer::new();
    let (proxy, watch) = watched(&agent, &backend);
    watch.close();
    // The first call is answered only once a second one has come beside it.
    let first = agent.next();
    let _second = agent.next();
    tells_of_drain(first, &backend);
    assert!(proxy.is_up());
}

#[test]
fn a_new_address_is_asked_for_all_it_has_as_it_may_count_anew() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agents = [Peer::new(), Peer::new()];
    let (proxy, mut watch) = watched(&agents[0], &backend);
    watch.tell(&format!(
        "{}\n",
        list(41, false, &[host("s-0", backend.address, "up", 0)])
    ));
    // The signal comes in the middle of an object.
    watch.tell("{\"seq\":42,\"whole\":false,\"hosts\":[");
    proxy.reconfigure(&config(agents[1].address, &lasting()));
    let mut second = agents[1].next();
    assert!(!second.resumes(), "{}", second.message.first);
    second.begin();
    second.tell(&format!(
        "{}\n",
        list(3, true, &[host("s-0", backend.address, "up", 0)])
    ));
    second.tell(&format!(
        "{}\n",
        list(4, false, &[host("s-0", backend.address, "draining", 0)])
    ));
    wait_for("the drain to act", || backend.closed_count() == 1);
}

#[test]
fn a_process_that_starts_sends_nothing_by_an_older_list_than_its_agent_has() {
    let (old, new) = (
        Backend::new(BackendAction::Write(ok("old"))),
        Backend::new(BackendAction::Write(ok("new"))),
    );
    let agent = Peer::new();
    let cached_list = list(1, true, &[host("s-0", old.address, "up", 0)]);
    let proxy = Proxy::start(
        &agent.as_discovery(),
        &Setup {
            cached_list,
            ..Setup::default()
        },
    );
    let mut client = Client::new(&proxy);
    client.send(&page("r-1")); // before the list, and it waits
    let mut watch = agent.next();
    watch.begin();
    let lines = [
        host("s-0", old.address, "draining", 0),
        host("s-1", new.address, "up", 0),
    ];
    watch.tell(&format!("{}\n", list(7, true, &lines)));
    assert_eq!(client.answer().expect("an answer").text(), "new");
    assert!(old.seen().is_empty());
}

#[test]
fn a_drain_told_between_two_attempts_counts_for_the_second() {
    let servers = [Peer::new(), Peer::new()];
    let discovery = Discovery::new();
    let lines = |health: [&str; 2]| {
        [0, 1].map(|i| host(&format!("s-{i}"), servers[i].address, health[i], 0))
    };
    discovery.publish(&list(1, true, &lines(["up", "up"])));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    let mut client = Client::new(&proxy);
    client.send(&page("r-1"));
    let (mut first, other) = loop {
        if let Some(i) = (0..2).find_map(|i| servers[i].come().map(|call| (call, 1 - i))) {
            break i;
        }
        std::thread::yield_now();
    };
    let mut health = ["up", "up"];
    health[other] = "draining";
    discovery.publish(&list(2, false, &lines(health)));
    discovery.publish(&list(
        3,
        false,
        &[host("s-2", servers[other].address, "draining", 0)],
    ));
    wait_for("the drain to be told", || {
        proxy.metric("node_cluster_size") == 3.0
    });
    first.write(&empty("503 Full\r\nX-Not-Processed: 1"));
    assert_eq!(status(client.answer()), 503);
    assert!(servers[other].come().is_none());
}
