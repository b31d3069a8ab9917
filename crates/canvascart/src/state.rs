//! `canvascart store`: operations on the durable state of a `serve` that is not running.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write as _, stdin, stdout};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use config_store::{Author, Retention, Store, StoreError, Transaction};

/// Exit code: the store is missing, damaged, open in another process, or another program's.
const STORE_UNUSABLE: u8 = 3;

const EXIT_CODES: &str = "Exit codes: 0 done, 2 wrong usage, 3 the store can't be used; the message says why and what to do.";

#[derive(clap::Subcommand)]
#[command(after_help = EXIT_CODES)]
pub enum Command {
    /// Checks the whole content of a store.
    Check {
        /// State directory, as in `[state]` of the configuration.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
    },
    /// Exports the content of a store, one JSON object per line.
    Export {
        /// State directory, as in `[state]` of the configuration.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
        /// Output file; standard output by default.
        #[arg(short, long, value_name = "FILE")]
        output: Option<PathBuf>,
    },
    /// Creates a store from an export, in a directory without a store.
    Import {
        /// State directory, as in `[state]` of the configuration.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
        /// Input file; - for standard input.
        file: PathBuf,
    },
    /// Creates an operator token and prints it, for use when all others are lost.
    Token {
        /// State directory, as in `[state]` of the configuration.
        #[arg(long, value_name = "DIRECTORY")]
        state: PathBuf,
    },
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(command: &Command) -> Result<u8, String> {
    let result = match command {
        Command::Check { state } => check(state),
        Command::Export { state, output } => export(state, output.as_deref()),
        Command::Import { state, file } => import(state, file),
        Command::Token { state } => create_token(state),
    };
    Ok(result.map_or_else(
        |e| {
            eprintln!("canvascart: {e}");
            STORE_UNUSABLE
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
            let mut writer = BufWriter::new(File::create(file)?);
            config_store::export(&store, &mut writer)?;
            writer
                .into_inner()
                .map_err(|e| e.into_error())?
                .sync_all()?;
        }
        None => {
            let mut writer = BufWriter::new(stdout().lock());
            config_store::export(&store, &mut writer)?;
            writer.flush()?;
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

fn create_token(directory: &Path) -> Result<(), StoreError> {
    let (mut store, state) = Store::open_existing(directory, Retention::default())?;
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let (id, secret_token, token) =
        ::admin_api::new_operator_token("canvascart store token", now_ms)
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
    println!("{secret_token}");
    Ok(())
}
