//! The memory that reading a statement takes, counted by this test's own allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use eideryard_sql_tables::table_group;

/// The maximum length of a statement: that of a message.
const STATEMENT_BYTES: usize = 1 << 20;
/// What reading a statement of any length may allocate in total.
const MAX_ALLOCATED_BYTES: usize = 4 << 10;

thread_local! {
    static ALLOCATED_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// The system's allocator, which counts what each thread allocates.
struct CountingAllocator;

// SAFETY: all calls are passed on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.set(ALLOCATED_BYTES.get() + layout.size());
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        System.dealloc(pointer, layout);
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns a statement of the maximum length: `begin` and repetitions of `part`.
fn statement(begin: &str, part: &str) -> Vec<u8> {
    let mut text = begin.as_bytes().to_vec();
    text.extend(part.bytes().cycle().take(STATEMENT_BYTES - begin.len()));
    text
}

// Guards against a gateway that exceeds its memory limit because it collects the tokens of a long
// statement (docs/incidents/long-statements.md).
#[test]
fn a_statement_of_any_length_takes_little_memory_to_read() {
    let cases = [
        (
            "INSERT INTO readings_17.batches VALUES ",
            "(7,4,1),",
            Some(17),
        ),
        ("INSERT INTO t VALUES ", "(7,4,1),", None),
        ("SELECT ", "a, ", None),
        ("SELECT x", ".a", None),
        ("SELECT x", "x", None),
        ("SELECT \"", "x", None),
        ("SELECT '", "x", None),
        ("SELECT x ", "/* */", None),
        ("SELECT $x$", "$$", None),
        ("", ".", None),
    ];
    for (begin, part, group) in cases {
        let text = statement(begin, part);
        let before = ALLOCATED_BYTES.get();
        assert_eq!(table_group(&text), group, "{begin}{part}...");
        let allocated = ALLOCATED_BYTES.get() - before;
        assert!(
            allocated <= MAX_ALLOCATED_BYTES,
            "{begin}{part}... took {allocated} bytes"
        );
    }
}
