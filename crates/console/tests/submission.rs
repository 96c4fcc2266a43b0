//! Submissions, concurrent operators, faults of the store, and the status page.

mod common;

use common::{Browser, Fixture, POLICY, TOKENS, put_policy, run_with_timeout};
use ebonypass_core::scan::scan_document;
use ebonypass_node::store::Store;
use test_case::test_case;

async fn log_in(fixture: &Fixture, token: &str) -> Browser {
    let browser = fixture.browser();
    assert_eq!(browser.log_in(token).await.status, 303);
    browser
}

/// Adds a member and submits the draft. Returns the status code and body of the response.
async fn submit(browser: &Browser, member: &str) -> (u16, String) {
    let fields = [("r0c0", "windelrunde"), ("r1c0", member)];
    assert_eq!(browser.submit_form("/edit/member", "/edit/member", &fields).await.status, 303);
    let page = browser.submit_form("/document", "/submit", &[]).await;
    (page.status, page.body)
}

/// Guards against a submission that is lost, has the wrong operator or has no ID, also when the
/// store is slow or its reply is lost.
#[test_case("{}"; "healthy store")]
#[test_case(r#"{"lose_replies":1}"#; "reply lost")]
#[test_case(r#"{"delay_ms":100}"#; "slow store")]
fn submission_is_accepted(fault: &'static str) {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let browser = log_in(&fixture, TOKENS[1]).await;
        fixture.set_fault(fault).await;
        let (status, body) = submit(&browser, "podilato").await;
        assert!(status == 200 && body.contains("was accepted"), "{body}");
        let (version, envelope) = fixture.current_policy().await;
        assert_eq!((version, envelope.operator.as_str()), (2, "carla"));
        assert_eq!(envelope.submission.len(), 64);
        assert_eq!(envelope.earlier[0].operator, "bert");
        let document = scan_document(&envelope.text).expect("valid");
        assert!(document.member("podilato").is_some());
        // The next draft is based on the accepted version.
        assert!(submit(&browser, "third").await.1.contains("was accepted"));
        assert_eq!(fixture.current_policy().await.0, 3);
        fixture.close().await;
    });
}

/// Guards against a lost update: a submission must not overwrite a change that its draft does not
/// include.
#[test]
fn concurrent_submission_is_refused() {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let anna = log_in(&fixture, TOKENS[0]).await;
        let carla = log_in(&fixture, TOKENS[1]).await;
        assert_eq!(submit(&anna, "from-anna").await.0, 200);
        let (status, body) = submit(&carla, "from-carla").await;
        assert!(status == 409 && body.contains("not accepted: anna"), "{body}");
        assert!(fixture.current_policy().await.1.text.contains("from-anna"));
        // The draft is kept until the operator reloads.
        assert!(carla.get("/document").await.body.contains("from-carla"));
        assert_eq!(carla.submit_form("/", "/reload", &[]).await.status, 303);
        assert!(carla.get("/document").await.body.contains("from-anna"));
        fixture.close().await;
    });
}

/// The first document can be submitted to an empty store.
#[test]
fn first_document() {
    run_with_timeout(async {
        let fixture = Fixture::start(None).await;
        let browser = log_in(&fixture, TOKENS[0]).await;
        assert_eq!(submit(&browser, "podilato").await.0, 200);
        assert_eq!(fixture.current_policy().await.0, 1);
        fixture.close().await;
    });
}

/// Nothing is submitted while the store is down, or if it was down when the draft was created.
#[test_case(false; "down at submission")]
#[test_case(true; "down at log in")]
fn nothing_is_submitted_during_an_outage(at_log_in: bool) {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        if at_log_in {
            fixture.set_fault(r#"{"outage":true}"#).await;
        }
        let browser = log_in(&fixture, TOKENS[0]).await;
        fixture.set_fault(if at_log_in { "{}" } else { r#"{"outage":true}"# }).await;
        let (status, body) = submit(&browser, "podilato").await;
        let expected = if at_log_in { "not made from the store" } else { "Nothing was submitted" };
        assert!(status == 409 && body.contains(expected), "{body}");
        let status = browser.get("/status").await.body;
        assert_eq!(status.contains("could not be read"), !at_log_in);
        fixture.set_fault("{}").await;
        assert_eq!(fixture.current_policy().await.0, 1);
        fixture.close().await;
    });
}

/// A document with an unsupported schema is not overwritten by the empty draft.
#[test]
fn unreadable_document_is_not_overwritten() {
    run_with_timeout(async {
        let fixture = Fixture::start(Some("schema = 2")).await;
        let browser = log_in(&fixture, TOKENS[0]).await;
        assert!(browser.get("/").await.body.contains("not readable here"));
        assert_eq!(submit(&browser, "podilato").await.0, 409);
        assert_eq!(fixture.current_policy().await.0, 1);
        fixture.close().await;
    });
}

/// The status page shows each data centre, also when a status object cannot be parsed.
#[test]
fn status_page() {
    run_with_timeout(async {
        let fixture = Fixture::start(Some(POLICY)).await;
        let good =
            r#"{"versions":{"1":3,"0":1},"draining":[{"subject":"<zurich-1>","in_flight":4}]}"#;
        fixture.store.put("status/zurich-1", good.into(), 0).await.expect("written");
        fixture.store.put("status/geneva-1", b"?".to_vec(), 0).await.expect("written");
        put_policy(&fixture.store, POLICY, "dora", 1).await;
        let body = log_in(&fixture, TOKENS[0]).await.get("/status").await.body;
        for expected in [
            "version 2, submitted by dora",
            "version 0: 1<br>version 1: 3",
            "&lt;zurich-1&gt;: 4 requests in flight",
            "not readable",
        ] {
            assert!(body.contains(expected), "{expected}: {body}");
        }
        fixture.close().await;
    });
}
