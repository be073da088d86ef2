//! What the platform tells a gateway at its start: the environment and the configuration file.

use crate::net::discovery::EndpointList;
use crate::net::log::log;
use irisrouter::platform_settings::{PlatformSettings, OPTIONAL};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors that a gateway may hold where the configuration does not say.
const SOCKETS: usize = 1024;
/// Memory, likewise.
const MEMORY_MB: usize = 192;
/// The variable that a reread file overrides.
const DISCOVERY: &str = "BALANCER_DISCOVERY";
const CONSOLE: &str = "BALANCER_CONSOLE";
/// Set where the platform holds the clients' listening socket, and each process inherits it.
const PASSED: &str = "BALANCER_PASSED_SOCKET";

/// The folder that they share, and the name of their meeting place in it.
const FOLDER: &str = "TMPDIR";
const MEET: &str = "irisrouter.sock";

/// All that the program uses of its configuration.
pub struct Config {
    /// The gateway's name, for its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub console: Option<SocketAddr>,
    /// The clients' listening socket is not bound here but inherited, as the first descriptor that can be.
    pub passed: bool,
    /// Then, where the processes of this gateway meet, if they share a folder.
    pub meet: Option<PathBuf>,
    /// The other gateways, where they can be told anything.
    pub peers: Option<Peers>,
    /// The operators' file, or its defaults.
    pub operators: crate::net::admin::operator_config::Operators,
    /// Descriptors that the program may hold.
    pub sockets: usize,
    /// Memory that it may use, in bytes.
    pub memory: usize,
    /// The settings object.
    pub loaded: PlatformSettings,
    /// The file as it was read, and where.
    pub file: File,
    path: String,
}

/// Where gateways hear one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where this one listens.
    pub listen: SocketAddr,
    /// Where to send what all are to hear.
    pub all: SocketAddr,
    /// From where each one sends, by its number.
    pub each: Vec<SocketAddr>,
    /// This one's number.
    pub me: u32,
}

/// The configuration file.
#[derive(Deserialize)]
pub struct File {
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Value,
    peers_all: Option<String>,
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    /// The list of database hosts as this gateway last had it.
    #[serde(default)]
    pub known: EndpointList,
    settings: Value,
}

#[derive(Default, Deserialize, PartialEq)]
struct Limits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// What a reread file changes in a running gateway, and what it does not.
pub struct Reloaded {
    /// Where discovery answers from now on, if the file says so.
    pub discovery: Option<SocketAddr>,
    /// The settings that hold from now on.
    pub loaded: PlatformSettings,
    /// Parts of the file that differ and wait for the next start.
    pub waiting: Vec<&'static str>,
}

