//! A gateway in front of sets of a primary and its replicas: start, signals, wiring.

#![forbid(unsafe_code)]

mod net;

use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::Event;
use irisrouter::routing::Router;
use listenfd::ListenFd;
use net::admin::console::{self, Console};
use net::admin::serving_state::ServingState;
use net::buffers::Pool;
use net::cluster::drains::DrainService;
use net::cluster::endpoint_watch::EndpointWatchService;
use net::cluster::leases::LeaseService;
use net::cluster::membership::MembershipService;
use net::cluster::peer_socket::{ClusterServices, PeerSocket};
use net::cluster::site_failover::{self, SiteFailoverService};
use net::cluster::write_intents::WriteIntentService;
use net::config::Config;
use net::discovery::{self, ListPosition};
use net::downstream::connection::Frontend;
use net::downstream::connection_limit::{ConnectionLimit, TIDY};
use net::hot_restart::HotRestart;
use net::log::log;
use net::metrics::Metrics;
use net::request::classes::Classes;
use net::request::RequestContext;
use net::router_task::{run_router, RouterHandle};
use net::shutdown::ShutdownSchedule;
use net::upstream::{Upstream, SWEEP};
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
    let metrics = Rc::<Metrics>::default();
    let pool = Pool::new(config.memory / 4);
    let router = Rc::<RouterHandle>::default();
    let to_module = Rc::clone(&router);
    let on_list = Box::new(move |event| to_module.post(event));
    let (shared, counted) = (Rc::clone(&pool), Rc::clone(&metrics));
    let upstream = Upstream::new(&config.loaded, for_hosts, shared, counted, clock, on_list);
    let upstream = Rc::new(upstream);
    let known = &config.file.known;
    upstream.apply_endpoint_list(known);
    let mut seen = ListPosition::at((!known.members.is_empty()).then_some(known.revision));
    let membership = membership(&config, clock, &metrics);
    let write_intents = write_intents(&config, membership.as_ref(), &metrics);
    let leases = leases(&config, membership.as_ref(), &metrics);
    let site_failover = match (&membership, &leases) {
        (Some(membership), Some(leases)) => {
            let around = site_failover::Around {
                membership: Rc::clone(membership),
                leases: Rc::clone(leases),
                upstream: Rc::clone(&upstream),
                classes: Rc::clone(&classes),
                router: Rc::clone(&router),
                metrics: Rc::clone(&metrics),
            };
            site_failover(&config, around)?
        }
        _ => None,
    };
    let core = RequestContext {
        router: Rc::clone(&router),
        upstream: Rc::clone(&upstream),
        clock,
        metrics: Rc::clone(&metrics),
        answer_by: Cell::new(None),
        write_intents: write_intents.clone(),
        site_failover: site_failover.clone(),
        open_ids: RefCell::default(),
    };
    let serving_state = Rc::<ServingState>::default();
    let drains = drains(
        &config,
        membership.as_ref(),
        leases.as_ref(),
        (&upstream, &metrics),
    );
    let list = list_watch(
        &config,
        membership.as_ref(),
        leases.as_ref(),
        (&upstream, &metrics),
    );
    if let Some(at) = config.console {
        let listener = listen(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        log!(
            "operators call {}",
            listener
                .local_addr()
                .map_err(|e| format!("no address: {e}"))?
        );
        let (leases, drains, site_failover) =
            (leases.clone(), drains.clone(), site_failover.clone());
        let console = Console {
            serving_state: Rc::clone(&serving_state),
            membership: membership.clone(),
            leases,
            drains,
            site_failover,
        };
        spawn_local(console::serve(listener, Rc::new(console)));
    }
    let front = Rc::new(Frontend {
        core: Rc::new(core),
        pool,
        classes: Rc::clone(&classes),
        connection_limit: ConnectionLimit::new(free - for_hosts, config.sockets / CROWD_PART),
        serving_state: Rc::clone(&serving_state),
        cancels: Rc::default(),
    });
    if let Some(path) = &config.meet {
        let hot_restart = Rc::new(HotRestart {
            path: path.clone(),
            reserved: RESERVED,
            upstream: Rc::clone(&upstream),
            connection_limit: Rc::clone(&front.connection_limit),
            pool: Rc::clone(&front.pool),
            router: Rc::clone(&router),
            classes: Rc::clone(&classes),
            others: Default::default(),
        });
        seen.revision = seen.revision.max(hot_restart.take_over().await);
        spawn_local(hot_restart.serve_successors());
    }
    let driven = spawn_local(run_router(
        Router::new(settings),
        Rc::clone(&router),
        Rc::clone(&upstream),
        clock,
    ));
    let (discovery, addresses) = watch::channel(config.discovery);
    seen.whole |= passed;
    let (answered, mut told) = watch::channel(false);
    let calls = (Rc::clone(&upstream), Rc::clone(&classes));
    spawn_local(discovery::watch(
        addresses,
        seen,
        calls.0,
        calls.1,
        answered,
        list.clone(),
    ));
    let sharing = Rc::<RefCell<Option<Rc<PeerSocket>>>>::default();
    if let Some(peers) = config.peers.clone() {
        let shared = (
            Rc::clone(&router),
            Rc::clone(&upstream),
            Rc::clone(&metrics),
        );
        let share = config.loaded.share || leases.is_some();
        let fleet = ClusterServices {
            membership: membership.clone(),
            leases,
            write_intents,
            drains,
            endpoint_watch: list,
            site_failover,
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
    spawn_local(sweep(Rc::clone(&upstream)));
    spawn_local(tidy(Rc::clone(&front.connection_limit)));
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
    let (swapped, posted) = (Rc::clone(&classes), Rc::clone(&router));
    let retune = move |mut loaded: PlatformSettings| {
        loaded.settings.zone = upstream.update_settings(&loaded);
        let from = swapped.swap(&loaded);
        let settings = Box::new(swapped.settings().clone());
        posted.post(Event::SettingsChanged {
            settings,
            measurements_from: from,
        });
    };
    let told = (Rc::clone(&metrics), membership.clone());
    spawn_local(heed(tell, reload, config, discovery, retune, told));

    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
        // It never ends by itself. Danger: a gateway without decisions would go on taking requests.
        _ = driven => return Err("the decision module has failed".to_string()),
    }
    serving_state.stop();
    log!("stopping");
    let open = sharing.borrow().clone();
    if let Some(open) = open {
        open.leave().await;
    }
    // Clients use the connections that they have for as long as these stay open, so they do until little time is
    // left. Danger: nobody takes over what a closed connection would have carried until the gateway is back.
    let stopped = Instant::now();
    let ending = ShutdownSchedule::new(classes.longest_wait());
    front.core.answer_by.set(Some(stopped + ending.answer_by));
    if !passed {
        sleep(ending.coming).await;
    }
    while !passed
        && front.connection_limit.open_connections() > 0
        && stopped.elapsed() < ending.taken_until
    {
        sleep(LOOK).await;
    }
    accepting.abort();
    let _ = accepting.await;
    // The queue of a socket that is passed on is the next process's, and so are the clients that are sent away.
    if !passed {
        front.accept_rest(&listener).await;
    }
    drop(listener);
    serving_state.close();
    // Requests under way keep the classes that they came in, whatever the settings say now.
    let last = Instant::now() + classes.longest_wait_held().max(LAST_CLOSE);
    while (front.connection_limit.open_connections() > 0 || router.open_requests() > 0)
        && Instant::now() < last
    {
        sleep(LOOK).await;
    }
    tell_all(&metrics, membership.as_deref());
    Ok(())
}

/// Prints the counters on each SIGUSR1, and reads the file again on each SIGHUP.
async fn heed(
    mut tell: Signal,
    mut reload: Signal,
    mut config: Config,
    discovery: watch::Sender<SocketAddr>,
    retune: impl Fn(PlatformSettings),
    (metrics, membership): (Rc<Metrics>, Option<Rc<MembershipService>>),
) {
    loop {
        tokio::select! {
            _ = tell.recv() => tell_all(&metrics, membership.as_deref()),
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
    sharing: Rc<RefCell<Option<Rc<PeerSocket>>>>,
    peers: net::config::Peers,
    shared: (Rc<RouterHandle>, Rc<Upstream>, Rc<Metrics>),
    clock: Clock,
    share: bool,
    fleet: ClusterServices,
) {
    let mut told = false;
    loop {
        match PeerSocket::open(peers.clone(), shared.clone(), clock, share, fleet.clone()) {
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

async fn tidy(connection_limit: Rc<ConnectionLimit>) {
    let mut turn = interval(TIDY);
    loop {
        turn.tick().await;
        connection_limit.close_longest_quiet();
    }
}

async fn sweep(upstream: Rc<Upstream>) {
    let mut turn = interval(SWEEP);
    loop {
        turn.tick().await;
        upstream.close_idle();
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
fn membership(
    config: &Config,
    clock: Clock,
    metrics: &Rc<Metrics>,
) -> Option<Rc<MembershipService>> {
    let wanted = &config.operators.membership;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && config.loaded.peers_allowed)?;
    let fleet = peers.each.len() as u32;
    let unix_s = u64::try_from(clock.now() / 1_000_000_000).unwrap_or(0);
    let seed = u64::from(peers.me).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_s;
    MembershipService::new(
        peers,
        wanted.for_fleet(fleet),
        unix_s,
        seed,
        Rc::clone(metrics),
    )
    .map_err(|why| log!("membership is off: {why}"))
    .ok()
    .map(Rc::new)
}

/// Ownership of duties, where the operators turned it on, membership is on and the platform allows probes.
fn leases(
    config: &Config,
    membership: Option<&Rc<MembershipService>>,
    metrics: &Rc<Metrics>,
) -> Option<Rc<LeaseService>> {
    let wanted = &config.operators.takeover;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && config.loaded.probes_allowed)?;
    let (membership, each) = (Rc::clone(membership?), peers.each.clone());
    LeaseService::new(
        membership,
        each,
        wanted.lease_ms,
        wanted.fence,
        Rc::clone(metrics),
    )
    .map_err(|why| log!("takeover is off: {why}"))
    .ok()
    .map(Rc::new)
}

/// Drains of database hosts, where leases are on.
fn drains(
    config: &Config,
    membership: Option<&Rc<MembershipService>>,
    leases: Option<&Rc<LeaseService>>,
    (upstream, metrics): (&Rc<Upstream>, &Rc<Metrics>),
) -> Option<Rc<DrainService>> {
    let each = config.peers.as_ref()?.each.clone();
    let around = (
        Rc::clone(membership?),
        Rc::clone(leases?),
        Rc::clone(upstream),
    );
    Some(Rc::new(DrainService::new(
        around,
        each,
        config.operators.takeover.lease_ms,
        Rc::clone(metrics),
    )))
}

/// One watch of the list for all, where the operators turned it on, duties have owners, and one service answers all. An agent
/// on each machine is watched by each: what it has counts as told, whoever else watches.
fn list_watch(
    config: &Config,
    membership: Option<&Rc<MembershipService>>,
    leases: Option<&Rc<LeaseService>>,
    (upstream, metrics): (&Rc<Upstream>, &Rc<Metrics>),
) -> Option<Rc<EndpointWatchService>> {
    let wanted = &config.operators.takeover;
    if !wanted.list_watch {
        return None;
    }
    if !config.loaded.settings.endpoint_list_on_request {
        log!("list watch: off, as the list is pushed to each gateway");
        return None;
    }
    let around = (
        Rc::clone(membership?),
        Rc::clone(leases?),
        Rc::clone(upstream),
    );
    Some(Rc::new(EndpointWatchService::new(
        around,
        wanted.lease_ms,
        Rc::clone(metrics),
    )))
}

/// Plans for lost sites, where the operators turned them on and duties have owners.
fn site_failover(
    config: &Config,
    around: site_failover::Around,
) -> Result<Option<Rc<SiteFailoverService>>, String> {
    let wanted = &config.operators.sites;
    let Some(peers) = config.peers.as_ref().filter(|_| wanted.enabled) else {
        return Ok(None);
    };
    let all = |names: &irisrouter::platform_settings::NameTable| {
        names.iter().map(String::from).collect::<Vec<_>>()
    };
    let (zones, classes) = (all(&config.loaded.zones), all(&config.loaded.classes));
    let settings = wanted.for_zones(&zones, &classes)?;
    // At most eight sites, by the check above.
    let names = site_failover::Names {
        zones,
        classes,
        mine: config.loaded.settings.zone.0 as u8,
    };
    let ways = (peers.each.clone(), peers.all);
    SiteFailoverService::new(around, names, (settings, wanted.capacity_per_s), ways)
        .map(Rc::new)
        .map(Some)
}

/// Writes in hand, where the operators turned them on and membership is on.
fn write_intents(
    config: &Config,
    membership: Option<&Rc<MembershipService>>,
    metrics: &Rc<Metrics>,
) -> Option<Rc<WriteIntentService>> {
    let wanted = &config.operators.takeover;
    let peers = config
        .peers
        .as_ref()
        .filter(|_| wanted.enabled && wanted.writes)?;
    let (membership, each) = (Rc::clone(membership?), peers.each.clone());
    Some(Rc::new(WriteIntentService::new(
        membership,
        each,
        config.marks_repeats(),
        Rc::clone(metrics),
    )))
}

/// The counters, and the view of the other gateways where membership is on.
fn tell_all(metrics: &Metrics, membership: Option<&MembershipService>) {
    eprintln!("irisrouter: {metrics}");
    if let Some(membership) = membership {
        eprintln!("irisrouter: {}", membership.status_line());
    }
}
