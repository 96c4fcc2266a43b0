//! Submitting, competing operators, store faults, and the status page.

mod common;

use common::{Browser, POLICY, Site, TOKENS, put, run};
use ebonypass_core::scan::scan_document;
use ebonypass_node::store::Store;
use test_case::test_case;

async fn log_in(site: &Site, token: &str) -> Browser {
    let browser = site.browser();
    assert_eq!(browser.log_in(token).await.status, 303);
    browser
}

/// Adds a member and submits; gives status and text of the result.
async fn submit(browser: &Browser, member: &str) -> (u16, String) {
    let fields = [("r0c0", "windelrunde"), ("r1c0", member)];
    assert_eq!(browser.fill("/edit/member", "/edit/member", &fields).await.status, 303);
    let page = browser.fill("/document", "/submit", &[]).await;
    (page.status, page.body)
}

/// Guards against a submission that is lost, or that carries another name or no id.
#[test_case("{}"; "healthy store")]
#[test_case(r#"{"lose_replies":1}"#; "reply lost")]
#[test_case(r#"{"delay_ms":100}"#; "slow store")]
fn accepted(fault: &'static str) {
    run(async {
        let site = Site::start(Some(POLICY)).await;
        let browser = log_in(&site, TOKENS[1]).await;
        site.fault(fault).await;
        let (status, body) = submit(&browser, "podilato").await;
        assert!(status == 200 && body.contains("was accepted"), "{body}");
        let (version, envelope) = site.current().await;
        assert_eq!((version, envelope.operator.as_str()), (2, "carla"));
        assert_eq!(envelope.submission.len(), 64);
        assert_eq!(envelope.earlier[0].operator, "bert");
        let document = scan_document(&envelope.text).expect("valid");
        assert!(document.member("podilato").is_some());
        // The next change starts from the accepted version.
        assert!(submit(&browser, "third").await.1.contains("was accepted"));
        assert_eq!(site.current().await.0, 3);
        site.close().await;
    });
}

/// Guards against an operator who undoes another's change without seeing it.
#[test]
fn competing_operators() {
    run(async {
        let site = Site::start(Some(POLICY)).await;
        let anna = log_in(&site, TOKENS[0]).await;
        let carla = log_in(&site, TOKENS[1]).await;
        assert_eq!(submit(&anna, "from-anna").await.0, 200);
        let (status, body) = submit(&carla, "from-carla").await;
        assert!(status == 409 && body.contains("not accepted: anna"), "{body}");
        assert!(site.current().await.1.text.contains("from-anna"));
        // The draft is kept until the operator reloads.
        assert!(carla.get("/document").await.body.contains("from-carla"));
        assert_eq!(carla.fill("/", "/reload", &[]).await.status, 303);
        assert!(carla.get("/document").await.body.contains("from-anna"));
        site.close().await;
    });
}

/// A store without a document takes the first one.
#[test]
fn first_document() {
    run(async {
        let site = Site::start(None).await;
        let browser = log_in(&site, TOKENS[0]).await;
        assert_eq!(submit(&browser, "podilato").await.0, 200);
        assert_eq!(site.current().await.0, 1);
        site.close().await;
    });
}

/// Nothing is submitted while the store is down or its document could not be read.
#[test_case(false; "down at submission")]
#[test_case(true; "down at log in")]
fn store_down(at_log_in: bool) {
    run(async {
        let site = Site::start(Some(POLICY)).await;
        if at_log_in {
            site.fault(r#"{"outage":true}"#).await;
        }
        let browser = log_in(&site, TOKENS[0]).await;
        site.fault(if at_log_in { "{}" } else { r#"{"outage":true}"# }).await;
        let (status, body) = submit(&browser, "podilato").await;
        let expected = if at_log_in { "not made from the store" } else { "Nothing was submitted" };
        assert!(status == 409 && body.contains(expected), "{body}");
        let status = browser.get("/status").await.body;
        assert_eq!(status.contains("could not be read"), !at_log_in);
        site.fault("{}").await;
        assert_eq!(site.current().await.0, 1);
        site.close().await;
    });
}

/// A document that this version cannot read is not overwritten by an empty draft.
#[test]
fn unreadable_document() {
    run(async {
        let site = Site::start(Some("schema = 2")).await;
        let browser = log_in(&site, TOKENS[0]).await;
        assert!(browser.get("/").await.body.contains("not readable here"));
        assert_eq!(submit(&browser, "podilato").await.0, 409);
        assert_eq!(site.current().await.0, 1);
        site.close().await;
    });
}

/// The status page shows what each data centre says, also when one object is not readable.
#[test]
fn status_page() {
    run(async {
        let site = Site::start(Some(POLICY)).await;
        let good =
            r#"{"versions":{"1":3,"0":1},"draining":[{"subject":"<zurich-1>","in_flight":4}]}"#;
        site.store.put("status/zurich-1", good.into(), 0).await.expect("written");
        site.store.put("status/geneva-1", b"?".to_vec(), 0).await.expect("written");
        put(&site.store, POLICY, "dora", 1).await;
        let body = log_in(&site, TOKENS[0]).await.get("/status").await.body;
        for part in [
            "version 2, submitted by dora",
            "version 0: 1<br>version 1: 3",
            "&lt;zurich-1&gt;: 4 requests in flight",
            "not readable",
        ] {
            assert!(body.contains(part), "{part}: {body}");
        }
        site.close().await;
    });
}
