//! The HTTP server: routes, headers, log-in and forms.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::format::format_document;
use ebonypass_core::submission::{self, Outcome, Submission};
use ebonypass_node::metric::Exporter;
use ebonypass_node::store::Http;
use ebonypass_node::trace::{Context, Span};
use prometheus_client::registry::Registry;
use trillium::{Conn, Handler, Method};
use trillium_server_common::ServerHandle;

use crate::event::{Event, emit};
use crate::form::{self, Fields, field};
use crate::html::STYLESHEET;
use crate::metric::{Counters, count};
use crate::session::{Session, Sessions, Workspace, authenticate, constant_time_eq, new_secret};
use crate::settings::Settings;
use crate::{check, load, page, section, status, submit};

/// Maximum size of a form in bytes. A page of the longest rows has about 100 KB.
const MAX_FORM_BYTES: u64 = 1 << 20;

/// Delay of the response to a wrong token, to limit the rate of guesses over one connection.
const FAILED_LOG_IN_DELAY: Duration = Duration::from_millis(500);

/// The cookie that holds the session ID.
const SESSION_COOKIE: &str = "session";
/// The cookie that the CSRF token of the log-in form must equal.
const LOG_IN_COOKIE: &str = "login";

/// Allows stylesheets and form targets of the console's own origin only: no scripts, no framing.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                      base-uri 'none'; frame-ancestors 'none'";

/// A running console.
#[derive(Debug)]
pub struct Server {
    handle: ServerHandle,
    address: SocketAddr,
}

/// The state that all connections share.
struct Console {
    settings: Settings,
    store: Http,
    sessions: Sessions,
    metrics: Exporter,
    counters: Counters,
}

/// The session that a request belongs to.
struct Login {
    id: String,
    session: Session,
}

impl Server {
    /// Starts the server.
    ///
    /// Errors: the listen address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Server> {
        let mut registry = Registry::default();
        let counters = Counters::new(&mut registry);
        let idle_timeout = Duration::from_secs(settings.idle_minutes * 60);
        let listen = settings.listen;
        let store = Http::new(settings.store);
        let (sessions, metrics) = (Sessions::new(idle_timeout), Exporter::new(registry));
        let console = Arc::new(Console { settings, store, sessions, metrics, counters });
        let config = trillium_smol::config().without_signals().with_nodelay().listeners();
        let handle = config.bind_tcp(listen)?.spawn(move |conn: Conn| {
            let console = console.clone();
            async move { console.serve(conn).await }
        });
        let address = handle.info().await.tcp_socket_addr().copied().unwrap_or(listen);
        Ok(Server { handle, address })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for the requests in flight.
    pub async fn close(self) {
        self.handle.shut_down().await;
    }
}

impl Console {
    /// Handles a request: counts and traces it and adds the security headers.
    async fn serve(&self, conn: Conn) -> Conn {
        let parent = Context::from_header(conn.request_headers().get_str("traceparent"));
        let span = Span::new(parent, "console");
        let conn = self.route(conn).await;
        let status = conn.status().map_or(404, |status| status as u16).to_string();
        count(&self.counters.requests, status.as_str());
        span.close(&status);
        conn.with_response_header("content-security-policy", CONTENT_SECURITY_POLICY)
            .with_response_header("x-content-type-options", "nosniff")
            .with_response_header("referrer-policy", "no-referrer")
            .with_response_header("cache-control", "no-store")
    }

