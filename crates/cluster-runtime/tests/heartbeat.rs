//! A heartbeat shows that a disk is fresh only for a short time, and only within one boot of the machine.

use cluster_runtime::clock;
use cluster_runtime::heartbeat::{FRESHNESS_LIMIT, ProcessHeartbeat, boot_id};

#[test]
fn only_a_recent_heartbeat_of_this_boot_is_fresh() {
    let directory =
        std::env::temp_dir().join(format!("canvascart-heartbeat-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("create the directory");
    let (now, boot) = (clock::now(), boot_id());
    let fresh = |text: String| {
        std::fs::write(directory.join("alive"), text).expect("write the file");
        ProcessHeartbeat::read(&directory).is_disk_fresh()
    };
    assert!(fresh(format!("{boot} {now}\n")));
    assert!(
        !fresh(format!(
            "{boot} {}\n",
            now.saturating_sub(FRESHNESS_LIMIT + 1_000_000)
        )),
        "too old"
    );
    assert!(
        !fresh(format!("{boot} {}\n", now + 3_600_000_000)),
        "from the future"
    );
    assert!(
        !fresh(format!("other {now}\n")),
        "from another boot of the machine"
    );
    assert!(
        !fresh(format!("{boot} 12x")) && !fresh(String::new()),
        "damaged"
    );
    std::fs::remove_file(directory.join("alive")).expect("remove the file");
    ProcessHeartbeat::read(&directory).write_if_due(now);
    assert!(ProcessHeartbeat::read(&directory).is_disk_fresh());
    std::fs::remove_dir_all(&directory).expect("remove the directory");
}
