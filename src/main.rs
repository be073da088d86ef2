//! A gateway in front of sets of a primary and its replicas: start, signals, wiring.

#![forbid(unsafe_code)]

mod net;

use irisrouter::api::Event;
use irisrouter::decide::Router;
use irisrouter::settings::Loaded;
use listenfd::ListenFd;
use net::backend::{Backend, SWEEP};
use net::buffers::Pool;
use net::classes::Classes;
use net::config::Config;
use net::console::{self, Console};
use net::counters::Counters;
use net::discovery::{self, Seen};
use net::drains::Drains;
use net::duties::Owners;
use net::ending::Ending;
use net::frontend::Frontend;
use net::inhand::Hand;
use net::kin::Kin;
use net::listwatch::ListWatch;
use net::log::log;
use net::membership::Members;
use net::mode::Modes;
use net::peers::{Fleet, Sharing};
use net::places::{Places, TIDY};
use net::request::Core;
use net::router::{drive, Mailbox};
use net::siteplan::{self, Sites};
use net::Clock;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout, Instant};

/// Descriptors beside those of clients and database hosts: standard streams, the runtime's own, the listeners,
/// discovery, the console's callers, and connections that are being turned away.
const RESERVED: usize = 64;
/// Of the others, one in so many is for database hosts. Clients need more: they hold connections while their
/// requests wait, and hosts are sent no more at a time than the module lets them have.
const HOSTS_PART: usize = 3;
/// Clients may hold a third of all descriptors; from half of that on, quiet ones make room for others.
const CROWD_PART: usize = 6;
/// Clients that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A process that inherits its listener waits so long for discovery before it takes clients.
const TOLD: Duration = Duration::from_secs(1);
/// How often the peers' address is tried again while another process has it.
const PEERS_AGAIN: Duration = Duration::from_millis(500);
/// A gateway that ends gives its clients so long at least to end their side too.
const LAST_CLOSE: Duration = Duration::from_secs(1);
/// How often a gateway that ends looks whether all is done.
const LOOK: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    let result = Config::load(|name| std::env::var(name).ok()).and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, run(config))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("irisrouter: {why}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let clock = Clock::new();
    let catch = |kind| signal(kind).map_err(|e| format!("cannot catch signals: {e}"));
    let (mut stop, mut interrupt) = (
        catch(SignalKind::terminate())?,
        catch(SignalKind::interrupt())?,
    );
    let (tell, reload) = (
        catch(SignalKind::user_defined1())?,
        catch(SignalKind::hangup())?,
    );
    let passed = config.passed;
    let listener = if passed {
        inherit()
    } else {
        listen(config.listen)
    };
    let listener =
        Rc::new(listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?);

    let free = config.sockets.saturating_sub(RESERVED);
    let for_hosts = free / HOSTS_PART;
    if for_hosts == 0 {
        return Err(format!("{} descriptors are too few", config.sockets));
    }
    let classes = Rc::new(Classes::new(&config.loaded));
    let settings = classes.settings().clone();
    let counters = Rc::<Counters>::default();
    let pool = Pool::new(config.memory / 4);
    let mailbox = Rc::<Mailbox>::default();
    let to_module = Rc::clone(&mailbox);
    let on_list = Box::new(move |event| to_module.post(event));
    let (shared, counted) = (Rc::clone(&pool), Rc::clone(&counters));
    let backend = Backend::new(&config.loaded, for_hosts, shared, counted, clock, on_list);
    let backend = Rc::new(backend);
    let known = &config.file.known;
    backend.apply(known);
    let mut seen = Seen::at((!known.members.is_empty()).then_some(known.revision));
    let members = members(&config, clock, &counters);
    let hand = hand(&config, members.as_ref(), &counters);
    let owners = owners(&config, members.as_ref(), &counters);
    let sites = match (&members, &owners) {
        (Some(members), Some(owners)) => {
            let around = siteplan::Around {
                members: Rc::clone(members),
                owners: Rc::clone(owners),
                backend: Rc::clone(&backend),
                classes: Rc::clone(&classes),
                mailbox: Rc::clone(&mailbox),
                counters: Rc::clone(&counters),
            };
            sites(&config, around)?
        }
        _ => None,
    };
    let core = Core {
        mailbox: Rc::clone(&mailbox),
        backend: Rc::clone(&backend),
        clock,
        counters: Rc::clone(&counters),
        answer_by: Cell::new(None),
        hand: hand.clone(),
        sites: sites.clone(),
        ids: RefCell::default(),
    };
    let modes = Rc::<Modes>::default();
    let drains = drains(
        &config,
        members.as_ref(),
        owners.as_ref(),
        (&backend, &counters),
    );
    let list = list_watch(
        &config,
        members.as_ref(),
        owners.as_ref(),
        (&backend, &counters),
    );
    if let Some(at) = config.console {
        let listener = listen(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        log!(
            "operators call {}",
            listener
                .local_addr()
                .map_err(|e| format!("no address: {e}"))?
        );
        let (owners, drains, sites) = (owners.clone(), drains.clone(), sites.clone());
        let console = Console {
            modes: Rc::clone(&modes),
            members: members.clone(),
            owners,
            drains,
            sites,
        };
        spawn_local(console::serve(listener, Rc::new(console)));
    }
    let front = Rc::new(Frontend {
        core: Rc::new(core),
        pool,
        classes: Rc::clone(&classes),
        places: Places::new(free - for_hosts, config.sockets / CROWD_PART),
        modes: Rc::clone(&modes),
        cancels: Rc::default(),
    });
    if let Some(path) = &config.meet {
        let kin = Rc::new(Kin {
            path: path.clone(),
            reserved: RESERVED,
            backend: Rc::clone(&backend),
            places: Rc::clone(&front.places),
            pool: Rc::clone(&front.pool),
            mailbox: Rc::clone(&mailbox),
            classes: Rc::clone(&classes),
            others: Default::default(),
        });
        seen.revision = seen.revision.max(kin.meet().await);
        spawn_local(kin.wait());
    }
    let driven = spawn_local(drive(
        Router::new(settings),
        Rc::clone(&mailbox),
        Rc::clone(&backend),
        clock,
    ));
    let (discovery, addresses) = watch::channel(config.discovery);
    seen.whole |= passed;
    let (answered, mut told) = watch::channel(false);
    let calls = (Rc::clone(&backend), Rc::clone(&classes));
    spawn_local(discovery::watch(
        addresses,
        seen,
        calls.0,
        calls.1,
        answered,
        list.clone(),
    ));
    let sharing = Rc::<RefCell<Option<Rc<Sharing>>>>::default();
    if let Some(peers) = config.peers.clone() {
        let shared = (
            Rc::clone(&mailbox),
            Rc::clone(&backend),
            Rc::clone(&counters),
        );
        let share = config.loaded.share || owners.is_some();
        let fleet = Fleet {
            members: members.clone(),
            owners,
            hand,
            drains,
            list,
            sites,
        };
        spawn_local(share_when_free(
            Rc::clone(&sharing),
            peers,
            shared,
            clock,
            share,
            fleet,
        ));
    }
    spawn_local(sweep(Rc::clone(&backend)));
    spawn_local(tidy(Rc::clone(&front.places)));
    let (welcoming, at) = (Rc::clone(&front), Rc::clone(&listener));
    let accepting = spawn_local(async move {
        // Clients wait in the queue, or are served by the process that is there already. Danger: what discovery has
        // told that one binds this one too.
        if passed {
            let _ = timeout(TOLD, told.wait_for(|&t| t)).await;
        }
        welcoming.accept(at).await;
    });
    let address = listener
        .local_addr()
        .map_err(|e| format!("no address: {e}"))?;
    log!("{} listens on {address}", config.name);
    // To the very end: SIGHUP may also come while the gateway stops.
    let (swapped, posted) = (Rc::clone(&classes), Rc::clone(&mailbox));
    let retune = move |mut loaded: Loaded| {
        loaded.settings.zone = backend.retune(&loaded);
        let from = swapped.swap(&loaded);
        let settings = Box::new(swapped.settings().clone());
        posted.post(Event::Retuned { settings, from });
    };
    let told = (Rc::clone(&counters), members.clone());
    spawn_local(heed(tell, reload, config, discovery, retune, told));

    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
        // It never ends by itself. Danger: a gateway without decisions would go on taking requests.
        _ = driven => return Err("the decision module has failed".to_string()),
    }
    modes.stop();
    log!("stopping");
    let open = sharing.borrow().clone();
    if let Some(open) = open {
        open.leave().await;
    }
    // Clients use the connections that they have for as long as these stay open, so they do until little time is
    // left. Danger: nobody takes over what a closed connection would have carried until the gateway is back.
    let stopped = Instant::now();
    let ending = Ending::new(classes.longest_wait());
    front.core.answer_by.set(Some(stopped + ending.answer_by));
    if !passed {
        sleep(ending.coming).await;
    }
    while !passed && front.places.open() > 0 && stopped.elapsed() < ending.taken_until {
        sleep(LOOK).await;
    }
    accepting.abort();
    let _ = accepting.await;
    // The queue of a socket that is passed on is the next process's, and so are the clients that are sent away.
    if !passed {
        front.accept_rest(&listener).await;
    }
    drop(listener);
    modes.close();
    // Requests under way keep the classes that they came in, whatever the settings say now.
    let last = Instant::now() + classes.longest_wait_held().max(LAST_CLOSE);
    while (front.places.open() > 0 || mailbox.open_requests() > 0) && Instant::now() < last {
        sleep(LOOK).await;
    }
    tell_all(&counters, members.as_deref());
    Ok(())
}

