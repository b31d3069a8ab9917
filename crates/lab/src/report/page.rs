//! HTML page of a run: a self-contained file with its plots as inline SVG.

use std::fmt::Write as _;

use plotters::prelude::*;

use crate::experiment::Run;
use crate::score::GroupScore;

type PlotError = Box<dyn std::error::Error + Send + Sync>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 260);
/// Maximum number of servers whose requests in flight are drawn, one line each.
const MAX_SERVER_LINES: usize = 24;
/// Points of each line of requests in flight.
const POINTS: usize = 200;

/// Line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Draws lines over time in seconds, with the duration of each fault shaded in the background.
fn plot(run: &Run, lines: &[Line], unit: &str) -> Result<String, PlotError> {
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
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let fail = |e: &dyn std::fmt::Display| PlotError::from(e.to_string());
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

/// Rates of offered, served, refused and failed requests and of attempts.
fn request_rates(run: &Run) -> Vec<Line> {
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

/// Served share of the priority weight per window.
fn served_share(run: &Run) -> Vec<Line> {
    let point = |w: &crate::score::Window| (w.from_ms / 1000.0, w.share);
    vec![(
        "worth served".to_owned(),
        run.score.windows.iter().map(point).collect(),
    )]
}

/// Draws latency by percentile. The horizontal axis is the fraction of requests, so [`plot`] can't draw it.
fn plot_latency(run: &Run) -> Result<String, PlotError> {
    let groups: Vec<&GroupScore> = run.score.classes.iter().chain(&run.score.tenants).collect();
    let top = groups.iter().map(|g| g.latency_ms[3]).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let fail = |e: &dyn std::fmt::Display| PlotError::from(e.to_string());
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
        for (i, group) in groups.iter().enumerate().filter(|(_, g)| g.served > 0) {
            let colour = Palette99::pick(i).to_rgba();
            let point = |n: usize| {
                let x = n as f64 / 25.0;
                let ms = group.histogram().value_at_quantile(1.0 - 10f64.powf(-x)) as f64 / 1000.0;
                (x, ms.max(1.0))
            };
            let line = LineSeries::new((0..=100).map(point), colour.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|e| fail(&e))?
                .label(group.name.as_str())
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

/// Requests in flight at each server over time, for the servers with the highest number of attempts.
fn in_flight(run: &Run) -> Vec<Line> {
    let step = run.scenario.length.0 / POINTS as f64;
    let mut servers: std::collections::BTreeMap<usize, (u64, Vec<i64>)> =
        std::collections::BTreeMap::new();
    let point_index = |at: f64| ((at / step) as usize).min(POINTS - 1);
    for a in run.ledger.client_attempts.iter().flat_map(|t| &t.attempts) {
        let (count, changes) = servers
            .entry(a.server)
            .or_insert_with(|| (0, vec![0; POINTS + 1]));
        *count += 1;
        changes[point_index(a.sent)] += 1;
        changes[a.ended.map_or(POINTS, |(at, _)| point_index(at) + 1)] -= 1;
    }
    let mut busiest: Vec<_> = servers.into_iter().collect();
    busiest.sort_by_key(|(server, (count, _))| (std::cmp::Reverse(*count), *server));
    let line = |(server, (_, changes)): (usize, (u64, Vec<i64>))| {
        let mut in_flight = 0;
        let point = |(i, change): (usize, &i64)| {
            in_flight += change;
            (i as f64 * step / 1000.0, in_flight as f64)
        };
        (
            format!("server {server}"),
            changes.iter().take(POINTS).enumerate().map(point).collect(),
        )
    };
    busiest
        .into_iter()
        .take(MAX_SERVER_LINES)
        .map(line)
        .collect()
}

/// Builds the complete page.
///
/// # Errors
/// A plot could not be drawn.
pub fn html(run: &Run) -> Result<String, PlotError> {
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
    for group in [&run.score.whole]
        .into_iter()
        .chain(&run.score.classes)
        .chain(&run.score.tenants)
    {
        let [p50, p90, p99, p999] = group.latency_ms;
        write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{p50:.1}</td><td>{p90:.1}</td>\
             <td>{p99:.1}</td><td>{p999:.1}</td></tr>",
            escape(&group.name),
            group.asked,
            group.served,
            group.in_time,
            group.share
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
        ("Requests a second", plot(run, &request_rates(run), "/s")?),
        (
            "Worth served over worth asked",
            plot(run, &served_share(run), "")?,
        ),
        ("Latency by percentile", plot_latency(run)?),
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
