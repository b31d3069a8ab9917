//! Messages from the simulator, mapped to types of the decision module.

use balancer::{CellId, EndpointState, Key, LoadReport, Millis, Outcome, UpdateScope};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;

use super::fields::Fields;
use crate::error::LineError;

/// Prefix of a line that is an item of the list before it.
const LIST_ITEM_PREFIX: &str = "ITEM\t";
/// Text of an empty message between proxies.
pub(super) const EMPTY_GOSSIP: &str = "-";

/// Kind of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Beginning of a batch, with its time.
    BatchStart,
    /// End of a batch, which asks for the replies.
    BatchEnd,
    /// Message to a proxy.
    Message(MessageKind),
    /// Blank line, message of a later version, or item of its list.
    Ignored,
}

/// Kind of a message to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The proxy has started.
    Start,
    /// The proxy has crashed.
    Crash,
    /// The endpoint list was updated; its entries follow as list items.
    EndpointUpdate,
    /// A request has arrived.
    Request,
    /// The response to an attempt has begun.
    ResponseStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A client has disconnected.
    ClientDisconnected,
    /// A timer has expired.
    Timer,
    /// Another proxy has sent a message.
    Gossip,
}

impl LineKind {
    /// Returns the kind of a line by its name.
    pub fn from_name(name: &str) -> Self {
        match name {
            "FRAME" => LineKind::BatchStart,
            "GO" => LineKind::BatchEnd,
            "UP" => LineKind::Message(MessageKind::Start),
            "CRASH_NOW" => LineKind::Message(MessageKind::Crash),
            "TOPOLOGY" => LineKind::Message(MessageKind::EndpointUpdate),
            "ARRIVAL" => LineKind::Message(MessageKind::Request),
            "ESTABLISHED" => LineKind::Message(MessageKind::ResponseStarted),
            "OUTCOME" => LineKind::Message(MessageKind::AttemptEnded),
            "HANGUP" => LineKind::Message(MessageKind::ClientDisconnected),
            "DEADLINE_HIT" => LineKind::Message(MessageKind::Timer),
            "NOTE_FROM" => LineKind::Message(MessageKind::Gossip),
            _ => LineKind::Ignored,
        }
    }
}

/// Reads the time of a batch.
pub fn batch_time(fields: &Fields) -> Result<Millis, LineError> {
    fields.number("ts")
}

/// Reads the number of the proxy that a message is for.
pub fn proxy_id(fields: &Fields) -> Result<u64, LineError> {
    fields.integer("i")
}

/// Reads the name of the request that a message is about.
pub fn request_name<'a>(fields: &Fields<'a>) -> Result<&'a str, LineError> {
    fields.text("rid")
}

/// Reads the number of an attempt.
pub fn attempt(fields: &Fields) -> Result<u32, LineError> {
    Ok(fields.integer("sendNo")? as u32)
}

/// Reads the token of an expired timer.
pub fn timer_token(fields: &Fields) -> Result<u64, LineError> {
    fields.integer("keyBack")
}

/// Parameters with which a proxy starts.
pub struct StartParameters {
    /// Seed of the decision module.
    pub random_seed: u64,
    /// The platform's settings object.
    pub settings: Value,
}

impl StartParameters {
    /// Reads the parameters.
    pub fn from_fields(fields: &Fields) -> Result<Self, LineError> {
        let random_seed = fields.optional_integer("randomSeed")?.unwrap_or(0);
        let settings = fields.text("params")?;
        let settings = serde_json::from_str(settings).map_err(LineError::Settings)?;
        Ok(StartParameters {
            random_seed,
            settings,
        })
    }
}

/// Reads the number of list items that follow an endpoint update.
pub fn list_length(fields: &Fields) -> Result<u64, LineError> {
    Ok(fields.optional_integer("nodesList")?.unwrap_or(0))
}

/// Returns the fields of a list item as unparsed text.
pub fn list_item(line: &str) -> Result<&str, LineError> {
    line.strip_prefix(LIST_ITEM_PREFIX)
        .ok_or(LineError::NotAListItem)
}

/// Reads the scope of an endpoint update; `None` for a scope of a later protocol version.
pub fn update_scope(fields: &Fields) -> Result<Option<UpdateScope>, LineError> {
    Ok(match fields.text("scope")? {
        "delta" => Some(UpdateScope::Delta),
        "full" => Some(UpdateScope::Full),
        "cached" => Some(UpdateScope::Cached),
        "failed" => Some(UpdateScope::Failed),
        _ => None,
    })
}

/// Entry of the endpoint list.
pub struct EndpointEntry<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Zone, if known.
    pub zone: Option<&'a str>,
    /// Machine type, if known.
    pub machine_type: Option<&'a str>,
    /// Cell, if known.
    pub cell: Option<CellId>,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Weight; 1 if the entry has none.
    pub weight: f64,
    /// Time at which the endpoint started, if known.
    pub started_at: Option<Millis>,
}

