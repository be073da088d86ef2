//! Clients, as gateways meet them: real PostgreSQL connections by `tokio-postgres`, dealt out by a front layer, and the
//! life of each request with its retries.

use super::environment::{Asked, Environment};
use super::host::payload;
use super::process::Processes;
use irisrouter_simulation::clients::{Arrival, NextStep, Try, TryOutcome};
use irisrouter_simulation::spec::Need;
use irisrouter_simulation::{GatewayId, Ns, MS};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// A request that is not answered so long after its client's time is unanswered.
const SLACK: Ns = 50 * MS;
/// Idle connections to a gateway that are kept.
const KEPT: usize = 64;

/// The clients and the front between them and the gateways.
pub struct Front {
    environment: Rc<Environment>,
    processes: Rc<Processes>,
    idle: RefCell<HashMap<GatewayId, Vec<Client>>>,
}

/// How one exchange with a gateway ended.
enum Exchange {
    /// As its client sees it.
    Finished(TryOutcome),
    /// The connection had been closed before the gateway read anything: once more on a new one.
    Stale,
}

impl Front {
    /// No connection is open yet.
    pub fn new(environment: Rc<Environment>, processes: Rc<Processes>) -> Rc<Self> {
        Rc::new(Front {
            environment,
            processes,
            idle: RefCell::default(),
        })
    }

    /// The life of one request, from its first try to its end.
    pub async fn call(self: Rc<Self>, arrival: Arrival) {
        let mut of = self
            .environment
            .clients
            .borrow_mut()
            .first_try(self.environment.now(), arrival);
        loop {
            let outcome = self.attempt(&of).await;
            let now = self.environment.now();
            let next = self
                .environment
                .clients
                .borrow_mut()
                .finish_try(now, of.call, of.number, of.sent, outcome);
            match next {
                NextStep::Again(at) => {
                    self.environment.until(at).await;
                    let again = self
                        .environment
                        .clients
                        .borrow_mut()
                        .next_try(self.environment.now(), of.call);
                    match again {
                        Some(again) => of = again,
                        None => return,
                    }
                }
                NextStep::Done(finished) => {
                    return self.environment.collector.borrow_mut().finished(&finished)
                }
                NextStep::Nothing => return,
            }
        }
    }

    /// One try.
    async fn attempt(&self, of: &Try) -> TryOutcome {
        let id = format!("{:08x}{:08x}", of.call, of.number);
        let a = &of.arrival;
        let asked = Asked {
            class: a.class,
            work: a.work,
            key: a.key,
            mark: of.mark,
            sent: of.sent,
            open: true,
        };
        self.environment
            .collector
            .borrow_mut()
            .tried(of.sent, of.number == 0);
        self.environment.asks(&id, asked);
        let end = of.leaves.unwrap_or(of.deadline + SLACK);
        let statement = self.statement(of, &id);
        let answered = tokio::time::timeout_at(
            self.environment.instant(end),
            self.exchanges(of, &id, &statement),
        )
        .await;
        self.environment.answered(&id);
        match answered {
            Ok(outcome) => outcome,
            Err(_) if of.leaves.is_some() => TryOutcome::Left,
            Err(_) => {
                if self.processes.alive(of.gateway) {
                    self.environment.collector.borrow_mut().unanswered += 1;
                }
                TryOutcome::TimedOut
            }
        }
    }

    async fn exchanges(&self, of: &Try, id: &str, statement: &str) -> TryOutcome {
        let idle = self
            .idle
            .borrow_mut()
            .get_mut(&of.gateway)
            .and_then(Vec::pop)
            .filter(|c| !c.is_closed());
        if let Some(client) = idle {
            if let Exchange::Finished(outcome) =
                self.exchange(of, id, statement, client, false).await
            {
                return outcome;
            }
        }
        let Some(client) = self.connect(of.gateway).await else {
            return TryOutcome::Unreachable;
        };
        match self.exchange(of, id, statement, client, true).await {
            Exchange::Finished(outcome) => outcome,
            Exchange::Stale => TryOutcome::Broken,
        }
    }

    async fn connect(&self, gateway: GatewayId) -> Option<Client> {
        let address = self.processes.address(gateway)?;
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let mut config = Config::new();
        config.user("web").dbname("orders");
        let (client, connection) = config.connect_raw(stream, NoTls).await.ok()?;
        super::beside(async move {
            // It ends when the client is dropped, or with an error that the client is told.
            let _ = connection.await;
        });
        Some(client)
    }

    async fn exchange(
        &self,
        of: &Try,
        id: &str,
        statement: &str,
        client: Client,
        fresh: bool,
    ) -> Exchange {
        let result = client.simple_query(statement).await;
        let gateway_lives = self.processes.alive(of.gateway);
        let outcome = match result {
            Ok(messages) => {
                let value = messages.iter().find_map(|m| match m {
                    SimpleQueryMessage::Row(row) => {
                        row.try_get(0).ok().flatten().map(str::to_string)
                    }
                    _ => None,
                });
                if value.as_deref() != Some(payload(id).as_str()) {
                    // Not what a host made for this request.
                    self.environment.collector.borrow_mut().wrong_rows += 1;
                }
                let commit = of
                    .arrival
                    .key
                    .and_then(|k| self.environment.fleet.borrow().invariants().commit(k));
                TryOutcome::Served { commit }
            }
            Err(e) => match e.as_db_error() {
                Some(db) if matches!(db.code().code(), "53300" | "57P03") => {
                    let pause = db
                        .detail()
                        .and_then(|d| d.trim().parse::<Ns>().ok())
                        .map(|ms| ms * MS);
                    self.environment
                        .collector
                        .borrow_mut()
                        .refused(self.environment.now(), pause);
                    TryOutcome::Refused { pause }
                }
                Some(_) => TryOutcome::Failed,
                None if !fresh && gateway_lives => return Exchange::Stale,
                None => {
                    if gateway_lives {
                        self.environment.collector.borrow_mut().lost += 1;
                    }
                    TryOutcome::Broken
                }
            },
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(of.gateway).or_default();
        if !client.is_closed() && kept.len() < KEPT {
            kept.push(client);
        }
        Exchange::Finished(outcome)
    }

    /// The statement, as the platform's clients word it.
    fn statement(&self, of: &Try, id: &str) -> String {
        let a = &of.arrival;
        let class = &self.environment.scenario().world.classes[a.class];
        let wait = (of.deadline - of.sent) / MS;
        let reference = match a.session {
            Some(session) => format!("s{session:x}"),
            None => format!("{:x}", a.call),
        };
        let mut comment = format!("id={id},c={},d={wait},cluster={}", class.name, a.set.0);
        if of.mark > 0 {
            comment.push_str(&format!(",after={}", (of.mark + MS - 1) / MS));
        }
        if let Some(key) = a.key {
            comment.push_str(&format!(",k={key:x}"));
        }
        if of.marked {
            comment.push_str(",r=1");
        }
        match class.need {
            Need::Write => format!(
                "INSERT INTO entries (ref, payload) VALUES ('{reference}', '\\x9f03') RETURNING payload /* {comment} */"
            ),
            _ => format!("SELECT payload FROM entries WHERE ref = '{reference}' /* {comment} */"),
        }
    }
}
