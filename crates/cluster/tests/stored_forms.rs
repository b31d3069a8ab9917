//! Guards against incompatible changes of stored data: commands, states and snapshots are serialized as recorded from the previous
//! version, and can be read from that form.
use cluster::command::{AbortReason, Command, Member, Proposal};
use cluster::persistence::PersistedState;
use cluster::rules::{PartitionPolicy, Rules};
use cluster::state_machine::StateMachine;

const RECORDED: &str = include_str!("fixtures/stored_forms.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn rules(partition_policy: PartitionPolicy) -> Rules {
    Rules {
        lease: 15_000_000,
        change_lease: 3_000_000,
        clock_drift_ppm: 20_000,
        change_deadline: 60_000_000,
        partition_policy,
        voters: 3,
    }
}

fn member(id: u64) -> Member {
    Member {
        id,
        address: format!("127.0.0.1:{id}"),
        zone: "east".into(),
        join_nonce: id * 7,
    }
}

fn proposal(id: &str, base: u64) -> Proposal {
    Proposal {
        id: id.into(),
        base_revision: base,
        payload: "{\"x\":1}".into(),
    }
}

fn commands() -> Vec<Command> {
    let reasons = vec![AbortReason {
        member: "b".into(),
        detail: "no listener".into(),
    }];
    vec![
        Command::AddMember {
            name: "b".into(),
            member: member(2),
        },
        Command::AddMember {
            name: "c".into(),
            member: member(3),
        },
        Command::Propose(proposal("c1", 4)),
        Command::Fence {
            change: "c1".into(),
        },
        Command::Activate {
            change: "c1".into(),
        },
        Command::Propose(proposal("c2", 5)),
        Command::Abort {
            change: "c2".into(),
            reasons,
        },
        Command::Store(proposal("n1", 5)),
        Command::Propose(proposal("c3", 1)),
        Command::RemoveMember {
            name: "c".into(),
            id: 3,
        },
        Command::Propose(proposal("c4", 6)),
    ]
}

fn state_machine() -> StateMachine {
    StateMachine::bootstrap(
        "00ff".into(),
        rules(PartitionPolicy::Reject),
        "a".into(),
        member(1),
        9,
        4,
    )
}

#[test]
fn commands_states_and_snapshots_are_serialized_as_recorded() {
    let mut written = String::new();
    let mut state_machine = state_machine();
    for command in commands() {
        let text = serde_json::to_string(&command).unwrap();
        assert_eq!(serde_json::from_str::<Command>(&text).unwrap(), command);
        state_machine.apply(&command);
        written += &format!("command {text}\n");
    }
    written += &format!("state {}\n", serde_json::to_string(&state_machine).unwrap());
    written += &format!(
        "rules {}\n",
        serde_json::to_string(&rules(PartitionPolicy::Serve)).unwrap()
    );
    let persisted = PersistedState::bootstrap(&state_machine, "the service's state".into(), 1);
    written += &format!("snapshot {}\n", hex(&persisted.snapshot.unwrap()));
    written += &format!("hard {}\n", hex(&persisted.hard_state.unwrap()));
    assert_eq!(
        written, RECORDED,
        "serialized forms differ from the recorded ones; they are now:\n{written}"
    );
}

#[test]
fn recorded_commands_produce_the_recorded_state() {
    let mut state_machine = state_machine();
    let lines_of = |kind: &str| {
        RECORDED
            .lines()
            .filter_map(|l| l.strip_prefix(kind))
            .collect::<Vec<_>>()
    };
    for text in lines_of("command ") {
        state_machine.apply(&serde_json::from_str(text).unwrap());
    }
    assert_eq!(lines_of("command ").len(), commands().len());
    let recorded: StateMachine = serde_json::from_str(lines_of("state ")[0]).unwrap();
    assert_eq!(state_machine, recorded);
}
