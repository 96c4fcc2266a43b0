//! Settings. Guards against a process that starts with settings that cannot work.

use std::path::Path;
use std::time::Duration;

use ebonypass_gateway::settings::Settings;
use ebonypass_node::settings::scan;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../gateway.example.toml");

#[test]
fn accepts_the_example() {
    let settings: Settings = scan(EXAMPLE, Path::new("")).unwrap();
    assert_eq!(settings.name, "vm-zurich-1");
}

#[test_case("name = \"vm-zurich-1\"", "name = \"\"", "name"; "an empty name")]
#[test_case("region = \"zurich\"", "region = \"geneva\"", "region"; "the region of another data centre")]
#[test_case("metrics_port = 7621", "metrics_port = 7620", "listen.metrics_port"; "one port twice")]
#[test_case("memory_mb = 260", "memory_mb = 1", "limits.memory_mb"; "too little memory")]
#[test_case("cpu_share = 0.2", "cpu_share = 0.0", "limits.cpu_share"; "no processor")]
#[test_case("link_mbps = 1000", "link_mbps = 0", "limits.link_mbps"; "no link")]
#[test_case("mesh = 130", "mesh = 0", "limits.connections.mesh"; "a listener without connections")]
#[test_case("body_stall_ms = 400", "body_stall_ms = 1", "limits.body_stall_ms"; "no time for a body")]
#[test_case("socket_buffer_kb = 64", "socket_buffer_kb = 1", "limits.socket_buffer_kb"; "too small a buffer")]
#[test_case("repeat_ratio = 0.2", "repeat_ratio = 2.0", "shared.repeat_ratio"; "a ratio over one")]
#[test_case("overshoot = 0.1", "overshoot = 2", "quota.overshoot"; "an overshoot over one")]
#[test_case("window_s = 5", "window_s = 0", "quota.window_s"; "no window")]
#[test_case("grace_s = 6", "grace_s = -6", "grace_s"; "a negative time")]
#[test_case("grace_s = 6", "grace = 6", "grace"; "an unknown field")]
fn names_the_invalid_field(old: &str, new: &str, field: &str) {
    let text = EXAMPLE.replacen(old, new, 1);
    assert_ne!(text, EXAMPLE);
    let fault = scan::<Settings>(&text, Path::new("")).unwrap_err();
    assert!(fault.to_string().contains(field), "{fault}");
}

/// The section of times of a settings file.
fn times(text: &str) -> &str {
    let start = text.find("[times]").unwrap();
    let length = text[start..].find("[shared]").unwrap();
    &text[start..start + length]
}

/// The platform states its bounds as whole numbers or fractions. A fraction kept every process from
/// starting, or was read as a thousandth.
#[test]
fn the_template_takes_fractions() {
    let template = include_str!("../../../deploy/gateway.toml.template");
    let rendered =
        times(template).replace("{{bounds.graceS}}", "7.5").replace("{{bounds.ttl_max_s}}", "2.5");
    let text = EXAMPLE.replace(times(EXAMPLE), &rendered);
    let settings: Settings = scan(&text, Path::new("")).unwrap();
    let expected = (Duration::from_millis(7_500), Duration::from_millis(2_500));
    assert_eq!((settings.times.grace, settings.times.lookup), expected);
}

/// The platform states the figures of quotas only if a deployment has quotas. A missing value must
/// neither keep processes from starting nor leave a quota without a tolerance.
#[test_case(true, (6.0, 0.2, 30.0); "with figures")]
#[test_case(false, (5.0, 0.1, 20.0); "without figures")]
fn quota_figures(has_figures: bool, expected: (f64, f64, f64)) {
    let template = include_str!("../../../deploy/gateway.toml.template");
    let (start, end) = ("{{#bounds.quotaWindowS}}\n", "{{/bounds.quotaWindowS}}\n");
    let (_, section) = template.split_once(start).unwrap();
    let (section, rest) = section.split_once(end).unwrap();
    assert_eq!(rest, "");
    let rendered = section
        .replace("{{bounds.quotaWindowS}}", "6")
        .replace("{{bounds.quotaOver}}", "0.2")
        .replace("{{bounds.quotaSlack}}", "30");
    let (others, _) = EXAMPLE.split_once("[quota]").unwrap();
    let text = if has_figures { format!("{others}{rendered}") } else { others.to_owned() };
    let quota = scan::<Settings>(&text, Path::new("")).unwrap().quota;
    assert_eq!((quota.window_s, quota.overshoot, quota.allowance), expected);
}