impl<'a> EndpointEntry<'a> {
    /// Reads an entry.
    pub fn from_fields(fields: &Fields<'a>) -> Result<Self, LineError> {
        Ok(EndpointEntry {
            name: fields.text("backend")?,
            zone: fields.optional_text("failureDomain"),
            machine_type: fields.optional_text("shape"),
            cell: fields.optional_integer("cell")?.map(CellId),
            state: endpoint_state(fields.optional_text("state")),
            weight: fields.optional_number("rating")?.unwrap_or(1.0),
            started_at: fields.optional_number("since")?.filter(|time| *time > 0.0),
        })
    }
}

/// Maps a state. An unknown state counts as draining, so that the endpoint gets no new requests.
fn endpoint_state(state: Option<&str>) -> EndpointState {
    match state {
        Some("up") | None => EndpointState::Up,
        Some("removed") => EndpointState::Removed,
        Some(_) => EndpointState::Draining,
    }
}

/// A request that has arrived.
pub struct RequestArrival<'a> {
    /// Name of the request.
    pub name: &'a str,
    /// Index of its class in the settings.
    pub class: usize,
    /// Name of its tenant, if any.
    pub tenant: Option<&'a str>,
    /// Affinity key, if any.
    pub key: Option<Key>,
    /// Time for which the client waits.
    pub timeout: Millis,
    /// Expected work on a standard core, if known.
    pub expected_work: Option<Millis>,
}

impl<'a> RequestArrival<'a> {
    /// Reads a request whose class is one of `classes`.
    pub fn from_fields(fields: &Fields<'a>, classes: &[String]) -> Result<Self, LineError> {
        let name = request_name(fields)?;
        let class = fields.text("tierClass")?;
        let Some(class) = classes.iter().position(|known| known == class) else {
            let class = class.to_owned();
            return Err(LineError::UnknownClass { class });
        };
        Ok(RequestArrival {
            name,
            class,
            tenant: fields.optional_text("userGroup"),
            key: fields.optional_integer("nameKey")?.map(Key),
            timeout: fields.number("timeBudget")?,
            expected_work: fields.optional_number("predicted")?,
        })
    }
}

/// End of an attempt.
pub struct AttemptEnd {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Time since the attempt was sent.
    pub latency: Millis,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// True if the request is finished.
    pub request_finished: bool,
}

impl AttemptEnd {
    /// Reads the end of an attempt.
    pub fn from_fields(fields: &Fields) -> Result<Self, LineError> {
        Ok(AttemptEnd {
            attempt: attempt(fields)?,
            latency: fields.optional_number("latency")?.unwrap_or(0.0),
            outcome: outcome(fields.text("reason")?),
            request_finished: fields
                .optional_text("closed")
                .is_some_and(|closed| closed != "0"),
        })
    }
}

/// Maps an outcome. An unknown outcome counts as an error after which the request may have run.
fn outcome(reason: &str) -> Outcome {
    match reason {
        "completed" => Outcome::Served,
        "saturated" => Outcome::Overloaded,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NotSent,
        _ => Outcome::Error,
    }
}

/// Returns the text of the load report at an attempt's end, if there is one.
pub fn load_report_text<'a>(fields: &Fields<'a>) -> Option<&'a str> {
    fields.optional_text("feedback")
}

/// Parses a load report of `name:value` pairs; values of unknown names are ignored.
pub fn parse_load_report(text: &str) -> Result<LoadReport, LineError> {
    let mut report = LoadReport::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            let pair = pair.to_owned();
            return Err(LineError::NotALoadPair { pair });
        };
        match name {
            "busy_reqs" => report.in_flight = Some(load_value(pair, value)?),
            "pending" => report.queued = Some(load_value(pair, value)?),
            _ => {}
        }
    }
    Ok(report)
}

fn load_value(pair: &str, value: &str) -> Result<f64, LineError> {
    match value.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number.max(0.0)),
        _ => Err(LineError::NotALoadValue {
            pair: pair.to_owned(),
        }),
    }
}

/// Message from another proxy.
pub struct GossipMessage {
    /// Index of the sender.
    pub from: u32,
    /// Encoded message.
    pub bytes: Vec<u8>,
}

impl GossipMessage {
    /// Reads a message.
    pub fn from_fields(fields: &Fields) -> Result<Self, LineError> {
        let text = fields.text("msg")?;
        let bytes = if text == EMPTY_GOSSIP {
            Vec::new()
        } else {
            BASE64.decode(text)?
        };
        Ok(GossipMessage {
            bytes,
            from: fields.integer("who")? as u32,
        })
    }
}
