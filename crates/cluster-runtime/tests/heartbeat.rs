//! A heartbeat proves a disk fresh only for a short while, and only within one boot of the machine.

use cluster_runtime::clock;
use cluster_runtime::heartbeat::{FRESHNESS_LIMIT, ProcessHeartbeat, boot_id};

#[test]
fn only_a_recent_heartbeat_of_this_boot_is_fresh() {
    let directory = std::env::temp_dir().join(format!("canvascart-mark-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let (now, boot) = (clock::now(), boot_id());
    let fresh = |text: String| {
        std::fs::write(directory.join("alive"), text).expect("a file");
        ProcessHeartbeat::read(&directory).is_disk_fresh()
    };
    assert!(fresh(format!("{boot} {now}\n")));
    assert!(
        !fresh(format!(
            "{boot} {}\n",
            now.saturating_sub(FRESHNESS_LIMIT + 1_000_000)
        )),
        "it is too old"
    );
    assert!(
        !fresh(format!("{boot} {}\n", now + 3_600_000_000)),
        "it is of another time"
    );
    assert!(
        !fresh(format!("other {now}\n")),
        "it is of another start of the machine"
    );
    assert!(
        !fresh(format!("{boot} 12x")) && !fresh(String::new()),
        "it is torn"
    );
    std::fs::remove_file(directory.join("alive")).expect("it is there");
    ProcessHeartbeat::read(&directory).write_if_due(now);
    assert!(ProcessHeartbeat::read(&directory).is_disk_fresh());
    std::fs::remove_dir_all(&directory).expect("it goes");
}
