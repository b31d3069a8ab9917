//! Other deployments: with any valid settings the program starts, serves and keeps the rules, and it knows no deployment's names.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::path::{Path, PathBuf};

use sockets::*;

/// Draws from a seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, many: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % many
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }
}

/// A class as drawn: its name, its effect and its deadline in ms.
struct Drawn {
    name: String,
    effect: &'static str,
    deadline: u64,
}

/// A configuration with settings that are valid and may be extreme.
fn draw(chance: &mut Chance, discovery: &str) -> (String, Vec<Drawn>, Vec<String>) {
    let classes: Vec<Drawn> = (0..chance.of(&[1, 2, 5, 40]))
        .map(|n| Drawn {
            name: format!(
                "{}-{n}",
                chance.of(&["Ünï", "a.b", "x", "very-long-name-of-a-class-of-requests"])
            ),
            effect: chance.of(&["idempotent", "at_most_once", "deduplicated"]),
            deadline: chance.of(&[120, 400, 3000, 60_000, 86_400_000]),
        })
        .map(|d| Drawn {
            name: d.name.replace("Ünï", "u-n-i"),
            ..d
        })
        .collect();
    let tenants: Vec<String> = (0..chance.of(&[0, 1, 3, 200]))
        .map(|n| format!("tenant {n}"))
        .collect();
    let class = |c: &Drawn, chance: &mut Chance| {
        format!(
            r#"{{"name":"{}","effect":"{}","dedupScope":"{}","window":{},"promise":{},"deadline":{},"worth":{},"lateShare":{}}}"#,
            c.name,
            c.effect,
            chance.of(&["all", "zone", "cell"]),
            chance.of(&["1", "150", "5000", "1e9"]),
            chance.of(&[1, c.deadline / 2, c.deadline]),
            c.deadline,
            chance.of(&["0", "0.001", "1", "1e6"]),
            chance.of(&["0", "0.5", "1"]),
        )
    };
    let classes_text: Vec<String> = classes.iter().map(|c| class(c, chance)).collect();
    let tenants_text: Vec<String> = tenants
        .iter()
        .map(|t| {
            format!(
                r#"{{"name":"{t}","allowancePerS":{}}}"#,
                chance.of(&["0", "0.01", "1e6"])
            )
        })
        .collect();
    let zones = chance.of(&["", r#""a""#, r#""a","b","c","d","e","f","g""#]);
    let n = chance.of(&[1, 2, 30, 300]);
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{:x}",
        "limits":{{"cores":0.1,"memory_mb":48,"sockets":{}}},"known":null,
        "settings":{{{}"zones":[{zones}],"flavors":[{}],"nInstances":{n},"myNumber":{},"discovery":"{}",
        "weightSource":"{}","accounts":[{}],"classes":[{}],"overShareWorth":{},
        "prices":{{"crossZone":{}}},"extra":{{"warmKeys":{}}},
        "ceilings":{{"maxAttempts":{},"dialTimeout":{},"idleClose":{},"retryAfter":{},"maxRetryAfter":{}}},
        "rules":{{"startCapacity":{},"cold":{},"fall":{},"fallMultiple":{},"drainGrace":{}}}}}}}"#,
        chance.below(1 << 30),
        chance.of(&[256, 1024]),
        if zones.is_empty() {
            String::new()
        } else {
            r#""zone":"a","#.to_owned()
        },
        chance.of(&["", r#""k""#, r#""k","l","m""#]),
        chance.below(n),
        chance.of(&["pushed", "on_request"]),
        chance.of(&["nominal", "rough", "none"]),
        tenants_text.join(","),
        classes_text.join(","),
        chance.of(&["0", "0.2", "1"]),
        chance.of(&["0", "0.02", "10"]),
        chance.of(&["true", "false"]),
        chance.of(&[1, 2, 5, 100]),
        chance.of(&["50", "250", "1e7"]),
        chance.of(&["100", "10000", "1e9"]),
        chance.of(&["true", "false"]),
        chance.of(&["1", "1200", "1e7"]),
        chance.of(&["0.01", "0.5", "1"]),
        chance.of(&["1", "9000", "1e8"]),
        chance.of(&["1", "1000", "1e7"]),
        chance.of(&["1", "3", "1000"]),
        chance.of(&["1", "1000"]),
    );
    (text, classes, tenants)
}

#[test]
fn with_any_valid_settings_it_starts_serves_and_keeps_the_rules() {
    for seed in 0..10 {
        let mut chance = Chance(seed * 7919 + 13);
        // The first attempt fails with a word that it may have run: what may not be repeated is not.
        let backend = Backend::with(|m| match m.id() {
            "r-fails" => BackendAction::Write(empty("500 Oops")),
            id => BackendAction::Write(ok(id)),
        });
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backend]));
        let (text, classes, tenants) = draw(&mut chance, &discovery.address.to_string());
        let mut proxy = Proxy::with(&text);
        wait_for("/up", || proxy.is_up());
        for class in &classes {
            for id in ["r-1", "r-fails"] {
                let before = backend.seen().len();
                let keyed = if class.effect == "deduplicated" {
                    "Idempotency-Key: k\r\n"
                } else {
                    ""
                };
                let tenant = tenants
                    .last()
                    .map_or(String::new(), |t| format!("X-Tenant-Id: {t}\r\n"));
                let head =
                    format!("Host: x\r\nX-Request-ID: {id}\r\nX-Timeout: 0.3\r\n{tenant}{keyed}");
                let request = match class.effect {
                    "idempotent" => format!("GET /{}/1 HTTP/1.1\r\n{head}\r\n", class.name),
                    _ => format!(
                        "POST /{}/1 HTTP/1.1\r\n{head}Content-Length: 1\r\n\r\nx",
                        class.name
                    ),
                };
                let answer = Client::new(&proxy).ask(&request).expect("an answer");
                let told = (seed, &class.name, id, answer.status());
                assert!([200, 502, 503].contains(&answer.status()), "{told:?}");
                let ran = backend.seen().len() - before;
                assert!(
                    answer.status() != 200 || answer.text() == "r-1" && ran == 1,
                    "{told:?}"
                );
                assert!(
                    answer.status() != 503 || ran == 0 || class.effect != "at_most_once",
                    "{told:?}"
                );
                assert!(
                    class.effect != "at_most_once" || ran <= 1,
                    "{told:?} ran {ran} times"
                );
            }
        }
        proxy.terminate();
        assert!(proxy.wait().success(), "seed {seed}: {text}");
    }
}