/// Prints the counters on each SIGUSR1, and reads the file again on each SIGHUP.
async fn heed(
    mut tell: Signal,
    mut reload: Signal,
    mut config: Config,
    discovery: watch::Sender<SocketAddr>,
    retune: impl Fn(Loaded),
    (counters, members): (Rc<Counters>, Option<Rc<Members>>),
) {
    loop {
        tokio::select! {
            _ = tell.recv() => tell_all(&counters, members.as_deref()),
            _ = reload.recv() => match config.reload() {
                Err(why) => log!("the old configuration holds: {why}"),
                Ok(new) => {
                    retune(new.loaded);
                    let moved = new.discovery.is_some_and(|to| {
                        discovery.send_if_modified(|at| std::mem::replace(at, to) != to)
                    });
                    log!("configuration read again: discovery at {}{}", *discovery.borrow(),
                        if moved { ", newly" } else { ", as before" });
                    if !new.waiting.is_empty() {
                        log!("what waits for the next start: {}", new.waiting.join(", "));
                    }
                }
            },
        }
    }
}

/// Shares with other gateways for ever, from when the peers' address is free: while one version follows another, that is
/// when the older process has ended.
async fn share_when_free(
    sharing: Rc<RefCell<Option<Rc<Sharing>>>>,
    peers: net::config::Peers,
    shared: (Rc<Mailbox>, Rc<Backend>, Rc<Counters>),
    clock: Clock,
    share: bool,
    fleet: Fleet,
) {
    let mut told = false;
    loop {
        match Sharing::open(peers.clone(), shared.clone(), clock, share, fleet.clone()) {
            Ok(open) => {
                if told {
                    log!("shares with other gateways from now on");
                }
                sharing.replace(Some(Rc::clone(&open)));
                return open.run().await;
            }
            Err(why) if !told => {
                told = true;
                log!("nothing is shared with other gateways yet: {why}");
            }
            Err(_) => {}
        }
        sleep(PEERS_AGAIN).await;
    }
}

