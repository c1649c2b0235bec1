//! Draws a table with a header and a cursor.

use ratatui::layout::{Constraint, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::widgets::{Block, Row, Table as TableWidget, TableState};
use ratatui::Frame;

use super::bold;

/// Minimum width of a column that takes the remaining width.
const MIN_REST_WIDTH: u16 = 8;

/// A column's title and width.
pub(super) struct Column {
    title: &'static str,
    width: Constraint,
}

impl Column {
    /// Creates a column with a fixed width in characters.
    pub fn fixed(title: &'static str, width: u16) -> Self {
        let width = Constraint::Length(width);
        Column { title, width }
    }

    /// Creates a column that takes the remaining width of the screen.
    pub fn rest(title: &'static str) -> Self {
        let width = Constraint::Min(MIN_REST_WIDTH);
        Column { title, width }
    }
}

/// The content of a table.
pub(super) struct Table {
    pub title: String,
    pub columns: Vec<Column>,
    pub rows: Vec<Vec<String>>,
    /// Index of the selected row; `None` for a table without a cursor.
    pub cursor: Option<usize>,
}

impl Table {
    pub fn draw(self, frame: &mut Frame<'_>, area: Rect) {
        let header = Row::new(self.columns.iter().map(|column| column.title)).style(bold());
        let widths = self.columns.iter().map(|column| column.width);
        let table = TableWidget::new(self.rows.into_iter().map(Row::new), widths)
            .header(header)
            .block(Block::new().title(self.title))
            .row_highlight_style(Style::new().add_modifier(Modifier::REVERSED))
            .highlight_symbol("> ");
        let mut state = TableState::new().with_selected(self.cursor);
        frame.render_stateful_widget(table, area, &mut state);
    }
}
