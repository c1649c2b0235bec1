//! The time to read a statement of 1 MB for its table group. The gateway does this on the thread of
//! its event loop.

use std::hint::black_box;
use std::time::Instant;

use eideryard_sql_tables::table_group;

const STATEMENT_BYTES: usize = 1_000_000;
/// Each figure is the median of this many runs.
const RUNS: usize = 21;

fn main() {
    let shapes = [
        (
            "rows, group at the begin",
            "INSERT INTO t_1.a VALUES ",
            "(7,4,1),",
        ),
        ("rows, no group", "INSERT INTO a VALUES ", "(7,4,1),"),
        ("words, no group", "SELECT ", "one two three "),
        ("a dotted name, no group", "SELECT a", ".a"),
        ("a string, no group", "SELECT '", "x"),
    ];
    for (name, begin, part) in shapes {
        let mut statement = begin.as_bytes().to_vec();
        statement.extend(part.bytes().cycle().take(STATEMENT_BYTES));
        let mut micros: Vec<f64> = (0..RUNS).map(|_| measure(&statement)).collect();
        micros.sort_by(f64::total_cmp);
        println!("{name}: {:.1} us", micros[RUNS / 2]);
    }
}

fn measure(statement: &[u8]) -> f64 {
    let begin = Instant::now();
    black_box(table_group(black_box(statement)));
    begin.elapsed().as_secs_f64() * 1e6
}
