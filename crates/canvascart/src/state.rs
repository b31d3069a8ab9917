//! `canvascart store`: the durable state of a `serve` that does not run.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write as _, stdin, stdout};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use config_store::{Author, Retention, Store, StoreError, Transaction};

/// The store is not there, damaged, open elsewhere, or another program's.
const OF_NO_USE: u8 = 3;

const CODES: &str = "Exit codes: 0 done, 2 wrong usage, 3 the store is of no use: the message says why and what to do.";

#[derive(clap::Subcommand)]
#[command(after_help = CODES)]
pub enum Command {
    /// Looks at all that a store holds.
    Check {
        /// The directory that `[state]` names.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
    },
    /// Writes all that a store holds as text, a JSON object a line.
    Export {
        /// The directory that `[state]` names.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
        /// The file to write; standard output without it.
        #[arg(short, long, value_name = "FILE")]
        output: Option<PathBuf>,
    },
    /// Makes a store of what was exported, in a directory that has none.
    Import {
        /// The directory that `[state]` names.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
        /// The file to read; - for standard input.
        file: PathBuf,
    },
    /// Makes an operator's token and prints it, where all others are lost.
    Token {
        /// The directory that `[state]` names.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
    },
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(command: &Command) -> Result<u8, String> {
    let done = match command {
        Command::Check { state } => check(state),
        Command::Export { state, output } => export(state, output.as_deref()),
        Command::Import { state, file } => import(state, file),
        Command::Token { state } => token(state),
    };
    Ok(done.map_or_else(
        |e| {
            eprintln!("canvascart: {e}");
            OF_NO_USE
        },
        |()| 0,
    ))
}

fn check(directory: &Path) -> Result<(), StoreError> {
    let (mut store, state) = Store::open_existing(directory, Retention::default())?;
    store.verify()?;
    let mut documents = 0;
    store.visit_documents(&mut |_, _, _| documents += 1)?;
    println!(
        "{}: good: version {}, {} documents, {} tokens",
        directory.display(),
        state.version,
        documents,
        state.tokens.len()
    );
    Ok(())
}

fn export(directory: &Path, output: Option<&Path>) -> Result<(), StoreError> {
    let (store, _) = Store::open_existing(directory, Retention::default())?;
    match output {
        Some(file) => {
            let mut to = BufWriter::new(File::create(file)?);
            config_store::export(&store, &mut to)?;
            to.into_inner().map_err(|e| e.into_error())?.sync_all()?;
        }
        None => {
            let mut to = BufWriter::new(stdout().lock());
            config_store::export(&store, &mut to)?;
            to.flush()?;
        }
    }
    Ok(())
}

fn import(directory: &Path, file: &Path) -> Result<(), StoreError> {
    let (mut store, _) = Store::open(directory, Retention::default())?;
    if file == Path::new("-") {
        config_store::import(&mut store, stdin().lock())
    } else {
        config_store::import(&mut store, BufReader::new(File::open(file)?))
    }
}

fn token(directory: &Path) -> Result<(), StoreError> {
    let (mut store, state) = Store::open_existing(directory, Retention::default())?;
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let (id, whole, token) = ::admin_api::new_operator_token("canvascart store token", now_ms)
        .map_err(|p| StoreError::Unavailable(p.detail))?;
    store.commit(&Transaction {
        base_entry: state.last_entry,
        at_ms: now_ms,
        author: Author {
            id: "store".into(),
            name: "canvascart store".into(),
        },
        action: "token.add".into(),
        subject: None,
        detail: Some(format!("token {id}")),
        edits: Vec::new(),
        tokens: vec![(id, Some(token))],
        reply: None,
        minimum_version: None,
    })?;
    println!("{whole}");
    Ok(())
}
