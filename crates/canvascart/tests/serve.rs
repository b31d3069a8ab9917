//! The hosted service as a process: many tenants, changes while traffic flows, shares under pressure.
mod hosted;

use std::io::{BufRead, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;

use hosted::sockets::{Backend, BackendAction, Latch, Message, ok, wait_for};
use hosted::{Client, Running, listener, says, tenant};

#[test]
fn each_request_reaches_its_tenants_servers_and_no_other_and_strangers_learn_nothing() {
    let (north, south) = (says("north's"), says("south's"));
    let config = [
        listener("by-host", "127.0.0.1:0", "host", ""),
        listener("by-header", "127.0.0.2:0", "header", ""),
        listener("souths", "127.0.0.3:0", "listener", "tenant = \"south\""),
        tenant("north", "", &[("n", north.address)]),
        tenant("south", "", &[("s", south.address)]),
    ];
    let mut service = Running::start("routes", &config.concat());
    let at = service.addresses();
    for (listener, host, more, text) in [
        ("by-host", "north.example", "", "north's"),
        (
            "by-host",
            "SOUTH.example.:80",
            "X-Tenant-Id: north\r\n",
            "south's",
        ),
        (
            "by-header",
            "south.example",
            "X-Tenant-Id: north\r\n",
            "north's",
        ),
        (
            "souths",
            "north.example",
            "X-Tenant-Id: north\r\n",
            "south's",
        ),
    ] {
        let answer = Client::new(at[listener]).get(host, more);
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, text),
            "{listener} {host} {more}"
        );
    }
    // One connection may serve several tenants; a tenant that is not there looks like one that is not named.
    let mut client = Client::new(at["by-header"]);
    for (more, status) in [
        ("X-Tenant-Id: south\r\n", 200),
        ("X-Tenant-Id: west\r\n", 404),
        ("", 404),
    ] {
        assert_eq!(client.get("x", more).status(), status, "{more}");
    }
    assert_eq!((north.seen().len(), south.seen().len()), (2, 3));
    service.signal("TERM");
    assert!(service.wait().success());
}

#[test]
fn a_change_of_one_tenant_takes_effect_while_requests_run_and_touches_no_other() {
    let gate = Latch::default();
    let (held, fresh, other) = (
        Backend::new(BackendAction::Hold(gate.clone(), ok("held"))),
        says("fresh"),
        says("other's"),
    );
    let public = listener("public", "127.0.0.1:0", "host", "");
    let south = tenant("south", "", &[("s", other.address)]);
    let before = [
        public.clone(),
        tenant("north", "", &[("old", held.address)]),
        south.clone(),
    ]
    .concat();
    let service = Running::start("change", &before);
    let at = service.addresses()["public"];
    let mut waiting = Client::new(at);
    waiting.send("GET", "/lookup/1", "north.example", "");
    wait_for("the request at the old server", || held.seen().len() == 1);

    // The server goes and another comes; the class is renamed.
    let renamed = tenant("north", "", &[("new", fresh.address)]).replacen(
        "name = \"lookup\"",
        "name = \"search\"",
        1,
    );
    service.change(
        &[public.clone(), renamed, south.clone()].concat(),
        "the new configuration is in effect",
    );
    for _ in 0..20 {
        let mut client = Client::new(at);
        client.send("GET", "/search/1", "north.example", "");
        assert_eq!(client.answer().text(), "fresh");
        assert_eq!(
            Client::new(at).get("north.example", "").status(),
            404,
            "no such class any more"
        );
        assert_eq!(Client::new(at).get("south.example", "").text(), "other's");
    }
    gate.open();
    assert_eq!(
        waiting.answer().text(),
        "held",
        "it ends under the version that it began with"
    );
    assert_eq!(
        held.seen().len(),
        1,
        "a server that is gone gets nothing new"
    );

    // A tenant goes while a request of its is under way.
    let gate = Latch::default();
    let slow = Backend::new(BackendAction::Hold(gate.clone(), ok("slow")));
    let with_slow = tenant("north", "", &[("slow", slow.address)]);
    service.change(
        &[public.clone(), with_slow, south.clone()].concat(),
        "the new configuration is in effect",
    );
    let mut waiting = Client::new(at);
    waiting.send("GET", "/lookup/1", "north.example", "");
    wait_for("the request at the slow server", || slow.seen().len() == 1);
    service.change(&[public, south].concat(), "tenant removed");
    assert_eq!(Client::new(at).get("north.example", "").status(), 404);
    gate.open();
    assert_eq!(
        waiting.answer().text(),
        "slow",
        "it gets its one final answer"
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 200);
}