async fn tidy(places: Rc<Places>) {
    let mut turn = interval(TIDY);
    loop {
        turn.tick().await;
        places.tidy();
    }
}

async fn sweep(backend: Rc<Backend>) {
    let mut turn = interval(SWEEP);
    loop {
        turn.tick().await;
        backend.sweep();
    }
}

/// The listener that each process of this gateway inherits, and that its platform holds.
fn inherit() -> std::io::Result<TcpListener> {
    // The crate knows descriptors by systemd's names, and 3 as their first.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::remove_var("LISTEN_PID");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = ListenFd::from_env()
        .take_tcp_listener(0)?
        .ok_or(std::io::ErrorKind::NotFound)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A gateway that starts again finds its address still in use by connections that are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Membership where the operators turned it on and the platform lets gateways send datagrams; else none, at no cost.
fn members(config: &Config, clock: Clock, counters: &Rc<Counters>) -> Option<Rc<Members>> {
    let wanted = &config.operators.membership;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && config.loaded.peers_allowed)?;
    let fleet = peers.each.len() as u32;
    let unix_s = u64::try_from(clock.now() / 1_000_000_000).unwrap_or(0);
    let seed = u64::from(peers.me).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_s;
    Members::new(
        peers,
        wanted.for_fleet(fleet),
        unix_s,
        seed,
        Rc::clone(counters),
    )
    .map_err(|why| log!("membership is off: {why}"))
    .ok()
    .map(Rc::new)
}

