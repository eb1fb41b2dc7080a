//! A bar chart of the rows, as SVG: a group for each measure, and for each way median and p99.

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
const BARS_LEFT: i32 = 330;
const BARS_WIDTH: f64 = 480.0;
const BAR: i32 = 9;
const WAY: i32 = 30;
const HEADING: i32 = 34;
const FONT: i32 = 13;
const MEDIAN: RGBColor = RGBColor(38, 96, 164);
const P99: RGBColor = RGBColor(226, 140, 56);

/// Why a chart was not drawn.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum PlotError {
    /// The file could not be written.
    #[error("the chart could not be written")]
    Write,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Rows of one measure and unit, which share a scale.
struct Group<'a> {
    rows: Vec<&'a Row>,
}

/// Draws the rows and writes the chart to a file.
///
/// # Errors
///
/// `Write`.
pub(crate) fn write(path: &Path, rows: &[Row]) -> Result<(), Report<PlotError>> {
    let groups = groups(rows);
    let area = SVGBackend::new(path, (WIDTH, height(&groups))).into_drawing_area();
    area.fill(&WHITE).change_context(PlotError::Write)?;
    legend(&area)?;
    let mut top = MARGIN + HEADING;
    for group in &groups {
        top = draw_group(&area, group, top)?;
    }
    area.present().change_context(PlotError::Write)
}

fn groups(rows: &[Row]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for row in rows {
        let same = |group: &Group<'_>| {
            let first = group.rows.first();
            first.is_some_and(|first| (first.measure, first.unit) == (row.measure, row.unit))
        };
        match groups.iter_mut().find(|group| same(group)) {
            Some(group) => group.rows.push(row),
            None => groups.push(Group { rows: vec![row] }),
        }
    }
    groups
}

fn height(groups: &[Group<'_>]) -> u32 {
    let of = |group: &Group<'_>| HEADING + WAY * group.rows.len() as i32;
    let all: i32 = groups.iter().map(of).sum();
    (2 * MARGIN + HEADING + all) as u32
}

fn legend(area: &Area<'_>) -> Result<(), Report<PlotError>> {
    let mut left = BARS_LEFT;
    for (name, colour) in [("median", MEDIAN), ("p99", P99)] {
        bar(area, (left, MARGIN), 24.0, colour)?;
        text(area, name, (left + 30, MARGIN - 2), FONT)?;
        left += 110;
    }
    text(
        area,
        "linear scale for each group",
        (left, MARGIN - 2),
        FONT,
    )
}

fn draw_group(area: &Area<'_>, group: &Group<'_>, top: i32) -> Result<i32, Report<PlotError>> {
    let figures = group.rows.iter().flat_map(|row| [row.median, row.p99]);
    let most = figures
        .filter(|figure| figure.is_finite())
        .fold(0.0, f64::max);
    if let Some(first) = group.rows.first() {
        let heading = format!("{}, {}", first.measure, first.unit);
        text(area, &heading, (MARGIN, top), FONT + 2)?;
    }
    let mut top = top + HEADING - BAR;
    for row in &group.rows {
        text(area, &row.way, (MARGIN + 12, top + 2), FONT)?;
        for (i, (figure, colour)) in [(row.median, MEDIAN), (row.p99, P99)]
            .into_iter()
            .enumerate()
        {
            let at = (BARS_LEFT, top + i as i32 * (BAR + 2));
            // A figure that is missing, or below nothing, has no bar but is written.
            let share = (figure / most).clamp(0.0, 1.0);
            let length = if share.is_finite() {
                share * BARS_WIDTH
            } else {
                0.0
            };
            bar(area, at, length, colour)?;
            let beside = (BARS_LEFT + length as i32 + 6, at.1 - 1);
            text(area, &format!("{figure:.1}"), beside, FONT - 3)?;
        }
        top += WAY;
    }
    Ok(top + BAR)
}

fn bar(
    area: &Area<'_>,
    at: (i32, i32),
    length: f64,
    colour: RGBColor,
) -> Result<(), Report<PlotError>> {
    let to = (at.0 + length as i32, at.1 + BAR);
    draw(area, &Rectangle::new([at, to], colour.filled()))
}

fn text(area: &Area<'_>, text: &str, at: (i32, i32), size: i32) -> Result<(), Report<PlotError>> {
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
