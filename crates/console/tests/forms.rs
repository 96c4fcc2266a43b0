//! Editing: all sections of the document, faults at their fields, and escaping.

mod common;

use common::{Browser, Fixture, POLICY, TOKENS, run_with_timeout};
use ebonypass_core::format::format_document;
use ebonypass_core::scan::scan_document;
use test_case::test_case;

const SECTIONS: [&str; 10] = [
    "shift",
    "member",
    "region",
    "data_centre",
    "link",
    "service",
    "service.kind",
    "service.shift",
    "drain",
    "block",
];

async fn start_logged_in(policy: Option<&str>) -> (Fixture, Browser) {
    let fixture = Fixture::start(policy).await;
    let browser = fixture.browser();
    assert_eq!(browser.log_in(TOKENS[0]).await.status, 303);
    (fixture, browser)
}

async fn save(browser: &Browser, section: &str, fields: &[(&str, &str)]) {
    let path = format!("/edit/{section}");
    let page = browser.submit_form(&path, &path, fields).await;
    assert_eq!(page.status, 303, "{}", page.body);
}

/// Guards against a change of the document by loading it and writing it out again.
#[test]
fn download_equals_stored_document() {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(Some(POLICY)).await;
        let expected = format_document(&scan_document(POLICY).expect("valid"));
        assert_eq!(browser.get("/document.toml").await.body, expected);
        fixture.close().await;
    });
}

/// Guards against a section of the document that has no form.
#[test]
fn forms_cover_every_section() {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(None).await;
        let rows: [(&str, &[&[&str]]); 10] = [
            ("shift", &[&["10", "30"]]),
            ("member", &[&["windelrunde"]]),
            ("region", &[&["zurich", "4"], &["geneva", "4"]]),
            ("data_centre", &[&["zurich-1", "zurich"], &["geneva-1", "geneva"]]),
            ("link", &[&["zurich", "geneva", "4000", "20000"]]),
            ("service", &[&["swaps", "windelrunde", "3", "400", "zurich-1=2, geneva-1 = 2"]]),
            ("service.kind", &[&["swaps", "log", "false", "1000"]]),
            ("service.shift", &[&["swaps", "zurich", "geneva", "10"]]),
            (
                "drain",
                &[&["target", "swaps-zurich-1-01", "2026-12-05T02:00:00Z", "2026-12-05T03:00:00Z"]],
            ),
            ("block", &[&["10.1.0.0/16", "zurich-1"]]),
        ];
        for (section, rows) in rows {
            let mut fields = Vec::new();
            for (row, values) in rows.iter().enumerate() {
                for (column, value) in values.iter().enumerate() {
                    fields.push((format!("r{row}c{column}"), *value));
                }
            }
            let fields: Vec<(&str, &str)> =
                fields.iter().map(|(name, value)| (name.as_str(), *value)).collect();
            save(&browser, section, &fields).await;
        }
        let expected = format_document(&scan_document(POLICY).expect("valid"));
        assert_eq!(browser.get("/document.toml").await.body, expected);
        fixture.close().await;
    });
}

/// Each fault is shown at its field, and on the document page with a link to the field's form.
#[test_case("member", "r0c0", "Big Name", "EP-1007"; "bad name")]
#[test_case("region", "r0c1", "many", "EP-1005"; "no number")]
#[test_case("region", "r1c1", "65", "EP-1006"; "out of range")]
#[test_case("data_centre", "r1c1", "lugano", "EP-1009"; "unknown region")]
#[test_case("link", "r0c2", "", "EP-1005"; "empty number")]
#[test_case("service", "r0c1", "windelrunde, podilato", "EP-1009"; "unknown member")]
#[test_case("service", "r0c4", "zurich-1", "EP-1005"; "no count")]
#[test_case("service", "r0c4", "zurich-1 = 1, zurich-1 = 2", "EP-1005"; "centre twice")]
#[test_case("service.kind", "r0c0", "rounds", "EP-1009"; "unknown service")]
#[test_case("service.kind", "r0c2", "", "EP-1005"; "no choice")]
#[test_case("drain", "r0c0", "", "EP-1011"; "no subject")]
#[test_case("drain", "r0c0", "region", "EP-1011"; "wrong subject")]
#[test_case("drain", "r0c2", "tomorrow", "EP-1005"; "no time")]
#[test_case("block", "r0c0", "10.1.0.1/16", "EP-1015"; "host bits")]
#[test_case("member", "r0c0", "a\" b = \"c", "EP-1007"; "quotes")]
#[test_case("member", "r0c0", "a\n[[region]]", "EP-1007"; "line break")]
fn fault_is_shown_at_its_field(section: &str, field: &str, text: &str, code: &str) {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(Some(POLICY)).await;
        let path = format!("/edit/{section}");
        let before = browser.get(&path).await.body;
        assert!(!before.contains("class=\"fault"), "{before}");
        let fields = edited_fields(&before, field, text);
        let fields: Vec<(&str, &str)> =
            fields.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        save(&browser, section, &fields).await;
        let after = browser.get(&path).await.body;
        let fault = format!("<div class=\"fault\" id=\"{field}fault\">{code}: ");
        assert!(after.contains(&fault), "{after}");
        assert!(after.contains(&format!("aria-describedby=\"{field}fault\"")), "{after}");
        let document_page = browser.get("/document").await.body;
        assert!(document_page.contains(&format!("<a href=\"{path}?page=0\">")), "{document_page}");
        assert!(!document_page.contains("action=\"/submit\""), "{document_page}");
        assert_eq!(browser.submit_form("/document", "/submit", &[]).await.status, 409);
        assert_eq!(fixture.current_policy().await.0, 1);
        fixture.close().await;
    });
}