impl Config {
    /// Clients mark their repeats, as the settings say; any may be one where they do not.
    pub fn marks_repeats(&self) -> bool {
        self.file
            .settings
            .pointer("/Clients/MarksRetry")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// Reads the environment and the file that it names.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
        let file = File::read(&path)?;
        let at = |why| format!("{path}: {why}");
        let set = |name: &str| variable(name).filter(|v| !v.is_empty());
        let loaded = file.loaded().map_err(at)?;
        let operators = crate::net::admin::operator_config::load(&variable)?;
        let members = operators.membership.enabled && loaded.peers_allowed;
        Ok(Config {
            name: variable("BALANCER_NAME").unwrap_or_else(|| file.name.clone()),
            listen: address(
                "BALANCER_LISTEN",
                set("BALANCER_LISTEN").as_ref().or(file.listen.as_ref()),
            )
            .map_err(at)?,
            discovery: address(
                DISCOVERY,
                set(DISCOVERY).as_ref().or(file.discovery.as_ref()),
            )
            .map_err(at)?,
            console: set(CONSOLE)
                .as_ref()
                .or(file.console.as_ref())
                .map(|text| address(CONSOLE, Some(text)))
                .transpose()
                .map_err(at)?,
            passed: set(PASSED).is_some(),
            meet: set(FOLDER)
                .filter(|_| set(PASSED).is_some())
                .map(|folder| Path::new(&folder).join(MEET)),
            peers: file.peers(&loaded, members),
            operators,
            sockets: file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS),
            memory: file.limits.memory_mb.unwrap_or(MEMORY_MB).min(MEMORY_MB) << 20,
            loaded,
            file,
            path,
        })
    }

    /// Reads the same file again. Its word on discovery wins over the environment's, which is as old as the
    /// process. All of it is checked first: a file that could start no gateway, or lacks what the last one had,
    /// changes nothing.
    pub fn reload(&mut self) -> Result<Reloaded, String> {
        let (old, mut new) = (&self.file, File::read(&self.path)?);
        let at = |why: String| format!("{}: {why}", self.path);
        let named = [
            ("name", old.name.is_empty() || !new.name.is_empty()),
            ("listen", old.listen.is_none() || new.listen.is_some()),
            (
                "discovery",
                old.discovery.is_none() || new.discovery.is_some(),
            ),
            (
                "limits",
                old.limits == Limits::default() || new.limits != Limits::default(),
            ),
        ];
        let missing = named.iter().find(|n| !n.1).map(|n| n.0.to_string());
        if let Some(key) = missing.or_else(|| lacks(&old.settings, &new.settings)) {
            return Err(at(format!("{key} is missing")));
        }
        let loaded = new.loaded().map_err(at)?;
        let named = new
            .discovery
            .as_ref()
            .map(|text| address(DISCOVERY, Some(text)));
        let discovery = named.transpose().map_err(at)?;
        let parts = [
            ("name", old.name != new.name),
            ("listen", old.listen != new.listen),
            ("console", old.console != new.console),
            ("seed", old.seed != new.seed),
            ("limits", old.limits != new.limits),
            ("known", old.known != new.known),
        ];
        let waiting = parts.into_iter().filter(|p| p.1).map(|p| p.0).collect();
        self.file.settings = std::mem::take(&mut new.settings);
        Ok(Reloaded {
            discovery,
            loaded,
            waiting,
        })
    }
}

impl File {
    fn read(path: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
        serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// The other gateways. A file in which they can't be read starts a gateway that shares nothing, and says so.
    fn peers(&self, loaded: &PlatformSettings, members: bool) -> Option<Peers> {
        let (true, Some(listen), Some(all)) =
            (loaded.share || members, &self.peer_listen, &self.peers_all)
        else {
            return None;
        };
        let read = || -> Result<Peers, String> {
            let each: Vec<SocketAddr> =
                Vec::<SocketAddr>::deserialize(&self.peers).map_err(|e| format!("peers: {e}"))?;
            let me = loaded.me;
            if me as usize >= each.len() || each.len() != loaded.settings.gateway_count as usize {
                return Err(format!(
                    "peers: {} addresses for {} gateways, this one's number is {me}",
                    each.len(),
                    loaded.settings.gateway_count
                ));
            }
            let listen = address("peer_listen", Some(listen))?;
            Ok(Peers {
                listen,
                all: address("peers_all", Some(all))?,
                each,
                me,
            })
        };
        read()
            .map_err(|why| log!("nothing is shared with other gateways: {why}"))
            .ok()
    }

    fn loaded(&self) -> Result<PlatformSettings, String> {
        let seed =
            u64::from_str_radix(&self.seed, 16).map_err(|e| format!("seed {}: {e}", self.seed))?;
        PlatformSettings::parse(&self.settings, seed).map_err(|e| format!("settings: {e}"))
    }
}

/// A key that the old value has and the new one lacks, at any depth. Each entry of a list of objects has the keys of
/// the first one. Danger: a file that was cut or edited wrongly may still be JSON, and have a default for what is gone.
fn lacks(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            old.iter().find_map(|(key, was)| match new.get(key) {
                None | Some(Value::Null) => {
                    (!OPTIONAL.contains(&&**key) && !was.is_null()).then(|| key.clone())
                }
                Some(is) => lacks(was, is),
            })
        }
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first().filter(|v| v.is_object())?;
            new.iter().find_map(|is| lacks(first, is))
        }
        (Value::Object(_) | Value::Array(_), _) => Some("an object or a list".into()),
        _ => None,
    }
}

fn address(name: &str, text: Option<&String>) -> Result<SocketAddr, String> {
    let text =
        text.ok_or_else(|| format!("no address: neither {name} nor the configuration has one"))?;
    text.parse().map_err(|e| format!("{name}: {text}: {e}"))
}
