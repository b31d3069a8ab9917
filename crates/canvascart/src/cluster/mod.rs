//! Instance of a cluster: its decision gate, and its member on a separate thread.

mod command;
mod restore;

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ::admin_api::Api;
use ::cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster_runtime::lease::SharedLease;
use cluster_runtime::member::{
    InitialState, InitialStateError, MemberCommand, MemberEvent, MemberRuntime, Settings,
};
use multi_tenant::document::{Cluster, Service, WhenCutOff, WhenListUnknown};
use proxy_core::gate::{Gate, GateSettings};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::serve::unix_ms;

pub use command::{ClusterArguments, run};

/// Minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Creates the gate that admits an instance's decisions while its lease is valid.
pub fn gate(cluster: &Cluster, lease: Arc<SharedLease>) -> Rc<Gate> {
    let changed = lease.changed();
    let settings = GateSettings {
        max_wait: Duration::from_secs_f64(cluster.max_wait.0 / 1000.0),
        retry_after: cluster.retry_after.0,
        send_stamps: cluster.send_stamps,
        seed: fastrand::u64(..),
    };
    Gate::new(
        Box::new(move |version| lease.may_decide(version)),
        changed,
        settings,
    )
}

/// Returns the startup settings of an instance.
pub fn startup_settings(cluster: &Cluster) -> startup::StartupSettings {
    startup::StartupSettings {
        list_timeout: micros(cluster.list_wait.0),
        unknown_list_policy: match cluster.when_list_unknown {
            WhenListUnknown::Serve => startup::UnknownListPolicy::Serve,
            WhenListUnknown::Reject => startup::UnknownListPolicy::Reject,
        },
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

fn member_settings(cluster: &Cluster, directory: &str) -> Result<Settings, String> {
    let key_error = |message: String| format!("cluster.key-file: {}: {message}", cluster.key_file);
    let key = std::fs::read_to_string(&cluster.key_file).map_err(|e| key_error(e.to_string()))?;
    let key = key.trim().as_bytes().to_vec();
    if key.len() < MIN_KEY_BYTES {
        return Err(key_error(format!(
            "a key needs at least {MIN_KEY_BYTES} bytes, but this one has {}",
            key.len()
        )));
    }
    let rules = Rules {
        lease: micros(cluster.lease.0),
        change_lease: micros(cluster.change_lease.0),
        clock_drift_ppm: (cluster.drift.0 * 1e6) as u32,
        change_deadline: micros(cluster.deadline.0),
        partition_policy: match cluster.when_cut_off {
            WhenCutOff::Reject => PartitionPolicy::Reject,
            WhenCutOff::Serve => PartitionPolicy::Serve,
        },
        voters: cluster.voters,
    };
    Ok(Settings {
        name: cluster.instance.clone(),
        cluster: cluster.name.clone(),
        address: cluster.address.clone(),
        zone: cluster.zone.clone(),
        peers: cluster.peers.clone(),
        key,
        directory: Path::new(directory).to_owned(),
        rules,
        compaction_threshold: cluster.log_entries,
    })
}

/// Starts the member and returns the receiver of its events.
///
/// # Errors
/// Its log, its key or its address can't be used.
pub fn join(
    file: &Service,
    api: &Arc<Api>,
    commands: UnboundedReceiver<MemberCommand>,
    lease: Arc<SharedLease>,
) -> Result<UnboundedReceiver<MemberEvent>, String> {
    let (Some(cluster), Some(state)) = (&file.cluster, &file.state) else {
        return Err("cluster: [state] is required".into());
    };
    let settings = member_settings(cluster, &state.directory)?;
    let (event_sender, events) = unbounded_channel();
    let (founding_api, founding_file) = (api.clone(), file.clone());
    let initial_state = Box::new(move || {
        let (version, entry, state) = founding_api
            .admin_state()
            .bootstrap(&founding_file, unix_ms())?;
        Ok::<_, InitialStateError>(InitialState {
            version,
            revision: entry,
            state,
        })
    });
    let (result_sender, result_receiver) = std::sync::mpsc::channel();
    let run = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(e) => return drop(result_sender.send(Err(e.to_string()))),
        };
        runtime.block_on(async {
            match MemberRuntime::open(settings, event_sender, commands, lease, initial_state).await
            {
                Ok(member) => {
                    let _ = result_sender.send(Ok(())); // join() waits for it
                    member.run().await;
                }
                Err(e) => _ = result_sender.send(Err(e.to_string())),
            }
        });
    };
    std::thread::Builder::new()
        .name("cluster".into())
        .spawn(run)
        .map_err(|e| e.to_string())?;
    result_receiver
        .recv()
        .map_err(|e| e.to_string())?
        .map_err(|e| format!("cluster: {e}"))?;
    Ok(events)
}
