//! An idle Node process. Its resident memory is the baseline for the daemon's memory.
process.stdout.write("{}\n");
setInterval(() => undefined, 60_000);
