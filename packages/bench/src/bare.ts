//! A Node process that does nothing, to tell its memory from the daemon's.
process.stdout.write("{}\n");
setInterval(() => undefined, 60_000);
