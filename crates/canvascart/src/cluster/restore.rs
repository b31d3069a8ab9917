//! `canvascart cluster backup` and `restore`: all that is agreed on, kept elsewhere, and a cluster that begins anew from that or from a
//! survivor's directory.

use std::path::{Path, PathBuf};

use ::admin_api::{AdminState, Backup};
use ::cluster::command::Member;
use ::cluster::log_recovery::{next_epoch, restart_with_one_member};
use ::cluster::state_machine::StateMachine;
use cluster_runtime::storage::{Owner, StorageError, StoredMember, new_cluster_id};
use multi_tenant::document::{Cluster, Service};
use serde_json::Value;

use crate::serve::{read, unix_ms};

#[derive(clap::Args)]
pub struct Restore {
    /// The instance's configuration, whose state directory is the survivor's, or empty with --backup.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Begins from a backup, in a state directory that holds nothing.
    #[arg(long, value_name = "FILE")]
    backup: Option<PathBuf>,
    /// Does it; without this it only tells what would come of it.
    #[arg(long)]
    yes: bool,
}

/// Writes a backup that the service gave, once it has been read as whole.
///
/// # Errors
/// It is not whole, or can't be written.
pub fn keep(body: &Value, output: &Path) -> Result<String, String> {
    let text = body.to_string();
    let backup = Backup::parse(&text)?;
    let at = |e: std::io::Error| format!("{}: {e}", output.display());
    let aside = output.with_extension("new");
    let file = std::fs::File::create(&aside).map_err(at)?;
    std::io::Write::write_all(&mut &file, text.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(at)?;
    std::fs::rename(&aside, output).map_err(at)?;
    Ok(format!(
        "{}: version {} of the cluster {}",
        output.display(),
        backup.version,
        backup.cluster
    ))
}

/// Begins a cluster anew; tells what is known to be missing.
///
/// # Errors
/// What keeps it from being done. A survivor's directory can be asked for again; one that was begun from a backup has to be emptied
/// first.
pub fn restore(arguments: &Restore) -> Result<(), String> {
    let file = read(&arguments.config)?;
    let at = |what: &str| format!("{}: {what}", arguments.config.display());
    let cluster = file
        .cluster
        .clone()
        .ok_or_else(|| at("cluster: it is missing"))?;
    let directory = file
        .state
        .clone()
        .ok_or_else(|| at("state: it is missing"))?
        .directory;
    match &arguments.backup {
        Some(backup) => from_backup(
            &file,
            &cluster,
            Path::new(&directory),
            backup,
            arguments.yes,
        ),
        None => from_survivor(&file, &cluster, Path::new(&directory), arguments.yes),
    }
}

fn from_survivor(
    file: &Service,
    cluster: &Cluster,
    directory: &Path,
    yes: bool,
) -> Result<(), String> {
    let named = |e: String| format!("{}: {e}", directory.display());
    let unreadable = |e: StorageError| named(e.to_string());
    if !directory.join(config_store::raft_log::FILE_NAME).exists() {
        return Err(named(
            "it is no member's directory; to begin from a backup give --backup FILE".into(),
        ));
    }
    let mut kept = StoredMember::open(directory).map_err(unreadable)?;
    let Owner { cluster: old, name } = kept
        .owner()
        .ok_or_else(|| named("its member has never joined".into()))?;
    let (old, name) = (old.to_owned(), name.to_owned());
    if name != cluster.instance {
        return Err(named(format!(
            "it is the member \"{name}\"'s, and the file's is \"{}\"",
            cluster.instance
        )));
    }
    let salvage = kept.recover().map_err(unreadable)?;
    let before = &salvage.state_machine;
    let version = next_epoch(before.version);
    println!("survivor        {name}, of the cluster {old}");
    println!(
        "version         {} before, {version} afterwards",
        before.version
    );
    println!(
        "log             up to entry {}, term {}",
        salvage.last_index, salvage.term
    );
    println!("known agreed    up to entry {}", salvage.committed_index);
    println!(
        "taken besides   {} entries that may have been acknowledged",
        salvage.uncommitted_entries
    );
    println!(
        "given up        {}",
        salvage
            .aborted_change
            .as_deref()
            .unwrap_or("no change was under way")
    );
    let others: Vec<&str> = before
        .members
        .keys()
        .map(String::as_str)
        .filter(|m| *m != name)
        .collect();
    println!(
        "members no more {}",
        if others.is_empty() {
            "none".into()
        } else {
            others.join(", ")
        }
    );
    println!(
        "may be missing  whatever was acknowledged after entry {} without this member",
        salvage.last_index
    );
    if !yes {
        println!("nothing was changed: say --yes to do it");
        return Ok(());
    }
    let mut admin_state = AdminState::open(file, false, unix_ms())?;
    if admin_state.last_entry() < salvage.application_revision {
        admin_state.restore(file, &salvage.application_state)?;
    }
    let detail = format!("the cluster {old} up to entry {}", salvage.last_index);
    let (version, entry, state) =
        admin_state.recover(file, &salvage.payloads, version, detail, unix_ms())?;
    let member = member(cluster, before.next_id);
    let cluster_id = new_cluster_id();
    let machine = restart_with_one_member(before, cluster_id, name.clone(), member, version, entry);
    kept.bootstrap_cluster(&machine, &name, state)
        .map_err(unreadable)?;
    done(&machine);
    Ok(())
}

fn from_backup(
    file: &Service,
    cluster: &Cluster,
    directory: &Path,
    backup: &Path,
    yes: bool,
) -> Result<(), String> {
    let at = |e: String| format!("{}: {e}", backup.display());
    let text = std::fs::read_to_string(backup).map_err(|e| at(e.to_string()))?;
    let backup = Backup::parse(&text).map_err(at)?;
    let version = next_epoch(backup.version);
    println!(
        "backup          of the cluster {}, made at {} (Unix time, ms)",
        backup.cluster, backup.at_ms
    );
    println!(
        "version         {} before, {version} afterwards",
        backup.version
    );
    println!("may be missing  whatever was acknowledged after the backup was made");
    if !yes {
        println!("nothing was changed: say --yes to do it");
        return Ok(());
    }
    let named = |e: String| format!("{}: {e}", directory.display());
    let unreadable = |e: StorageError| named(e.to_string());
    let mut kept = StoredMember::open(directory).map_err(unreadable)?;
    if kept.owner().is_some() {
        return Err(named(
            "it is a member's: begin from a backup in an empty directory".into(),
        ));
    }
    let mut admin_state = AdminState::open(file, false, unix_ms())?;
    if admin_state.last_entry() > 0 {
        return Err(named(
            "it holds a state: begin from a backup in an empty directory".into(),
        ));
    }
    admin_state.restore(file, &backup.state)?;
    let detail = format!(
        "a backup of the cluster {} at version {}",
        backup.cluster, backup.version
    );
    let (version, entry, state) = admin_state.recover(file, &[], version, detail, unix_ms())?;
    let rules = super::settings(cluster, &directory.display().to_string())?.rules;
    let name = cluster.instance.clone();
    let machine = StateMachine::bootstrap(
        new_cluster_id(),
        rules,
        name.clone(),
        member(cluster, 1),
        version,
        entry,
    );
    kept.bootstrap_cluster(&machine, &name, state)
        .map_err(unreadable)?;
    done(&machine);
    Ok(())
}

fn member(cluster: &Cluster, id: u64) -> Member {
    Member {
        id,
        address: cluster.address.clone(),
        zone: cluster.zone.clone(),
        join_nonce: 0,
    }
}

fn done(machine: &StateMachine) {
    println!(
        "done            the cluster is {} from here on; start this instance",
        machine.cluster_id
    );
    println!(
        "others          join it with empty state directories; with those of before they are refused"
    );
}
