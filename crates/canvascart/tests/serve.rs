//! The hosted service as a process: tenant routing, configuration changes under traffic, and fair shares under load.
mod hosted;

use std::io::{BufRead, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;

use hosted::sockets::{Backend, BackendAction, Latch, Message, ok, wait_for};
use hosted::{Client, ServiceProcess, listener, tenant, text_backend};

#[test]
fn requests_reach_only_their_tenants_servers_and_unknown_tenants_get_404() {
    let (north, south) = (text_backend("north's"), text_backend("south's"));
    let config = [
        listener("by-host", "127.0.0.1:0", "host", ""),
        listener("by-header", "127.0.0.2:0", "header", ""),
        listener("souths", "127.0.0.3:0", "listener", "tenant = \"south\""),
        tenant("north", "", &[("n", north.address)]),
        tenant("south", "", &[("s", south.address)]),
    ];
    let mut service = ServiceProcess::start("routes", &config.concat());
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
        let response = Client::new(at[listener]).get(host, more);
        assert_eq!(
            (response.status(), response.text().as_str()),
            (200, text),
            "{listener} {host} {more}"
        );
    }
    // A connection may serve several tenants. An unknown tenant and a missing tenant header get the same response.
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
fn change_of_one_tenant_takes_effect_under_traffic_without_affecting_others() {
    let latch = Latch::default();
    let (old_backend, new_backend, other_backend) = (
        Backend::new(BackendAction::Hold(latch.clone(), ok("held"))),
        text_backend("fresh"),
        text_backend("other's"),
    );
    let public = listener("public", "127.0.0.1:0", "host", "");
    let south = tenant("south", "", &[("s", other_backend.address)]);
    let before = [
        public.clone(),
        tenant("north", "", &[("old", old_backend.address)]),
        south.clone(),
    ]
    .concat();
    let service = ServiceProcess::start("change", &before);
    let at = service.addresses()["public"];
    let mut waiting = Client::new(at);
    waiting.send("GET", "/lookup/1", "north.example", "");
    wait_for("the request at the old server", || {
        old_backend.seen().len() == 1
    });

    // The server is replaced and the class renamed.
    let renamed = tenant("north", "", &[("new", new_backend.address)]).replacen(
        "name = \"lookup\"",
        "name = \"search\"",
        1,
    );
    service.reload_config(
        &[public.clone(), renamed, south.clone()].concat(),
        "the new configuration is in effect",
    );
    for _ in 0..20 {
        let mut client = Client::new(at);
        client.send("GET", "/search/1", "north.example", "");
        assert_eq!(client.response().text(), "fresh");
        assert_eq!(
            Client::new(at).get("north.example", "").status(),
            404,
            "the old class is still served"
        );
        assert_eq!(Client::new(at).get("south.example", "").text(), "other's");
    }
    latch.open();
    assert_eq!(
        waiting.response().text(),
        "held",
        "the request did not complete under the version it began with"
    );
    assert_eq!(
        old_backend.seen().len(),
        1,
        "a removed server got a new request"
    );

    // A tenant is removed while one of its requests is in flight.
    let latch = Latch::default();
    let slow = Backend::new(BackendAction::Hold(latch.clone(), ok("slow")));
    let with_slow = tenant("north", "", &[("slow", slow.address)]);
    service.reload_config(
        &[public.clone(), with_slow, south.clone()].concat(),
        "the new configuration is in effect",
    );
    let mut waiting = Client::new(at);
    waiting.send("GET", "/lookup/1", "north.example", "");
    wait_for("the request at the slow server", || slow.seen().len() == 1);
    service.reload_config(&[public, south].concat(), "tenant removed");
    assert_eq!(Client::new(at).get("north.example", "").status(), 404);
    latch.open();
    assert_eq!(
        waiting.response().text(),
        "slow",
        "the request in flight was not completed"
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 200);
}

#[test]
fn failed_change_is_not_applied_in_part() {
    let (north, south) = (text_backend("north's"), text_backend("south's"));
    let public = listener("public", "127.0.0.1:0", "host", "");
    let good = tenant("north", "", &[("n", north.address)]);
    let service = ServiceProcess::start("fails", &[public.clone(), good.clone()].concat());
    let at = service.addresses()["public"];
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = listener(
        "second",
        &occupied.local_addr().unwrap().to_string(),
        "host",
        "",
    );
    let added = tenant("south", "", &[("s", south.address)]);
    // A listener port is in use, so the tenant of the same change is not added either.
    let with_occupied_port = [public.clone(), second, good.clone(), added.clone()].concat();
    service.reload_config(
        &with_occupied_port,
        "the new configuration can't be applied; nothing has changed",
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 404);
    let bad = [
        public.clone(),
        good.clone(),
        added.replace("effect = \"safe\"", "effect = \"sound\""),
    ]
    .concat();
    service.reload_config(
        &bad,
        "the new configuration is invalid; nothing has changed",
    );
    let log_line = service
        .logged("the new configuration is invalid; nothing has changed")
        .pop()
        .unwrap();
    let error = log_line["error"].as_str().unwrap();
    assert!(
        error.contains("tenant.1.class.0.effect") && error.contains("safe"),
        "{error}"
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 404);
    assert_eq!(Client::new(at).get("north.example", "").status(), 200);
    service.reload_config(
        &[public, good, added].concat(),
        "the new configuration is in effect",
    );
    assert_eq!(Client::new(at).get("south.example", "").status(), 200);
}

#[test]
fn tenant_with_hanging_servers_is_rejected_beyond_its_share_and_others_are_served() {
    let latch = Latch::default();
    let (hanging, other_backend) = (
        Backend::new(BackendAction::Hold(latch.clone(), ok("late"))),
        text_backend("other's"),
    );
    let config = [
        "[process]\nin-flight = 12\nnewcomers = \"25 %\"\n".to_owned(),
        listener("public", "127.0.0.1:0", "host", ""),
        tenant("north", "", &[("n", hanging.address)]),
        tenant("south", "", &[("s", other_backend.address)]),
    ];
    let mut service = ServiceProcess::start("hangs", &config.concat());
    let at = service.addresses()["public"];
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(at)).collect();
    clients
        .iter_mut()
        .for_each(|c| c.send("GET", "/lookup/1", "north.example", ""));
    // A quarter of the 12 places is reserved for the idle tenant, so 3 of the 12 requests are rejected at once.
    let rejections: Vec<(usize, Message)> = {
        let mut rejected = Vec::new();
        wait_for("three rejections", || {
            for (n, client) in clients.iter_mut().enumerate() {
                client.0.get_mut().set_nonblocking(true).unwrap();
                let has = client.0.fill_buf().is_ok_and(|b| !b.is_empty());
                client.0.get_mut().set_nonblocking(false).unwrap();
                if has {
                    rejected.push((n, client.response()));
                }
            }
            rejected.len() >= 3
        });
        rejected
    };
    assert_eq!(rejections.len(), 3);
    for (_, response) in &rejections {
        assert_eq!(response.status(), 503);
        let after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && after <= 2.0, "{after}");
    }
    for _ in 0..20 {
        assert_eq!(Client::new(at).get("south.example", "").status(), 200);
    }
    latch.open();
    for (n, client) in clients.iter_mut().enumerate() {
        if rejections.iter().all(|(rejected, _)| *rejected != n) {
            assert_eq!(client.response().text(), "late");
        }
    }
    service.signal("TERM");
    assert!(service.wait().success());
    let ended = service.logged("ended");
    let north = ended.iter().find(|l| l["tenant"] == "north").unwrap();
    assert_eq!(
        north["refused"], "[0, 3, 0, 0, 0]",
        "requests were rejected for another reason than requests in flight"
    );
}