    /// Dispatches a request by method and path. All but the public pages require a session.
    async fn route(&self, conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/health") => conn.ok("ok\n"),
            (Method::Get, "/metrics") => self.metrics.run(conn).await,
            (Method::Get, "/style.css") => {
                conn.with_response_header("content-type", "text/css").ok(STYLESHEET)
            }
            (Method::Get, "/login") => self.log_in_page(conn, 200, ""),
            (Method::Post, "/login") => self.log_in(conn).await,
            (method, _) => match self.find_login(&conn) {
                None if method == Method::Get => redirect(conn, "/login"),
                None => self.log_in_page(conn, 403, "The session has ended. Log in again."),
                Some(login) if method == Method::Get => self.handle_get(conn, login, &path).await,
                Some(login) if method == Method::Post => self.handle_post(conn, login, &path).await,
                Some(_) => conn.with_status(405).halt(),
            },
        }
    }

    /// Returns the login of a request; `None` without a valid session cookie.
    fn find_login(&self, conn: &Conn) -> Option<Login> {
        let id = cookie(conn, SESSION_COOKIE)?;
        let session = self.sessions.get(&id)?;
        Some(Login { id, session })
    }

    /// Responds with the log-in form and sets the cookie that its CSRF token must equal.
    fn log_in_page(&self, conn: Conn, status: u16, message: &str) -> Conn {
        let Some(csrf_token) = new_secret() else { return conn.with_status(500).halt() };
        let html = page::log_in(&csrf_token, message);
        let cookie = self.cookie_header(LOG_IN_COOKIE, &csrf_token);
        respond_html(conn, status, html).with_response_header("set-cookie", cookie)
    }

    /// Returns a `set-cookie` value. Scripts cannot read the cookie, and browsers do not send it
    /// with requests from other sites.
    fn cookie_header(&self, name: &str, value: &str) -> String {
        let secure = if self.settings.behind_tls { "; Secure" } else { "" };
        format!("{name}={value}; Path=/; HttpOnly; SameSite=Strict{secure}")
    }

    /// Checks the log-in form and creates a session.
    async fn log_in(&self, mut conn: Conn) -> Conn {
        let Ok(fields) = read_form(&mut conn).await else { return conn.with_status(413).halt() };
        let expected_csrf_token = cookie(&conn, LOG_IN_COOKIE).unwrap_or_default();
        let csrf_token = field(&fields, "csrf").unwrap_or_default();
        if expected_csrf_token.is_empty() || !constant_time_eq(&expected_csrf_token, csrf_token) {
            emit(Event::FormRefused, "log-in");
            return self.log_in_page(conn, 403, "The form has expired. Try again.");
        }
        let token = field(&fields, "token").unwrap_or_default().trim();
        let Some(operator) = authenticate(&self.settings.operators, token) else {
            self.counters.refused_log_ins.inc();
            emit(Event::LogInRefused, "wrong token");
            smol::Timer::after(FAILED_LOG_IN_DELAY).await;
            return self.log_in_page(conn, 403, "The token is not known.");
        };
        let workspace = load::load(&self.store).await;
        let Some(session_id) = self.sessions.create(operator.name.clone(), workspace) else {
            return conn.with_status(500).halt();
        };
        emit(Event::LoggedIn, &operator.name);
        let cookie = self.cookie_header(SESSION_COOKIE, &session_id);
        redirect(conn, "/").with_response_header("set-cookie", cookie)
    }

    /// Handles a GET request of a logged-in operator.
    async fn handle_get(&self, conn: Conn, login: Login, path: &str) -> Conn {
        let session = &login.session;
        let html = match path {
            "/" => page::overview(session),
            "/document" => page::document(session),
            "/document.toml" => return download(conn, session),
            "/status" => {
                page::with_navigation(session, "Status", &status::render(&self.store).await)
            }
            _ => {
                let name = path.strip_prefix("/edit/").unwrap_or_default();
                let Some(section) = section::position(name) else {
                    return not_found(conn, session);
                };
                let query = form_urlencoded::parse(conn.querystring().as_bytes());
                let query: Fields = query.into_owned().collect();
                let page = field(&query, "page").and_then(|text| text.parse().ok()).unwrap_or(0);
                page::edit(session, section, page)
            }
        };
        respond_html(conn, 200, html)
    }

    /// Handles a POST request of a logged-in operator. Refuses forms without the session's CSRF
    /// token, and forms of an older revision of the draft.
    async fn handle_post(&self, mut conn: Conn, login: Login, path: &str) -> Conn {
        let session = &login.session;
        let Ok(fields) = read_form(&mut conn).await else { return conn.with_status(413).halt() };
        if !constant_time_eq(&session.csrf_token, field(&fields, "csrf").unwrap_or_default()) {
            emit(Event::FormRefused, format_args!("{} {path}", session.operator));
            let message = "The form did not come from this console. Nothing was changed.";
            return respond_html(conn, 403, page::message(session, "Refused", message));
        }
        if path == "/logout" {
            emit(Event::LoggedOut, &session.operator);
            self.sessions.remove(&login.id);
            return redirect(conn, "/login");
        }
        let revision = field(&fields, "revision").and_then(|text| text.parse().ok());
        if revision != Some(session.workspace.revision) {
            return stale_revision(conn, session);
        }
        match path {
            "/reload" => {
                let workspace = load::load(&self.store).await;
                self.save(conn, &login, workspace, "/")
            }
            "/submit" => self.submit(conn, &login).await,
            _ => {
                let name = path.strip_prefix("/edit/").unwrap_or_default();
                let Some(section) = section::position(name) else {
                    return not_found(conn, session);
                };
                let page = field(&fields, "page").and_then(|text| text.parse().ok()).unwrap_or(0);
                let draft = form::apply(&session.workspace.draft, section, page, &fields);
                let workspace = Workspace { draft, ..session.workspace.clone() };
                self.save(conn, &login, workspace, &format!("/edit/{name}?page={page}"))
            }
        }
    }

    /// Stores a changed workspace in the session and redirects to `next_path`.
    fn save(&self, conn: Conn, login: &Login, workspace: Workspace, next_path: &str) -> Conn {
        if self.sessions.replace_workspace(&login.id, login.session.workspace.revision, workspace) {
            redirect(conn, next_path)
        } else {
            stale_revision(conn, &login.session)
        }
    }

    /// Submits the draft. If it is accepted, the session continues with the store's document.
    async fn submit(&self, conn: Conn, login: &Login) -> Conn {
        let session = &login.session;
        let (Ok(document), Some(base_version)) =
            (check::check_draft(&session.workspace.draft), session.workspace.base_version)
        else {
            let message = "The draft has faults or was not made from the store's document.";
            return respond_html(conn, 409, page::message(session, "Not submitted", message));
        };
        let Some(id) = new_secret() else { return conn.with_status(500).halt() };
        let author = submission::Id { submission: id, operator: session.operator.clone() };
        let text = format_document(&document);
        let submission = Submission::new(author.clone(), text).with_base(base_version);
        let outcome = ebonypass_node::submit::submit(&self.store, submission).await;
        let result = match outcome {
            Outcome::Accepted => "accepted",
            Outcome::Refused { .. } => "refused",
            Outcome::Unreachable => "unreachable",
            Outcome::Unknown => "unknown",
        };
        count(&self.counters.submissions, result);
        let submission::Id { submission, operator } = author;
        emit(Event::Submitted, format_args!("{result}, operator {operator}, id {submission}"));
        if outcome == Outcome::Accepted {
            // The next draft is based on the version that is now in the store.
            let workspace = load::load(&self.store).await;
            self.sessions.replace_workspace(&login.id, session.workspace.revision, workspace);
        }
        let session = self.sessions.get(&login.id).unwrap_or_else(|| session.clone());
        let status = if outcome == Outcome::Accepted { 200 } else { 409 };
        respond_html(
            conn,
            status,
            page::message(&session, "Submission", &submit::message(&outcome)),
        )
    }
}

