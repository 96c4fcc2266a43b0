//! The HTTP server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::format::format_document;
use ebonypass_core::submission::{self, Outcome, Submission};
use ebonypass_node::metric::Page;
use ebonypass_node::store::Http;
use ebonypass_node::trace::{Context, Span};
use prometheus_client::registry::Registry;
use trillium::{Conn, Handler, Method};
use trillium_server_common::ServerHandle;

use crate::form::{self, Fields, field};
use crate::html::STYLE;
use crate::meter::{Meters, count};
use crate::note::{Event, note};
use crate::session::{Session, Sessions, Work, authenticate, is_equal, new_secret};
use crate::settings::Settings;
use crate::{load, page, section, status, submit, text};

/// The largest form. A page of the longest rows has about 100 KB.
const MAX_FORM: u64 = 1 << 20;

/// The pause after a wrong token, which bounds the rate of guesses of one connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// The cookie of a session.
const SESSION_COOKIE: &str = "session";
/// The cookie that the log-in form must match.
const LOGIN_COOKIE: &str = "login";

const POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                      base-uri 'none'; frame-ancestors 'none'";

/// A running console.
#[derive(Debug)]
pub struct Server {
    handle: ServerHandle,
    address: SocketAddr,
}

struct Console {
    settings: Settings,
    store: Http,
    sessions: Sessions,
    metrics: Page,
    meters: Meters,
}

/// A logged-in operator's request.
struct Visit {
    secret: String,
    session: Session,
}

impl Server {
    /// Starts to serve.
    ///
    /// Errors: the address cannot be listened on.
    pub async fn start(settings: Settings) -> io::Result<Server> {
        let mut registry = Registry::default();
        let meters = Meters::new(&mut registry);
        let idle = Duration::from_secs(settings.idle_minutes * 60);
        let listen = settings.listen;
        let store = Http::new(settings.store);
        let (sessions, metrics) = (Sessions::new(idle), Page::new(registry));
        let console = Arc::new(Console { settings, store, sessions, metrics, meters });
        let config = trillium_smol::config().without_signals().with_nodelay().listeners();
        let handle = config.bind_tcp(listen)?.spawn(move |conn: Conn| {
            let console = console.clone();
            async move { console.serve(conn).await }
        });
        let address = handle.info().await.tcp_socket_addr().copied().unwrap_or(listen);
        Ok(Server { handle, address })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to accept connections and waits for the requests in flight.
    pub async fn close(self) {
        self.handle.shut_down().await;
    }
}

impl Console {
    async fn serve(&self, conn: Conn) -> Conn {
        let parent = Context::from_header(conn.request_headers().get_str("traceparent"));
        let span = Span::new(parent, "console");
        let conn = self.route(conn).await;
        let status = conn.status().map_or(404, |status| status as u16).to_string();
        count(&self.meters.requests, status.as_str());
        span.close(&status);
        conn.with_response_header("content-security-policy", POLICY)
            .with_response_header("x-content-type-options", "nosniff")
            .with_response_header("referrer-policy", "no-referrer")
            .with_response_header("cache-control", "no-store")
    }

    async fn route(&self, conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/health") => conn.ok("ok\n"),
            (Method::Get, "/metrics") => self.metrics.run(conn).await,
            (Method::Get, "/style.css") => {
                conn.with_response_header("content-type", "text/css").ok(STYLE)
            }
            (Method::Get, "/login") => self.show_log_in(conn, 200, ""),
            (Method::Post, "/login") => self.log_in(conn).await,
            (method, _) => match self.visit(&conn) {
                None if method == Method::Get => redirect(conn, "/login"),
                None => self.show_log_in(conn, 403, "The session has ended. Log in again."),
                Some(visit) if method == Method::Get => self.show(conn, visit, &path).await,
                Some(visit) if method == Method::Post => self.change(conn, visit, &path).await,
                Some(_) => conn.with_status(405).halt(),
            },
        }
    }

