//! Independence of the deployment: with any valid settings the program starts, serves and follows the rules for retries, and
//! its sources contain no deployment's names.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::path::{Path, PathBuf};

use sockets::*;

/// Seeded random generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

/// Random class: its name, its effect and its deadline in ms.
struct RandomClass {
    name: String,
    effect: &'static str,
    deadline: u64,
}

/// Creates a random configuration with valid and possibly extreme settings.
fn random_config(random: &mut Random, discovery: &str) -> (String, Vec<RandomClass>, Vec<String>) {
    let classes: Vec<RandomClass> = (0..random.choose(&[1, 2, 5, 40]))
        .map(|n| RandomClass {
            name: format!(
                "{}-{n}",
                random.choose(&["Ünï", "a.b", "x", "very-long-name-of-a-class-of-requests"])
            ),
            effect: random.choose(&["idempotent", "at_most_once", "deduplicated"]),
            deadline: random.choose(&[120, 400, 3000, 60_000, 86_400_000]),
        })
        .map(|d| RandomClass {
            name: d.name.replace("Ünï", "u-n-i"),
            ..d
        })
        .collect();
    let tenants: Vec<String> = (0..random.choose(&[0, 1, 3, 200]))
        .map(|n| format!("tenant {n}"))
        .collect();
    let class = |c: &RandomClass, random: &mut Random| {
        format!(
            r#"{{"name":"{}","effect":"{}","dedupScope":"{}","window":{},"promise":{},"deadline":{},"worth":{},"lateShare":{}}}"#,
            c.name,
            c.effect,
            random.choose(&["all", "zone", "cell"]),
            random.choose(&["1", "150", "5000", "1e9"]),
            random.choose(&[1, c.deadline / 2, c.deadline]),
            c.deadline,
            random.choose(&["0", "0.001", "1", "1e6"]),
            random.choose(&["0", "0.5", "1"]),
        )
    };
    let classes_text: Vec<String> = classes.iter().map(|c| class(c, random)).collect();
    let tenants_text: Vec<String> = tenants
        .iter()
        .map(|t| {
            format!(
                r#"{{"name":"{t}","allowancePerS":{}}}"#,
                random.choose(&["0", "0.01", "1e6"])
            )
        })
        .collect();
    let zones = random.choose(&["", r#""a""#, r#""a","b","c","d","e","f","g""#]);
    let n = random.choose(&[1, 2, 30, 300]);
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{:x}",
        "limits":{{"cores":0.1,"memory_mb":48,"sockets":{}}},"known":null,
        "settings":{{{}"zones":[{zones}],"flavors":[{}],"nInstances":{n},"myNumber":{},"discovery":"{}",
        "weightSource":"{}","accounts":[{}],"classes":[{}],"overShareWorth":{},
        "prices":{{"crossZone":{}}},"extra":{{"warmKeys":{}}},
        "ceilings":{{"maxAttempts":{},"dialTimeout":{},"idleClose":{},"retryAfter":{},"maxRetryAfter":{}}},
        "rules":{{"startCapacity":{},"cold":{},"fall":{},"fallMultiple":{},"drainGrace":{}}}}}}}"#,
        random.below(1 << 30),
        random.choose(&[256, 1024]),
        if zones.is_empty() {
            String::new()
        } else {
            r#""zone":"a","#.to_owned()
        },
        random.choose(&["", r#""k""#, r#""k","l","m""#]),
        random.below(n),
        random.choose(&["pushed", "on_request"]),
        random.choose(&["nominal", "rough", "none"]),
        tenants_text.join(","),
        classes_text.join(","),
        random.choose(&["0", "0.2", "1"]),
        random.choose(&["0", "0.02", "10"]),
        random.choose(&["true", "false"]),
        random.choose(&[1, 2, 5, 100]),
        random.choose(&["50", "250", "1e7"]),
        random.choose(&["100", "10000", "1e9"]),
        random.choose(&["true", "false"]),
        random.choose(&["1", "1200", "1e7"]),
        random.choose(&["0.01", "0.5", "1"]),
        random.choose(&["1", "9000", "1e8"]),
        random.choose(&["1", "1000", "1e7"]),
        random.choose(&["1", "3", "1000"]),
        random.choose(&["1", "1000"]),
    );
    (text, classes, tenants)
}

#[test]
fn with_any_valid_settings_the_proxy_starts_serves_and_follows_the_retry_rules() {
    for seed in 0..10 {
        let mut random = Random(seed * 7919 + 13);
        // The attempt fails in a way that it may have run: a request that must not be repeated is not retried.
        let backend = Backend::with(|m| match m.id() {
            "r-fails" => BackendAction::Write(empty("500 Oops")),
            id => BackendAction::Write(ok(id)),
        });
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backend]));
        let (text, classes, tenants) = random_config(&mut random, &discovery.address.to_string());
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
                let context = (seed, &class.name, id, answer.status());
                assert!([200, 502, 503].contains(&answer.status()), "{context:?}");
                let ran = backend.seen().len() - before;
                assert!(
                    answer.status() != 200 || answer.text() == "r-1" && ran == 1,
                    "{context:?}"
                );
                assert!(
                    answer.status() != 503 || ran == 0 || class.effect != "at_most_once",
                    "{context:?}"
                );
                assert!(
                    class.effect != "at_most_once" || ran <= 1,
                    "{context:?} ran {ran} times"
                );
            }
        }
        proxy.terminate();
        assert!(proxy.wait().success(), "seed {seed}: {text}");
    }
}

#[test]
fn invalid_settings_fail_the_start_with_file_and_key() {
    let valid = config(
        "127.0.0.1:1".parse().expect("an address"),
        &Setup::default(),
    );
    for (from, to, reason) in [
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
        let file = config_file(&valid.replace(from, to));
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"))
            .env("NODE_CONFIG", &file)
            .output();
        let run = run.expect("the proxy runs");
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        let named = log.contains(&*file.to_string_lossy());
        let _ = std::fs::remove_file(&file);
        assert!(
            !run.status.success() && log.contains(reason) && named,
            "{reason}: {log}"
        );
    }
}

/// Returns all files below a directory.
fn files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory)
        .expect("a directory")
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
fn sources_and_deploy_files_contain_no_deployment_s_names() {
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
    let packages = [
        "proxy",
        "sim-adapter",
        "proxy-core",
        "settings",
        "capture",
        "client",
        "balancer",
    ];
    let mut checked = vec![
        root.join("deploy/balancer.toml"),
        root.join("deploy/canvascart.properties"),
    ];
    checked.extend(
        packages
            .iter()
            .flat_map(|p| files(&root.join("crates").join(p).join("src"))),
    );
    assert!(checked.len() > 40);
    for file in checked {
        let text = std::fs::read_to_string(&file).expect("a text");
        for name in &names {
            assert!(
                !text.contains(&format!("\"{name}\"")),
                "{name} occurs in {}",
                file.display()
            );
        }
    }
}
