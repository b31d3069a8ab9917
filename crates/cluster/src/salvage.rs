//! What one member's log still tells when most of those who vote are lost for good, and the cluster that begins anew from it.

use raft::eraftpb::{ConfChangeV2, Entry, EntryType, HardState, Snapshot};

use crate::machine::{Command, Effect, Machine, Member, Version};
use crate::node::{Image, Refusal, Saved, read};

/// Versions are counted in eras of so many: a cluster that begins anew begins the next one. So none is used twice, as long as
/// fewer than so many were given since the survivor's newest.
pub const ERA: Version = 1_000_000;

/// What a log tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Salvage {
    /// What it comes to with all its entries.
    pub machine: Machine,
    /// The application's state at its snapshot, and how much was stored then.
    pub state: (String, u64),
    /// What is stored after that, in order: those that are agreed on, and those that may be.
    pub payloads: Vec<String>,
    /// The newest term, and the last entry.
    pub position: (u64, u64),
    /// Up to here it is known that entries were agreed on.
    pub agreed: u64,
    /// Entries after that: whoever led may have acknowledged them. They are taken.
    pub unsure: u64,
    /// A change that was under way and is given up.
    pub under_way: Option<String>,
}

/// Reads what a member's log tells.
///
/// # Errors
/// It can't be read, or its member has never heard of the cluster's state.
pub fn salvage(saved: &Saved) -> Result<Salvage, Refusal> {
    let nothing =
        || Refusal::Spoilt("this member has joined and has not got the cluster's state yet".into());
    let snapshot: Snapshot = read(saved.snapshot.as_deref().ok_or_else(nothing)?)?;
    let hard: HardState = read(saved.hard.as_deref().unwrap_or_default())?;
    let image: Image =
        serde_json::from_slice(snapshot.get_data()).map_err(|e| Refusal::Spoilt(e.to_string()))?;
    let mut machine = image.machine;
    let state = (image.state, machine.entry);
    let (mut payloads, mut last) = (Vec::new(), snapshot.get_metadata().index);
    for bytes in &saved.entries {
        let entry: Entry = read(bytes)?;
        last = entry.index;
        let command: Option<Command> = match entry.get_entry_type() {
            EntryType::EntryNormal => serde_json::from_slice(&entry.data).ok(),
            _ => read::<ConfChangeV2>(&entry.data)
                .ok()
                .and(serde_json::from_slice(&entry.context).ok()),
        };
        for effect in command.map(|c| machine.apply(&c)).unwrap_or_default() {
            if let Effect::Open(_, proposal) | Effect::Note(proposal) = effect {
                payloads.push(proposal.payload);
            }
        }
    }
    let agreed = hard.commit.max(snapshot.get_metadata().index);
    let under_way = machine.change.take().map(|c| c.proposal.id);
    Ok(Salvage {
        machine,
        state,
        payloads,
        position: (hard.term, last),
        agreed,
        unsure: last.saturating_sub(agreed),
        under_way,
    })
}

/// The first version of the era after this one's.
pub fn next_era(version: Version) -> Version {
    (version / ERA + 1) * ERA
}

impl Machine {
    /// A cluster of its own that goes on from this one, with one member: those of before belong to it no more.
    pub fn anew(
        &self,
        cluster: String,
        name: String,
        member: Member,
        version: Version,
        entry: u64,
    ) -> Self {
        let mut machine = Machine::found(cluster, self.rules.clone(), name, member, version, entry);
        machine.next_id = machine.next_id.max(self.next_id);
        machine
    }
}