    fn visit(&self, conn: &Conn) -> Option<Visit> {
        let secret = cookie(conn, SESSION_COOKIE)?;
        let session = self.sessions.get(&secret)?;
        Some(Visit { secret, session })
    }

    fn show_log_in(&self, conn: Conn, status: u16, message: &str) -> Conn {
        let Some(secret) = new_secret() else { return conn.with_status(500).halt() };
        let html = page::log_in(&secret, message);
        let cookie = self.cookie_header(LOGIN_COOKIE, &secret);
        html_page(conn, status, html).with_response_header("set-cookie", cookie)
    }

    /// A cookie that scripts cannot read and that other sites' requests do not carry.
    fn cookie_header(&self, name: &str, value: &str) -> String {
        let secure = if self.settings.behind_tls { "; Secure" } else { "" };
        format!("{name}={value}; Path=/; HttpOnly; SameSite=Strict{secure}")
    }

    async fn log_in(&self, mut conn: Conn) -> Conn {
        let Ok(fields) = read_form(&mut conn).await else { return conn.with_status(413).halt() };
        let expected = cookie(&conn, LOGIN_COOKIE).unwrap_or_default();
        let csrf = field(&fields, "csrf").unwrap_or_default();
        if expected.is_empty() || !is_equal(&expected, csrf) {
            note(Event::FormRefused, "log-in");
            return self.show_log_in(conn, 403, "The form was out of date. Try again.");
        }
        let token = field(&fields, "token").unwrap_or_default().trim();
        let Some(operator) = authenticate(&self.settings.operators, token) else {
            self.meters.refused_log_ins.inc();
            note(Event::LogInRefused, "wrong token");
            smol::Timer::after(REFUSED_PAUSE).await;
            return self.show_log_in(conn, 403, "The token is not known.");
        };
        let work = load::load(&self.store).await;
        let Some(secret) = self.sessions.begin(operator.name.clone(), work) else {
            return conn.with_status(500).halt();
        };
        note(Event::LoggedIn, &operator.name);
        let cookie = self.cookie_header(SESSION_COOKIE, &secret);
        redirect(conn, "/").with_response_header("set-cookie", cookie)
    }

    async fn show(&self, conn: Conn, visit: Visit, path: &str) -> Conn {
        let session = &visit.session;
        let html = match path {
            "/" => page::overview(session),
            "/document" => page::document(session),
            "/document.toml" => return download(conn, session),
            "/status" => page::inside(session, "Status", &status::render(&self.store).await),
            _ => {
                let name = path.strip_prefix("/edit/").unwrap_or_default();
                let Some(section) = section::find(name) else { return not_found(conn, session) };
                let query = form_urlencoded::parse(conn.querystring().as_bytes());
                let query: Fields = query.into_owned().collect();
                let page = field(&query, "page").and_then(|text| text.parse().ok()).unwrap_or(0);
                page::edit(session, section, page)
            }
        };
        html_page(conn, 200, html)
    }

    async fn change(&self, mut conn: Conn, visit: Visit, path: &str) -> Conn {
        let session = &visit.session;
        let Ok(fields) = read_form(&mut conn).await else { return conn.with_status(413).halt() };
        if !is_equal(&session.csrf, field(&fields, "csrf").unwrap_or_default()) {
            note(Event::FormRefused, format_args!("{} {path}", session.operator));
            let message = "The form did not come from this console. Nothing was changed.";
            return html_page(conn, 403, page::message(session, "Refused", message));
        }
        if path == "/logout" {
            note(Event::LoggedOut, &session.operator);
            self.sessions.end(&visit.secret);
            return redirect(conn, "/login");
        }
        let revision = field(&fields, "revision").and_then(|text| text.parse().ok());
        if revision != Some(session.work.revision) {
            return stale(conn, session);
        }
        match path {
            "/reload" => {
                let work = load::load(&self.store).await;
                self.keep(conn, &visit, work, "/")
            }
            "/submit" => self.submit(conn, &visit).await,
            _ => {
                let name = path.strip_prefix("/edit/").unwrap_or_default();
                let Some(section) = section::find(name) else { return not_found(conn, session) };
                let page = field(&fields, "page").and_then(|text| text.parse().ok()).unwrap_or(0);
                let draft = form::apply(&session.work.draft, section, page, &fields);
                let work = Work { draft, ..session.work.clone() };
                self.keep(conn, &visit, work, &format!("/edit/{name}?page={page}"))
            }
        }
    }