/// Guards against one tenant that occupies all sockets with connections that never send a complete request.
#[test]
fn silent_connections_of_one_tenant_leave_sockets_for_others() {
    let (north, south) = (text_backend("north's"), text_backend("south's"));
    let config = [
        "[process]\nsockets = 32\nnewcomers = \"25 %\"\n".to_owned(),
        listener("norths", "127.0.0.1:0", "listener", "tenant = \"north\""),
        listener("souths", "127.0.0.2:0", "listener", "tenant = \"south\""),
        tenant("north", "", &[("n", north.address)]),
        tenant("south", "", &[("s", south.address)]),
    ];
    let service = ServiceProcess::start("sockets", &config.concat());
    let at = service.addresses();
    // More connections than sockets; each sends an incomplete request head.
    let mut connections = Vec::new();
    for _ in 0..64 {
        let mut stream = TcpStream::connect(at["norths"]).unwrap();
        let _ = stream.write_all(b"GET /lookup/1 HTTP/1.1\r\nHost:"); // the service may have closed the connection
        connections.push(stream);
    }
    for _ in 0..8 {
        assert_eq!(Client::new(at["souths"]).get("x", "").status(), 200);
    }
}

#[test]
fn all_configuration_errors_are_reported_and_the_schema_is_printed() {
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
    let stderr = String::from_utf8(run.stderr).unwrap();
    for part in [
        ":2: process.sockets:",
        ":5: listener.0.name:",
        "listener.0.address: it is missing",
    ] {
        assert!(
            stderr.contains(&format!("{path}{part}")) || stderr.contains(part),
            "{part}: {stderr}"
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
    let documented = include_str!("../../../docs/serve.schema.json");
    let documented: serde_json::Value = serde_json::from_str(documented).unwrap();
    assert_eq!(
        documented, schema,
        "docs/serve.schema.json differs from the output of `canvascart config schema`"
    );
}

/// Guards against stopping the read of an admitted request body when the share for rejecting requests is used up.
#[test]
fn admitted_request_is_read_completely_while_its_tenant_is_rejected() {
    let north = text_backend("north's");
    let config = [
        // One request fills the tenant's share, and the share for rejecting requests is close to zero.
        "[process]\nturning-share = \"0.1 %\"\n".to_owned(),
        listener("public", "127.0.0.1:0", "listener", "tenant = \"north\""),
        tenant(
            "north",
            "limits = { in-flight = 1, burst = \"1 ms\" }",
            &[("n", north.address)],
        ),
    ];
    let service = ServiceProcess::start("body", &config.concat());
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
    // The large request holds the only place once another request is rejected. The requests that follow use up the
    // share for rejecting requests.
    let mut others: Vec<Client> = (0..400).map(|_| Client::new(at)).collect();
    wait_for("a rejection", || {
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
    let response = large.response();
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, "north's")
    );
}
