//! What `canvascart admin` is told on its command line.

use std::path::PathBuf;

use clap::{Subcommand, ValueEnum};

const CODES: &str = "Exit codes: 0 done, 1 something differs or would change (diff, --dry-run), 2 wrong usage or file, 3 the API can't be \
reached, 4 turned down, 5 changed by somebody else meanwhile, 6 the token has no right to it, 7 not there, 8 the service has \
failed.

The token comes from --token-file, or from CANVASCART_TOKEN.";

#[derive(clap::Args)]
#[command(after_help = CODES)]
pub struct Arguments {
    /// Where the API is.
    #[arg(
        long,
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:7070"
    )]
    pub url: String,
    /// A file with the token.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Prints answers as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Only tells what would change.
    #[arg(long, global = true)]
    pub dry_run: bool,
    /// The revision that a change is meant for; without it, the present one when the call begins.
    #[arg(long, global = true, value_name = "ETAG")]
    pub if_match: Option<String>,
    /// A name for this change: a repetition with the same name changes nothing.
    #[arg(long, global = true, value_name = "KEY")]
    pub idempotency_key: Option<String>,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// How the service and its tenants fare.
    Status,
    /// Tenants.
    #[command(subcommand)]
    Tenant(Tenant),
    /// Servers of a tenant.
    #[command(subcommand)]
    Server(Server),
    /// Classes of a tenant.
    #[command(subcommand)]
    Class(Class),
    /// What a tenant may have: shows it, or sets what is named.
    Limits {
        tenant: String,
        /// What to set, such as weight=2 or in-flight=512; in-flight= takes a cap away.
        #[arg(value_name = "KEY=VALUE", value_parser = setting)]
        set: Vec<(String, Option<String>)>,
    },
    /// Makes the tenants of a file what it says, as one version.
    Apply {
        /// A file with `[[tenant]]` tables as `serve` has them, or the same in JSON; - for standard input.
        #[arg(short, long, value_name = "FILE")]
        file: PathBuf,
        /// All other tenants go.
        #[arg(long)]
        prune: bool,
    },
    /// The versions that are kept, the newest first.
    Versions {
        /// Of this tenant alone.
        #[arg(long)]
        tenant: Option<String>,
        /// So many at most.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// What differs between two versions.
    Diff {
        /// Between revisions of this tenant.
        #[arg(long)]
        tenant: Option<String>,
        from: u64,
        /// The present one without it.
        to: Option<u64>,
    },
    /// Goes back to a version, as a new one.
    Rollback {
        /// This tenant alone, to one of its revisions.
        #[arg(long)]
        tenant: Option<String>,
        to: u64,
    },
    /// Who changed what, the newest first.
    Audit {
        /// What concerns this tenant alone.
        #[arg(long)]
        tenant: Option<String>,
        /// So many lines at most.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// Tokens.
    #[command(subcommand)]
    Token(Token),
    /// Prints versions as they take effect, and how tenants fare, a line each.
    Watch {
        /// Ends after so many lines.
        #[arg(long)]
        most: Option<usize>,
    },
}

#[derive(Subcommand)]
pub enum Tenant {
    /// All tenants.
    List,
    /// A tenant's document, as JSON.
    Show { name: String },
    /// Adds a tenant, or replaces its document, as the file says.
    Put {
        name: String,
        /// The document, in JSON; - for standard input.
        #[arg(short, long, value_name = "FILE")]
        file: PathBuf,
    },
    /// Takes a tenant away.
    Remove { name: String },
    /// How its pool fares.
    Pool { name: String },
}

#[derive(Subcommand)]
pub enum Server {
    /// All servers of a tenant.
    List { tenant: String },
    /// Adds a server, or replaces it.
    Put {
        tenant: String,
        name: String,
        #[arg(long, value_name = "HOST:PORT")]
        address: String,
        /// Requests that it works on at once, about.
        #[arg(long, default_value_t = 1.0)]
        size: f64,
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        kind: Option<String>,
        /// Attempts that it takes at once, of all tenants that use it.
        #[arg(long)]
        connections: Option<u64>,
        /// It has been running for long.
        #[arg(long)]
        warm: bool,
    },
    /// The server ends what it has and gets nothing new.
    Drain { tenant: String, name: String },
    /// The server takes new work again.
    Resume { tenant: String, name: String },
    /// Takes the server away.
    Remove { tenant: String, name: String },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Effect {
    Safe,
    Unsafe,
}

#[derive(Subcommand)]
pub enum Class {
    /// All classes of a tenant.
    List { tenant: String },
    /// Adds a class, or replaces it.
    Put {
        tenant: String,
        name: String,
        #[arg(long)]
        effect: Effect,
        /// Such as "300 ms".
        #[arg(long)]
        aim: String,
        /// Such as "1 s".
        #[arg(long)]
        deadline: String,
        #[arg(long, default_value_t = 1.0)]
        worth: f64,
        #[arg(long, default_value = "0 %")]
        late_worth: String,
    },
    /// Takes the class away.
    Remove { tenant: String, name: String },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Role {
    Operator,
    TenantAdmin,
    ReadOnly,
}

#[derive(Subcommand)]
pub enum Token {
    /// All tokens.
    List,
    /// Makes a token and prints it, this once.
    Add {
        /// What people call it.
        name: String,
        #[arg(long)]
        role: Role,
        /// The one tenant that it is for.
        #[arg(long)]
        tenant: Option<String>,
        /// It ends after so many seconds.
        #[arg(long, value_name = "SECONDS")]
        expires_in: Option<u64>,
    },
    /// Gives a token another secret and prints it.
    Rotate {
        id: String,
        /// The former secret stays good for so many seconds.
        #[arg(long, value_name = "SECONDS", default_value_t = 0)]
        overlap: u64,
    },
    /// Ends a token at once.
    Revoke { id: String },
}

fn setting(text: &str) -> Result<(String, Option<String>), String> {
    let (key, value) = text.split_once('=').ok_or("it is KEY=VALUE")?;
    Ok((
        key.to_owned(),
        (!value.is_empty()).then(|| value.to_owned()),
    ))
}
