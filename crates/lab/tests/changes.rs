//! Violations of `canvascart lab changes` print the outcome of a change; its names are read by users of the command.

use std::time::Duration;

use lab::service::changes::ChangeOutcome;

#[test]
fn outcomes_are_printed_under_their_published_names() {
    let printed = [
        ChangeOutcome::Acknowledged(Duration::from_secs(1)),
        ChangeOutcome::Abandoned,
        ChangeOutcome::Unknown,
    ]
    .map(|outcome| format!("{outcome:?}"));
    assert_eq!(printed, ["Done(1s)", "GivenUp", "Unknown"]);
}