#[test]
fn a_change_that_fails_changes_nothing() {
    let (north, south) = (says("north's"), says("south's"));
    let public = listener("public", "127.0.0.1:0", "host", "");
    let good = tenant("north", "", &[("n", north.address)]);
    let service = Running::start("fails", &[public.clone(), good.clone()].concat());
    let at = service.addresses()["public"];
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = listener(
        "second",
        &taken.local_addr().unwrap().to_string(),
        "host",
        "",
    );
    let added = tenant("south", "", &[("s", south.address)]);
    // A port that is taken: the tenant beside it does not come either.
    let with_taken = [public.clone(), second, good.clone(), added.clone()].concat();
    service.change(
        &with_taken,
        "the new configuration can't be applied; nothing has changed",
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 404);
    let bad = [
        public.clone(),
        good.clone(),
        added.replace("effect = \"safe\"", "effect = \"sound\""),
    ]
    .concat();
    service.change(
        &bad,
        "the new configuration is invalid; nothing has changed",
    );
    let word = service
        .logged("the new configuration is invalid; nothing has changed")
        .pop()
        .unwrap();
    let error = word["error"].as_str().unwrap();
    assert!(
        error.contains("tenant.1.class.0.effect") && error.contains("safe"),
        "{error}"
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 404);
    assert_eq!(Client::new(at).get("north.example", "").status(), 200);
    service.change(
        &[public, good, added].concat(),
        "the new configuration is in effect",
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 200);
}

#[test]
fn a_tenant_whose_servers_hang_is_refused_beyond_its_share_and_others_are_served() {
    let gate = Latch::default();
    let (hangs, other) = (
        Backend::new(BackendAction::Hold(gate.clone(), ok("late"))),
        says("other's"),
    );
    let config = [
        "[process]\nin-flight = 12\nnewcomers = \"25 %\"\n".to_owned(),
        listener("public", "127.0.0.1:0", "host", ""),
        tenant("north", "", &[("n", hangs.address)]),
        tenant("south", "", &[("s", other.address)]),
    ];
    let mut service = Running::start("hangs", &config.concat());
    let at = service.addresses()["public"];
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(at)).collect();
    clients
        .iter_mut()
        .for_each(|c| c.send("GET", "/lookup/1", "north.example", ""));
    // A quarter of the twelve is left to the tenant that is idle: three are refused at once.
    let answers: Vec<(usize, Message)> = {
        let mut refused = Vec::new();
        wait_for("three refusals", || {
            for (n, client) in clients.iter_mut().enumerate() {
                client.0.get_mut().set_nonblocking(true).unwrap();
                let has = client.0.fill_buf().is_ok_and(|b| !b.is_empty());
                client.0.get_mut().set_nonblocking(false).unwrap();
                if has {
                    refused.push((n, client.answer()));
                }
            }
            refused.len() >= 3
        });
        refused
    };
    assert_eq!(answers.len(), 3);
    for (_, answer) in &answers {
        assert_eq!(answer.status(), 503);
        let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && after <= 2.0, "{after}");
    }
    for _ in 0..20 {
        assert_eq!(Client::new(at).get("south.example", "").status(), 200);
    }
    gate.open();
    for (n, client) in clients.iter_mut().enumerate() {
        if answers.iter().all(|(refused, _)| *refused != n) {
            assert_eq!(client.answer().text(), "late");
        }
    }
    service.signal("TERM");
    assert!(service.wait().success());
    let ended = service.logged("ended");
    let north = ended.iter().find(|l| l["tenant"] == "north").unwrap();
    assert_eq!(
        north["refused"], "[0, 3, 0, 0, 0]",
        "for requests in flight, and for nothing else"
    );
}