    /// Keeps changed work and shows `next`.
    fn keep(&self, conn: Conn, visit: &Visit, work: Work, next: &str) -> Conn {
        if self.sessions.replace(&visit.secret, visit.session.work.revision, work) {
            redirect(conn, next)
        } else {
            stale(conn, &visit.session)
        }
    }

    async fn submit(&self, conn: Conn, visit: &Visit) -> Conn {
        let session = &visit.session;
        let (Ok(document), Some(base)) = (text::check(&session.work.draft), session.work.base)
        else {
            let message = "The draft has faults or was not made from the store's document.";
            return html_page(conn, 409, page::message(session, "Not submitted", message));
        };
        let Some(id) = new_secret() else { return conn.with_status(500).halt() };
        let author = submission::Id { submission: id, operator: session.operator.clone() };
        let text = format_document(&document);
        let submission = Submission::new(author.clone(), text).with_base(base);
        let settled = ebonypass_node::submit::submit(&self.store, submission).await;
        let result = match settled {
            Outcome::Accepted => "accepted",
            Outcome::Refused { .. } => "refused",
            Outcome::Unreachable => "unreachable",
            Outcome::Unknown => "unknown",
        };
        count(&self.meters.submissions, result);
        let submission::Id { submission, operator } = author;
        note(Event::Submitted, format_args!("{result}, operator {operator}, id {submission}"));
        if settled == Outcome::Accepted {
            // The next change starts from what the store holds now.
            let work = load::load(&self.store).await;
            self.sessions.replace(&visit.secret, session.work.revision, work);
        }
        let session = self.sessions.get(&visit.secret).unwrap_or_else(|| session.clone());
        let status = if settled == Outcome::Accepted { 200 } else { 409 };
        html_page(conn, status, page::message(&session, "Submission", &submit::message(&settled)))
    }
}

fn stale(conn: Conn, session: &Session) -> Conn {
    let message = "The draft was changed in another window. Go back, reload and try again.";
    html_page(conn, 409, page::message(session, "Not saved", message))
}

fn not_found(conn: Conn, session: &Session) -> Conn {
    html_page(conn, 404, page::message(session, "Not found", "There is no such page."))
}

fn download(conn: Conn, session: &Session) -> Conn {
    let Ok(document) = text::check(&session.work.draft) else { return redirect(conn, "/document") };
    conn.with_response_header("content-type", "application/toml")
        .with_response_header("content-disposition", "attachment; filename=\"policy.toml\"")
        .ok(format_document(&document))
}

fn html_page(conn: Conn, status: u16, html: String) -> Conn {
    conn.with_status(status)
        .with_response_header("content-type", "text/html; charset=utf-8")
        .with_body(html)
        .halt()
}

fn redirect(conn: Conn, to: &str) -> Conn {
    conn.with_status(303).with_response_header("location", to.to_owned()).halt()
}

/// The value of a cookie of the request.
fn cookie(conn: &Conn, name: &str) -> Option<String> {
    let cookies = conn.request_headers().get_str("cookie")?;
    let mut pairs = cookies.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

async fn read_form(conn: &mut Conn) -> Result<Fields, ()> {
    let body = conn.request_body().with_max_len(MAX_FORM).read_bytes().await.map_err(|_| ())?;
    Ok(form_urlencoded::parse(&body).into_owned().collect())
}
