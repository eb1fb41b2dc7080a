//! Draws the results as an SVG bar chart: one group for each benchmark, and in it two bars (median
//! and p99) for each policy.

use std::path::Path;

use error_stack::{Report, ResultExt};
use plotters::prelude::{
    Color, DrawingArea, IntoDrawingArea, IntoFont, RGBColor, Rectangle, SVGBackend, Text, BLACK,
    WHITE,
};
use plotters::{coord::Shift, element::Drawable, element::PointCollection};
use thiserror::Error;

use crate::table::Row;

// Lengths are in pixels.
const WIDTH: u32 = 1000;
const MARGIN: i32 = 16;
const BAR_AREA_LEFT: i32 = 330;
const BAR_AREA_WIDTH: f64 = 480.0;
const BAR_HEIGHT: i32 = 9;
const ROW_HEIGHT: i32 = 30;
const HEADING_HEIGHT: i32 = 34;
const FONT_SIZE: i32 = 13;
const MEDIAN_COLOUR: RGBColor = RGBColor(38, 96, 164);
const P99_COLOUR: RGBColor = RGBColor(226, 140, 56);

/// Error from drawing a chart.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum PlotError {
    /// The chart could not be drawn, or its file could not be written.
    #[error("the chart could not be written")]
    Write,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Rows of the same benchmark and unit, which share a scale.
struct Group<'a> {
    rows: Vec<&'a Row>,
}

/// Draws the rows and writes the chart to a file.
///
/// # Errors
///
/// Returns `PlotError::Write` if the chart cannot be drawn or written.
pub(crate) fn write(path: &Path, rows: &[Row]) -> Result<(), Report<PlotError>> {
    let groups = group_rows(rows);
    let area = SVGBackend::new(path, (WIDTH, chart_height(&groups))).into_drawing_area();
    area.fill(&WHITE).change_context(PlotError::Write)?;
    draw_legend(&area)?;
    let mut top = MARGIN + HEADING_HEIGHT;
    for group in &groups {
        top = draw_group(&area, group, top)?;
    }
    area.present().change_context(PlotError::Write)
}

fn group_rows(rows: &[Row]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for row in rows {
        let matches_row = |group: &Group<'_>| {
            let first = group.rows.first();
            first.is_some_and(|first| (first.measure, first.unit) == (row.measure, row.unit))
        };
        match groups.iter_mut().find(|group| matches_row(group)) {
            Some(group) => group.rows.push(row),
            None => groups.push(Group { rows: vec![row] }),
        }
    }
    groups
}

fn chart_height(groups: &[Group<'_>]) -> u32 {
    let group_height = |group: &Group<'_>| HEADING_HEIGHT + ROW_HEIGHT * group.rows.len() as i32;
    let total: i32 = groups.iter().map(group_height).sum();
    (2 * MARGIN + HEADING_HEIGHT + total) as u32
}

fn draw_legend(area: &Area<'_>) -> Result<(), Report<PlotError>> {
    let mut left = BAR_AREA_LEFT;
    for (name, colour) in [("median", MEDIAN_COLOUR), ("p99", P99_COLOUR)] {
        draw_bar(area, (left, MARGIN), 24.0, colour)?;
        draw_text(area, name, (left + 30, MARGIN - 2), FONT_SIZE)?;
        left += 110;
    }
    draw_text(
        area,
        "linear scale for each group",
        (left, MARGIN - 2),
        FONT_SIZE,
    )
}

fn draw_group(area: &Area<'_>, group: &Group<'_>, top: i32) -> Result<i32, Report<PlotError>> {
    let values = group.rows.iter().flat_map(|row| [row.median, row.p99]);
    let largest = values.filter(|value| value.is_finite()).fold(0.0, f64::max);
    if let Some(first) = group.rows.first() {
        let heading = format!("{}, {}", first.measure, first.unit);
        draw_text(area, &heading, (MARGIN, top), FONT_SIZE + 2)?;
    }
    let mut top = top + HEADING_HEIGHT - BAR_HEIGHT;
    for row in &group.rows {
        draw_text(area, &row.way, (MARGIN + 12, top + 2), FONT_SIZE)?;
        for (i, (value, colour)) in [(row.median, MEDIAN_COLOUR), (row.p99, P99_COLOUR)]
            .into_iter()
            .enumerate()
        {
            let at = (BAR_AREA_LEFT, top + i as i32 * (BAR_HEIGHT + 2));
            // A value that is NaN or negative gets no bar, just its label.
            let fraction = (value / largest).clamp(0.0, 1.0);
            let length = if fraction.is_finite() {
                fraction * BAR_AREA_WIDTH
            } else {
                0.0
            };
            draw_bar(area, at, length, colour)?;
            let label_at = (BAR_AREA_LEFT + length as i32 + 6, at.1 - 1);
            draw_text(area, &format!("{value:.1}"), label_at, FONT_SIZE - 3)?;
        }
        top += ROW_HEIGHT;
    }
    Ok(top + BAR_HEIGHT)
}

fn draw_bar(
    area: &Area<'_>,
    at: (i32, i32),
    length: f64,
    colour: RGBColor,
) -> Result<(), Report<PlotError>> {
    let to = (at.0 + length as i32, at.1 + BAR_HEIGHT);
    draw(area, &Rectangle::new([at, to], colour.filled()))
}

fn draw_text(
    area: &Area<'_>,
    text: &str,
    at: (i32, i32),
    size: i32,
) -> Result<(), Report<PlotError>> {
    let style = ("sans-serif", size).into_font().color(&BLACK);
    draw(area, &Text::new(text.to_owned(), at, style))
}

fn draw<'a, 'b, E>(area: &Area<'b>, element: &'a E) -> Result<(), Report<PlotError>>
where
    &'a E: PointCollection<'a, (i32, i32)>,
    E: Drawable<SVGBackend<'b>>,
{
    area.draw(element).change_context(PlotError::Write)
}