#[test]
fn settings_that_are_no_good_end_the_start_by_file_and_key() {
    let good = config(
        "127.0.0.1:1".parse().expect("an address"),
        &Setup::default(),
    );
    for (from, to, word) in [
        ("\"classes\":[", "\"classes\":[],\"others\":[", "classes"),
        ("\"myNumber\":0", "\"myNumber\":7", "number 7 of 1"),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"localhost\"",
            "socket address",
        ),
        (
            "\"discovery\":\"127.0.0.1:1\"",
            "\"place\":\"127.0.0.1:1\"",
            "discovery",
        ),
        ("\"sockets\":256", "\"sockets\":-1", "invalid value"),
    ] {
        let file = config_file(&good.replace(from, to));
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"))
            .env("NODE_CONFIG", &file)
            .output();
        let run = run.expect("it runs");
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        let named = log.contains(&*file.to_string_lossy());
        let _ = std::fs::remove_file(&file);
        assert!(
            !run.status.success() && log.contains(word) && named,
            "{word}: {log}"
        );
    }
}

/// All files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    entries
        .flat_map(|path| {
            if path.is_dir() {
                files(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

#[test]
fn program_and_deploy_file_know_no_deployment_s_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut names = Vec::new();
    for file in files(&root.join("deploy/sites"))
        .iter()
        .filter(|f| f.extension().is_some_and(|e| e == "toml"))
    {
        let text = std::fs::read_to_string(file).expect("a text");
        let named = text
            .lines()
            .filter_map(|l| l.strip_prefix("name = \"")?.strip_suffix('"'));
        names.extend(named.map(str::to_owned));
        let zones = text
            .lines()
            .find_map(|l| l.strip_prefix("zones = ["))
            .expect("zones");
        names.extend(zones.split('"').skip(1).step_by(2).map(str::to_owned));
    }
    assert!(names.len() > 15, "{names:?}");
    let parts = [
        "proxy",
        "sim-adapter",
        "proxy-core",
        "settings",
        "capture",
        "client",
        "balancer",
    ];
    let mut looked = vec![
        root.join("deploy/balancer.toml"),
        root.join("deploy/canvascart.properties"),
    ];
    looked.extend(
        parts
            .iter()
            .flat_map(|p| files(&root.join("crates").join(p).join("src"))),
    );
    assert!(looked.len() > 40);
    for file in looked {
        let text = std::fs::read_to_string(&file).expect("a text");
        for name in &names {
            assert!(
                !text.contains(&format!("\"{name}\"")),
                "{name} stands in {}",
                file.display()
            );
        }
    }
}
