//! Log-in, sessions, forged forms, public pages and settings.

mod common;

use std::path::Path;

use common::{Fixture, POLICY, TOKENS, run_with_timeout};
use ebonypass_console::settings::Settings;
use ebonypass_node::settings::scan;
use test_case::test_case;

/// Guards against accepting a prefix of a token, and against accepting only the first operator's.
#[test_case(TOKENS[0], true; "first operator")]
#[test_case(TOKENS[1], true; "second operator")]
#[test_case("", false; "empty")]
#[test_case("0123456789abcdef", false; "start only")]
#[test_case("0123456789abcdef0123456789abcdeg", false; "last character")]
fn log_in(token: &str, is_accepted: bool) {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let browser = fixture.browser();
        assert_eq!(browser.get("/").await.location.as_deref(), Some("/login"));
        let response = browser.log_in(token).await;
        assert_eq!(response.status, if is_accepted { 303 } else { 403 });
        assert!(
            response.cookies[0].contains("; HttpOnly; SameSite=Strict"),
            "{:?}",
            response.cookies
        );
        let response = browser.get("/").await;
        assert_eq!(response.status, if is_accepted { 200 } else { 303 });
        assert!(
            response.security_policy.is_some_and(|policy| policy.starts_with("default-src 'none'"))
        );
        fixture.close().await;
    });
}

/// A form without a valid CSRF token is refused and changes nothing.
#[test_case("/login"; "login")]
#[test_case("/logout"; "logout")]
#[test_case("/reload"; "reload")]
#[test_case("/submit"; "submit")]
#[test_case("/edit/member"; "edit")]
fn forged_form(path: &str) {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let browser = fixture.browser();
        browser.log_in(TOKENS[0]).await;
        let forged = [("csrf", "0"), ("revision", "0"), ("token", TOKENS[0]), ("r0c0", "other")];
        assert_eq!(browser.post(path, &forged).await.status, 403);
        assert_eq!(browser.post(path, &forged[1..]).await.status, 403);
        assert!(browser.get("/edit/member").await.body.contains("value=\"windelrunde\""));
        assert_eq!(fixture.current_policy().await.0, 1);
        fixture.close().await;
    });
}

/// Guards against a session that stays valid after log-out.
#[test]
fn log_out() {
    run_with_timeout(async {
        let fixture = Fixture::start(None).await;
        let browser = fixture.browser();
        browser.log_in(TOKENS[0]).await;
        assert_eq!(browser.submit_form("/", "/logout", &[]).await.status, 303);
        assert_eq!(browser.get("/document").await.location.as_deref(), Some("/login"));
        assert_eq!(browser.post("/submit", &[]).await.status, 403);
        fixture.close().await;
    });
}

/// Pages that need no log-in reveal nothing of the document.
#[test_case("/health", "ok"; "health")]
#[test_case("/metrics", "ebonypass_console_refused_log_ins"; "metrics")]
#[test_case("/style.css", "body"; "style")]
fn public_page(path: &str, expected: &str) {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let response = fixture.browser().get(path).await;
        assert_eq!(response.status, 200);
        let media_type = response.media_type.as_deref().unwrap_or_default();
        assert_eq!(media_type.starts_with("application/openmetrics-text"), path == "/metrics");
        assert!(
            response.body.contains(expected) && !response.body.contains("windelrunde"),
            "{}",
            response.body
        );
        fixture.close().await;
    });
}

/// Invalid settings are refused, and the error names the field.
#[test_case("listen = \"0.0.0.0:80\"", "listen"; "not loopback")]
#[test_case("idle_minutes = 0", "idle_minutes"; "no idle time")]
#[test_case("listem = \"127.0.0.1:1\"", "listem"; "unknown field")]
#[test_case("operator = []", "operator"; "nobody")]
#[test_case("operator = [{ name = \"a\", token_file = \"absent\" }]", "operator.token_file"; "no token")]
#[test_case("operator = [{ name = \"a\", token_file = \"Cargo.toml\" }]", ""; "valid")]
fn invalid_settings(line: &str, field: &str) {
    let operator = "operator = [{ name = \"a\", token_file = \"Cargo.toml\" }]";
    let operator = if line.starts_with("operator") { "" } else { operator };
    let text = format!("store = \"127.0.0.1:6000\"\n{line}\n{operator}");
    let result = scan::<Settings>(&text, Path::new(env!("CARGO_MANIFEST_DIR")));
    assert_eq!(result.err().map(|fault| fault.field).unwrap_or_default(), field);
}
