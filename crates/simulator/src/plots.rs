//! Plots of runs and workloads, as SVG or PNG.

use std::path::Path;

use hdrhistogram::Histogram;
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::register_font;

use crate::report::{FleetSample, RunReport};

type PlotError = Box<dyn std::error::Error>;
type Line<'a> = (&'a str, Vec<(f64, f64)>);

const SIZE: (u32, u32) = (800, 420);
const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 90, 20),
    RGBColor(44, 140, 60),
    RGBColor(150, 60, 160),
    RGBColor(120, 120, 120),
];

/// Registers a font that is part of the program, so that plots are the same on every machine.
fn register_plot_font() -> Result<(), PlotError> {
    register_font(
        "sans-serif",
        FontStyle::Normal,
        epaint_default_fonts::UBUNTU_LIGHT,
    )
    .map_err(|_| "the built-in font can't be read".into())
}

/// Title and axes of a plot.
struct PlotLayout<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
    log_x: bool,
}

/// Plots lines over common axes: as PNG if the path has that extension, otherwise as SVG.
fn plot_lines(path: &Path, layout: &PlotLayout<'_>, all: &[Line<'_>]) -> Result<(), PlotError> {
    register_plot_font()?;
    if path.extension().is_some_and(|e| e == "png") {
        draw(
            &BitMapBackend::new(path, SIZE).into_drawing_area(),
            layout,
            all,
        )
    } else {
        draw(
            &SVGBackend::new(path, SIZE).into_drawing_area(),
            layout,
            all,
        )
    }
}

fn draw<B: DrawingBackend>(
    root: &DrawingArea<B, Shift>,
    layout: &PlotLayout<'_>,
    all: &[Line<'_>],
) -> Result<(), PlotError>
where
    B::ErrorType: 'static,
{
    let points = || all.iter().flat_map(|(_, line)| line);
    let max_of = |f: fn(&(f64, f64)) -> f64| points().map(f).fold(0.0, f64::max);
    let (x_max, y_max) = (max_of(|p| p.0).max(1e-3), max_of(|p| p.1).max(1e-3) * 1.05);
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root);
    chart
        .caption(layout.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64);
    macro_rules! draw_series {
        ($chart:expr) => {{
            let mut chart = $chart;
            chart
                .configure_mesh()
                .x_desc(layout.x)
                .y_desc(layout.y)
                .light_line_style(WHITE)
                .draw()?;
            for (i, (name, line)) in all.iter().enumerate() {
                let colour = COLOURS[i % COLOURS.len()];
                let series = LineSeries::new(line.iter().copied(), colour.stroke_width(2));
                let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour);
                chart.draw_series(series)?.label(*name).legend(key);
            }
            if all.len() > 1 {
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.3))
                    .draw()?;
            }
        }};
    }
    if layout.log_x {
        let x_min = points()
            .map(|p| p.0)
            .filter(|x| *x > 0.0)
            .fold(x_max, f64::min);
        draw_series!(chart.build_cartesian_2d((x_min..x_max).log_scale(), 0.0..y_max)?);
    } else {
        draw_series!(chart.build_cartesian_2d(0.0..x_max, 0.0..y_max)?);
    }
    root.present()?;
    Ok(())
}

/// Cumulative distribution of a histogram of µs, as points of ms and percent.
pub fn cumulative_distribution(h: &Histogram<u64>) -> Vec<(f64, f64)> {
    let total = h.len().max(1) as f64;
    let mut sum = 0;
    let point = |v: hdrhistogram::iterators::IterationValue<u64>| {
        sum += v.count_since_last_iteration();
        (
            v.value_iterated_to().max(1) as f64 / 1e3,
            sum as f64 / total * 100.0,
        )
    };
    h.iter_recorded().map(point).collect()
}

/// Plots cumulative distributions of allocation times, one line per side.
pub fn allocation(all: &[Line<'_>], path: &Path) -> Result<(), PlotError> {
    let layout = PlotLayout {
        title: "From submission to the start order",
        x: "ms",
        y: "% of starts",
        log_x: true,
    };
    plot_lines(path, &layout, all)
}

/// Plots the fleet's size, use and cost over time.
pub fn fleet(report: &RunReport, path: &Path) -> Result<(), PlotError> {
    let line = |f: &dyn Fn(&FleetSample) -> f64| {
        report
            .fleet
            .iter()
            .map(|s| (s.at_s, f(s)))
            .collect::<Vec<_>>()
    };
    let all = [
        ("machines rented", line(&|s| s.machines as f64)),
        ("machines up", line(&|s| s.up as f64)),
        (
            "up and in use, in machines",
            line(&|s| {
                if s.cpus > 0.0 {
                    s.up as f64 * s.used_cpus / s.cpus
                } else {
                    0.0
                }
            }),
        ),
        ("money", line(&|s| s.cost)),
    ];
    plot_lines(
        path,
        &PlotLayout {
            title: "Fleet and money",
            x: "s",
            y: "machines, money",
            log_x: false,
        },
        &all,
    )
}

/// Plots the message rate of all controllers together, and of the busiest one.
pub fn messages(report: &RunReport, path: &Path) -> Result<(), PlotError> {
    let rate = |f: &dyn Fn(&FleetSample) -> u64| {
        let between = |w: &[FleetSample]| {
            (
                w[1].at_s,
                f(&w[1]).saturating_sub(f(&w[0])) as f64 / (w[1].at_s - w[0].at_s),
            )
        };
        report.fleet.windows(2).map(between).collect::<Vec<_>>()
    };
    let all = [
        ("all controllers", rate(&|s| s.messages.1)),
        ("the busiest", rate(&|s| s.messages.0)),
    ];
    plot_lines(
        path,
        &PlotLayout {
            title: "Controllers' messages",
            x: "s",
            y: "messages a second",
            log_x: false,
        },
        &all,
    )
}

/// Plots the time to start of each class from its percentiles.
pub fn time_to_start(report: &RunReport, path: &Path) -> Result<(), PlotError> {
    let steps = |s: &crate::report::LatencySummary| {
        vec![
            (s.p50.max(1.0), 50.0),
            (s.p90.max(1.0), 90.0),
            (s.p99.max(1.0), 99.0),
            (s.max.max(1.0), 100.0),
        ]
    };
    let all: Vec<Line<'_>> = report
        .time_to_start
        .iter()
        .map(|(class, s)| (class.as_str(), steps(s)))
        .collect();
    plot_lines(
        path,
        &PlotLayout {
            title: "From submission to the start, by class",
            x: "ms",
            y: "% of starts",
            log_x: true,
        },
        &all,
    )
}

/// Plots the resources that a workload's tasks would use over time if none of them waited.
pub fn load(line: &[(f64, f64)], path: &Path) -> Result<(), PlotError> {
    let layout = PlotLayout {
        title: "Load if nothing waited",
        x: "s",
        y: "processors (accelerators where more)",
        log_x: false,
    };
    plot_lines(path, &layout, &[("load", line.to_vec())])
}
