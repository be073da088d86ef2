//! Clients, as gateways meet them: real PostgreSQL connections by `tokio-postgres`, pooled by a front layer, and each
//! request with its retries, from its first try to its end.

use super::environment::{ClientStatement, Environment};
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
use tokio_postgres::error::DbError;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// A request that is not answered this long after its client's deadline counts as unanswered.
const ANSWER_SLACK: Ns = 50 * MS;
/// Most idle connections to a gateway that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// How long a connection to a gateway may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
        let mut client_try = self
            .environment
            .clients
            .borrow_mut()
            .first_try(self.environment.now(), arrival);
        loop {
            let outcome = self.attempt(&client_try).await;
            let now = self.environment.now();
            let next = self.environment.clients.borrow_mut().finish_try(
                now,
                client_try.call,
                client_try.number,
                client_try.sent,
                outcome,
            );
            match next {
                NextStep::Again(at) => {
                    self.environment.until(at).await;
                    let again = self
                        .environment
                        .clients
                        .borrow_mut()
                        .next_try(self.environment.now(), client_try.call);
                    match again {
                        Some(again) => client_try = again,
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
    async fn attempt(&self, client_try: &Try) -> TryOutcome {
        let id = format!("{:08x}{:08x}", client_try.call, client_try.number);
        let arrival = &client_try.arrival;
        let client_statement = ClientStatement {
            class: arrival.class,
            work: arrival.work,
            key: arrival.key,
            mark: client_try.mark,
            sent: client_try.sent,
            open: true,
        };
        self.environment
            .collector
            .borrow_mut()
            .tried(client_try.sent, client_try.number == 0);
        self.environment.add_statement(&id, client_statement);
        let end = client_try
            .leaves
            .unwrap_or(client_try.deadline + ANSWER_SLACK);
        let statement = self.statement(client_try, &id);
        let answered = tokio::time::timeout_at(
            self.environment.instant(end),
            self.exchanges(client_try, &id, &statement),
        )
        .await;
        self.environment.end_statement(&id);
        match answered {
            Ok(outcome) => outcome,
            Err(_) if client_try.leaves.is_some() => TryOutcome::Left,
            Err(_) => {
                if self.processes.is_running(client_try.gateway) {
                    self.environment.collector.borrow_mut().unanswered += 1;
                }
                TryOutcome::TimedOut
            }
        }
    }

    async fn exchanges(&self, client_try: &Try, id: &str, statement: &str) -> TryOutcome {
        let idle = self
            .idle
            .borrow_mut()
            .get_mut(&client_try.gateway)
            .and_then(Vec::pop)
            .filter(|c| !c.is_closed());
        if let Some(client) = idle {
            if let Exchange::Finished(outcome) = self
                .exchange(client_try, id, statement, client, false)
                .await
            {
                return outcome;
            }
        }
        let Some(client) = self.connect(client_try.gateway).await else {
            return TryOutcome::Unreachable;
        };
        match self.exchange(client_try, id, statement, client, true).await {
            Exchange::Finished(outcome) => outcome,
            Exchange::Stale => TryOutcome::Broken,
        }
    }

    async fn connect(&self, gateway: GatewayId) -> Option<Client> {
        let address = self.processes.address(gateway)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let mut config = Config::new();
        config.user("web").dbname("orders");
        let (client, connection) = config.connect_raw(stream, NoTls).await.ok()?;
        super::spawn(async move {
            // It ends when the client is dropped, or with an error that its requests return.
            let _ = connection.await;
        });
        Some(client)
    }

    /// Sends a statement on a connection, which was opened for it where `is_new`.
    async fn exchange(
        &self,
        client_try: &Try,
        id: &str,
        statement: &str,
        client: Client,
        is_new: bool,
    ) -> Exchange {
        let result = client.simple_query(statement).await;
        let gateway_runs = self.processes.is_running(client_try.gateway);
        let outcome = match result {
            Ok(messages) => self.served(client_try, id, &messages),
            Err(error) => match error.as_db_error() {
                Some(error) => self.rejected(error),
                None if !is_new && gateway_runs => return Exchange::Stale,
                None => {
                    if gateway_runs {
                        self.environment.collector.borrow_mut().lost += 1;
                    }
                    TryOutcome::Broken
                }
            },
        };
        self.keep_idle(client_try.gateway, client);
        Exchange::Finished(outcome)
    }

    fn served(&self, client_try: &Try, id: &str, messages: &[SimpleQueryMessage]) -> TryOutcome {
        let value = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.try_get(0).ok().flatten(),
            _ => None,
        });
        if value != Some(payload(id).as_str()) {
            // Not what a host made for this request.
            self.environment.collector.borrow_mut().wrong_rows += 1;
        }
        let key = client_try.arrival.key;
        let commit = key.and_then(|key| self.environment.fleet.borrow().invariants().commit(key));
        TryOutcome::Served { commit }
    }

    fn rejected(&self, error: &DbError) -> TryOutcome {
        if !matches!(error.code().code(), "53300" | "57P03") {
            return TryOutcome::Failed;
        }
        let pause = error
            .detail()
            .and_then(|detail| detail.trim().parse::<Ns>().ok())
            .map(|pause_ms| pause_ms * MS);
        self.environment
            .collector
            .borrow_mut()
            .refused(self.environment.now(), pause);
        TryOutcome::Refused { pause }
    }

    /// Keeps a connection for a later request, where it is open and there is room.
    fn keep_idle(&self, gateway: GatewayId, client: Client) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(gateway).or_default();
        if !client.is_closed() && kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(client);
        }
    }

    /// The statement, as the platform's clients word it.
    fn statement(&self, client_try: &Try, id: &str) -> String {
        let arrival = &client_try.arrival;
        let class = &self.environment.scenario().world.classes[arrival.class];
        let wait = (client_try.deadline - client_try.sent) / MS;
        let reference = match arrival.session {
            Some(session) => format!("s{session:x}"),
            None => format!("{:x}", arrival.call),
        };
        let mut comment = format!(
            "id={id},c={},d={wait},cluster={}",
            class.name, arrival.set.0
        );
        if client_try.mark > 0 {
            comment.push_str(&format!(",after={}", (client_try.mark + MS - 1) / MS));
        }
        if let Some(key) = arrival.key {
            comment.push_str(&format!(",k={key:x}"));
        }
        if client_try.marked {
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