#[test]
fn sockets_of_one_tenant_that_say_nothing_leave_room_for_the_others() {
    let (north, south) = (says("north's"), says("south's"));
    let config = [
        "[process]\nsockets = 32\nnewcomers = \"25 %\"\n".to_owned(),
        listener("norths", "127.0.0.1:0", "listener", "tenant = \"north\""),
        listener("souths", "127.0.0.2:0", "listener", "tenant = \"south\""),
        tenant("north", "", &[("n", north.address)]),
        tenant("south", "", &[("s", south.address)]),
    ];
    let service = Running::start("sockets", &config.concat());
    let at = service.addresses();
    // Far more than there are; each sends half a head.
    let mut held = Vec::new();
    for _ in 0..64 {
        let mut stream = TcpStream::connect(at["norths"]).unwrap();
        let _ = stream.write_all(b"GET /lookup/1 HTTP/1.1\r\nHost:"); // it may be closed already
        held.push(stream);
    }
    for _ in 0..8 {
        assert_eq!(Client::new(at["souths"]).get("x", "").status(), 200);
    }
}

#[test]
fn a_bad_configuration_is_told_of_whole_and_the_schema_is_printed() {
    let canvascart = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args(arguments)
            .output()
            .unwrap()
    };
    let file =
        std::env::temp_dir().join(format!("canvascart-serve-{}-bad.toml", std::process::id()));
    let path = file.to_str().unwrap();
    std::fs::write(
        &file,
        "[process]\nsockets = 1\n\n[[listener]]\nname = \"UP\"\ntenant-by = \"host\"\n",
    )
    .unwrap();
    let run = canvascart(&["serve", "--check", "--config", path]);
    assert_eq!(run.status.code(), Some(2));
    let said = String::from_utf8(run.stderr).unwrap();
    for part in [
        ":2: process.sockets:",
        ":5: listener.0.name:",
        "listener.0.address: it is missing",
    ] {
        assert!(
            said.contains(&format!("{path}{part}")) || said.contains(part),
            "{part}: {said}"
        );
    }
    let example = canvascart(&[
        "serve",
        "--check",
        "--config",
        concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../deploy/hosted.example.toml"
        ),
    ]);
    assert_eq!(
        example.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&example.stderr)
    );
    let good = [
        listener("public", "127.0.0.1:0", "host", ""),
        tenant("north", "", &[]),
    ]
    .concat();
    std::fs::write(&file, good).unwrap();
    let run = canvascart(&["serve", "--check", "--config", path]);
    assert_eq!(run.status.code(), Some(0));
    assert!(
        String::from_utf8(run.stdout)
            .unwrap()
            .contains("good: 1 listeners, 1 tenants, 0 servers")
    );
    std::fs::remove_file(&file).unwrap();
    let run = canvascart(&["config", "schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(schema["properties"]["listener"]["maxItems"], 64);
    let kept = include_str!("../../../docs/serve.schema.json");
    let kept: serde_json::Value = serde_json::from_str(kept).unwrap();
    assert_eq!(
        kept, schema,
        "docs/serve.schema.json is what `canvascart config schema` prints"
    );
}

#[test]
fn a_request_that_was_let_in_is_read_to_its_end_while_its_tenant_is_turned_away() {
    let north = says("north's");
    let config = [
        // One request fills the tenant's share, and next to nothing is left for turning others away.
        "[process]\nturning-share = \"0.1 %\"\n".to_owned(),
        listener("public", "127.0.0.1:0", "listener", "tenant = \"north\""),
        tenant(
            "north",
            "limits = { in-flight = 1, burst = \"1 ms\" }",
            &[("n", north.address)],
        ),
    ];
    let service = Running::start("body", &config.concat());
    let at = service.addresses()["public"];
    let body = "x".repeat(60 << 10);
    let head = format!("X-Timeout: 5\r\nContent-Length: {}\r\n", body.len());
    let mut large = Client::new(at);
    large.send("POST", "/checkout/1", "north", &head);
    large
        .0
        .get_mut()
        .write_all(&body.as_bytes()[..1024])
        .unwrap();
    // It holds the one place once another is refused. Those that follow use up what turning away may take.
    let mut others: Vec<Client> = (0..400).map(|_| Client::new(at)).collect();
    wait_for("a refusal", || {
        others.pop().unwrap().get("north", "").status() == 503
    });
    others
        .iter_mut()
        .for_each(|c| c.send("GET", "/lookup/1", "north", ""));
    large
        .0
        .get_mut()
        .write_all(&body.as_bytes()[1024..])
        .unwrap();
    let answer = large.answer();
    assert_eq!((answer.status(), answer.text().as_str()), (200, "north's"));
}
