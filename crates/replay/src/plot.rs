//! A self-contained HTML page with the report and plots.

use anyhow::{Result, anyhow};
use ebonypass_core::policy::Document;
use plotters::prelude::*;

use crate::model::SAMPLE_INTERVAL;
use crate::report::Report;
use crate::tally::Tally;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (900, 320);

/// Colours of the curves, used cyclically.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0x1b, 0x6c, 0xa8),
    RGBColor(0xc8, 0x55, 0x1b),
    RGBColor(0x2a, 0x8a, 0x4a),
    RGBColor(0x8a, 0x3a, 0x8f),
    RGBColor(0x9a, 0x7b, 0x10),
    RGBColor(0x30, 0x30, 0x30),
    RGBColor(0xb0, 0x2a, 0x4a),
    RGBColor(0x2a, 0x90, 0x90),
];

/// Highest quantile in the latency plot.
const MAX_QUANTILE: f64 = 0.9999;

/// A named line of a plot.
struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
struct Axes {
    title: &'static str,
    x: &'static str,
    y: &'static str,
}

/// Returns the page for a run. Fails if a plot cannot be drawn.
pub fn render_page(document: &Document, report: &Report, tally: &Tally) -> Result<String> {
    let latency = render_plot(
        &Axes {
            title: "Latency by kind",
            x: "nines of the percentile (2 is the 99th)",
            y: "latency (ms)",
        },
        &latency_curves(document, tally),
    )?;
    let links = render_plot(
        &Axes { title: "Use of links, 1 is the cap", x: "time (s)", y: "use over 100 ms" },
        &link_curves(tally),
    )?;
    let slots = render_plot(
        &Axes { title: "Slots in use, 1 is all", x: "time (s)", y: "part of the slots" },
        &slot_curves(tally),
    )?;
    let text = escape(&report.to_string());
    let strategy = escape(&report.strategy);
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Replay: {strategy}</title>\n\
         <style>body {{ font-family: sans-serif; margin: 1em auto; max-width: 72em }} \
         pre {{ overflow-x: auto }} svg {{ max-width: 100%; height: auto }}</style>\n\
         </head>\n<body>\n<h1>Replay: {strategy}</h1>\n{latency}\n{links}\n{slots}\n\
         <pre>{text}</pre>\n</body>\n</html>\n"
    ))
}

fn latency_curves(document: &Document, tally: &Tally) -> Vec<Curve> {
    let flows = tally.flows.iter().filter(|(_, counts)| !counts.latency.is_empty());
    let curve = |((member, kind), counts): (&(_, _), &crate::tally::Counts)| {
        let kind = &document.kinds[*kind];
        let service = &document.services[kind.service].name;
        let name = format!("{}/{service}/{}", document.members[*member].name, kind.name);
        let quantiles = (0..=80).map(|step| f64::from(step) / 20.0);
        let points = quantiles.filter_map(|nines| {
            let quantile = 1.0 - 10f64.powf(-nines);
            let value = counts.latency.value_at_quantile(quantile) as f64 / 1_000.0;
            (quantile <= MAX_QUANTILE).then_some((nines, value))
        });
        Curve { name, points: points.collect() }
    };
    flows.map(curve).collect()
}

fn link_curves(tally: &Tally) -> Vec<Curve> {
    let used = tally.links.iter().filter(|link| link.highest > 0.0);
    used.map(|link| Curve {
        name: format!("{} to {}", link.from, link.to),
        points: time_series(link.series.iter().copied()),
    })
    .collect()
}

fn slot_curves(tally: &Tally) -> Vec<Curve> {
    let services = tally.services.values().filter(|service| service.busy_us > 0);
    services
        .map(|service| Curve {
            name: service.name.clone(),
            points: time_series(
                service.series.iter().map(|&busy| f64::from(busy) / f64::from(service.slots)),
            ),
        })
        .collect()
}

/// Returns values sampled every [`SAMPLE_INTERVAL`] as points with the time in seconds.
fn time_series(values: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    let step = SAMPLE_INTERVAL.as_micros() as f64 / 1e6;
    values.enumerate().map(|(index, value)| (index as f64 * step, value)).collect()
}

fn render_plot(axes: &Axes, curves: &[Curve]) -> Result<String> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let x_max = points().map(|point| point.0).fold(0.0, f64::max).max(1.0);
    let y_max = points().map(|point| point.1).fold(0.0, f64::max).max(1.0) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        draw_curves(&area, axes, curves, x_max, y_max).map_err(|error| anyhow!("{error}"))?;
    }
    Ok(svg)
}

fn draw_curves<B: DrawingBackend>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    axes: &Axes,
    curves: &[Curve],
    x_max: f64,
    y_max: f64,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(axes.title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).light_line_style(WHITE).draw()?;
    for (curve, colour) in curves.iter().zip(COLOURS.iter().cycle()) {
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), colour))?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
    }
    if !curves.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
