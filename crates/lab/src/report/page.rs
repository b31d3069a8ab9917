//! The page of a run: it opens alone, with its plots as SVG inside.

use std::fmt::Write as _;

use plotters::prelude::*;

use crate::experiment::Run;
use crate::score::GroupScore;

type Failed = Box<dyn std::error::Error + Send + Sync>;

const SIZE: (u32, u32) = (960, 260);
/// Servers whose requests in flight are drawn, one line each.
const SERVERS: usize = 24;
/// Points of such a line.
const POINTS: usize = 200;

/// A line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Draws lines over seconds, with the times of the faults shaded behind.
fn plot(run: &Run, lines: &[Line], unit: &str) -> Result<String, Failed> {
    let seconds = run.scenario.length.0 / 1000.0;
    let top = lines
        .iter()
        .flat_map(|(_, points)| points)
        .map(|p| p.1)
        .fold(0.0, f64::max)
        .max(1e-9)
        * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let fail = |e: &dyn std::fmt::Display| Failed::from(e.to_string());
        root.fill(&WHITE).map_err(|e| fail(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds, 0.0..top)
            .map_err(|e| fail(&e))?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc(unit)
            .disable_x_mesh()
            .draw()
            .map_err(|e| fail(&e))?;
        for f in &run.scenario.faults {
            let (from, to) = (f.at.0 / 1000.0, ((f.at.0 + f.span.0) / 1000.0).min(seconds));
            let band = Rectangle::new([(from, 0.0), (to, top)], RED.mix(0.08).filled());
            chart
                .draw_series(std::iter::once(band))
                .map_err(|e| fail(&e))?;
        }
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|e| fail(&e))?
                .label(name.as_str())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        if lines.len() <= 8 {
            let labels = &mut chart.configure_series_labels();
            labels
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.2));
            labels.draw().map_err(|e| fail(&e))?;
        }
        root.present().map_err(|e| fail(&e))?;
    }
    Ok(svg)
}

/// The rates of what was offered, served, refused and failed.
fn flow(run: &Run) -> Vec<Line> {
    let windows = &run.score.windows;
    let span = windows.get(1).map_or(run.scenario.length.0, |w| w.from_ms) / 1000.0;
    let line = |name: &str, of: fn(&crate::score::Window) -> u64| -> Line {
        let point =
            |w: &crate::score::Window| (w.from_ms / 1000.0 + span / 2.0, of(w) as f64 / span);
        (name.to_owned(), windows.iter().map(point).collect())
    };
    vec![
        line("offered", |w| w.asked),
        line("served", |w| w.served),
        line("refused", |w| w.refused),
        line("failed", |w| w.failed),
        line("attempts", |w| w.attempts),
    ]
}

fn share(run: &Run) -> Vec<Line> {
    let point = |w: &crate::score::Window| (w.from_ms / 1000.0, w.share);
    vec![(
        "worth served".to_owned(),
        run.score.windows.iter().map(point).collect(),
    )]
}

/// Latency by percentile: the horizontal axis is the share of requests, so it has a plot of its own kind.
fn latency(run: &Run) -> Result<String, Failed> {
    let parts: Vec<&GroupScore> = run.score.classes.iter().chain(&run.score.tenants).collect();
    let top = parts.iter().map(|p| p.latency_ms[3]).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let fail = |e: &dyn std::fmt::Display| Failed::from(e.to_string());
        root.fill(&WHITE).map_err(|e| fail(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..4.0, (1.0..top).log_scale())
            .map_err(|e| fail(&e))?;
        // The axis is -log10(1 - q): 1 is the 90th percentile, 2 the 99th, 3 the 99.9th.
        let label = |x: &f64| format!("{:.2} %", 100.0 * (1.0 - 10f64.powf(-x)));
        chart
            .configure_mesh()
            .x_label_formatter(&label)
            .x_labels(9)
            .y_desc("ms")
            .draw()
            .map_err(|e| fail(&e))?;
        for (i, part) in parts.iter().enumerate().filter(|(_, p)| p.served > 0) {
            let colour = Palette99::pick(i).to_rgba();
            let point = |n: usize| {
                let x = n as f64 / 25.0;
                let ms = part.histogram().value_at_quantile(1.0 - 10f64.powf(-x)) as f64 / 1000.0;
                (x, ms.max(1.0))
            };
            let line = LineSeries::new((0..=100).map(point), colour.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|e| fail(&e))?
                .label(part.name.as_str())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        let labels = &mut chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8));
        labels.draw().map_err(|e| fail(&e))?;
        root.present().map_err(|e| fail(&e))?;
    }
    Ok(svg)
}

