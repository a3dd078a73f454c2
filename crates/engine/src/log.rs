//! Lines for the operator, on standard error.

use std::cell::Cell;

/// Lines that one life of the program writes at most: a log that grows with the trouble is trouble itself.
const MOST_LINES: u32 = 500;

thread_local! {
    static LINES: Cell<u32> = const { Cell::new(0) };
}

/// Writes a line to standard error, as long as there have not been too many.
pub fn log(line: std::fmt::Arguments<'_>) {
    let n = LINES.get() + 1;
    LINES.set(n);
    if n <= MOST_LINES {
        use std::io::Write;
        // Nobody reads the log, perhaps: that must not end the program.
        let _ = writeln!(std::io::stderr(), "corkhollow: {line}");
    }
}
