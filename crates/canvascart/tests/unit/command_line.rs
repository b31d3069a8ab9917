//! Checks of the command line by the parser's own assertions, which are compiled in only with debug assertions.
use clap::{Arg, Command, CommandFactory};

use super::CommandLine;

/// Guards against a command that panics at its start in a development build, as two argument groups had one name.
#[test]
fn the_command_line_passes_the_checks_of_the_parser() {
    CommandLine::command().debug_assert();
}

#[test]
#[should_panic(expected = "must be unique")]
fn the_checks_of_the_parser_are_active_in_this_profile() {
    let argument = || Arg::new("name").long("name");
    Command::new("test")
        .arg(argument())
        .arg(argument())
        .debug_assert();
}
