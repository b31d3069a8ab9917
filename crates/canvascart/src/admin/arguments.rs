//! Command-line arguments of `canvascart admin`.

use std::path::PathBuf;

use clap::{Subcommand, ValueEnum};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 something differs or would change (diff, --dry-run), 2 wrong usage or file, 3 the API can't be \
reached, 4 rejected, 5 conflicts with a concurrent change, 6 not permitted for the token, 7 not found, 8 the service has \
failed.

The token is read from --token-file or CANVASCART_TOKEN.";

#[derive(clap::Args)]
#[command(after_help = EXIT_CODES)]
pub struct AdminArguments {
    /// URL of the administration API.
    #[arg(
        long,
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:7070"
    )]
    pub url: String,
    /// File that contains the token.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Prints responses as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Only shows the changes, without making them.
    #[arg(long, global = true)]
    pub dry_run: bool,
    /// ETag of the revision to change; by default that of the current revision when the command starts.
    #[arg(long, global = true, value_name = "ETAG")]
    pub if_match: Option<String>,
    /// Idempotency key of this change: repeating it with the same key changes nothing.
    #[arg(long, global = true, value_name = "KEY")]
    pub idempotency_key: Option<String>,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Shows the status of the service and its tenants.
    Status,
    /// Manages tenants.
    #[command(subcommand)]
    Tenant(Tenant),
    /// Manages the servers of a tenant.
    #[command(subcommand)]
    Server(Server),
    /// Manages the classes of a tenant.
    #[command(subcommand)]
    Class(Class),
    /// Shows the limits of a tenant, or sets some of them.
    Limits {
        tenant: String,
        /// Limits to set, such as weight=2 or in-flight=512; in-flight= removes a limit.
        #[arg(value_name = "KEY=VALUE", value_parser = parse_limit)]
        set: Vec<(String, Option<String>)>,
    },
    /// Applies all tenants of a file as one version.
    Apply {
        /// File with `[[tenant]]` tables as in the configuration of `serve`, or the same in JSON; - for standard input.
        #[arg(short, long, value_name = "FILE")]
        file: PathBuf,
        /// Removes all other tenants.
        #[arg(long)]
        prune: bool,
    },
    /// Lists the stored versions, newest first.
    Versions {
        /// Only versions of this tenant.
        #[arg(long)]
        tenant: Option<String>,
        /// Maximum number of versions.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// Shows the differences between two versions.
    Diff {
        /// Compares revisions of this tenant.
        #[arg(long)]
        tenant: Option<String>,
        from: u64,
        /// The current one by default.
        to: Option<u64>,
    },
    /// Restores an earlier version as a new version.
    Rollback {
        /// Restores only this tenant, to one of its revisions.
        #[arg(long)]
        tenant: Option<String>,
        to: u64,
    },
    /// Lists the audit log, newest first.
    Audit {
        /// Only entries about this tenant.
        #[arg(long)]
        tenant: Option<String>,
        /// Maximum number of lines.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// Manages tokens.
    #[command(subcommand)]
    Token(Token),
    /// Prints new versions and the status of tenants as they change, one line each.
    Watch {
        /// Number of lines after which it ends.
        #[arg(long)]
        most: Option<usize>,
    },
}

#[derive(Subcommand)]
pub enum Tenant {
    /// Lists all tenants.
    List,
    /// Shows a tenant's document as JSON.
    Show { name: String },
    /// Adds a tenant, or replaces its document.
    Put {
        name: String,
        /// File with the document in JSON; - for standard input.
        #[arg(short, long, value_name = "FILE")]
        file: PathBuf,
    },
    /// Removes a tenant.
    Remove { name: String },
    /// Shows the status of its pool.
    Pool { name: String },
}

#[derive(Subcommand)]
pub enum Server {
    /// Lists the servers of a tenant.
    List { tenant: String },
    /// Adds or replaces a server.
    Put {
        tenant: String,
        name: String,
        #[arg(long, value_name = "HOST:PORT")]
        address: String,
        /// Approximate number of requests that it processes at once.
        #[arg(long, default_value_t = 1.0)]
        size: f64,
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        kind: Option<String>,
        /// Maximum number of concurrent attempts, of all tenants together.
        #[arg(long)]
        connections: Option<u64>,
        /// The server is warm: slow start does not apply.
        #[arg(long)]
        warm: bool,
    },
    /// Drains the server: it finishes its requests and gets no new ones.
    Drain { tenant: String, name: String },
    /// Ends the drain of the server.
    Resume { tenant: String, name: String },
    /// Removes the server.
    Remove { tenant: String, name: String },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Effect {
    Safe,
    Unsafe,
}

#[derive(Subcommand)]
pub enum Class {
    /// Lists the classes of a tenant.
    List { tenant: String },
    /// Adds or replaces a class.
    Put {
        tenant: String,
        name: String,
        #[arg(long)]
        effect: Effect,
        /// Latency objective, such as "300 ms".
        #[arg(long)]
        aim: String,
        /// Deadline, such as "1 s".
        #[arg(long)]
        deadline: String,
        #[arg(long, default_value_t = 1.0)]
        worth: f64,
        #[arg(long, default_value = "0 %")]
        late_worth: String,
    },
    /// Removes the class.
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
    /// Lists all tokens.
    List,
    /// Creates a token and prints it; it can't be shown again.
    Add {
        /// Display name of the token.
        name: String,
        #[arg(long)]
        role: Role,
        /// Restricts the token to this tenant.
        #[arg(long)]
        tenant: Option<String>,
        /// Seconds after which the token expires.
        #[arg(long, value_name = "SECONDS")]
        expires_in: Option<u64>,
    },
    /// Replaces the secret of a token and prints the token.
    Rotate {
        id: String,
        /// Seconds for which the previous secret stays valid.
        #[arg(long, value_name = "SECONDS", default_value_t = 0)]
        overlap: u64,
    },
    /// Revokes a token immediately.
    Revoke { id: String },
}

fn parse_limit(text: &str) -> Result<(String, Option<String>), String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok((
        key.to_owned(),
        (!value.is_empty()).then(|| value.to_owned()),
    ))
}
