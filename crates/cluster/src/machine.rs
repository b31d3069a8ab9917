//! What the agreed log comes to: the members, the version in effect, and the change under way. Each instance applies the same
//! commands in the same order and so holds the same.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// A span or a moment of some clock, in microseconds.
pub type Micros = u64;
/// A version of the policy. Only what took hold has a number, and none is given twice.
pub type Version = u64;

/// Outcomes of changes that are remembered for those who ask again.
const OUTCOMES: usize = 1024;
/// Reasons that are kept of a change that is given up.
const REASONS: usize = 64;

/// What an instance that hears from nobody does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenCutOff {
    /// Its lease runs out, and it refuses; changes go on without it.
    #[default]
    Refuse,
    /// It serves on; a change waits for it, and is given up at its deadline.
    Serve,
}

/// What all instances of a cluster go by, agreed on when it is founded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How long an instance decides by itself after it was last heard.
    pub lease: Micros,
    /// The same for one that has said that it can take a change under way: so long at most the others wait for it, deciding
    /// nothing, if it stands still just then. It should outlast the choice of a new leader.
    pub short: Micros,
    /// No clock runs faster or slower than true time by more than this part of a million.
    pub drift: u32,
    /// A change that is not decided within this span is given up.
    pub deadline: Micros,
    /// What an instance that hears from nobody does.
    pub when_cut_off: WhenCutOff,
    /// How many members have a vote.
    pub voters: usize,
}

impl Rules {
    /// How long a leader waits by its own clock until a span has surely passed by another: if the other clock runs slow by the
    /// drift and its own fast, both still meet. A microsecond more for what rounding takes.
    pub fn surely(&self, span: Micros) -> Micros {
        let (more, less) = (
            1_000_000 + u64::from(self.drift),
            1_000_000 - u64::from(self.drift.min(999_999)),
        );
        (u128::from(span) * u128::from(more) / u128::from(less)) as Micros + 1
    }
}

/// An instance that belongs to the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number in the log's library. One that comes back without its disk gets another, so that it never votes with a
    /// forgotten vote.
    pub id: u64,
    /// Where it listens for the others.
    pub address: String,
    /// Where it stands.
    pub zone: String,
    /// What it drew when it joined: who asks again with the same has not lost its disk meanwhile.
    #[serde(default)]
    pub drawn: u64,
}

/// What is agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// A member comes, or comes again under its name without its disk.
    Join {
        /// Its name.
        name: String,
        /// What it is.
        member: Member,
    },
    /// A member has left, or an operator has removed it.
    Leave {
        /// Its name.
        name: String,
        /// The number that it had.
        id: u64,
    },
    /// A change is proposed; each instance checks it against what it can do.
    Propose(Proposal),
    /// All can do it: nothing is decided under the present version from here on.
    Close {
        /// The change.
        change: String,
    },
    /// Nobody decides under the former version any more: the new one is in effect.
    Open {
        /// The change.
        change: String,
    },
    /// It takes hold nowhere.
    GiveUp {
        /// The change.
        change: String,
        /// Who could not take it, and why.
        why: Vec<Reason>,
    },
    /// Something is stored everywhere that no request is decided by, such as a token.
    Note(Proposal),
}

/// What is to be agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Its id, drawn by who asked for it: the same call, made again, has the same one.
    pub id: String,
    /// How much was stored when it was made; it fits nothing else.
    pub base: u64,
    /// What it is; the instances know how to read it.
    pub payload: String,
}

/// Why a change was given up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reason {
    /// The instance that could not take it.
    pub by: String,
    /// Why.
    pub why: String,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Instances check it, and still decide under the present version.
    Checking,
    /// It will take hold; instances end deciding under the present version.
    Closing,
}

/// A change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// What is to be agreed on.
    pub proposal: Proposal,
    /// How far it is.
    pub phase: Phase,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is in effect, as this version.
    InEffect(Version),
    /// It is stored.
    Stored,
    /// It took hold nowhere.
    GivenUp(Vec<Reason>),
    /// Something else was stored after it was made, or another change was under way.
    Overtaken,
}

/// What an instance has to do after a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Check a change, and tell whether it can be taken.
    Check(Proposal),
    /// End deciding under the present version, and tell.
    Close(Proposal),
    /// Go over to a version.
    Open(Version, Proposal),
    /// Store what concerns no request.
    Note(Proposal),
    /// This became of a change, whoever asked for it.
    Ended(String, Outcome),
    /// Members have come or gone.
    Members,
}