/// Responds to a form of an older revision of the draft.
fn stale_revision(conn: Conn, session: &Session) -> Conn {
    let message = "The draft was changed in another window. Go back, reload and try again.";
    respond_html(conn, 409, page::message(session, "Not saved", message))
}

fn not_found(conn: Conn, session: &Session) -> Conn {
    respond_html(conn, 404, page::message(session, "Not found", "There is no such page."))
}

/// Responds with the document as a TOML file, or redirects to its faults.
fn download(conn: Conn, session: &Session) -> Conn {
    let Ok(document) = check::check_draft(&session.workspace.draft) else {
        return redirect(conn, "/document");
    };
    conn.with_response_header("content-type", "application/toml")
        .with_response_header("content-disposition", "attachment; filename=\"policy.toml\"")
        .ok(format_document(&document))
}

fn respond_html(conn: Conn, status: u16, html: String) -> Conn {
    conn.with_status(status)
        .with_response_header("content-type", "text/html; charset=utf-8")
        .with_body(html)
        .halt()
}

/// Redirects to the path `to` with a GET request.
fn redirect(conn: Conn, to: &str) -> Conn {
    conn.with_status(303).with_response_header("location", to.to_owned()).halt()
}

/// Returns the value of a cookie of the request.
fn cookie(conn: &Conn, name: &str) -> Option<String> {
    let cookies = conn.request_headers().get_str("cookie")?;
    let mut pairs = cookies.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// Reads the fields of a form. Fails if it is larger than [`MAX_FORM_BYTES`] or cannot be read.
async fn read_form(conn: &mut Conn) -> Result<Fields, ()> {
    let body =
        conn.request_body().with_max_len(MAX_FORM_BYTES).read_bytes().await.map_err(|_| ())?;
    Ok(form_urlencoded::parse(&body).into_owned().collect())
}