/// Ownership of duties, where the operators turned it on, membership is on and the platform allows probes.
fn owners(
    config: &Config,
    members: Option<&Rc<Members>>,
    counters: &Rc<Counters>,
) -> Option<Rc<Owners>> {
    let wanted = &config.operators.takeover;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && config.loaded.probes_allowed)?;
    let (members, each) = (Rc::clone(members?), peers.each.clone());
    Owners::new(
        members,
        each,
        wanted.lease_ms,
        wanted.fence,
        Rc::clone(counters),
    )
    .map_err(|why| log!("takeover is off: {why}"))
    .ok()
    .map(Rc::new)
}

/// Drains of database hosts, where duties have owners.
fn drains(
    config: &Config,
    members: Option<&Rc<Members>>,
    owners: Option<&Rc<Owners>>,
    (backend, counters): (&Rc<Backend>, &Rc<Counters>),
) -> Option<Rc<Drains>> {
    let each = config.peers.as_ref()?.each.clone();
    let around = (Rc::clone(members?), Rc::clone(owners?), Rc::clone(backend));
    Some(Rc::new(Drains::new(
        around,
        each,
        config.operators.takeover.lease_ms,
        Rc::clone(counters),
    )))
}

/// One watch of the list for all, where the operators turned it on, duties have owners, and one service answers all. An agent
/// on each machine is watched by each: what it has counts as told, whoever else watches.
fn list_watch(
    config: &Config,
    members: Option<&Rc<Members>>,
    owners: Option<&Rc<Owners>>,
    (backend, counters): (&Rc<Backend>, &Rc<Counters>),
) -> Option<Rc<ListWatch>> {
    let wanted = &config.operators.takeover;
    if !wanted.list_watch {
        return None;
    }
    if !config.loaded.settings.list_on_request {
        log!("list watch: off, as the list is pushed to each gateway");
        return None;
    }
    let around = (Rc::clone(members?), Rc::clone(owners?), Rc::clone(backend));
    Some(Rc::new(ListWatch::new(
        around,
        wanted.lease_ms,
        Rc::clone(counters),
    )))
}

/// Plans for lost sites, where the operators turned them on and duties have owners.
fn sites(config: &Config, around: siteplan::Around) -> Result<Option<Rc<Sites>>, String> {
    let wanted = &config.operators.sites;
    let Some(peers) = config.peers.as_ref().filter(|_| wanted.enabled) else {
        return Ok(None);
    };
    let all =
        |names: &irisrouter::settings::Names| names.iter().map(String::from).collect::<Vec<_>>();
    let (zones, classes) = (all(&config.loaded.zones), all(&config.loaded.classes));
    let settings = wanted.for_zones(&zones, &classes)?;
    // At most eight sites, by the check above.
    let names = siteplan::Names {
        zones,
        classes,
        mine: config.loaded.settings.zone.0 as u8,
    };
    let ways = (peers.each.clone(), peers.all);
    Sites::new(around, names, (settings, wanted.capacity_per_s), ways)
        .map(Rc::new)
        .map(Some)
}

/// Writes in hand, where the operators turned them on and membership is on.
fn hand(
    config: &Config,
    members: Option<&Rc<Members>>,
    counters: &Rc<Counters>,
) -> Option<Rc<Hand>> {
    let wanted = &config.operators.takeover;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && wanted.writes)?;
    let (members, each) = (Rc::clone(members?), peers.each.clone());
    Some(Rc::new(Hand::new(
        members,
        each,
        config.marks_repeats(),
        Rc::clone(counters),
    )))
}

/// The counters, and the view of the other gateways where membership is on.
fn tell_all(counters: &Counters, members: Option<&Members>) {
    eprintln!("irisrouter: {counters}");
    if let Some(members) = members {
        eprintln!("irisrouter: {}", members.line());
    }
}