/// Requests in flight at each server over time, for the servers with the most attempts.
fn in_flight(run: &Run) -> Vec<Line> {
    let step = run.scenario.length.0 / POINTS as f64;
    let mut servers: std::collections::BTreeMap<usize, (u64, Vec<i64>)> =
        std::collections::BTreeMap::new();
    let place = |at: f64| ((at / step) as usize).min(POINTS - 1);
    for a in run.ledger.client_attempts.iter().flat_map(|t| &t.attempts) {
        let (count, changes) = servers
            .entry(a.server)
            .or_insert_with(|| (0, vec![0; POINTS + 1]));
        *count += 1;
        changes[place(a.sent)] += 1;
        changes[a.ended.map_or(POINTS, |(at, _)| place(at) + 1)] -= 1;
    }
    let mut busiest: Vec<_> = servers.into_iter().collect();
    busiest.sort_by_key(|(server, (count, _))| (std::cmp::Reverse(*count), *server));
    let line = |(server, (_, changes)): (usize, (u64, Vec<i64>))| {
        let mut held = 0;
        let point = |(i, change): (usize, &i64)| {
            held += change;
            (i as f64 * step / 1000.0, held as f64)
        };
        (
            format!("server {server}"),
            changes.iter().take(POINTS).enumerate().map(point).collect(),
        )
    };
    busiest.into_iter().take(SERVERS).map(line).collect()
}

/// The whole page.
///
/// # Errors
/// What the plots could not draw.
pub fn html(run: &Run) -> Result<String, Failed> {
    let mut page = String::new();
    let title = escape(&run.scenario.title);
    let clock = if run.virtual_time {
        "virtual time"
    } else {
        "real sockets"
    };
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n<style>body{{font:15px \
         sans-serif;max-width:980px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{padding:2px \
         10px;text-align:right;border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}\
         .bad{{color:#a00}}</style>\n<h1>{title}</h1><p>{} in {clock}, seed {}.</p>\n",
        escape(&run.name),
        run.seed
    )?;
    if let Some(why) = &run.void {
        write!(
            page,
            "<p class=\"bad\">Void: {}. No figure here counts.</p>",
            escape(why)
        )?;
    }
    if run.partial {
        write!(
            page,
            "<p class=\"bad\">Partial: cut short at {:.1} s.</p>",
            run.ledger.ended_at / 1000.0
        )?;
    }
    page.push_str(
        "<table><tr><th></th><th>asked</th><th>served</th><th>in time</th><th>share</th><th>p50 ms</th><th>p90 \
         ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>",
    );
    for p in [&run.score.whole]
        .into_iter()
        .chain(&run.score.classes)
        .chain(&run.score.tenants)
    {
        let [a, b, c, d] = p.latency_ms;
        write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{a:.1}</td><td>{b:.1}</td>\
             <td>{c:.1}</td><td>{d:.1}</td></tr>",
            escape(&p.name),
            p.asked,
            p.served,
            p.in_time,
            p.share
        )?;
    }
    page.push_str("</table>\n<h2>Rules</h2>\n");
    if run.broken.is_empty() {
        page.push_str("<p>All rules kept.</p>");
    } else {
        write!(
            page,
            "<p class=\"bad\">{} broken rules.</p><ul>",
            run.broken.len()
        )?;
        for b in run.broken.iter().take(100) {
            write!(page, "<li>{}</li>", escape(&b.to_string()))?;
        }
        page.push_str("</ul>");
    }
    if !run.scenario.faults.is_empty() {
        page.push_str("<h2>Faults</h2><ul>");
        for f in &run.scenario.faults {
            write!(page, "<li>{:?} from {} for {}</li>", f.kind, f.at, f.span)?;
        }
        page.push_str("</ul>");
    }
    for (heading, svg) in [
        ("Requests a second", plot(run, &flow(run), "/s")?),
        ("Worth served over worth asked", plot(run, &share(run), "")?),
        ("Latency by percentile", latency(run)?),
        (
            "In flight at each server",
            plot(run, &in_flight(run), "requests")?,
        ),
    ] {
        write!(page, "<h2>{heading}</h2>\n{svg}\n")?;
    }
    page.push_str("</html>\n");
    Ok(page)
}