/// Returns the fields of a form as a browser sends them, with the value of `field` replaced.
fn edited_fields(html: &str, field: &str, text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    for part in html.split("name=\"r").skip(1) {
        let name = format!("r{}", part.split('"').next().expect("a name"));
        let input = part.split("<td>").next().expect("an input");
        let chosen =
            input.split("<option selected>").nth(1).and_then(|rest| rest.split('<').next());
        let shown = input.split("value=\"").nth(1).and_then(|rest| rest.split('"').next());
        let value = chosen.or(shown.filter(|_| !input.contains("<option"))).unwrap_or_default();
        if name.contains('c') {
            let value = if name == field { text } else { value };
            fields.push((name, value.to_owned()));
        }
    }
    fields
}

/// Text from operators is never interpreted as HTML.
#[test]
fn text_is_escaped() {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(Some(POLICY)).await;
        let text = "\"><script>alert('x')</script>&";
        save(&browser, "member", &[("r0c0", text)]).await;
        let paths = ["/", "/document", "/edit/member"];
        for path in paths {
            let body = browser.get(path).await.body;
            assert!(!body.contains("<script"), "{path}: {body}");
        }
        let escaped = "&quot;&gt;&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;&amp;";
        assert!(browser.get("/edit/member").await.body.contains(escaped));
        fixture.close().await;
    });
}

/// Rows can be deleted, and a form that was rendered before a change cannot undo it.
#[test]
fn stale_form_is_refused() {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(Some(POLICY)).await;
        let old = browser.get("/edit/member").await.body;
        let (csrf, revision) =
            (common::field_value(&old, "csrf"), common::field_value(&old, "revision"));
        let fields = [("r0c0", "windelrunde"), ("r0delete", "on"), ("r1c0", "podilato")];
        save(&browser, "member", &fields).await;
        let stale = [("csrf", csrf.as_str()), ("revision", revision.as_str()), ("r0c0", "late")];
        assert_eq!(browser.post("/edit/member", &stale).await.status, 409);
        let body = browser.get("/edit/member").await.body;
        assert!(body.contains("value=\"podilato\""), "{body}");
        assert!(!body.contains("value=\"windelrunde\"") && !body.contains("late"), "{body}");
        fixture.close().await;
    });
}

/// Saving one page of a section keeps the rows of its other pages.
#[test]
fn saving_a_page_keeps_other_pages() {
    run_with_timeout(async {
        let blocks = (1..=120).map(|index| {
            format!("[[block]]\ncidr = \"10.{index}.0.0/24\"\ndata_centre = \"zurich-1\"\n")
        });
        let blocks = blocks.collect::<String>();
        let policy =
            POLICY.replace("block = [{ cidr = \"10.1.0.0/16\", data_centre = \"zurich-1\" }]", "");
        let (fixture, browser) = start_logged_in(Some(&format!("{policy}\n{blocks}"))).await;
        let fields = [("page", "1"), ("r50c0", "10.200.0.0/24"), ("r50c1", "geneva-1")];
        let path = "/edit/block?page=1";
        assert_eq!(browser.submit_form(path, "/edit/block", &fields).await.status, 303);
        let text = browser.get("/document.toml").await.body;
        let document = scan_document(&text).expect("valid");
        // One row replaced the 50 rows of the second page.
        assert_eq!(document.blocks.len(), 71);
        assert_eq!(document.blocks[50].network.octets()[1], 200);
        assert_eq!(document.blocks[51].network.octets()[1], 101);
        fixture.close().await;
    });
}

/// Every form has a CSRF token, and no page contains a script.
#[test]
fn pages_have_csrf_fields_and_no_scripts() {
    run_with_timeout(async {
        let (fixture, browser) = start_logged_in(Some(POLICY)).await;
        let others = ["/", "/document", "/status"].map(str::to_owned);
        let forms = SECTIONS.map(|section| format!("/edit/{section}"));
        for path in others.iter().chain(&forms) {
            let page = browser.get(path).await;
            assert_eq!(page.status, 200);
            let forms = page.body.matches("<form").count();
            assert_eq!(page.body.matches("name=\"csrf\"").count(), forms, "{path}");
            assert!(!page.body.contains("<script") && !page.body.contains("onclick"));
        }
        assert_eq!(browser.get("/edit/nothing").await.status, 404);
        fixture.close().await;
    });
}
