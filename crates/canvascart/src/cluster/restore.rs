//! `canvascart cluster backup` and `restore`: writes the replicated state to a file, and starts a new cluster from such a backup
//! or from the state directory of a surviving instance.

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
    /// Configuration of the instance; its state directory is the surviving instance's, or empty with --backup.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Starts from a backup, in an empty state directory.
    #[arg(long, value_name = "FILE")]
    backup: Option<PathBuf>,
    /// Executes the restore; without it, only shows the result.
    #[arg(long)]
    yes: bool,
}

/// Validates a backup from the service and writes it to a file.
///
/// # Errors
/// The backup is incomplete, or can't be written.
pub fn write_backup(body: &Value, output: &Path) -> Result<String, String> {
    let text = body.to_string();
    let backup = Backup::parse(&text)?;
    let write_error = |e: std::io::Error| format!("{}: {e}", output.display());
    let temporary = output.with_extension("new");
    let file = std::fs::File::create(&temporary).map_err(write_error)?;
    std::io::Write::write_all(&mut &file, text.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(write_error)?;
    std::fs::rename(&temporary, output).map_err(write_error)?;
    Ok(format!(
        "{}: version {} of the cluster {}",
        output.display(),
        backup.version,
        backup.cluster
    ))
}

/// Starts a new cluster and prints which changes may be missing.
///
/// # Errors
/// The configuration, the state directory or the backup can't be used. A restore from a survivor's directory can be retried; after
/// a failed restore from a backup the directory has to be emptied first.
pub fn restore(arguments: &Restore) -> Result<(), String> {
    let file = read(&arguments.config)?;
    let config_error = |message: &str| format!("{}: {message}", arguments.config.display());
    let cluster = file
        .cluster
        .clone()
        .ok_or_else(|| config_error("cluster: it is missing"))?;
    let directory = file
        .state
        .clone()
        .ok_or_else(|| config_error("state: it is missing"))?
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
    let directory_error = |e: String| format!("{}: {e}", directory.display());
    let storage_error = |e: StorageError| directory_error(e.to_string());
    if !directory.join(config_store::raft_log::FILE_NAME).exists() {
        return Err(directory_error(
            "not a member's directory; use --backup FILE to start from a backup".into(),
        ));
    }
    let mut member_log = StoredMember::open(directory).map_err(storage_error)?;
    let Owner {
        cluster: old_cluster,
        name,
    } = member_log
        .owner()
        .ok_or_else(|| directory_error("the member has never joined a cluster".into()))?;
    let (old_cluster, name) = (old_cluster.to_owned(), name.to_owned());
    if name != cluster.instance {
        return Err(directory_error(format!(
            "the directory is of the member \"{name}\", but the configuration is of \"{}\"",
            cluster.instance
        )));
    }
    let recovered = member_log.recover().map_err(storage_error)?;
    let before = &recovered.state_machine;
    let version = next_epoch(before.version);
    println!("survivor        {name}, of the cluster {old_cluster}");
    println!(
        "version         {} before, {version} afterwards",
        before.version
    );
    println!(
        "log             up to entry {}, term {}",
        recovered.last_index, recovered.term
    );
    println!("known agreed    up to entry {}", recovered.committed_index);
    println!(
        "taken besides   {} entries that may have been acknowledged",
        recovered.uncommitted_entries
    );
    println!(
        "given up        {}",
        recovered
            .aborted_change
            .as_deref()
            .unwrap_or("no change was pending")
    );
    let lost_members: Vec<&str> = before
        .members
        .keys()
        .map(String::as_str)
        .filter(|m| *m != name)
        .collect();
    println!(
        "members no more {}",
        if lost_members.is_empty() {
            "none".into()
        } else {
            lost_members.join(", ")
        }
    );
    println!(
        "may be missing  whatever was acknowledged after entry {} without this member",
        recovered.last_index
    );
    if !yes {
        println!("nothing was changed; add --yes to execute it");
        return Ok(());
    }
    let mut admin_state = AdminState::open(file, false, unix_ms())?;
    if admin_state.last_entry() < recovered.application_revision {
        admin_state.restore(file, &recovered.application_state)?;
    }
    let detail = format!(
        "the cluster {old_cluster} up to entry {}",
        recovered.last_index
    );
    let (version, entry, state) =
        admin_state.recover(file, &recovered.payloads, version, detail, unix_ms())?;
    let member = first_member(cluster, before.next_id);
    let cluster_id = new_cluster_id();
    let machine = restart_with_one_member(before, cluster_id, name.clone(), member, version, entry);
    member_log
        .bootstrap_cluster(&machine, &name, state)
        .map_err(storage_error)?;
    print_done(&machine);
    Ok(())
}

fn from_backup(
    file: &Service,
    cluster: &Cluster,
    directory: &Path,
    backup: &Path,
    yes: bool,
) -> Result<(), String> {
    let backup_error = |e: String| format!("{}: {e}", backup.display());
    let text = std::fs::read_to_string(backup).map_err(|e| backup_error(e.to_string()))?;
    let backup = Backup::parse(&text).map_err(backup_error)?;
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
        println!("nothing was changed; add --yes to execute it");
        return Ok(());
    }
    let directory_error = |e: String| format!("{}: {e}", directory.display());
    let storage_error = |e: StorageError| directory_error(e.to_string());
    let mut member_log = StoredMember::open(directory).map_err(storage_error)?;
    if member_log.owner().is_some() {
        return Err(directory_error(
            "the directory belongs to a member: start from a backup in an empty directory".into(),
        ));
    }
    let mut admin_state = AdminState::open(file, false, unix_ms())?;
    if admin_state.last_entry() > 0 {
        return Err(directory_error(
            "the directory contains a state: start from a backup in an empty directory".into(),
        ));
    }
    admin_state.restore(file, &backup.state)?;
    let detail = format!(
        "a backup of the cluster {} at version {}",
        backup.cluster, backup.version
    );
    let (version, entry, state) = admin_state.recover(file, &[], version, detail, unix_ms())?;
    let rules = super::member_settings(cluster, &directory.display().to_string())?.rules;
    let name = cluster.instance.clone();
    let machine = StateMachine::bootstrap(
        new_cluster_id(),
        rules,
        name.clone(),
        first_member(cluster, 1),
        version,
        entry,
    );
    member_log
        .bootstrap_cluster(&machine, &name, state)
        .map_err(storage_error)?;
    print_done(&machine);
    Ok(())
}

fn first_member(cluster: &Cluster, id: u64) -> Member {
    Member {
        id,
        address: cluster.address.clone(),
        zone: cluster.zone.clone(),
        join_nonce: 0,
    }
}

fn print_done(machine: &StateMachine) {
    println!(
        "done            the new cluster is {}; start this instance",
        machine.cluster_id
    );
    println!("others          join it with empty state directories; their old ones are rejected");
}