/// What the log comes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    /// The cluster's own id, drawn at random when it was founded, so that two clusters of one name know each other apart.
    pub cluster: String,
    /// What all go by.
    pub rules: Rules,
    /// The members by name.
    pub members: BTreeMap<String, Member>,
    /// The number that the next member gets; none is given twice.
    pub next_id: u64,
    /// The version in effect.
    pub version: Version,
    /// How many changes and notes are stored.
    pub entry: u64,
    /// The change under way.
    pub change: Option<Change>,
    /// What became of the last ones, oldest first.
    outcomes: VecDeque<(String, Outcome)>,
}

impl Machine {
    /// A cluster with its first member, which brings so much.
    pub fn found(
        cluster: String,
        rules: Rules,
        name: String,
        member: Member,
        version: Version,
        entry: u64,
    ) -> Self {
        let next_id = member.id + 1;
        Machine {
            cluster,
            rules,
            members: BTreeMap::from([(name, member)]),
            next_id,
            version,
            entry,
            change: None,
            outcomes: VecDeque::new(),
        }
    }

    /// Applies a command. One that does not fit what is there changes nothing: it was overtaken by others.
    pub fn apply(&mut self, command: &Command) -> Vec<Effect> {
        match command {
            Command::Join { name, member } => {
                self.members.insert(name.clone(), member.clone());
                self.next_id = self.next_id.max(member.id + 1);
                vec![Effect::Members]
            }
            Command::Leave { name, id } => {
                if self.members.get(name).is_some_and(|m| m.id == *id) {
                    self.members.remove(name);
                }
                vec![Effect::Members]
            }
            Command::Propose(proposal) => {
                if self.outcome(&proposal.id).is_some() || self.is_under_way(&proposal.id) {
                    return Vec::new(); // said twice
                }
                if self.change.is_some() || proposal.base != self.entry {
                    return self.end(&proposal.id, Outcome::Overtaken);
                }
                self.change = Some(Change {
                    proposal: proposal.clone(),
                    phase: Phase::Checking,
                });
                vec![Effect::Check(proposal.clone())]
            }
            Command::Close { change } => match &mut self.change {
                Some(c) if c.proposal.id == *change && c.phase == Phase::Checking => {
                    c.phase = Phase::Closing;
                    vec![Effect::Close(c.proposal.clone())]
                }
                _ => Vec::new(),
            },
            Command::Open { change } => {
                let Some(c) = self.take(change, Phase::Closing) else {
                    return Vec::new();
                };
                self.version += 1;
                self.entry += 1;
                let mut effects = vec![Effect::Open(self.version, c.proposal)];
                effects.extend(self.end(change, Outcome::InEffect(self.version)));
                effects
            }
            Command::GiveUp { change, why } => match self.take(change, Phase::Checking) {
                Some(_) => {
                    let why = why.iter().take(REASONS).cloned().collect();
                    self.end(change, Outcome::GivenUp(why))
                }
                None => Vec::new(),
            },
            Command::Note(proposal) => {
                if self.outcome(&proposal.id).is_some() {
                    return Vec::new();
                }
                if self.change.is_some() || proposal.base != self.entry {
                    return self.end(&proposal.id, Outcome::Overtaken);
                }
                self.entry += 1;
                let mut effects = vec![Effect::Note(proposal.clone())];
                effects.extend(self.end(&proposal.id, Outcome::Stored));
                effects
            }
        }
    }

    /// Takes a change that is so far.
    fn take(&mut self, change: &str, phase: Phase) -> Option<Change> {
        self.change
            .take_if(|c| c.proposal.id == *change && c.phase == phase)
    }

    fn end(&mut self, id: &str, outcome: Outcome) -> Vec<Effect> {
        if self.outcomes.len() >= OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((id.to_owned(), outcome.clone()));
        vec![Effect::Ended(id.to_owned(), outcome)]
    }

    /// What became of a change.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(known, _)| known == id)
            .map(|(_, outcome)| outcome)
    }

    /// Whether this change is under way.
    pub fn is_under_way(&self, id: &str) -> bool {
        self.change.as_ref().is_some_and(|c| c.proposal.id == id)
    }

    /// The name of a member.
    pub fn name_of(&self, id: u64) -> Option<&str> {
        self.members
            .iter()
            .find(|(_, m)| m.id == id)
            .map(|(name, _)| name.as_str())
    }
}
