//! A gateway in front of sets of a primary and its replicas: start, signals, wiring.

#![forbid(unsafe_code)]

mod net;

use irisrouter::decide::Router;
use net::backend::{Backend, SWEEP};
use net::buffers::Pool;
use net::config::Config;
use net::counters::Counters;
use net::frontend::Frontend;
use net::log::log;
use net::request::Core;
use net::router::{drive, Mailbox};
use net::{discovery, duration, Clock};
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, Instant};

/// Descriptors beside those of clients and database hosts: standard streams, the runtime's own, the listener,
/// discovery, and connections that are being turned away.
const RESERVED: usize = 64;
/// Of the others, one in so many is for database hosts. Clients need more: they hold connections while their
/// requests wait, and hosts are sent no more at a time than the module lets them have.
const HOSTS_PART: usize = 3;
/// Clients that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The front layer goes on sending for a while after SIGTERM: so long the gateway takes all that comes.
const GRACE: Duration = Duration::from_millis(800);
/// What it has taken then is finished within the longest deadline, and no sooner is the process killed.
const LONGEST_KNOWN: Duration = Duration::from_secs(3);
/// How often a gateway that ends looks whether all is done.
const LOOK: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    let result = Config::load(|name| std::env::var(name).ok()).and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
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
    let (mut stop, mut tell) = (catch(SignalKind::terminate())?, catch(SignalKind::user_defined1())?);
    let mut interrupt = catch(SignalKind::interrupt())?;
    let listener =
        Rc::new(listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?);

    let free = config.sockets.saturating_sub(RESERVED);
    let for_hosts = free / HOSTS_PART;
    if for_hosts == 0 {
        return Err(format!("{} descriptors are too few", config.sockets));
    }
    let settings = config.loaded.settings;
    let counters = Rc::<Counters>::default();
    let pool = Pool::new(config.memory / 4);
    let mailbox = Rc::<Mailbox>::default();
    let to_module = Rc::clone(&mailbox);
    let on_list = Box::new(move |event| to_module.post(event));
    let (zones, idle) = (config.loaded.zones, config.loaded.idle_close);
    let backend =
        Backend::new(&settings, zones, idle, for_hosts, Rc::clone(&pool), Rc::clone(&counters), on_list);
    let backend = Rc::new(backend);
    backend.apply(&config.known);
    let known = (!config.known.members.is_empty()).then_some(config.known.revision);
    let core = Core {
        mailbox: Rc::clone(&mailbox),
        backend: Rc::clone(&backend),
        clock,
        counters: Rc::clone(&counters),
    };
    let (close, closing) = watch::channel(false);
    let front = Rc::new(Frontend {
        core: Rc::new(core),
        pool,
        classes: config.loaded.classes,
        settings: settings.clone(),
        most: free - for_hosts,
        open: Cell::new(0),
        closing,
    });
    let longest = settings.classes.iter().map(|c| duration(c.deadline)).max().unwrap_or(LONGEST_KNOWN);

    let driven = spawn_local(drive(Router::new(settings), Rc::clone(&mailbox), Rc::clone(&backend), clock));
    spawn_local(discovery::watch(config.discovery, known, Rc::clone(&backend)));
    spawn_local(sweep(backend));
    let accepting = spawn_local(Rc::clone(&front).accept(Rc::clone(&listener)));
    let address = listener.local_addr().map_err(|e| format!("no address: {e}"))?;
    log!("{} listens on {address}", config.name);

    tokio::select! {
        () = tell_until(&mut stop, &mut interrupt, &mut tell, &counters) => {}
        // It never ends by itself. Danger: a gateway without decisions would go on taking requests.
        _ = driven => return Err("the decision module has failed".to_string()),
    }
    log!("stopping");
    sleep(GRACE).await;
    accepting.abort();
    let _ = accepting.await;
    front.accept_rest(&listener).await;
    drop(listener);
    let _ = close.send(true);
    let last = Instant::now() + longest;
    while (front.open.get() > 0 || mailbox.open_requests() > 0) && Instant::now() < last {
        sleep(LOOK).await;
    }
    eprintln!("irisrouter: {counters}");
    Ok(())
}

/// Prints the counters on each SIGUSR1, until the program is to stop.
async fn tell_until(stop: &mut Signal, interrupt: &mut Signal, tell: &mut Signal, counters: &Counters) {
    loop {
        tokio::select! {
            _ = stop.recv() => return,
            _ = interrupt.recv() => return,
            _ = tell.recv() => eprintln!("irisrouter: {counters}"),
        }
    }
}

async fn sweep(backend: Rc<Backend>) {
    let mut turn = interval(SWEEP);
    loop {
        turn.tick().await;
        backend.sweep();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A gateway that starts again finds its address still in use by connections that are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
